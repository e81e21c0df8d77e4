#include "gooseberrysail/control/engine_groups.hpp"

#include "control/engine_groups_pass.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;
using impl::FindModel;
using impl::IsLeaving;
using impl::IsOpenState;
using impl::Reports;
using wire::MemberState;

/// Orders take effect within some 100 ms and targets report changes at once; an order without
/// effect is repeated after this.
constexpr Duration kOrderRetry = 1500ms;
/// Timeout of the gathering phase. Streams last some 2 s and an ending group accepts no new ones,
/// but a group whose head failed meanwhile would block the other members.
constexpr Duration kGatherTimeout = 4s;
/// Time allowed for joining in addition to the load.
constexpr Duration kJoinSlack = 10s;

} // namespace

const char* ToString(GroupOrderKind kind) noexcept
{
  switch (kind) {
    case GroupOrderKind::kJoin:
      return "join";
    case GroupOrderKind::kOpen:
      return "open";
    case GroupOrderKind::kClose:
      return "close";
    case GroupOrderKind::kLeave:
      return "leave";
    case GroupOrderKind::kStage:
      return "stage";
    case GroupOrderKind::kProbe:
      return "probe";
    case GroupOrderKind::kIdentify:
      return "identify";
  }
  return "unknown";
}

EngineGroups::EngineGroups(EngineGroupsSettings settings)
  : m_settings(settings)
{
}

void EngineGroups::OnLeaderStart()
{
  m_leaderSince.reset();
  m_groups.clear();
  m_released.clear();
  m_loads.clear();
  m_staging.clear();
  m_unanswered.clear();
  m_silences.clear();
  m_standbySince.clear();
  m_shortageReportedAt.clear();
  m_demandSince.reset();
  m_moves.clear();
  m_slow.Clear();
  m_verifier.Clear();
  m_paceChanges.clear();
  m_formed = 0;
}

void EngineGroups::Tick(const GroupsInput& input,
                        std::vector<GroupOrder>& orders,
                        std::vector<EventOut>& events)
{
  if (!m_leaderSince) {
    m_leaderSince = input.now;
  }
  m_reportLag = Duration::zero();
  for (const ServiceDefinition& service : input.document.services) {
    m_reportLag = std::max(m_reportLag, service.engine ? service.engine->reportLag : Duration());
  }
  Pass pass{ input, orders, events, {}, {} };
  Reconcile(pass);
  for (GroupOrder& order : orders) {
    order.givenAt = input.now;
  }
}

void EngineGroups::Reconcile(Pass& pass)
{
  ForgetFormerIncarnations(pass);
  QueryUnverifiedTargets(pass);
  ReportPaceChanges(pass);
  ProbeSlowTargets(pass);
  ProbeSilentTargets(pass);
  Adopt(pass);
  for (auto& [key, group] : m_groups) {
    Advance(pass, group);
  }
  DropEnded(pass);
  // Groups that ended in this tick free their members at once.
  for (auto& [key, group] : m_groups) {
    if (group.phase == Phase::kGathering) {
      AdvanceGathering(pass, group);
    }
  }
  DropEnded(pass);
  ForgetRemovedTargets(pass);
  if (!IsSettled(pass)) {
    return;
  }
  for (const ServiceDefinition& service : pass.input.document.services) {
    if (service.engine) {
      FormGroups(pass, service);
    }
  }
}

void EngineGroups::ForgetRemovedTargets(const Pass& pass)
{
  const auto isGone = [&](const auto& row) { return pass.Row(row.first) == nullptr; };
  std::erase_if(m_unanswered, isGone);
  std::erase_if(m_silences, isGone);
  std::erase_if(m_standbySince, isGone);
  std::erase_if(m_incarnations, isGone);
}

void EngineGroups::DropEnded(Pass& pass)
{
  for (const GroupKey& key : pass.dropped) {
    m_released[key] = { pass.input.now, true };
    m_groups.erase(key);
  }
  for (const GroupKey& key : pass.unreachable) {
    m_released[key] = { pass.input.now, false };
    m_groups.erase(key);
  }
  pass.dropped.clear();
  pass.unreachable.clear();
}

void EngineGroups::Advance(Pass& pass, Group& group)
{
  switch (group.phase) {
    case Phase::kAdopted:
      AdvanceAdopted(pass, group);
      break;
    case Phase::kGathering:
      break;
    case Phase::kJoining:
      AdvanceJoining(pass, group);
      break;
    case Phase::kOpening:
      AdvanceOpening(pass, group);
      break;
    case Phase::kOpen:
      AdvanceOpen(pass, group);
      break;
    case Phase::kEnding:
      AdvanceEnding(pass, group);
      break;
  }
}

bool EngineGroups::IsComplete(const Pass& pass, const Group& group)
{
  const bool allKnown =
    std::ranges::none_of(group.members, [](const InstanceId& member) { return member.IsNone(); });
  const GroupModel* model = ModelOf(pass, group);
  return allKnown && model != nullptr && model->size == group.members.size();
}

/// Null when the document no longer has the service or the model.
const GroupModel* EngineGroups::ModelOf(const Pass& pass,
                                        const std::string& service,
                                        const std::string& model)
{
  const EngineSpec* engine = pass.EngineOf(service);
  return engine == nullptr ? nullptr : FindModel(*engine, model);
}

const GroupModel* EngineGroups::ModelOf(const Pass& pass, const Group& group)
{
  return ModelOf(pass, group.service, group.model);
}

void EngineGroups::AdvanceGathering(Pass& pass, Group& group)
{
  if (HasFailedMember(pass, group) || pass.input.now - group.since > kGatherTimeout) {
    // No member has received an order of this group yet.
    ReportEnded(pass, group, "a member failed or was not free in time");
    pass.dropped.push_back(group.Key());
    return;
  }
  const bool isShared = std::ranges::any_of(m_groups, [&](const auto& row) {
    return row.first != group.Key() && SharesMember(row.second, group);
  });
  if (!isShared) {
    group.phase = Phase::kJoining;
    group.since = pass.input.now;
    AdvanceJoining(pass, group);
  }
}

bool EngineGroups::SharesMember(const Group& left, const Group& right)
{
  return std::ranges::any_of(left.members, [&](const InstanceId& member) {
    return !member.IsNone() && std::ranges::find(right.members, member) != right.members.end();
  });
}

void EngineGroups::AdvanceJoining(Pass& pass, Group& group)
{
  const GroupModel* model = ModelOf(pass, group);
  const Duration timeout = kJoinSlack + (model == nullptr ? Duration::zero() : 2 * model->loadTime);
  if (HasFailedMember(pass, group) || pass.input.now - group.since > timeout) {
    if (group.wasAdopted) {
      End(pass, group, "a member failed");
      return;
    }
    // It was never ordered to open: its members are free at once.
    ReportEnded(pass, group, "a member failed");
    pass.dropped.push_back(group.Key());
    return;
  }
  bool allReady = true;
  for (const InstanceId& member : group.members) {
    const TargetRow* row = pass.Row(member);
    const bool reports = Reports(row, group.name, group.epoch);
    const bool ready = reports && row->latest.membership.state == MemberState::Ready;
    allReady = allReady && ready;
    if (!reports) {
      Order(pass, group, member, GroupOrderKind::kJoin);
    }
  }
  if (allReady) {
    group.phase = Phase::kOpening;
    group.since = pass.input.now;
    group.orderedAt.clear();
    AdvanceOpening(pass, group);
  }
}

void EngineGroups::AdvanceOpening(Pass& pass, Group& group)
{
  const InstanceId& head = group.members.front();
  const TargetRow* row = pass.Row(head);
  if (Reports(row, group.name, group.epoch) && row->latest.membership.state == MemberState::Open) {
    group.phase = Phase::kOpen;
    group.since = pass.input.now;
    pass.events.push_back(
      MakeEvent(EventNumber::kTargetGroupOpen,
                { { "group", group.name }, { "model", group.model }, { "head", head.Get() } }));
    return;
  }
  if (HasFailedMember(pass, group)) {
    End(pass, group, "a member failed before the group opened");
    return;
  }
  Order(pass, group, head, GroupOrderKind::kOpen);
}

void EngineGroups::AdvanceOpen(Pass& pass, Group& group)
{
  if (HasSuccessor(group)) {
    // Only possible for an adopted group: its members, which reported later, are in the next epoch.
    End(pass, group, "it continued with another head");
    return;
  }
  const TargetRow* head = pass.Row(group.members.front());
  if (!Reports(head, group.name, group.epoch) || !IsOpenState(head->latest.membership.state)) {
    const bool isUnconfirmed = head != nullptr && !IsConfirmed(pass, *head) && !IsLost(pass, *head);
    if (!isUnconfirmed) {
      EndLost(pass, group, "its head no longer serves");
    }
    return;
  }
  const InstanceId& instance = group.members.front();
  const bool isFailing = pass.input.failing.contains(instance);
  for (const InstanceId& member : group.members) {
    const TargetRow* row = pass.Row(member);
    if (member.IsNone()) {
      continue; // Has not reported since this process started.
    }
    if (IsLeaving(row)) {
      End(pass, group, "a member is leaving");
      return;
    }
    if (HasRestarted(pass, group, member) || m_verifier.IsReplaced(*row)) {
      group.cut = true;
      EndLost(pass, group, "a member was restarted");
      return;
    }
    if (!Reports(row, group.name, group.epoch)) {
      group.cut = true;
      EndLost(pass, group, "a member is no longer in the group");
      return;
    }
    if (isFailing && IsLost(pass, *row)) {
      // The head waits for a dead member: its work can't complete there.
      group.cut = true;
      EndLost(pass, group, "a member is silent and the head is stalled");
      return;
    }
  }
  if (isFailing) {
    ProbeMembers(pass, group);
  }
  ProbeStragglers(pass, group);
  if (ShouldLeaveStragglers(pass, group)) {
    group.cut = PaceOf(group) >= SlowTargets::kUnusablePace;
    End(pass, group, "a member is slow");
    return;
  }
  if (IsHeadLost(pass, group)) {
    EndLost(pass, group, "its head is silent");
  }
}

void EngineGroups::Order(Pass& pass, Group& group, const InstanceId& target, GroupOrderKind kind)
{
  if (!TakeDue(pass, group, target, kind)) {
    return;
  }
  if (kind == GroupOrderKind::kJoin) {
    ++group.joinsUnanswered[target];
  }
  group.opensUnanswered += kind == GroupOrderKind::kOpen ? 1 : 0;
  group.closesUnanswered += kind == GroupOrderKind::kClose ? 1 : 0;
  GroupOrder order = impl::MakeOrder(*pass.Row(target), kind);
  order.group = group.name;
  order.epoch = group.epoch;
  if (kind == GroupOrderKind::kJoin) {
    order.model = group.model;
    order.members = group.members;
  }
  order.cut = kind == GroupOrderKind::kClose && group.cut;
  pass.orders.push_back(std::move(order));
}

bool EngineGroups::TakeDue(const Pass& pass,
                           Group& group,
                           const InstanceId& target,
                           GroupOrderKind kind)
{
  TimePoint& orderedAt = group.orderedAt[{ target, kind }];
  const bool isEarly = orderedAt != TimePoint{} && pass.input.now - orderedAt < kOrderRetry;
  const TargetRow* row = pass.Row(target);
  if (isEarly || row == nullptr || row->latest.address.empty()) {
    return false;
  }
  orderedAt = pass.input.now;
  return true;
}

// A group that is about to be lost must not be chosen to release its targets.
bool EngineGroups::IsHealthy(const Pass& pass, const Group& group) const
{
  return !HasFailedMember(pass, group) && PaceOf(group) < SlowTargets::kSlowPace &&
         std::ranges::all_of(group.members, [&](const InstanceId& member) {
           return IsConfirmed(pass, *pass.Row(member));
         });
}

bool EngineGroups::HasFailed(const Pass& pass, const TargetRow* row) const
{
  return IsLeaving(row) || IsSilent(pass, *row) || m_verifier.IsReplaced(*row);
}

bool EngineGroups::HasFailedMember(const Pass& pass, const Group& group) const
{
  return std::ranges::any_of(group.members, [&](const InstanceId& member) {
    return HasFailed(pass, pass.Row(member)) || HasRestarted(pass, group, member);
  });
}

// A target that restarted under the same name seems to have only left the group. Ordered to join
// again it would reload its weights, and a group that is opening would open without it.
bool EngineGroups::HasRestarted(const Pass& pass, const Group& group, const InstanceId& member)
{
  const TargetRow* row = pass.Row(member);
  const auto assigned = group.incarnations.find(member);
  return row != nullptr && assigned != group.incarnations.end() &&
         row->latest.born > assigned->second;
}

void EngineGroups::OnOrderOutcome(TimePoint now, const GroupOrder& order, OrderOutcome outcome)
{
  RecordIdentity(order, outcome);
  RecordSilence(now, order, outcome);
  if (order.kind == GroupOrderKind::kProbe) {
    return;
  }
  if (!m_leaderSince || order.givenAt < *m_leaderSince) {
    return; // Sent in an earlier term: the state recorded in this term is newer.
  }
  if (order.kind == GroupOrderKind::kStage) {
    RecordLoadOutcome(now, order, outcome);
    return;
  }
  const auto found = m_groups.find({ order.group, order.epoch });
  if (found == m_groups.end()) {
    if (order.kind == GroupOrderKind::kJoin) {
      RecordFenceOutcome(order, outcome);
    }
    return;
  }
  Group& group = found->second;
  const auto joins = group.joinsUnanswered.find(order.target);
  const bool isAnsweredJoin =
    order.kind == GroupOrderKind::kJoin && outcome != OrderOutcome::kUnknown;
  // The order may be of a group of this key that was dropped and adopted again.
  if (isAnsweredJoin && joins != group.joinsUnanswered.end() && joins->second > 0) {
    --joins->second;
  }
  if (group.members.front() != order.target) {
    return;
  }
  if (order.kind == GroupOrderKind::kOpen) {
    group.opensUnanswered -= outcome == OrderOutcome::kUnknown ? 0 : 1;
    group.openedAt = now;
  }
  if (group.phase == Phase::kEnding) {
    RecordHeadAnswer(now, group, order.kind, outcome);
  }
}

// Until a new leader has confirmed an earlier leader's group, its head is used by what it reports:
// a request does no harm at a head that has closed, but without heads entries refuse all requests.
std::map<InstanceId, std::string> EngineGroups::ServingHeads() const
{
  std::map<InstanceId, std::string> heads;
  for (const auto& [key, group] : m_groups) {
    const bool isUnconfirmed = group.phase == Phase::kAdopted && group.reportsOpen;
    if (group.phase == Phase::kOpen || isUnconfirmed) {
      heads.emplace(group.members.front(), group.model);
    }
  }
  return heads;
}

} // namespace gooseberrysail
