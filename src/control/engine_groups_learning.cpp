#include "control/engine_groups_pass.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

using impl::IsOpenState;
using impl::Reports;
using wire::MemberState;

} // namespace

// A reported group that this leader does not track was formed by an earlier leader. Until its head
// certainly takes no work none of its members is free, even if the head has not reported to this
// process: assigned to another group they would work for two.
void EngineGroups::Adopt(Pass& pass)
{
  for (const auto& [instance, row] : pass.input.targets.Rows()) {
    const GroupMembership& membership = row.latest.membership;
    const GroupKey key{ membership.group, membership.epoch };
    const bool isAlone =
      membership.group.starts_with(impl::kStandbyPrefix) || impl::IsFence(membership);
    if (membership.group.empty() || isAlone || HasReleasedMembership(pass, row)) {
      continue;
    }
    const auto [found, fresh] = m_groups.try_emplace(key);
    Group& group = found->second;
    if (fresh) {
      group = MakeAdopted(pass, row);
    }
    // A group that continued under the next epoch has only its head.
    if (group.wasAdopted && group.successors.empty()) {
      group.members.resize(std::max<std::size_t>(group.members.size(), membership.rank + 1));
      group.members[membership.rank] = instance;
      group.incarnations[instance] = row.latest.born;
      group.model = group.model.empty() ? row.latest.loadedModel : group.model;
    }
  }
  // That a group of this leader was given up without evidence must be known when a member reports
  // it again, however long that takes.
  std::erase_if(m_released, [&](const auto& released) {
    const bool isOwnDoubt = !released.second.isCertain && IsOwnEpoch(pass, released.first.epoch);
    return !isOwnDoubt && std::ranges::none_of(pass.input.targets.Rows(), [&](const auto& row) {
      const GroupMembership& membership = row.second.latest.membership;
      return GroupKey{ membership.group, membership.epoch } == released.first;
    });
  });
}

// A group of this leader that is neither tracked nor in doubt was dropped, so that its head takes
// no work: a member that reports it has carried out an order late.
bool EngineGroups::IsCertainlyReleased(const Pass& pass, const GroupMembership& membership) const
{
  const auto released = m_released.find({ membership.group, membership.epoch });
  const bool isKnown = released != m_released.end();
  return isKnown ? released->second.isCertain
                 : IsOwnEpoch(pass, membership.epoch) && !IsTracked(membership);
}

// What a target says of itself counts: it may work for a group that this leader has forgotten.
bool EngineGroups::IsInNoGroup(const Pass& pass, const TargetRow& row) const
{
  const GroupMembership& membership = row.latest.membership;
  if (impl::IsFence(membership)) {
    return membership.state == MemberState::Ready; // Its weights are known then.
  }
  return membership.group.empty() || membership.group.starts_with(impl::kStandbyPrefix) ||
         (!IsTracked(membership) && IsCertainlyReleased(pass, membership));
}

// An unreachable group may still serve; it is adopted again with the first report of it. A head
// that reports itself open after it was released is adopted too, so that it is closed again.
bool EngineGroups::HasReleasedMembership(const Pass& pass, const TargetRow& row) const
{
  const GroupMembership& membership = row.latest.membership;
  const auto released = m_released.find({ membership.group, membership.epoch });
  const bool isOpenHead = membership.rank == 0 && IsOpenState(membership.state);
  const bool isCertain = IsCertainlyReleased(pass, membership);
  if (released == m_released.end()) {
    return isCertain && !isOpenHead;
  }
  const bool isNewer = row.lastSeenAt > released->second.at && !m_verifier.IsReplaced(row);
  return !isNewer || (isCertain && !isOpenHead);
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
    // Its members are in the next epoch, so that requests to this head would not complete.
    End(pass, group, "it continued with another head");
    return;
  }
  const TargetRow* head = pass.Row(group.members.front());
  const bool isHeard = Reports(head, group.name, group.epoch);
  const bool isOpen = isHeard && head->latest.membership.state == MemberState::Open;
  group.reportsOpen = isOpen && !HasFailed(pass, head);
  if ((!isHeard || !IsConfirmed(pass, *head)) &&
      pass.input.now - *m_leaderSince < m_settings.DiscoveryTime()) {
    return; // An earlier leader may have sent orders whose effect the head has not reported yet.
  }
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
  if (isForming && MayRenew(pass, group)) {
    Renew(pass, group);
    return;
  }
  End(pass, group, "incomplete group of an earlier leader");
}

bool EngineGroups::MayRenew(const Pass& pass, const Group& group) const
{
  return IsComplete(pass, group) &&
         std::ranges::all_of(group.members, [&](const InstanceId& member) {
           const TargetRow* row = pass.Row(member);
           return !HasFailed(pass, row) && IsConfirmed(pass, *row) &&
                  !m_verifier.IsContested(member) && !IsInAnother(group, member);
         });
}

// Orders of the earlier leader may still take members into groups of higher epochs. In an epoch of
// this leader they refuse them.
void EngineGroups::Renew(Pass& pass, Group& group)
{
  Group next = MakeGroup(pass, group.service, { group.model, group.members, 0 });
  next.name = group.name;
  End(pass, group, "it continues in an epoch of this leader");
  StartSuccessor(pass, group, std::move(next));
}

// A restarted target has neither the weights that its former incarnation was ordered to load nor
// its pace, and orders to the former incarnation are never answered.
void EngineGroups::ForgetFormerIncarnations(const Pass& pass)
{
  for (const auto& [instance, row] : pass.input.targets.Rows()) {
    const auto [known, fresh] = m_incarnations.try_emplace(instance, row.latest.born);
    if (known->second == row.latest.born) {
      continue;
    }
    known->second = row.latest.born;
    m_unanswered.erase(instance);
    m_silences.erase(instance);
    m_staging.erase(instance);
    m_standbySince.erase(instance);
    m_slow.Forget(instance);
  }
}

// Queries targets in two cases. With two identities at one address, the current one decides whose
// groups are lost and which target may join. And an earlier leader may have sent orders that the
// latest report of a target does not reflect yet: considered free by such a report, the head of an
// open group would be joined to another. An answer takes some milliseconds, and a target that was
// confirmed under this leader is not queried again.
void EngineGroups::QueryUnverifiedTargets(Pass& pass)
{
  for (const auto& [former, present] : m_verifier.Update(pass.input.targets)) {
    pass.events.push_back(
      MakeEvent(EventNumber::kTargetReplaced,
                { { "target", former.instance.Get() }, { "by", present.Get() } }));
  }
  // A plain service would treat the query as a caller's request and might run it.
  const auto isEngine = [&](const TargetRow& row) {
    return pass.EngineOf(row.latest.service) != nullptr;
  };
  const auto isUnconfirmed = [&](const TargetRow& row) {
    return IsOfThisTerm(pass.input.now) && isEngine(row) && !IsConfirmed(pass, row);
  };
  for (const InstanceId& target :
       m_verifier.TakeContested(pass.input.now, pass.input.targets, isEngine)) {
    SendQuery(pass, target, GroupOrderKind::kIdentify);
  }
  for (const InstanceId& target :
       m_verifier.TakeUnconfirmed(pass.input.now, pass.input.targets, isUnconfirmed)) {
    SendQuery(pass, target, GroupOrderKind::kProbe);
  }
}

// An answer to a query of an earlier term, or to one so early in this term that it may describe an
// older state, can match an outdated report although an earlier leader has sent orders since.
bool EngineGroups::IsOfThisTerm(TimePoint askedAt) const
{
  return m_leaderSince && askedAt >= *m_leaderSince + m_reportLag;
}

// A report of a group formed by this leader can't be older than the leader's own orders.
bool EngineGroups::IsConfirmed(const Pass& pass, const TargetRow& row) const
{
  return row.latest.membership.epoch > FormerEpoch(pass) || m_verifier.Confirms(row);
}

// Orders carry the identity of their target, and another target at the address rejects them. The
// answer to a probe does not contain the identity of the sender.
void EngineGroups::RecordIdentity(const GroupOrder& order, OrderOutcome outcome)
{
  const TargetIncarnation incarnation{ order.target, order.born };
  if (outcome == OrderOutcome::kReplaced) {
    m_verifier.OnReplaced(incarnation);
    return;
  }
  const bool isAnswer = outcome == OrderOutcome::kBegun || outcome == OrderOutcome::kDone ||
                        outcome == OrderOutcome::kRefused;
  if (isAnswer && order.kind != GroupOrderKind::kProbe) {
    m_verifier.OnIdentified(order.givenAt, incarnation);
  }
}

} // namespace gooseberrysail
