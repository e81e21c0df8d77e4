#include "control/engine_groups_pass.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;
using impl::Reports;
using wire::MemberState;

/// A head opens some 0.3 s after the order; after this its heartbeat reports the result.
constexpr Duration kOpenSlack = 1s;
/// Added to the time that a head is stalled, for the order's transit and the head's own timer.
constexpr Duration kStandstillSlack = 400ms;

} // namespace

// The head may serve until it reports otherwise. A member that joined another group before that
// would work for two groups.
void EngineGroups::AdvanceEnding(Pass& pass, Group& group)
{
  if (const char* evidence = ReleaseEvidence(pass, group)) {
    ReportReleased(pass, group, evidence);
    pass.dropped.push_back(group.Key());
    return;
  }
  const InstanceId& head = group.members.front();
  const TargetRow* row = pass.Row(head);
  const bool isOver =
    row != nullptr && (m_verifier.IsReplaced(*row) || HasRestarted(pass, group, head));
  if (isOver) {
    group.headIsDead = true;
    return;
  }
  // A head that has left its group rejects all later orders for it, such as a delayed order to
  // open.
  const bool reportsNoWork =
    Reports(row, group.name, group.epoch) && (row->latest.membership.state == MemberState::Ready ||
                                              row->latest.membership.state == MemberState::Joining);
  const bool isClosed = group.reportedClosed || (group.closeBegun && reportsNoWork);
  const bool mustLeave = isClosed && MayOpenLate(pass.input.now, group);
  Order(pass, group, head, mustLeave ? GroupOrderKind::kLeave : GroupOrderKind::kClose);
  ProbeHead(pass, group);
  const bool isFailing = pass.input.failing.contains(head);
  const bool isOverdue = row != nullptr && !pass.input.answering.contains(head) &&
                         pass.input.now - row->lastSeenAt > m_settings.heartbeat;
  if (isFailing || isOverdue) {
    ProbeMembers(pass, group);
  }
  const bool isLost = row == nullptr || row->latest.left || IsHeadLost(pass, group);
  if (!isLost) {
    group.headSilentAt.reset(); // It finishes its work, for which it needs its members.
    return;
  }
  if (!group.headSilentAt) {
    group.headSilentAt = pass.input.now;
    return; // The group may continue at once with another head.
  }
  // The head is unreachable but may still serve: a network fault can separate it from control and
  // from all entries. Without its members it stalls and eventually becomes broken.
  for (const auto& [instance, member] : pass.input.targets.Rows()) {
    const bool isHeard = pass.input.now - member.lastSeenAt <= m_settings.SilenceTimeout();
    const bool isMember = instance != head && Reports(&member, group.name, group.epoch);
    if (isHeard && isMember && !IsMemberOfSuccessor(group, instance)) {
      Order(pass, group, instance, GroupOrderKind::kLeave);
    }
  }
  if (!group.leftAt) {
    group.leftAt = pass.input.now;
  }
  if (!group.incompleteAt && LacksMember(pass, group)) {
    group.incompleteAt = pass.input.now;
  }
  if (IsUnreachable(pass, group)) {
    ReportReleased(pass, group, "none: unreachable, dropped until a member reports it");
    pass.unreachable.push_back(group.Key());
  }
}

// An order to leave does not show that the member left: a group that is cut off from control as a
// whole receives none of the orders and continues to serve, so that its members must not be
// assigned to other groups after the time in which a head without a member breaks. A member must
// have left, joined another group or be dead.
bool EngineGroups::LacksMember(const Pass& pass, const Group& group) const
{
  const auto isLost = [&](const InstanceId& member) {
    const TargetRow* row = pass.Row(member);
    if (row == nullptr) {
      return false;
    }
    const bool isDead = m_verifier.IsReplaced(*row) || HasRestarted(pass, group, member);
    const bool hasMoved = !Reports(row, group.name, group.epoch) && IsConfirmed(pass, *row);
    return isDead || hasMoved;
  };
  return std::any_of(group.members.begin() + 1, group.members.end(), isLost) ||
         std::ranges::any_of(group.successors, isLost);
}

bool EngineGroups::IsUnreachable(const Pass& pass, const Group& group) const
{
  return group.leftAt && !group.incompleteAt &&
         pass.input.now - *group.leftAt > m_settings.standstill + kStandstillSlack;
}

// An order to open that got no answer, or one of an earlier leader, may be executed after the order
// to close, and a head takes some time to open. A head that was closed once can therefore open
// again; joined to another group it would still be reachable for callers in this one.
bool EngineGroups::MayOpenLate(TimePoint now, const Group& group)
{
  const bool isOpening = group.openedAt && now - *group.openedAt < kOpenSlack;
  return group.wasAdopted || group.opensUnanswered > 0 || isOpening;
}

// A report that names another group or none may be older than this group, in which case the head is
// still open. Only the answer to a probe decides.
void EngineGroups::ProbeHead(Pass& pass, Group& group)
{
  const TargetRow* head = pass.Row(group.members.front());
  const bool isInDoubt = head != nullptr && !Reports(head, group.name, group.epoch);
  if (!isInDoubt || pass.input.now - group.since < m_reportLag ||
      pass.input.now - group.headProbedAt < TargetVerifier::kMinQueryInterval) {
    return;
  }
  group.headProbedAt = pass.input.now;
  SendQuery(pass, head->latest.instance, GroupOrderKind::kProbe);
}

const char* EngineGroups::ReleaseEvidence(const Pass& pass, const Group& group) const
{
  if (group.headIsDead) {
    return "its head is dead";
  }
  if (group.headIsClosed) {
    return "its head reported that it takes no work";
  }
  const bool stoodStill = group.incompleteAt && pass.input.now - *group.incompleteAt >
                                                  m_settings.standstill + kStandstillSlack;
  if (stoodStill) {
    return "its head was stalled without a member";
  }
  const TargetRow* head = pass.Row(group.members.front());
  if (head == nullptr) {
    return nullptr;
  }
  const GroupMembership& membership = head->latest.membership;
  if (!Reports(head, group.name, group.epoch)) {
    const GroupMembership former{ group.name, group.epoch, 0, MemberState::None };
    const bool hasLeft = m_verifier.DeniesGroup(*head, former, group.since + m_reportLag);
    return hasLeft ? "its head reported that it has left" : nullptr;
  }
  // A late order to open may supersede what the head reported before it was ordered to close. Once
  // it accepted the order to close, the state Ready means closed.
  const bool isClosed = group.closeBegun && !MayOpenLate(pass.input.now, group) &&
                        membership.state == MemberState::Ready;
  if (head->lastSeenAt <= group.since || head->latest.left) {
    return nullptr;
  }
  if (membership.state == MemberState::Broken) {
    return "its head is broken";
  }
  return isClosed ? "its head is closed" : nullptr;
}

void EngineGroups::ReportReleased(Pass& pass, const Group& group, const char* evidence)
{
  pass.events.push_back(MakeEvent(EventNumber::kTargetGroupReleased,
                                  { { "group", group.name },
                                    { "epoch", std::to_string(group.epoch.Get()) },
                                    { "head", group.members.front().Get() },
                                    { "evidence", evidence } }));
}

void EngineGroups::End(Pass& pass, Group& group, const char* reason)
{
  group.phase = Phase::kEnding;
  group.since = pass.input.now;
  group.orderedAt.clear();
  const TargetRow* head = pass.Row(group.members.front());
  const bool broken =
    Reports(head, group.name, group.epoch) && head->latest.membership.state == MemberState::Broken;
  group.headIsClosed = broken;
  ReportEnded(pass, group, reason);
}

void EngineGroups::EndLost(Pass& pass, Group& group, const char* reason)
{
  m_lostGroupAt = pass.input.now;
  m_moves[group.service].OnGroupLost(pass.input.now, group.model);
  End(pass, group, reason);
}

void EngineGroups::ReportEnded(Pass& pass, const Group& group, const char* reason)
{
  pass.events.push_back(
    MakeEvent(EventNumber::kTargetGroupEnded, { { "group", group.name }, { "reason", reason } }));
}

void EngineGroups::RecordHeadAnswer(TimePoint now,
                                    Group& group,
                                    GroupOrderKind kind,
                                    OrderOutcome outcome)
{
  group.headIsDead = group.headIsDead || outcome == OrderOutcome::kReplaced;
  const bool isDone = outcome == OrderOutcome::kDone;
  const bool isBegun = outcome == OrderOutcome::kBegun;
  if (kind == GroupOrderKind::kLeave) {
    group.headIsClosed = group.headIsClosed || isDone || isBegun;
    return;
  }
  if (kind != GroupOrderKind::kClose) {
    return;
  }
  group.closesUnanswered -= outcome == OrderOutcome::kUnknown ? 0 : 1;
  // An order to close may find the head closing because of an earlier one, whose answer was lost or
  // went to another leader; then only a later report is conclusive.
  const bool mayBeClosing = group.closeBegun || group.closesUnanswered > 0 || group.wasAdopted;
  group.reportedClosed = group.reportedClosed || (isDone && !mayBeClosing);
  group.closeBegun = group.closeBegun || isBegun || (isDone && mayBeClosing);
  group.headIsClosed = group.headIsClosed || (group.reportedClosed && !MayOpenLate(now, group));
}

} // namespace gooseberrysail
