#include "control/engine_groups_pass.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;
using impl::Reports;
using wire::MemberState;

/// A head opens some 0.3 s after the order; by then its heartbeat tells.
constexpr Duration kOpenSlack = 1s;
/// Beside the time that a head stands still: the order's way and the head's own timer.
constexpr Duration kStandstillSlack = 400ms;

} // namespace

// The head may go on serving until it says otherwise; a member that joined another group meanwhile
// would work for two.
void EngineGroups::AdvanceEnding(Pass& pass, Group& group)
{
  if (const char* evidence = ReleasedBy(pass, group)) {
    ReportReleased(pass, group, evidence);
    pass.dropped.push_back(group.Key());
    return;
  }
  const InstanceId& head = group.members.front();
  const TargetRow* row = pass.Row(head);
  const bool isOver =
    row != nullptr && (m_verifier.IsReplaced(*row) || IsReborn(pass, group, head));
  if (isOver) {
    group.headIsDead = true;
    return;
  }
  // A head that has left its group obeys no order of it any more.
  const bool isClosed =
    group.saidClosed || (group.closeBegun && Reports(row, group.name, group.epoch) &&
                         row->latest.membership.state == MemberState::Ready);
  const bool mustLeave = isClosed && MayOpenLate(pass.input.now, group);
  Order(pass, group, head, mustLeave ? GroupOrderKind::kLeave : GroupOrderKind::kClose);
  AskHead(pass, group);
  const bool silent = row == nullptr || row->latest.left || IsSilent(pass, *row);
  if (!silent) {
    group.headSilentAt.reset(); // It ends its work, for which it needs its members.
    return;
  }
  if (!group.headSilentAt) {
    group.headSilentAt = pass.input.now;
    return; // Its group may go on at once with another head.
  }
  // The head can't be asked, and may serve on although neither control nor any entry reaches it:
  // a network fault can hide a target from all of them. Without its members it stands still, and is
  // broken in the end.
  for (const auto& [instance, member] : pass.input.targets.Rows()) {
    const bool isHeard = pass.input.now - member.lastSeenAt <= m_settings.Silence();
    const bool isMember = instance != head && Reports(&member, group.name, group.epoch);
    if (isHeard && isMember && !IsWantedBySuccessor(group, instance)) {
      Order(pass, group, instance, GroupOrderKind::kLeave);
    }
  }
  if (!group.leftAt) {
    group.leftAt = pass.input.now;
  }
  if (!group.incompleteAt && LacksMember(pass, group)) {
    group.incompleteAt = pass.input.now;
  }
  if (IsOutOfReach(pass, group)) {
    ReportReleased(pass, group, "none: forgotten until it is heard again");
    pass.outOfReach.push_back(group.Key());
  }
}

// That members were told to leave says nothing: a whole group that was cut off from control heard
// none of it and served on, and after the time in which a head without a member breaks its members
// were given to other groups. A member must have left, joined another group, or be dead.
bool EngineGroups::LacksMember(const Pass& pass, const Group& group) const
{
  const auto isLost = [&](const InstanceId& member) {
    const TargetRow* row = pass.Row(member);
    if (row == nullptr) {
      return false;
    }
    const bool isDead = m_verifier.IsReplaced(*row) || IsReborn(pass, group, member);
    const bool isElsewhere = !Reports(row, group.name, group.epoch) && IsKnown(pass, *row);
    return isDead || isElsewhere;
  };
  return std::any_of(group.members.begin() + 1, group.members.end(), isLost) ||
         std::ranges::any_of(group.successors, isLost);
}

bool EngineGroups::IsOutOfReach(const Pass& pass, const Group& group) const
{
  return group.leftAt && !group.incompleteAt &&
         pass.input.now - *group.leftAt > m_settings.standstill + kStandstillSlack;
}

// An order to open that got no answer, or one of an earlier leader, may be carried out after the
// order to close; and a head takes some time to open. Closed once was taken for closed for good:
// the head was joined to another group while callers could reach it in this one.
bool EngineGroups::MayOpenLate(TimePoint now, const Group& group)
{
  const bool isOpening = group.openedAt && now - *group.openedAt < kOpenSlack;
  return group.wasAdopted || group.opensUnanswered > 0 || isOpening;
}

// A word that names another group or none may be older than this group; then the head is open
// still, and its answer is waited for.
void EngineGroups::AskHead(Pass& pass, Group& group)
{
  const TargetRow* head = pass.Row(group.members.front());
  const bool isInDoubt = head != nullptr && !Reports(head, group.name, group.epoch);
  if (!isInDoubt || pass.input.now - group.since < m_reportLag ||
      pass.input.now - group.askedHeadAt < TargetVerifier::kAskAgain) {
    return;
  }
  group.askedHeadAt = pass.input.now;
  Ask(pass, head->latest.instance, GroupOrderKind::kProbe);
}

const char* EngineGroups::ReleasedBy(const Pass& pass, const Group& group) const
{
  if (group.headIsDead) {
    return "its head is dead";
  }
  if (group.headIsClosed) {
    return "its head said that it takes no work";
  }
  const bool stoodStill = group.incompleteAt && pass.input.now - *group.incompleteAt >
                                                  m_settings.standstill + kStandstillSlack;
  if (stoodStill) {
    return "its head stood still without a member";
  }
  const TargetRow* head = pass.Row(group.members.front());
  if (head == nullptr) {
    return nullptr;
  }
  const GroupMembership& membership = head->latest.membership;
  if (!Reports(head, group.name, group.epoch)) {
    const GroupMembership former{ group.name, group.epoch, 0, MemberState::None };
    const bool hasLeft = m_verifier.DeniesGroup(*head, former, group.since + m_reportLag);
    return hasLeft ? "its head said that it has left" : nullptr;
  }
  // What the head said before it was told to close may be overtaken by a late order to open. Once
  // it took the order to close, ready means closed.
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
  End(pass, group, reason);
}

void EngineGroups::ReportEnded(Pass& pass, const Group& group, const char* reason)
{
  pass.events.push_back(
    MakeEvent(EventNumber::kTargetGroupEnded, { { "group", group.name }, { "reason", reason } }));
}

void EngineGroups::NoteHeadsAnswer(TimePoint now,
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
  group.closeBegun = group.closeBegun || isBegun;
  // A close that is told again may find the head closing: only what it says later is certain then.
  group.saidClosed = group.saidClosed || (isDone && !group.closeBegun);
  group.headIsClosed = group.headIsClosed || (group.saidClosed && !MayOpenLate(now, group));
}

} // namespace gooseberrysail
