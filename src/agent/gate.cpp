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

GateState CheckGroupIntact(TimePoint now, const GateInputs& inputs)
{
  if (!inputs.hasGroup) {
    return Closed(GateReason::kNoGroup);
  }
  if (!inputs.isHead) {
    return Closed(GateReason::kNotHead);
  }
  for (const MemberHeartbeat& heartbeat : inputs.heartbeats) {
    if (!Fresh(now, heartbeat.aliveAsOf, inputs.memberTimeout)) {
      return Closed(GateReason::kMemberMissing, heartbeat.vm);
    }
  }
  if (inputs.lease == nullptr || !inputs.lease->Holds(now)) {
    return Closed(GateReason::kLeaseEnded);
  }
  return {};
}

GateState CheckGate(TimePoint now, const GateInputs& inputs)
{
  if (inputs.leaving) {
    return Closed(GateReason::kLeaving);
  }
  if (inputs.releasing) {
    return Closed(GateReason::kReleasing);
  }
  if (inputs.drainingMember) {
    return Closed(GateReason::kDraining, *inputs.drainingMember);
  }
  GateState intact = CheckGroupIntact(now, inputs);
  if (!intact.Open()) {
    return intact;
  }
  for (const MemberHeartbeat& heartbeat : inputs.heartbeats) {
    if (heartbeat.leaving) {
      return Closed(GateReason::kLeaving, heartbeat.vm);
    }
    if (!heartbeat.weightsLoaded) {
      return Closed(GateReason::kWeightsNotLoaded, heartbeat.vm);
    }
  }
  if (!inputs.entryKnown) {
    return Closed(GateReason::kNoEntry);
  }
  if (!inputs.serveUnconfirmed && !Fresh(now, inputs.confirmedAt, inputs.confirmationLimit)) {
    return Closed(GateReason::kUnconfirmed);
  }
  return {};
}

} // namespace gooseberrysail
