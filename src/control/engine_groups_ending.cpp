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
  if (HasStoodStill(pass, group) && !IsHeardMember(pass, group, row)) {
    ReportReleased(pass, group, "none: its head was stalled, and may open late");
    pass.unreachable.push_back(group.Key());
    return;
  }
  if (IsMemberOfSuccessor(group, head)) {
    return; // It leaves this epoch for the next one.
  }
  const bool isOver =
    row != nullptr && (m_verifier.IsReplaced(*row) || HasRestarted(pass, group, head));
  if (isOver) {
    group.headIsDead = true;
    return;
  }
  OrderHeadOut(pass, group);
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
    if (instance != head && IsHeardMember(pass, group, &member) &&
        !IsMemberOfSuccessor(group, instance)) {
      OrderOut(pass, group, instance);
    }
  }
  if (!group.leftAt) {
    group.leftAt = pass.input.now;
  }
  if (!LacksMember(pass, group)) {
    group.incompleteAt.reset(); // A member that joins again ends the stall.
  } else if (!group.incompleteAt) {
    group.incompleteAt = pass.input.now;
  }
  if (IsUnreachable(pass, group)) {
    ReportReleased(pass, group, "none: unreachable, dropped until a member reports it");
    pass.unreachable.push_back(group.Key());
  }
}

// A head that has left its group rejects all later orders for it, such as a delayed order to open.
// A delayed order to join would take it back into the group, unless it has joined a later epoch.
void EngineGroups::OrderHeadOut(Pass& pass, Group& group)
{
  const InstanceId& head = group.members.front();
  const TargetRow* row = pass.Row(head);
  const bool isMember = Reports(row, group.name, group.epoch);
  const bool reportsNoWork = isMember && (row->latest.membership.state == MemberState::Ready ||
                                          row->latest.membership.state == MemberState::Joining);
  const bool isClosed = group.reportedClosed || (group.closeBegun && reportsNoWork);
  const bool isOut = row != nullptr && !isMember && row->latest.membership.group.empty();
  if (MayReturn(pass, group) && (isClosed || isOut || group.headIsClosed)) {
    OrderFence(pass, group, head);
    return;
  }
  const bool mustLeave = isClosed && MayOpenLate(pass.input.now, group);
  Order(pass, group, head, mustLeave ? GroupOrderKind::kLeave : GroupOrderKind::kClose);
}

void EngineGroups::OrderOut(Pass& pass, Group& group, const InstanceId& member)
{
  if (MayRejoin(pass, group, member)) {
    OrderFence(pass, group, member);
  } else {
    Order(pass, group, member, GroupOrderKind::kLeave);
  }
}

// The fence is an epoch of the same group, so that the member doesn't work for two groups, whenever
// it carries out the order.
void EngineGroups::OrderFence(Pass& pass, Group& group, const InstanceId& member)
{
  if (!TakeDue(pass, group, member, GroupOrderKind::kJoin)) {
    return;
  }
  group.fence = FenceOf(pass, group);
  GroupOrder order = impl::MakeOrder(*pass.Row(member), GroupOrderKind::kJoin);
  order.group = group.name;
  order.epoch = group.fence;
  order.model = group.model;
  order.members = { member };
  pass.orders.push_back(std::move(order));
}

void EngineGroups::RecordFenceOutcome(const GroupOrder& order, OrderOutcome outcome)
{
  for (auto& [key, group] : m_groups) {
    const bool isFence = group.name == order.group && group.fence == order.epoch;
    if (isFence && outcome == OrderOutcome::kRefused) {
      group.refusedFence.insert(order.target);
    }
    const bool isOfHead = isFence && group.members.front() == order.target;
    group.headIsDead = group.headIsDead || (isOfHead && outcome == OrderOutcome::kReplaced);
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
    const bool hasMoved = !Reports(row, group.name, group.epoch) && IsConfirmed(pass, *row) &&
                          !MayRejoin(pass, group, member);
    return isDead || hasMoved || IsPast(group, row);
  };
  return std::any_of(group.members.begin() + 1, group.members.end(), isLost) ||
         std::ranges::any_of(group.successors, isLost);
}

bool EngineGroups::IsUnreachable(const Pass& pass, const Group& group) const
{
  return group.leftAt && !group.incompleteAt && !IsMemberHeard(pass, group) &&
         pass.input.now - *group.leftAt > m_settings.standstill + kStandstillSlack;
}

// Such a member is not cut off: it has not carried out its order to leave yet.
bool EngineGroups::IsMemberHeard(const Pass& pass, const Group& group) const
{
  return std::ranges::any_of(pass.input.targets.Rows(), [&](const auto& row) {
    return row.first != group.members.front() && !row.second.latest.left &&
           IsHeardMember(pass, group, &row.second);
  });
}

bool EngineGroups::IsHeardMember(const Pass& pass, const Group& group, const TargetRow* row) const
{
  return Reports(row, group.name, group.epoch) && !m_verifier.IsReplaced(*row) &&
         pass.input.now - row->lastSeenAt <= m_settings.SilenceTimeout();
}

// An order to open that got no answer, or one of an earlier leader, may be executed after the order
// to close, and a head takes some time to open. A head that was closed once can therefore open
// again; joined to another group it would still be reachable for callers in this one.
bool EngineGroups::MayOpenLate(TimePoint now, const Group& group)
{
  const bool isOpening = group.openedAt && now - *group.openedAt < kOpenSlack;
  return group.wasAdopted || group.opensUnanswered > 0 || isOpening;
}

// Each order without an answer may be executed once more. A target that leaves may join nothing,
// and one that refuses the fence knows a later epoch.
bool EngineGroups::MayRejoin(const Pass& pass, const Group& group, const InstanceId& member)
{
  const auto joins = group.joinsUnanswered.find(member);
  const bool isOrdered =
    group.wasAdopted || (joins != group.joinsUnanswered.end() && joins->second > 0);
  return isOrdered && !group.model.empty() && !group.refusedFence.contains(member) &&
         !impl::IsLeaving(pass.Row(member));
}

bool EngineGroups::MayReturn(const Pass& pass, const Group& group)
{
  return MayOpenLate(pass.input.now, group) && MayRejoin(pass, group, group.members.front());
}

// A target refuses orders to join epochs before one that it has joined.
bool EngineGroups::IsPast(const Group& group, const TargetRow* row)
{
  return row != nullptr && row->latest.membership.epoch > group.epoch &&
         !row->latest.membership.group.empty();
}

bool EngineGroups::HasStoodStill(const Pass& pass, const Group& group) const
{
  return group.incompleteAt &&
         pass.input.now - *group.incompleteAt > m_settings.standstill + kStandstillSlack;
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
  const TargetRow* head = pass.Row(group.members.front());
  if (IsPast(group, head)) {
    return "its head is in a later epoch";
  }
  if (MayReturn(pass, group)) {
    return nullptr;
  }
  if (group.headIsClosed) {
    return "its head reported that it takes no work";
  }
  if (HasStoodStill(pass, group) && !MayOpenLate(pass.input.now, group)) {
    return "its head was stalled without a member";
  }
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
