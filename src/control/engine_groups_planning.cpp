#include "control/engine_groups_pass.hpp"
#include "gooseberrysail/core/decimal.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;
using impl::FindModel;
using impl::IsLeaving;
using impl::Reports;

/// Window over which loads are counted; the store enforces its rate over the same window.
constexpr Duration kLoadWindow = 5s;
/// Fraction of the allowed loads that is used; the rest is a reserve, because a new leader within
/// the same window starts counting from zero.
constexpr double kUsableLoadFraction = 0.5;
/// Before the first request the store's rate is not limited; this bounds the effect of a fault.
constexpr std::uint32_t kUnlimitedLoads = 100'000;
/// A load takes 12 to 16 s, more with many concurrent loads; after this it is ordered again.
constexpr Duration kStageTimeout = 40s;
/// A host that refused a load is retried after the load's time divided by this.
constexpr int kBusyHostDivisor = 4;
/// Fraction of the targets that form no groups at the start but are spares that hold weights.
constexpr double kSparePart = 0.2;
/// A standby takes its weights from its host within two seconds; after this the order is repeated.
constexpr Duration kStandbyRetry = 5s;
/// After the loss of a group no serving group is ended for another model for this long. The losses
/// of a failed domain are detected within 0.3 s of one another. A takeover in between can take
/// groups from the model that has the largest shortage a moment later, and they can't be formed
/// again for the 16 s of a load.
constexpr Duration kLossSettleTime = 1s;
/// Demand is a mean over 3 s. Measured for a shorter time it varies by half, so that in the first
/// two seconds of traffic a model could lose a group to random variation of another model's demand.
constexpr Duration kDemandSettleTime = 3s;
/// Interval at which a model's shortage of groups is reported.
constexpr Duration kShortageReportInterval = 1s;
/// The number of epochs reserved for each term.
constexpr std::uint64_t kEpochsPerTerm = 1ULL << 20U;

/// For example "a:5/2/1 b:3/0/0": for each domain its idle targets, those of them that hold the
/// weights, and those that load them.
std::string DescribeFree(std::span<const FreeTarget> free, const std::string& model)
{
  struct Counts
  {
    std::size_t all = 0;
    std::size_t warm = 0;
    std::size_t loading = 0;
  };
  std::map<FabricDomainId, Counts> domains;
  for (const FreeTarget& target : free) {
    Counts& counts = domains[target.fabricDomain];
    ++counts.all;
    counts.warm += HoldsModel(target, model) ? 1 : 0;
    counts.loading += target.staging == model ? 1 : 0;
  }
  std::string text;
  for (const auto& [domain, counts] : domains) {
    text += (text.empty() ? "" : " ") + domain.Get() + ":" + std::to_string(counts.all) + "/" +
            std::to_string(counts.warm) + "/" + std::to_string(counts.loading);
  }
  return text;
}

} // namespace

bool EngineGroups::MayTakeOver(const Pass& pass)
{
  if (!pass.input.demand.empty() && !m_demandSince) {
    m_demandSince = pass.input.now;
  }
  return m_demandSince && pass.input.now - *m_demandSince > kDemandSettleTime &&
         pass.input.now - m_lostGroupAt > kLossSettleTime;
}

std::uint32_t EngineGroups::LoadsLeft(const Pass& pass, const EngineSpec& engine)
{
  if (!pass.input.hasTraffic) {
    return kUnlimitedLoads;
  }
  std::erase_if(m_loads, [&](TimePoint at) { return pass.input.now - at > kLoadWindow; });
  const double window = std::chrono::duration<double>(kLoadWindow).count();
  const auto allowed =
    static_cast<std::size_t>(std::floor(engine.loadsPerSecond * window * kUsableLoadFraction));
  return static_cast<std::uint32_t>(allowed - std::min(allowed, m_loads.size()));
}

std::uint32_t EngineGroups::LoadsUpTo(const Pass& pass, std::uint32_t most) const
{
  if (!pass.input.hasTraffic) {
    return kUnlimitedLoads;
  }
  const auto underWay = static_cast<std::uint32_t>(m_staging.size());
  return most - std::min(most, underWay);
}

// Small groups formed before all targets have reported could leave too few targets for large
// groups.
bool EngineGroups::IsSettled(const Pass& pass)
{
  const std::size_t known = pass.input.targets.Rows().size();
  if (known > m_knownTargets) {
    m_newTargetAt = pass.input.now;
  }
  m_knownTargets = known;
  const bool isDiscoveryOver = pass.input.now - *m_leaderSince >= m_settings.DiscoveryTime();
  const bool isQuiet = pass.input.now - m_newTargetAt >= m_settings.QuietTime();
  return pass.input.hasTraffic ? pass.input.haveAllTargetsReported : isDiscoveryOver && isQuiet;
}

void EngineGroups::FormGroups(Pass& pass, const ServiceDefinition& service)
{
  ForgetEndedLoads(pass);
  ReplaceHeads(pass, service);
  const std::vector<ModelNeed> needs = ListNeeds(pass, service);
  const std::vector<FreeTarget> free = ListFree(pass, service.name);
  const std::vector<FreeTarget> returning = ListReturning(pass, service.name);
  const std::vector<ServingGroup> serving = ListServing(pass, service.name);
  const std::uint32_t atFullSpeed = LoadsUpTo(pass, std::max(1U, service.engine->loadsAtOnce));
  CapacityMoves& capacity = m_moves[service.name];
  capacity.RecordLoads(pass.input.now, *service.engine, needs);
  const std::vector<RecentMove> recent = capacity.ListRecent(pass.input.now);
  const std::vector<std::string> lossy = capacity.ListLossy(pass.input.now, *service.engine);
  const MoveInput moves{ pass.input.now, *service.engine, capacity.History(), recent, lossy };
  const PoolInput pool{ free,
                        needs,
                        serving,
                        LoadsLeft(pass, *service.engine),
                        atFullSpeed,
                        !pass.input.hasTraffic,
                        MayTakeOver(pass),
                        atFullSpeed,
                        LoadsUpTo(pass, 1),
                        returning,
                        m_settings.weighMoves ? &moves : nullptr };
  const PoolPlan plan = PlanPool(pool);
  for (const PlannedGroup& planned : plan.groups) {
    StartGroup(pass, service.name, planned);
  }
  for (const PlannedStage& planned : plan.stages) {
    StartStage(pass, planned);
  }
  for (const PlannedStandby& planned : plan.standbys) {
    StartStandby(pass, planned);
  }
  for (const PlannedTakeover& planned : plan.takeovers) {
    StartTakeover(pass, service.name, planned);
  }
  ReportShortages(pass, service.name, pool, plan);
}

// Idle targets while a model lacks groups look like a fault of the planner. The event reports what
// prevents their use.
void EngineGroups::ReportShortages(Pass& pass,
                                   const std::string& service,
                                   const PoolInput& pool,
                                   const PoolPlan& plan)
{
  for (const ModelNeed& need : pool.needs) {
    const std::string& model = need.model->name;
    TimePoint& reportedAt = m_shortageReportedAt[model];
    if (need.groups >= need.wanted || pass.input.now - reportedAt < kShortageReportInterval) {
      continue;
    }
    reportedAt = pass.input.now;
    const auto found = std::ranges::find(plan.shortages, model, &PlannedShortage::model);
    const PlannedShortage shortage = found != plan.shortages.end() ? *found : PlannedShortage();
    pass.events.push_back(MakeEvent(EventNumber::kTargetGroupsShort,
                                    { { "service", service },
                                      { "model", model },
                                      { "groups", std::to_string(need.groups) },
                                      { "wanted", std::to_string(need.wanted) },
                                      { "work", ToDecimal(need.offeredLoad) },
                                      { "free", DescribeFree(pool.free, model) },
                                      { "loadsLeft", std::to_string(pool.loadsLeft) },
                                      { "loading", std::to_string(m_staging.size()) },
                                      { "place", shortage.fabricDomain.Get() },
                                      { "loadsToBegin", std::to_string(shortage.loadsToBegin) },
                                      { "loadsUnderWay", std::to_string(shortage.loadsUnderWay) },
                                      { "takeover", ToString(shortage.takeover) },
                                      { "gain", ToDecimal(shortage.gain) },
                                      { "moveGain", ToDecimal(shortage.estimate.gain) },
                                      { "moveLoss", ToDecimal(shortage.estimate.loss) },
                                      { "samples", std::to_string(shortage.estimate.samples) } }));
  }
}

// An unreachable head may be alive. Once its members are in a new epoch of the group they can't
// work for it any more, and targets reject orders of a lower epoch. So the group can continue at
// once with another head instead of waiting five seconds until the former head must have stalled.
void EngineGroups::ReplaceHeads(Pass& pass, const ServiceDefinition& service)
{
  for (auto& [key, group] : m_groups) {
    const bool lacksHead = group.phase == Phase::kEnding && group.headSilentAt;
    if (group.service != service.name || !lacksHead || pass.IsEvacuated(group) ||
        HasSuccessor(group) || !LacksGroups(pass, service, group.model)) {
      continue;
    }
    if (std::optional<Group> made = MakeSuccessor(pass, service, group)) {
      StartSuccessor(pass, group, std::move(*made));
    }
  }
}

// The former head stays reserved until it certainly takes no work; the others are reassigned.
void EngineGroups::StartSuccessor(Pass& pass, Group& group, Group successor)
{
  group.successors.assign(group.members.begin() + 1, group.members.end());
  group.members.resize(1);
  ReportFormed(pass, successor, 0);
  const GroupKey key = successor.Key();
  AdvanceJoining(pass, m_groups.emplace(key, std::move(successor)).first->second);
}

// A successor that is not needed would take warm targets from a model that lacks them.
bool EngineGroups::LacksGroups(const Pass& pass,
                               const ServiceDefinition& service,
                               const std::string& model) const
{
  const std::vector<ModelNeed> needs = ListNeeds(pass, service);
  return std::ranges::any_of(needs, [&](const ModelNeed& need) {
    return need.model->name == model && need.groups < need.wanted;
  });
}

std::optional<EngineGroups::Group> EngineGroups::MakeSuccessor(const Pass& pass,
                                                               const ServiceDefinition& service,
                                                               const Group& group)
{
  const GroupModel* model = FindModel(*service.engine, group.model);
  if (model == nullptr) {
    return std::nullopt;
  }
  std::vector<InstanceId> members = ListSurvivors(pass, group);
  AddWarmTargets(pass, service.name, *model, members);
  if (members.size() != model->size) {
    return std::nullopt;
  }
  Group successor = MakeGroup(pass, service.name, { model->name, std::move(members), 0 });
  successor.name = group.name;
  return successor;
}

bool EngineGroups::HasSuccessor(const Group& group) const
{
  const auto next = m_groups.upper_bound(group.Key());
  return next != m_groups.end() && next->first.name == group.name;
}

bool EngineGroups::IsMemberOfSuccessor(const Group& group, const InstanceId& target) const
{
  for (auto next = m_groups.upper_bound(group.Key());
       next != m_groups.end() && next->first.name == group.name;
       ++next) {
    if (std::ranges::find(next->second.members, target) != next->second.members.end()) {
      return true;
    }
  }
  return false;
}

EngineGroups::Group& EngineGroups::FindServing(const std::string& name)
{
  return std::ranges::find_if(m_groups,
                              [&](const auto& row) {
                                return row.first.name == name && row.second.phase == Phase::kOpen;
                              })
    ->second;
}

// Two groups have a member if it carried out a late order of one that was dropped.
bool EngineGroups::IsInAnother(const Group& group, const InstanceId& target) const
{
  return std::ranges::any_of(m_groups, [&](const auto& row) {
    const auto& [key, other] = row;
    const bool mayOrder = other.phase != Phase::kGathering && other.phase != Phase::kEnding;
    return key != group.Key() && mayOrder &&
           std::ranges::find(other.members, target) != other.members.end();
  });
}

/// Fills `members` up to the model's size with free targets of their domain that hold its weights.
void EngineGroups::AddWarmTargets(const Pass& pass,
                                  const std::string& service,
                                  const GroupModel& model,
                                  std::vector<InstanceId>& members)
{
  if (members.empty()) {
    return;
  }
  const FabricDomainId domain = pass.Row(members.front())->latest.fabricDomain;
  for (const FreeTarget& target : ListFree(pass, service)) {
    const bool fits = target.fabricDomain == domain && HoldsModel(target, model.name);
    if (members.size() < model.size && fits) {
      members.push_back(target.instance);
    }
  }
}

std::vector<InstanceId> EngineGroups::ListSurvivors(const Pass& pass, const Group& group) const
{
  std::vector<InstanceId> survivors;
  for (std::size_t rank = 1; rank < group.members.size(); ++rank) {
    const TargetRow* row = pass.Row(group.members[rank]);
    const bool isLost = HasFailed(pass, row) || HasRestarted(pass, group, group.members[rank]);
    if (isLost || !IsConfirmed(pass, *row) || IsInAnother(group, group.members[rank])) {
      continue;
    }
    const GroupMembership& membership = row->latest.membership;
    if (membership.group.empty() || Reports(row, group.name, group.epoch)) {
      survivors.push_back(group.members[rank]);
    }
  }
  return survivors;
}

std::vector<ServingGroup> EngineGroups::ListServing(const Pass& pass, const std::string& service)
{
  std::vector<ServingGroup> serving;
  for (const auto& [key, group] : m_groups) {
    if (group.service != service || group.phase != Phase::kOpen || pass.IsEvacuated(group) ||
        !IsHealthy(pass, group)) {
      continue;
    }
    ServingGroup each{ group.name, group.model, {}, {} };
    for (const InstanceId& member : group.members) {
      if (const TargetRow* row = pass.Row(member)) {
        each.fabricDomain = row->latest.fabricDomain;
        each.members.push_back(MakeFreeTarget(*row));
      }
    }
    serving.push_back(std::move(each));
  }
  return serving;
}

std::vector<ModelNeed> EngineGroups::ListNeeds(const Pass& pass,
                                               const ServiceDefinition& service) const
{
  // A target that has ended stays in the table for a while, in addition to its replacement.
  const auto targets = std::ranges::count_if(pass.input.targets.Rows(), [&](const auto& row) {
    const TargetRow& target = row.second;
    const bool isHeard = pass.input.now - target.lastSeenAt <= m_settings.SilenceTimeout();
    return target.latest.service == service.name && isHeard && !IsLeaving(&target) &&
           !m_verifier.IsReplaced(target) && !pass.IsEvacuated(target);
  });
  std::vector<ModelNeed> needs;
  for (const GroupModel& model : service.engine->models) {
    ModelNeed need{ &model, 0, 0, 0 };
    need.groups = static_cast<std::uint32_t>(std::ranges::count_if(m_groups, [&](const auto& row) {
      return row.second.service == service.name && row.second.model == model.name &&
             IsCounted(pass, row.second);
    }));
    const double atStart = static_cast<double>(targets) * (1 - kSparePart) * model.share;
    need.wanted = static_cast<std::uint32_t>(std::lround(atStart / model.size));
    if (const auto demand = pass.input.demand.find(model.name); demand != pass.input.demand.end()) {
      const double offeredLoad = OfferedLoad(*service.engine, model, demand->second);
      need.offeredLoad = offeredLoad;
      need.wanted = std::max(need.wanted, WantedGroups(offeredLoad));
    }
    needs.push_back(need);
  }
  return needs;
}

// A new leader may find groups whose heads failed together with the former leader. If such groups
// were counted, they would not be replaced.
bool EngineGroups::IsCounted(const Pass& pass, const Group& group) const
{
  if (pass.IsEvacuated(group)) {
    return false;
  }
  if (group.phase == Phase::kOpen && PaceOf(group) >= SlowTargets::kSlowPace) {
    return false; // It adds little capacity; another group may be formed for its callers.
  }
  if (group.phase != Phase::kAdopted) {
    return group.phase != Phase::kEnding;
  }
  const TargetRow* head = pass.Row(group.members.front());
  return head != nullptr && !IsSilent(pass, *head);
}

// A former head that is alive reports a lower epoch of a group that continued without it. That
// epoch is tracked as a separate group. If only the successor were tracked, the former head would
// be dropped with it and could be joined to a second group while its own is open.
bool EngineGroups::IsTracked(const GroupMembership& membership) const
{
  return m_groups.contains({ membership.group, membership.epoch });
}

std::vector<FreeTarget> EngineGroups::ListFree(const Pass& pass, const std::string& service)
{
  std::set<InstanceId> taken;
  for (const auto& [key, group] : m_groups) {
    taken.insert(group.members.begin(), group.members.end());
  }
  std::vector<FreeTarget> free;
  for (const auto& [instance, row] : pass.input.targets.Rows()) {
    const bool usable = row.latest.service == service && IsConfirmed(pass, row) &&
                        !taken.contains(instance) && !m_slow.IsSlow(instance) &&
                        IsInNoGroup(pass, row) && !HasFailed(pass, &row) &&
                        !m_verifier.IsContested(instance) && !pass.IsEvacuated(row);
    if (!usable) {
      continue;
    }
    free.push_back(MakeFreeTarget(row));
  }
  return free;
}

std::vector<FreeTarget> EngineGroups::ListReturning(const Pass& pass,
                                                    const std::string& service) const
{
  std::set<InstanceId> seen;
  for (const auto& [key, group] : m_groups) {
    if (group.phase != Phase::kEnding) {
      seen.insert(group.members.begin(), group.members.end());
    }
  }
  std::vector<FreeTarget> returning;
  for (const auto& [key, group] : m_groups) {
    if (group.service != service || group.phase != Phase::kEnding) {
      continue;
    }
    for (const InstanceId& member : group.members) {
      const TargetRow* row = pass.Row(member);
      const bool isUsable =
        !HasFailed(pass, row) && !HasRestarted(pass, group, member) && !pass.IsEvacuated(*row);
      if (isUsable && !m_slow.IsSlow(member) && seen.insert(member).second) {
        returning.push_back(MakeFreeTarget(*row));
      }
    }
  }
  return returning;
}

FreeTarget EngineGroups::MakeFreeTarget(const TargetRow& row) const
{
  return { row.latest.instance,
           row.latest.fabricDomain,
           row.latest.stagedModels,
           StagingOf(row.latest.instance),
           row.lastModel };
}

/// The model that a target's host was ordered to load and does not hold yet; empty for none.
std::string EngineGroups::StagingOf(const InstanceId& target) const
{
  const auto staging = m_staging.find(target);
  return staging == m_staging.end() ? std::string() : staging->second.model;
}

void EngineGroups::ForgetEndedLoads(const Pass& pass)
{
  std::erase_if(m_staging, [&](const auto& entry) {
    const Staging& staging = entry.second;
    const TargetRow* row = pass.Row(entry.first);
    if (row == nullptr || row->latest.left ||
        pass.input.now - row->lastSeenAt > m_settings.SilenceTimeout()) {
      return true;
    }
    const bool isDone =
      std::ranges::find(row->latest.stagedModels, staging.model) != row->latest.stagedModels.end();
    const Duration timeout =
      staging.model == kUnknownWeights ? staging.loadTime / kBusyHostDivisor : kStageTimeout;
    return isDone || pass.input.now - staging.since > timeout;
  });
}

// A host that runs a load of an earlier leader refuses the order, and becomes free earlier than a
// load that starts now would end.
void EngineGroups::RecordLoadOutcome(TimePoint now, const GroupOrder& order, OrderOutcome outcome)
{
  const auto staging = m_staging.find(order.target);
  const bool isAnswer = staging != m_staging.end() && staging->second.since == order.givenAt;
  if (!isAnswer) {
    return; // The answer to an earlier order to the same host.
  }
  if (outcome == OrderOutcome::kRefused) {
    staging->second.model = kUnknownWeights;
    staging->second.since = now;
  } else if (outcome == OrderOutcome::kNoTarget || outcome == OrderOutcome::kReplaced) {
    m_staging.erase(staging);
  }
}

void EngineGroups::StartGroup(Pass& pass, const std::string& service, const PlannedGroup& planned)
{
  AdvanceJoining(pass, AddGroup(pass, service, planned, Phase::kJoining));
}

// The free members are reserved immediately. Otherwise a group of another model could take them
// while the other members finish their work.
void EngineGroups::StartTakeover(Pass& pass,
                                 const std::string& service,
                                 const PlannedTakeover& planned)
{
  for (const std::string& name : planned.releases) {
    End(pass, FindServing(name), "another model has a larger shortage");
  }
  AddGroup(pass, service, planned.group, Phase::kGathering);
  if (m_settings.weighMoves) {
    RecordMove(pass, service, planned);
  }
}

void EngineGroups::RecordMove(Pass& pass,
                              const std::string& service,
                              const PlannedTakeover& planned)
{
  const MoveEstimate& estimate = planned.estimate;
  m_moves[service].RecordMove(pass.input.now, { planned.donor, planned.group.model }, estimate);
  pass.events.push_back(
    MakeEvent(EventNumber::kTargetGroupsMoved,
              { { "service", service },
                { "from", planned.donor },
                { "to", planned.group.model },
                { "released", std::to_string(planned.releases.size()) },
                { "gain", ToDecimal(estimate.gain) },
                { "loss", ToDecimal(estimate.loss) },
                { "moveMillis", std::to_string(ToMillis(estimate.duration)) },
                { "paybackMillis", std::to_string(ToMillis(estimate.Payback())) },
                { "samples", std::to_string(estimate.samples) } }));
}

EngineGroups::Group& EngineGroups::AddGroup(Pass& pass,
                                            const std::string& service,
                                            const PlannedGroup& planned,
                                            Phase phase)
{
  Group group = MakeGroup(pass, service, planned);
  group.phase = phase;
  m_loads.insert(m_loads.end(), planned.loads, pass.input.now);
  ReportFormed(pass, group, planned.loads);
  const GroupKey key = group.Key();
  return m_groups.emplace(key, std::move(group)).first->second;
}

EngineGroups::Group EngineGroups::MakeGroup(const Pass& pass,
                                            const std::string& service,
                                            const PlannedGroup& planned)
{
  Group group;
  group.epoch = NextEpoch(pass);
  group.name = "g" + std::to_string(group.epoch.Get());
  group.service = service;
  group.model = planned.model;
  group.members = planned.members;
  for (const InstanceId& member : group.members) {
    const TargetRow* row = pass.Row(member);
    group.incarnations[member] = row == nullptr ? Incarnation() : row->latest.born;
  }
  group.since = pass.input.now;
  return group;
}

void EngineGroups::ReportFormed(Pass& pass, const Group& group, std::uint32_t loads)
{
  pass.events.push_back(MakeEvent(EventNumber::kTargetGroupFormed,
                                  { { "group", group.name },
                                    { "epoch", std::to_string(group.epoch.Get()) },
                                    { "model", group.model },
                                    { "head", group.members.front().Get() },
                                    { "members", std::to_string(group.members.size()) },
                                    { "loads", std::to_string(loads) } }));
}

// The group of a standby is never opened, so that no request reaches the target through it.
void EngineGroups::StartStandby(Pass& pass, const PlannedStandby& planned)
{
  TimePoint& since = m_standbySince[planned.target];
  if (since != TimePoint{} && pass.input.now - since < kStandbyRetry) {
    return;
  }
  since = pass.input.now;
  const Epoch epoch = NextEpoch(pass);
  GroupOrder order = impl::MakeOrder(*pass.Row(planned.target), GroupOrderKind::kJoin);
  order.group = impl::kStandbyPrefix + std::to_string(epoch.Get());
  order.epoch = epoch;
  order.model = planned.model;
  order.members = { planned.target };
  pass.orders.push_back(std::move(order));
}

Epoch EngineGroups::NextEpoch(const Pass& pass)
{
  return Epoch(FormerEpoch(pass).Get() + impl::kEpochStep * ++m_formed);
}

bool EngineGroups::IsOwnEpoch(const Pass& pass, Epoch epoch) const
{
  const Epoch former = FormerEpoch(pass);
  return epoch > former && epoch.Get() <= former.Get() + impl::kEpochStep * m_formed + 1;
}

Epoch EngineGroups::FenceOf(const Pass& pass, const Group& group)
{
  return Epoch(std::max(group.epoch, FormerEpoch(pass)).Get() + 1);
}

Epoch EngineGroups::FormerEpoch(const Pass& pass)
{
  return Epoch(pass.input.term.Get() * kEpochsPerTerm);
}

void EngineGroups::StartStage(Pass& pass, const PlannedStage& planned)
{
  const TargetRow& row = *pass.Row(planned.target);
  const GroupModel* model = ModelOf(pass, row.latest.service, planned.model);
  const Duration loadTime = model == nullptr ? Duration::zero() : model->loadTime;
  m_staging[planned.target] = { planned.model, pass.input.now, loadTime };
  m_loads.push_back(pass.input.now);
  GroupOrder order = impl::MakeOrder(row, GroupOrderKind::kStage);
  order.model = planned.model;
  pass.orders.push_back(std::move(order));
  pass.events.push_back(MakeEvent(EventNumber::kTargetLoadOrdered,
                                  { { "target", planned.target.Get() },
                                    { "domain", row.latest.fabricDomain.Get() },
                                    { "model", planned.model },
                                    { "purpose", ToString(planned.purpose) },
                                    { "loading", std::to_string(m_staging.size()) } }));
}

} // namespace gooseberrysail
