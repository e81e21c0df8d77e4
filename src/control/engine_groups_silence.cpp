#include "control/engine_groups_pass.hpp"

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// A target whose latest heartbeat is younger than this needs no probe.
constexpr Duration kProbeSilence = 300ms;
/// A probe without an answer is followed by a second one after this; a live target answers within
/// milliseconds.
constexpr Duration kSecondProbeDelay = 200ms;
/// Two probes without an answer take at least this long, after which a pause of the default
/// tolerance is over: a target is probed once its heartbeat or its head is late.
constexpr Duration kShortestProbing = 500ms;

} // namespace

// The last heartbeat of a target that ended recently is still valid, and a group formed with the
// target would never complete. An unanswered probe shows the failure earlier.
bool EngineGroups::IsSilent(const Pass& pass, const TargetRow& row) const
{
  const auto unanswered = m_unanswered.find(row.latest.instance);
  const bool gaveNoAnswer =
    unanswered != m_unanswered.end() && unanswered->second > row.lastSeenAt + kProbeSilence;
  return gaveNoAnswer || pass.input.now - row.lastSeenAt > m_settings.SuspectTimeout();
}

// A process that is paused for about a second misses a heartbeat and then continues with its work,
// so a late heartbeat alone is no evidence. A draining target may close its listener before it has
// finished its work.
bool EngineGroups::IsLost(const Pass& pass, const TargetRow& row) const
{
  const Duration unheard = pass.input.now - row.lastSeenAt;
  if (unheard > m_settings.SilenceTimeout()) {
    return true;
  }
  const auto found = m_silences.find(row.latest.instance);
  if (found == m_silences.end()) {
    return false;
  }
  const Silence& silence = found->second;
  const bool mayWork = row.latest.draining && unheard <= m_settings.SuspectTimeout();
  const bool isSilentForLong =
    pass.input.now - silence.probedAt >= m_settings.pauseTolerance - kShortestProbing;
  return (silence.isUnanswered && isSilentForLong) || (silence.isRefused && !mayWork);
}

// A head that is cut off from control but still answers the entries keeps its group.
bool EngineGroups::IsHeadLost(const Pass& pass, const Group& group) const
{
  const InstanceId& head = group.members.front();
  const TargetRow* row = pass.Row(head);
  if (row == nullptr || pass.input.failing.contains(head)) {
    return row == nullptr || IsLost(pass, *row);
  }
  if (pass.input.answering.contains(head)) {
    return false;
  }
  // The head of an ending group is probed when its heartbeat is late, that of an open one is not.
  return group.phase == Phase::kEnding
           ? IsLost(pass, *row)
           : pass.input.now - row->lastSeenAt > m_settings.SilenceTimeout();
}

void EngineGroups::RecordSilence(TimePoint now, const GroupOrder& order, OrderOutcome outcome)
{
  const bool isProbe = order.kind == GroupOrderKind::kProbe;
  if (isProbe && outcome == OrderOutcome::kDone) {
    m_silences.erase(order.target);
    return;
  }
  if (outcome == OrderOutcome::kNoTarget) {
    m_unanswered[order.target] = now;
    m_silences.try_emplace(order.target, Silence{ order.givenAt, {}, false, false })
      .first->second.isRefused = true;
    return;
  }
  if (!isProbe) {
    return;
  }
  m_unanswered[order.target] = now;
  const auto silence = m_silences.find(order.target);
  if (silence != m_silences.end() && silence->second.probedAgainAt) {
    const bool isSecond = order.givenAt >= *silence->second.probedAgainAt;
    silence->second.isUnanswered = silence->second.isUnanswered || isSecond;
  }
}

void EngineGroups::ProbeSilentTargets(Pass& pass)
{
  std::erase_if(m_silences, [&](const auto& entry) {
    const TargetRow* row = pass.Row(entry.first);
    return row == nullptr || row->lastSeenAt > entry.second.probedAt;
  });
  for (auto& [target, silence] : m_silences) {
    const bool isDue = pass.input.now - silence.probedAt >= kSecondProbeDelay;
    if (isDue && !silence.probedAgainAt && !silence.isRefused) {
      silence.probedAgainAt = pass.input.now;
      SendQuery(pass, target, GroupOrderKind::kProbe);
    }
  }
}

// A stalled head waits for a member. Missing heartbeats would show which one only after 1.8 s, but
// a live member answers a probe within milliseconds.
void EngineGroups::ProbeMembers(Pass& pass, Group& group)
{
  for (const InstanceId& member : group.members) {
    const TargetRow* row = pass.Row(member);
    if (row == nullptr || pass.input.now - row->lastSeenAt <= kProbeSilence) {
      continue;
    }
    const std::size_t before = pass.orders.size();
    Order(pass, group, member, GroupOrderKind::kProbe);
    if (pass.orders.size() > before) {
      m_silences.try_emplace(member, Silence{ pass.input.now, {}, false, false });
    }
  }
}

} // namespace gooseberrysail
