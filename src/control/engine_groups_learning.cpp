#include "control/engine_groups_pass.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

using impl::IsOpenState;
using impl::Reports;
using wire::MemberState;

} // namespace

// A target that reports a group that this leader does not keep was ordered by an earlier leader.
// Until the head of that group certainly takes no work, none of its members is free, also those
// whose head this process has not heard of: given to another group they would work for two.
void EngineGroups::Adopt(Pass& pass)
{
  for (const auto& [instance, row] : pass.input.targets.Rows()) {
    const GroupMembership& membership = row.latest.membership;
    const GroupKey key{ membership.group, membership.epoch };
    const bool isStandby = membership.group.starts_with(impl::kStandbyPrefix);
    if (membership.group.empty() || isStandby || IsOver(row)) {
      continue;
    }
    const auto [found, fresh] = m_groups.try_emplace(key);
    Group& group = found->second;
    if (fresh) {
      group = MakeAdopted(pass, row);
    }
    // One that went on under the next epoch keeps only its head.
    if (group.wasAdopted && group.successors.empty()) {
      group.members.resize(std::max<std::size_t>(group.members.size(), membership.rank + 1));
      group.members[membership.rank] = instance;
      group.lives[instance] = row.latest.born;
      group.model = group.model.empty() ? row.latest.loadedModel : group.model;
    }
  }
  std::erase_if(m_released, [&](const auto& released) {
    return std::ranges::none_of(pass.input.targets.Rows(), [&](const auto& row) {
      const GroupMembership& membership = row.second.latest.membership;
      return GroupKey{ membership.group, membership.epoch } == released.first;
    });
  });
}

// A group that nobody reached may serve on, and is taken up again with the first word of it; and a
// head that says, after it was closed, that it is open is closed once more.
bool EngineGroups::IsOver(const TargetRow& row) const
{
  const GroupMembership& membership = row.latest.membership;
  const auto released = m_released.find({ membership.group, membership.epoch });
  if (released == m_released.end()) {
    return false;
  }
  const bool isOpenHead = membership.rank == 0 && IsOpenState(membership.state);
  const bool isNews = row.lastSeenAt > released->second.at && !m_verifier.IsReplaced(row);
  return !isNews || (released->second.isCertain && !isOpenHead);
}

EngineGroups::Group EngineGroups::MakeAdopted(const Pass& pass, const TargetRow& row)
{
  Group group;
  group.name = row.latest.membership.group;
  group.epoch = row.latest.membership.epoch;
  group.service = row.latest.service;
  group.phase = Phase::kAdopted;
  group.since = pass.input.now;
  group.wasAdopted = true;
  group.members.resize(1);
  return group;
}

void EngineGroups::AdvanceAdopted(Pass& pass, Group& group)
{
  if (HasSuccessor(group)) {
    // Its members work for the next epoch; this head's callers would wait in vain.
    End(pass, group, "it went on with another head");
    return;
  }
  const TargetRow* head = pass.Row(group.members.front());
  const bool isHeard = Reports(head, group.name, group.epoch);
  if ((!isHeard || !IsKnown(pass, *head)) &&
      pass.input.now - *m_leadsSince < m_settings.LearnTime()) {
    return; // The former leader may have ordered what the head did not tell yet.
  }
  const bool isOpen = isHeard && head->latest.membership.state == MemberState::Open;
  const bool isForming = isHeard && (head->latest.membership.state == MemberState::Joining ||
                                     head->latest.membership.state == MemberState::Ready);
  pass.events.push_back(MakeEvent(EventNumber::kTargetGroupAdopted,
                                  { { "group", group.name },
                                    { "model", group.model },
                                    { "head", group.members.front().Get() },
                                    { "members", std::to_string(group.members.size()) } }));
  group.since = pass.input.now;
  if (isOpen) {
    group.phase = Phase::kOpen;
    return;
  }
  if (isForming && IsWhole(pass, group)) {
    group.phase = Phase::kJoining;
    return;
  }
  End(pass, group, "an earlier leader left it unfinished");
}

// The next life of a target has neither the weights that the former was told to load nor its pace,
// and an answer that the former owed will never come.
void EngineGroups::ForgetFormerLives(const Pass& pass)
{
  for (const auto& [instance, row] : pass.input.targets.Rows()) {
    const auto [known, fresh] = m_lives.try_emplace(instance, row.latest.born);
    if (known->second == row.latest.born) {
      continue;
    }
    known->second = row.latest.born;
    m_unanswered.erase(instance);
    m_staging.erase(instance);
    m_standbySince.erase(instance);
    m_slow.Forget(instance);
  }
}

// Two identities at one address: which of them is there decides whose groups are lost and who may
// join. And an earlier leader may have ordered what this one's latest word of a target does not
// tell yet: a target that was taken for free by such a word led an open group. An answer takes some
// milliseconds, and each target is asked once under a leader.
void EngineGroups::AskUnverified(Pass& pass)
{
  for (const auto& [former, present] : m_verifier.Update(pass.input.targets)) {
    pass.events.push_back(
      MakeEvent(EventNumber::kTargetReplaced,
                { { "target", former.instance.Get() }, { "by", present.Get() } }));
  }
  // A plain service takes the question for a request of a caller, and may run it.
  const auto isEngine = [&](const TargetRow& row) {
    return pass.EngineOf(row.latest.service) != nullptr;
  };
  const auto isDoubtful = [&](const TargetRow& row) {
    return IsOfThisTerm(pass.input.now) && isEngine(row) && !IsKnown(pass, row);
  };
  for (const InstanceId& target :
       m_verifier.TakeContested(pass.input.now, pass.input.targets, isEngine)) {
    Ask(pass, target, GroupOrderKind::kIdentify);
  }
  for (const InstanceId& target :
       m_verifier.TakeDoubtful(pass.input.now, pass.input.targets, isDoubtful)) {
    Ask(pass, target, GroupOrderKind::kProbe);
  }
}

// The answer to a question of a former term, or one so soon in this one that it may tell of before,
// agrees with an old word and with nothing that an earlier leader ordered since.
bool EngineGroups::IsOfThisTerm(TimePoint askedAt) const
{
  return m_leadsSince && askedAt >= *m_leadsSince + m_reportLag;
}

// What a target says of a group of this leader can't be older than this leader's orders.
bool EngineGroups::IsKnown(const Pass& pass, const TargetRow& row) const
{
  return row.latest.membership.epoch > FormerEpoch(pass) || m_verifier.Confirms(row);
}

// Orders name the target that they are for, and another one at its address says so. Reports don't
// tell whose they are.
void EngineGroups::NoteIdentity(const GroupOrder& order, OrderOutcome outcome)
{
  const TargetIncarnation life{ order.target, order.born };
  if (outcome == OrderOutcome::kReplaced) {
    m_verifier.OnReplaced(life);
    return;
  }
  const bool isAnswer = outcome == OrderOutcome::kBegun || outcome == OrderOutcome::kDone ||
                        outcome == OrderOutcome::kRefused;
  if (isAnswer && order.kind != GroupOrderKind::kProbe) {
    m_verifier.OnIdentified(order.givenAt, life);
  }
}

} // namespace gooseberrysail
