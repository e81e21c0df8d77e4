#include "gooseberrysail/agent/gate.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

GateState Closed(GateReason reason, VmId member = VmId())
{
  return GateState{ reason, std::move(member) };
}

const char* Text(GateReason reason) noexcept
{
  switch (reason) {
    case GateReason::kOpen:
      return "open";
    case GateReason::kNoGroup:
      return "target is in no group or in another one";
    case GateReason::kNotHead:
      return "target is not the head of its group";
    case GateReason::kLeaving:
      return "leaving";
    case GateReason::kReleasing:
      return "group is being dissolved";
    case GateReason::kDraining:
      return "draining";
    case GateReason::kLeaseEnded:
      return "group lease ended";
    case GateReason::kMemberMissing:
      return "member missing";
    case GateReason::kWeightsNotLoaded:
      return "weights not loaded";
    case GateReason::kUnconfirmed:
      return "configuration not confirmed";
    case GateReason::kNoEntry:
      return "catalogue entry unknown here";
  }
  return "closed";
}

bool Fresh(TimePoint now, const std::optional<TimePoint>& since, Duration limit)
{
  return since && now - *since < limit;
}

} // namespace

std::string ToString(const GateState& state)
{
  std::string text = Text(state.reason);
  if (!state.member.IsNone()) {
    text += ": " + state.member.Get();
  }
  return text;
}

GateState CheckWhole(TimePoint now, const GateFacts& facts)
{
  if (!facts.grouped) {
    return Closed(GateReason::kNoGroup);
  }
  if (!facts.head) {
    return Closed(GateReason::kNotHead);
  }
  for (const MemberBeat& beat : facts.beats) {
    if (!Fresh(now, beat.askedAt, facts.memberTimeout)) {
      return Closed(GateReason::kMemberMissing, beat.vm);
    }
  }
  if (facts.lease == nullptr || !facts.lease->Holds(now)) {
    return Closed(GateReason::kLeaseEnded);
  }
  return {};
}

GateState CheckGate(TimePoint now, const GateFacts& facts)
{
  if (facts.leaving) {
    return Closed(GateReason::kLeaving);
  }
  if (facts.releasing) {
    return Closed(GateReason::kReleasing);
  }
  if (facts.drainingMember) {
    return Closed(GateReason::kDraining, *facts.drainingMember);
  }
  GateState whole = CheckWhole(now, facts);
  if (!whole.Open()) {
    return whole;
  }
  for (const MemberBeat& beat : facts.beats) {
    if (beat.leaving) {
      return Closed(GateReason::kLeaving, beat.vm);
    }
    if (!beat.weightsLoaded) {
      return Closed(GateReason::kWeightsNotLoaded, beat.vm);
    }
  }
  if (!facts.entryKnown) {
    return Closed(GateReason::kNoEntry);
  }
  if (!facts.serveUnconfirmed && !Fresh(now, facts.confirmedAt, facts.confirmationLimit)) {
    return Closed(GateReason::kUnconfirmed);
  }
  return {};
}

} // namespace gooseberrysail
