#include "gooseberrysail/control/engine_groups.hpp"

#include "gooseberrysail/observe/event.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;
using wire::MemberState;

/// A process that just started has not heard every target: two heartbeats (1.2 s each) and some.
constexpr Duration kLearnTime = 2500ms;
/// Three heartbeats of 1.2 s without one: the target is not given to a new group.
constexpr Duration kSilence = 3600ms;
/// A target that spoke within this needs no probe.
constexpr Duration kProbeSilence = 300ms;
/// Orders act within some 100 ms and targets report at once; one without effect is given again.
constexpr Duration kOrderRetry = 1500ms;
/// A join that takes longer than this beside its load has failed.
constexpr Duration kJoinSlack = 10s;
/// Beside the time that a head stands still: the order's way and the head's own timer.
constexpr Duration kStandstillSlack = 400ms;
/// Loads are counted over this window, which is the one in which the store's rate is enforced.
constexpr Duration kLoadWindow = 5s;
/// Kept free of the allowed loads: a leader that follows within a window starts its count anew.
constexpr double kLoadReserve = 0.5;
/// Before the first request the store is not limited; this bounds a fault.
constexpr std::uint32_t kUnlimitedLoads = 100'000;
/// Before traffic: no target was new for one heartbeat (1.2 s) and some.
constexpr Duration kQuietTime = 1500ms;
/// A load takes 12 to 16 s, longer when many load at once; after this it is ordered again.
constexpr Duration kStagePatience = 40s;
/// Part of the targets kept out of groups at the start, as spares that hold weights.
constexpr double kSparePart = 0.2;
/// Little more than one heartbeat (1.2 s): a target this silent joins no new group, and a head that
/// fails entries and answers none is given up.
constexpr Duration kSuspectSilence = 1800ms;
/// Epochs of one term.
constexpr std::uint64_t kEpochsPerTerm = 1ULL << 20U;

bool Reports(const TargetRow* row, const std::string& group, Epoch epoch)
{
  return row != nullptr && row->latest.membership.group == group &&
         row->latest.membership.epoch == epoch;
}

bool IsLeaving(const TargetRow* row)
{
  return row == nullptr || row->latest.left || row->latest.draining;
}

bool IsOpenState(MemberState state)
{
  return state == MemberState::Open || state == MemberState::Closing;
}

/// A restart takes the address over under another identity: the former life is over. Who came first
/// counts, not who spoke last: a heartbeat of the former life may arrive late.
bool IsReplaced(const TargetTable& targets, const TargetRow& row)
{
  return std::ranges::any_of(targets.Rows(), [&](const auto& other) {
    return other.first != row.latest.instance &&
           other.second.latest.address == row.latest.address &&
           other.second.firstHeardAt > row.firstHeardAt;
  });
}

const GroupModel* FindModel(const ServiceDefinition& service, const std::string& name)
{
  const auto found = std::ranges::find(service.engine->models, name, &GroupModel::name);
  return found == service.engine->models.end() ? nullptr : &*found;
}

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
  }
  return "unknown";
}

struct EngineGroups::Pass
{
  const GroupsInput& input;
  std::vector<GroupOrder>& orders;
  std::vector<EventOut>& events;
  std::vector<std::string> dropped; ///< Groups whose members are free.

  [[nodiscard]] const TargetRow* Row(const InstanceId& instance) const
  {
    return input.targets.Find(instance);
  }
};

EngineGroups::EngineGroups(EngineGroupsSettings settings)
  : m_settings(settings)
{
}

void EngineGroups::OnLeaderStart()
{
  m_groups.clear();
  m_released.clear();
  m_loads.clear();
  m_staging.clear();
  m_unanswered.clear();
  m_formed = 0;
}

void EngineGroups::Tick(const GroupsInput& input,
                        std::vector<GroupOrder>& orders,
                        std::vector<EventOut>& events)
{
  if (!m_firstTick) {
    m_firstTick = input.now;
  }
  Pass pass{ input, orders, events, {} };
  Adopt(pass);
  for (auto& [name, group] : m_groups) {
    Advance(pass, group);
  }
  for (const std::string& name : pass.dropped) {
    m_groups.erase(name);
    m_released.insert(name);
  }
  if (!IsSettled(pass)) {
    return;
  }
  for (const ServiceDefinition& service : input.document.services) {
    if (service.engine) {
      Form(pass, service);
    }
  }
}

// A target that reports a group that this leader does not keep was ordered by an earlier leader.
// Until the head of that group certainly takes no work, none of its members is free, also those
// whose head this process has not heard of: given to another group they would work for two.
void EngineGroups::Adopt(Pass& pass)
{
  for (const auto& [instance, row] : pass.input.targets.Rows()) {
    const GroupMembership& membership = row.latest.membership;
    if (membership.group.empty() || m_released.contains(membership.group)) {
      continue;
    }
    const auto [found, fresh] = m_groups.try_emplace(membership.group);
    Group& group = found->second;
    if (fresh) {
      group.name = membership.group;
      group.epoch = membership.epoch;
      group.service = row.latest.service;
      group.phase = Phase::kAdopted;
      group.since = pass.input.now;
      group.members.resize(1);
    }
    if (group.wasAdopted || fresh) {
      group.wasAdopted = true;
      group.members.resize(std::max<std::size_t>(group.members.size(), membership.rank + 1));
      group.members[membership.rank] = instance;
      group.model = group.model.empty() ? row.latest.loadedModel : group.model;
    }
  }
  std::erase_if(m_released, [&](const std::string& name) {
    return std::ranges::none_of(pass.input.targets.Rows(), [&](const auto& row) {
      return row.second.latest.membership.group == name;
    });
  });
}

void EngineGroups::AdvanceAdopted(Pass& pass, Group& group)
{
  const TargetRow* head = pass.Row(group.members.front());
  const bool isHeard = Reports(head, group.name, group.epoch);
  if (!isHeard && pass.input.now - *m_firstTick < kLearnTime) {
    return; // Its head may not have spoken to this process yet.
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

void EngineGroups::Advance(Pass& pass, Group& group)
{
  switch (group.phase) {
    case Phase::kAdopted:
      AdvanceAdopted(pass, group);
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

bool EngineGroups::IsWhole(const Pass& pass, const Group& group)
{
  const bool allKnown =
    std::ranges::none_of(group.members, [](const InstanceId& member) { return member.IsNone(); });
  for (const ServiceDefinition& service : pass.input.document.services) {
    if (service.name == group.service && service.engine) {
      const GroupModel* model = FindModel(service, group.model);
      return allKnown && model != nullptr && model->size == group.members.size();
    }
  }
  return false;
}

void EngineGroups::AdvanceJoining(Pass& pass, Group& group)
{
  Duration patience = kJoinSlack;
  for (const ServiceDefinition& service : pass.input.document.services) {
    if (service.name == group.service && service.engine) {
      const GroupModel* model = FindModel(service, group.model);
      patience += model == nullptr ? Duration::zero() : 2 * model->loadTime;
    }
  }
  if (HasFailedMember(pass, group) || pass.input.now - group.since > patience) {
    if (group.wasAdopted) {
      End(pass, group, "a member failed");
      return;
    }
    // It was never told to open: its members are free at once.
    pass.events.push_back(MakeEvent(EventNumber::kTargetGroupEnded,
                                    { { "group", group.name }, { "reason", "a member failed" } }));
    pass.dropped.push_back(group.name);
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
  const TargetRow* head = pass.Row(group.members.front());
  if (!Reports(head, group.name, group.epoch) || !IsOpenState(head->latest.membership.state)) {
    End(pass, group, "its head serves no more");
    return;
  }
  for (const InstanceId& member : group.members) {
    const TargetRow* row = pass.Row(member);
    if (member.IsNone()) {
      continue; // Not heard since this process started.
    }
    if (IsLeaving(row)) {
      End(pass, group, "a member is leaving");
      return;
    }
    if (!Reports(row, group.name, group.epoch)) {
      group.cut = true;
      End(pass, group, "a member is in it no more");
      return;
    }
    if (IsReplaced(pass.input.targets, *row)) {
      group.cut = true;
      End(pass, group, "a member was restarted");
      return;
    }
    const bool isSilent = IsSilent(pass, *row);
    if (isSilent && pass.input.failing.contains(group.members.front())) {
      // The head waits for a dead member: nothing that it has can end, and its callers were told.
      group.cut = true;
      End(pass, group, "a member is silent and the head stands still");
      return;
    }
  }
  if (pass.input.failing.contains(group.members.front())) {
    ProbeMembers(pass, group);
  }
  // A head that is cut off from control only still answers the entries; its group goes on.
  const InstanceId& instance = group.members.front();
  const bool isSilent = pass.input.failing.contains(instance)
                          ? IsSilent(pass, *head)
                          : pass.input.now - head->heardAt > kSilence;
  if (isSilent && !pass.input.answering.contains(instance)) {
    End(pass, group, "its head is silent");
  }
}

// A head that stands still waits for a member. Heartbeats would tell which one only after 1.8 s;
// one that lives answers a probe in milliseconds.
bool EngineGroups::IsSilent(const Pass& pass, const TargetRow& row) const
{
  const auto unanswered = m_unanswered.find(row.latest.instance);
  const bool gaveNoAnswer =
    unanswered != m_unanswered.end() && unanswered->second > row.heardAt + kProbeSilence;
  return gaveNoAnswer || pass.input.now - row.heardAt > kSuspectSilence;
}

// A head that stands still waits for a member. Heartbeats would tell which one only after 1.8 s;
// one that lives answers a probe in milliseconds.
void EngineGroups::ProbeMembers(Pass& pass, Group& group)
{
  for (const InstanceId& member : group.members) {
    const TargetRow* row = pass.Row(member);
    if (row != nullptr && pass.input.now - row->heardAt > kProbeSilence) {
      Order(pass, group, member, GroupOrderKind::kProbe);
    }
  }
}

// The head may go on serving until it says otherwise; a member that joined another group meanwhile
// would work for two.
void EngineGroups::AdvanceEnding(Pass& pass, Group& group)
{
  if (IsReleased(pass, group)) {
    pass.dropped.push_back(group.name);
    return;
  }
  const InstanceId& head = group.members.front();
  const TargetRow* row = pass.Row(head);
  if (row != nullptr && IsReplaced(pass.input.targets, *row)) {
    group.headIsDead = true;
    return;
  }
  Order(pass, group, head, GroupOrderKind::kClose);
  const bool silent =
    row == nullptr || row->latest.left || pass.input.now - row->heardAt > kSuspectSilence;
  if (!silent) {
    return;
  }
  // The head can't be asked, and may serve on although neither control nor any entry reaches it:
  // a network fault can hide a target from all of them. Without its members it stands still, and is
  // broken in the end.
  for (std::size_t rank = 1; rank < group.members.size(); ++rank) {
    const TargetRow* member = pass.Row(group.members[rank]);
    const bool isHeard = member != nullptr && pass.input.now - member->heardAt <= kSilence;
    if (isHeard && Reports(member, group.name, group.epoch)) {
      Order(pass, group, group.members[rank], GroupOrderKind::kLeave);
    }
  }
  if (!group.releasedAt) {
    group.releasedAt = pass.input.now;
  }
}

bool EngineGroups::IsReleased(const Pass& pass, const Group& group) const
{
  if (group.headIsDead || group.headIsClosed) {
    return true;
  }
  const bool stoodStill = group.releasedAt && pass.input.now - *group.releasedAt >
                                                m_settings.standstill + kStandstillSlack;
  const TargetRow* head = pass.Row(group.members.front());
  if (head == nullptr) {
    return stoodStill;
  }
  // What the head said before it was told to close may be overtaken by a late order to open.
  const bool spokeSince = head->heardAt > group.since;
  const MemberState state = head->latest.membership.state;
  if (spokeSince && !Reports(head, group.name, group.epoch)) {
    return true;
  }
  // Once the head took the order to close, ready means closed; unless an order to open it went
  // without an answer, which may still be carried out.
  const bool isClosed = group.closeBegun && !group.openIsUnsure && state == MemberState::Ready;
  if (spokeSince && !head->latest.left && (isClosed || state == MemberState::Broken)) {
    return true;
  }
  return stoodStill;
}

void EngineGroups::End(Pass& pass, Group& group, const char* reason)
{
  group.phase = Phase::kEnding;
  group.since = pass.input.now;
  group.orderedAt.clear();
  const TargetRow* head = pass.Row(group.members.front());
  const bool broken =
    Reports(head, group.name, group.epoch) && head->latest.membership.state == MemberState::Broken;
  group.headIsClosed =
    broken || (head != nullptr && !head->latest.left && !Reports(head, group.name, group.epoch));
  pass.events.push_back(
    MakeEvent(EventNumber::kTargetGroupEnded, { { "group", group.name }, { "reason", reason } }));
}

void EngineGroups::Order(Pass& pass, Group& group, const InstanceId& target, GroupOrderKind kind)
{
  const auto ordered = group.orderedAt.find(target);
  if (ordered != group.orderedAt.end() && pass.input.now - ordered->second < kOrderRetry) {
    return;
  }
  const TargetRow* row = pass.Row(target);
  if (row == nullptr || row->latest.address.empty()) {
    return;
  }
  group.orderedAt[target] = pass.input.now;
  GroupOrder order{ target, row->latest.address, kind, group.name, group.epoch, {}, {}, false };
  if (kind == GroupOrderKind::kJoin) {
    order.model = group.model;
    order.members = group.members;
  }
  order.cut = kind == GroupOrderKind::kClose && group.cut;
  pass.orders.push_back(std::move(order));
}

bool EngineGroups::HasFailedMember(const Pass& pass, const Group& group)
{
  return std::ranges::any_of(group.members, [&](const InstanceId& member) {
    const TargetRow* row = pass.Row(member);
    return IsLeaving(row) || pass.input.now - row->heardAt > kSuspectSilence ||
           IsReplaced(pass.input.targets, *row);
  });
}

std::uint32_t EngineGroups::LoadsLeft(const Pass& pass, const EngineSpec& engine)
{
  if (!pass.input.hasTraffic) {
    return kUnlimitedLoads;
  }
  std::erase_if(m_loads, [&](TimePoint at) { return pass.input.now - at > kLoadWindow; });
  const double window = std::chrono::duration<double>(kLoadWindow).count();
  const auto allowed =
    static_cast<std::size_t>(std::floor(engine.loadsPerSecond * window * kLoadReserve));
  return static_cast<std::uint32_t>(allowed - std::min(allowed, m_loads.size()));
}

// Groups formed before all targets have spoken would leave no room for the large ones.
bool EngineGroups::IsSettled(const Pass& pass)
{
  const std::size_t known = pass.input.targets.Rows().size();
  if (known > m_knownTargets) {
    m_newTargetAt = pass.input.now;
  }
  m_knownTargets = known;
  const bool learnt = pass.input.now - *m_firstTick >= kLearnTime;
  return learnt && (pass.input.hasTraffic || pass.input.now - m_newTargetAt >= kQuietTime);
}

void EngineGroups::Form(Pass& pass, const ServiceDefinition& service)
{
  const std::vector<ModelNeed> needs = ListNeeds(pass, service);
  const std::vector<FreeTarget> free = ListFree(pass, service.name);
  const std::vector<ServingGroup> serving = ListServing(pass, service.name);
  const PoolInput pool{
    free, needs, serving, LoadsLeft(pass, *service.engine), !pass.input.hasTraffic
  };
  const PoolPlan plan = PlanPool(pool);
  for (const PlannedGroup& planned : plan.groups) {
    StartGroup(pass, service.name, planned);
  }
  for (const PlannedStage& planned : plan.stages) {
    StartStage(pass, planned);
  }
  for (const std::string& name : plan.releases) {
    End(pass, m_groups.at(name), "another model lacks more");
  }
}

std::vector<ServingGroup> EngineGroups::ListServing(const Pass& pass, const std::string& service)
{
  std::vector<ServingGroup> serving;
  for (const auto& [name, group] : m_groups) {
    if (group.service != service || group.phase != Phase::kOpen) {
      continue;
    }
    ServingGroup each{ name, group.model, {}, {} };
    for (const InstanceId& member : group.members) {
      if (const TargetRow* row = pass.Row(member)) {
        each.fabricDomain = row->latest.fabricDomain;
        each.members.push_back(
          { member, row->latest.fabricDomain, row->latest.stagedModels, StagingOf(pass, *row) });
      }
    }
    serving.push_back(std::move(each));
  }
  return serving;
}

std::vector<ModelNeed> EngineGroups::ListNeeds(const Pass& pass,
                                               const ServiceDefinition& service) const
{
  const auto targets = std::ranges::count_if(pass.input.targets.Rows(), [&](const auto& row) {
    return row.second.latest.service == service.name && !IsLeaving(&row.second);
  });
  std::vector<ModelNeed> needs;
  for (const GroupModel& model : service.engine->models) {
    ModelNeed need{ &model, 0, 0 };
    need.groups = static_cast<std::uint32_t>(std::ranges::count_if(m_groups, [&](const auto& row) {
      return row.second.service == service.name && row.second.model == model.name &&
             row.second.phase != Phase::kEnding;
    }));
    const double atStart = static_cast<double>(targets) * (1 - kSparePart) * model.share;
    need.wanted = static_cast<std::uint32_t>(std::lround(atStart / model.size));
    if (const auto demand = pass.input.demand.find(model.name); demand != pass.input.demand.end()) {
      const double work = GroupsOfWork(*service.engine, model, demand->second);
      need.wanted = std::max(need.wanted, WantedGroups(work));
    }
    needs.push_back(need);
  }
  return needs;
}

std::vector<FreeTarget> EngineGroups::ListFree(const Pass& pass, const std::string& service)
{
  std::set<InstanceId> taken;
  for (const auto& [name, group] : m_groups) {
    taken.insert(group.members.begin(), group.members.end());
  }
  std::vector<FreeTarget> free;
  for (const auto& [instance, row] : pass.input.targets.Rows()) {
    const bool usable =
      row.latest.service == service && !IsLeaving(&row) &&
      pass.input.now - row.heardAt <= kSuspectSilence && !taken.contains(instance) &&
      !m_groups.contains(row.latest.membership.group) && !IsReplaced(pass.input.targets, row);
    if (!usable) {
      continue;
    }
    free.push_back(
      { instance, row.latest.fabricDomain, row.latest.stagedModels, StagingOf(pass, row) });
  }
  return free;
}

/// The model that a target's host was told to load and does not hold yet; "" for none.
std::string EngineGroups::StagingOf(const Pass& pass, const TargetRow& row)
{
  const auto staging = m_staging.find(row.latest.instance);
  if (staging == m_staging.end()) {
    return {};
  }
  const bool isDone = std::ranges::find(row.latest.stagedModels, staging->second.model) !=
                      row.latest.stagedModels.end();
  if (isDone || pass.input.now - staging->second.since > kStagePatience) {
    m_staging.erase(staging);
    return {};
  }
  return staging->second.model;
}

void EngineGroups::StartGroup(Pass& pass, const std::string& service, const PlannedGroup& planned)
{
  Group group;
  group.epoch = Epoch(pass.input.term.Get() * kEpochsPerTerm + ++m_formed);
  group.name = "g" + std::to_string(group.epoch.Get());
  group.service = service;
  group.model = planned.model;
  group.members = planned.members;
  group.since = pass.input.now;
  m_loads.insert(m_loads.end(), planned.loads, pass.input.now);
  pass.events.push_back(MakeEvent(EventNumber::kTargetGroupFormed,
                                  { { "group", group.name },
                                    { "model", group.model },
                                    { "head", group.members.front().Get() },
                                    { "members", std::to_string(group.members.size()) },
                                    { "loads", std::to_string(planned.loads) } }));
  Group& kept = m_groups.emplace(group.name, std::move(group)).first->second;
  AdvanceJoining(pass, kept);
}

void EngineGroups::StartStage(Pass& pass, const PlannedStage& planned)
{
  m_staging[planned.target] = { planned.model, pass.input.now };
  m_loads.push_back(pass.input.now);
  pass.orders.push_back({ planned.target,
                          pass.Row(planned.target)->latest.address,
                          GroupOrderKind::kStage,
                          {},
                          {},
                          planned.model,
                          {},
                          false });
}

void EngineGroups::OnOrderOutcome(TimePoint now, const GroupOrder& order, OrderOutcome outcome)
{
  if (order.kind == GroupOrderKind::kProbe) {
    if (outcome != OrderOutcome::kDone) {
      m_unanswered[order.target] = now;
    }
    return;
  }
  const auto found = m_groups.find(order.group);
  if (found == m_groups.end() || found->second.members.front() != order.target) {
    return;
  }
  Group& group = found->second;
  if (order.kind == GroupOrderKind::kOpen && outcome == OrderOutcome::kUnknown) {
    group.openIsUnsure = true;
  }
  if (group.phase != Phase::kEnding || order.kind != GroupOrderKind::kClose) {
    return;
  }
  group.closeBegun = group.closeBegun || outcome == OrderOutcome::kBegun;
  group.headIsDeaf = group.headIsDeaf || outcome == OrderOutcome::kNoTarget;
  group.headIsDead = group.headIsDead || outcome == OrderOutcome::kReplaced;
  group.headIsClosed = group.headIsClosed || outcome == OrderOutcome::kDone;
}

std::map<InstanceId, std::string> EngineGroups::ServingHeads() const
{
  std::map<InstanceId, std::string> heads;
  for (const auto& [name, group] : m_groups) {
    if (group.phase == Phase::kOpen) {
      heads.emplace(group.members.front(), group.model);
    }
  }
  return heads;
}

} // namespace gooseberrysail
