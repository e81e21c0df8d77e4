#include "fakes/placement_replay.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <set>
#include <unordered_map>

namespace gooseberrysail::fakes {

namespace {

constexpr double kDaySeconds = 86400;
constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr double kLogDelay = 0.2;     ///< From a planner action until its command is applied.
constexpr double kReleaseDelay = 0.5; ///< From dissolving a group until a survivor is free.
constexpr double kLeaseTime = 5;      ///< After that a lost member's lease has expired.
constexpr double kDrainTime = 20;     ///< Until a drained group is idle.
constexpr double kResumeTime = 2;     ///< Until a group serves again after its members return.
constexpr double kReturnDelay = 1;    ///< From a VM's return until control detects it.

/// Interval between calls of the planner: a second shortly after a change, longer later. With one
/// call per second throughout, the replay of a month of 7,200 VMs would take a day.
double PlanInterval(double sinceChange)
{
  if (sinceChange < 15) {
    return 1;
  }
  if (sinceChange < 180) {
    return 5;
  }
  return 60;
}

struct Group
{
  std::uint64_t id = 0;
  std::vector<std::uint32_t> vms;
  std::vector<VmId> members;
  bool isEnding = false;
  bool isServing = false;
  bool isNew = true; ///< Has neither served nor been broken yet.
  bool isLoading = false;
  double loadLeft = 0;
  double servesAt = kNever; ///< When a warm start ends.
  double formedAt = 0;
  double brokenAt = kNever; ///< When control detected a missing member.
  double endsAt = kNever;   ///< When a drained group is idle.
};

struct Vm
{
  int outages = 0; ///< Number of current, overlapping outages.
  bool losesWeights = false;
  double seenAt = kNever; ///< When control detects the latest change.
  double freeAt = kNever;
  std::uint64_t group = 0;
};

class Runner
{
public:
  Runner(const ReplayFleet& fleet,
         const std::vector<ReplayOutage>& outages,
         PlacementPlanner planner,
         const std::function<double()>& clockMicros)
    : m_fleet(fleet)
    , m_planner(std::move(planner))
    , m_clockMicros(clockMicros)
  {
    AddModel();
    AddVms();
    for (std::size_t index = 0; index < outages.size(); ++index) {
      m_changes.push_back({ outages[index].from, true, &outages[index] });
      m_changes.push_back({ outages[index].to, false, &outages[index] });
    }
    std::ranges::stable_sort(m_changes, std::less{}, &Change::at);
  }

  ReplayResult Run()
  {
    FormInitialGroups();
    const double end = m_fleet.days * kDaySeconds;
    while (m_now < end) {
      const double next = std::min(NextTime(), end);
      Advance(next);
      ApplyChanges();
      ApplyNotices();
      ApplyPreloads();
      ApplyGroups();
      if (m_now >= m_planAt && m_now < end) {
        Plan();
      }
    }
    return std::move(m_result);
  }

private:
  struct Change
  {
    double at = 0;
    bool isLoss = false;
    const ReplayOutage* outage = nullptr;
  };

  struct Command
  {
    double at = 0;
    PlannerAction action;
  };

  void AddModel()
  {
    m_spec.version = "v1";
    m_spec.replicas = m_fleet.replicas;
    m_spec.membersPerReplica = 4;
    m_models.push_back({ EntryName("assist"), PriorityClass::kInteractive, &m_spec });
  }

  void AddVms()
  {
    for (std::uint32_t index = 0; index < m_fleet.CountVms(); ++index) {
      const std::uint32_t fabric = index / m_fleet.vmsPerFabric;
      VmView view;
      view.vm = VmId("vm-" + std::to_string(index));
      view.fabricDomain = FabricDomainId("fabric-" + std::to_string(fabric));
      view.failureDomain =
        FailureDomainId("domain-" + std::to_string(fabric / m_fleet.fabricsPerFailureDomain));
      view.accelerators = m_fleet.acceleratorsPerVm;
      m_views.push_back(std::move(view));
      m_rows[m_views.back().vm.Get()] = index;
    }
    m_vms.resize(m_views.size());
  }

  /// Starts the replay with all wanted groups serving.
  void FormInitialGroups()
  {
    std::vector<std::uint32_t> nextVm(m_fleet.CountFabrics(), 0);
    for (std::uint32_t replica = 0; replica < m_fleet.replicas; ++replica) {
      const std::uint32_t fabric = replica % m_fleet.CountFabrics();
      std::vector<std::uint32_t> vms;
      for (int member = 0; member < 4; ++member) {
        vms.push_back(fabric * m_fleet.vmsPerFabric + nextVm[fabric]++);
        m_views[vms.back()].loadedModel = kWeights;
      }
      Group& group = AddGroup(std::move(vms));
      group.isServing = true;
      group.servesAt = 0;
    }
    InitialiseCounts();
  }

  Group& AddGroup(std::vector<std::uint32_t> vms)
  {
    Group& group = m_groups[m_nextGroup];
    group.id = m_nextGroup++;
    group.formedAt = m_now;
    group.vms = std::move(vms);
    for (const std::uint32_t vm : group.vms) {
      group.members.push_back(m_views[vm].vm);
      m_vms[vm].group = group.id;
      m_views[vm].group = GroupId(group.id);
    }
    ++m_result.formed;
    Activate(group.id);
    return group;
  }

  double LoadRate() const
  {
    const auto loading = static_cast<double>(m_loading.size() + m_preloads.size());
    const double budget = m_fleet.policy.weightLoadsAtOnce;
    return loading <= budget ? 1 : budget / loading;
  }

  double NextTime() const
  {
    double next = m_planAt;
    if (m_nextChange < m_changes.size()) {
      next = std::min(next, m_changes[m_nextChange].at);
    }
    if (!m_notices.empty()) {
      next = std::min(next, m_notices.begin()->first);
    }
    if (!m_commands.empty()) {
      next = std::min(next, m_commands.front().at);
    }
    for (const std::uint64_t id : m_active) {
      const Group& group = m_groups.at(id);
      next = std::min(next, group.isServing ? kNever : group.servesAt);
      next = std::min(next, group.endsAt);
      if (group.isLoading) {
        next = std::min(next, m_now + group.loadLeft / LoadRate() + 1e-6);
      }
    }
    for (const auto& [vm, left] : m_preloads) {
      next = std::min(next, m_now + left / LoadRate() + 1e-6);
    }
    return std::max(next, m_now);
  }

  void Advance(double to)
  {
    const double step = to - m_now;
    const auto wanted = static_cast<double>(m_fleet.replicas);
    m_result.downSeconds += step * std::max(0.0, wanted - m_serving);
    const double stranded = m_healthy - 4 * m_serving;
    m_result.strandedSeconds += step * stranded * m_fleet.acceleratorsPerVm;
    const double loaded = step * LoadRate();
    for (const std::uint64_t id : m_loading) {
      m_groups.at(id).loadLeft -= loaded;
    }
    for (auto& [vm, left] : m_preloads) {
      left -= loaded;
    }
    m_now = to;
  }

  bool IsUp(std::uint32_t vm) const { return m_vms[vm].outages == 0; }

  void ApplyChanges()
  {
    for (; m_nextChange < m_changes.size() && m_changes[m_nextChange].at <= m_now; ++m_nextChange) {
      const Change& change = m_changes[m_nextChange];
      Vm& vm = m_vms[change.outage->vm];
      const bool wasUp = vm.outages == 0;
      vm.outages += change.isLoss ? 1 : -1;
      vm.losesWeights = vm.losesWeights || (change.isLoss && !change.outage->keepsWeights);
      if (wasUp != (vm.outages == 0)) {
        m_healthy += vm.outages == 0 ? 1 : -1;
        ScheduleNotice(change.outage->vm, wasUp);
      }
    }
  }

  void ScheduleNotice(std::uint32_t row, bool isLoss)
  {
    Vm& vm = m_vms[row];
    const double delay =
      isLoss ? std::chrono::duration<double>(m_fleet.policy.memberTimeout).count() : kReturnDelay;
    m_notices.erase({ vm.seenAt, row });
    vm.seenAt = m_now + delay;
    m_notices.insert({ vm.seenAt, row });
    if (isLoss) {
      m_views[row].lastHeard = ToTime(m_now);
    } else if (vm.losesWeights) {
      // The weights were lost in the outage, whether or not control detected it.
      m_views[row].loadedModel.clear();
      vm.losesWeights = false;
    }
    if (vm.group != 0) {
      Activate(vm.group);
      UpdateGroup(m_groups.at(vm.group));
    }
  }

  void ApplyNotices()
  {
    while (!m_notices.empty() && m_notices.begin()->first <= m_now) {
      const std::uint32_t row = m_notices.begin()->second;
      m_notices.erase(m_notices.begin());
      Vm& vm = m_vms[row];
      if (vm.freeAt <= m_now) {
        vm.freeAt = kNever;
        Release(row);
      }
      if (vm.seenAt <= m_now) {
        vm.seenAt = kNever;
        m_views[row].reachable = IsUp(row);
      }
      m_changedAt = m_now;
      m_planAt = std::min(m_planAt, m_lastPlan + 1);
      if (vm.group != 0) {
        Activate(vm.group);
        UpdateGroup(m_groups.at(vm.group));
      }
    }
  }

  void Release(std::uint32_t row)
  {
    Vm& vm = m_vms[row];
    const std::uint64_t id = vm.group;
    vm.group = 0;
    m_views[row].group = GroupId();
    Group& group = m_groups.at(id);
    const bool isHeld =
      std::ranges::any_of(group.vms, [&](std::uint32_t other) { return m_vms[other].group == id; });
    if (!isHeld) {
      Deactivate(id);
      m_groups.erase(id);
    }
  }

  bool HoldsAll(const Group& group) const
  {
    return std::ranges::all_of(
      group.vms, [&](std::uint32_t vm) { return m_views[vm].loadedModel == kWeights; });
  }

  /// Updates a group's state from its members.
  void UpdateGroup(Group& group)
  {
    const bool isWhole = std::ranges::all_of(group.vms, [&](std::uint32_t vm) { return IsUp(vm); });
    const bool isSeenWhole =
      std::ranges::all_of(group.vms, [&](std::uint32_t vm) { return m_views[vm].reachable; });
    if (group.endsAt <= m_now || (group.isEnding && group.endsAt == kNever)) {
      SetServing(group, false);
      StopLoad(group);
      return;
    }
    if (!isSeenWhole) {
      group.brokenAt = std::min(group.brokenAt, m_now);
      group.isNew = false;
    } else {
      group.brokenAt = kNever;
    }
    if (!isWhole || !isSeenWhole) {
      SetServing(group, false);
      StopLoad(group);
      group.servesAt = kNever;
      return;
    }
    if (group.isServing || group.isLoading || group.servesAt != kNever) {
      return;
    }
    if (HoldsAll(group)) {
      group.servesAt = m_now + (group.isNew ? m_fleet.formSeconds : kResumeTime);
    } else {
      group.isLoading = true;
      group.loadLeft = m_fleet.loadSeconds;
      m_loading.insert(group.id);
    }
  }

  void StopLoad(Group& group)
  {
    group.isLoading = false;
    m_loading.erase(group.id);
  }

  void SetServing(Group& group, bool serving)
  {
    if (group.isServing != serving) {
      group.isServing = serving;
      group.isNew = false;
      m_serving += serving ? 1 : -1;
    }
  }

  void ApplyPreloads()
  {
    std::erase_if(m_preloads, [this](const auto& entry) {
      const auto& [vm, left] = entry;
      const bool isDone = left <= 1e-6;
      if (isDone && IsUp(vm) && m_vms[vm].group == 0) {
        m_views[vm].loadedModel = kWeights;
      }
      return isDone || !IsUp(vm) || m_vms[vm].group != 0;
    });
  }

  void GrantPreloads()
  {
    std::map<std::uint32_t, double> requested;
    for (const PreloadRequest& request : m_planner.Preloads()) {
      const std::uint32_t vm = m_rows.at(request.vm.Get());
      const auto found = m_preloads.find(vm);
      if (IsUp(vm)) {
        requested[vm] = found == m_preloads.end() ? m_fleet.loadSeconds : found->second;
      }
    }
    m_preloads = std::move(requested);
  }

  void ApplyGroups()
  {
    while (!m_commands.empty() && m_commands.front().at <= m_now) {
      const Command command = std::move(m_commands.front());
      m_commands.pop_front();
      Apply(command.action);
    }
    const std::vector<std::uint64_t> active(m_active.begin(), m_active.end());
    for (const std::uint64_t id : active) {
      const auto found = m_groups.find(id);
      if (found != m_groups.end()) {
        StepGroup(found->second);
      }
    }
  }

  void StepGroup(Group& group)
  {
    if (group.isLoading && group.loadLeft <= 1e-6) {
      StopLoad(group);
      for (const std::uint32_t vm : group.vms) {
        m_views[vm].loadedModel = kWeights;
      }
      group.servesAt = m_now + (group.isNew ? m_fleet.formSeconds : kResumeTime);
    }
    if (!group.isServing && group.servesAt <= m_now) {
      SetServing(group, true);
      RecordChange();
    }
    if (group.endsAt <= m_now) {
      End(group);
    }
    const bool isStable = group.isServing && group.endsAt == kNever;
    if (isStable) {
      Deactivate(group.id);
    }
  }

  void RecordChange()
  {
    m_changedAt = m_now;
    m_planAt = std::min(m_planAt, m_lastPlan + 1);
  }

  void Apply(const PlannerAction& action)
  {
    if (const auto* form = std::get_if<FormGroupAction>(&action)) {
      Form(*form);
    } else if (const auto* dissolve = std::get_if<DissolveGroupAction>(&action)) {
      const auto found = m_groups.find(dissolve->group.Get());
      if (found != m_groups.end() && !found->second.isEnding) {
        ++m_result.ended;
        End(found->second);
      }
    } else if (const auto* drain = std::get_if<DrainGroupAction>(&action)) {
      const auto found = m_groups.find(drain->group.Get());
      if (found != m_groups.end() && !found->second.isEnding) {
        ++m_result.ended;
        found->second.isEnding = true;
        found->second.endsAt = m_now + kDrainTime;
        Activate(found->second.id);
      }
    }
    RecordChange();
  }

  void Form(const FormGroupAction& form)
  {
    std::vector<std::uint32_t> vms;
    for (const VmId& member : form.members) {
      const std::uint32_t vm = m_rows.at(member.Get());
      if (m_vms[vm].group != 0) {
        return; // Refused, as the control log would refuse the command.
      }
      vms.push_back(vm);
    }
    UpdateGroup(AddGroup(std::move(vms)));
  }

  void End(Group& group)
  {
    group.isEnding = true;
    group.endsAt = kNever;
    group.servesAt = kNever;
    SetServing(group, false);
    StopLoad(group);
    Deactivate(group.id);
    for (const std::uint32_t vm : group.vms) {
      const double delay = IsUp(vm) ? kReleaseDelay : kLeaseTime;
      m_vms[vm].freeAt = m_now + delay;
      m_notices.insert({ m_vms[vm].freeAt, vm });
    }
  }

  void Activate(std::uint64_t id) { m_active.insert(id); }
  void Deactivate(std::uint64_t id)
  {
    m_active.erase(id);
    m_loading.erase(id);
  }

  static TimePoint ToTime(double seconds)
  {
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)) +
                     std::chrono::hours(1));
  }

  void InitialiseCounts()
  {
    m_serving = static_cast<double>(m_fleet.replicas);
    m_healthy = static_cast<double>(m_vms.size());
  }

  void BuildGroupViews()
  {
    m_groupViews.clear();
    for (const auto& [id, group] : m_groups) {
      GroupView view;
      view.group = GroupId(id);
      view.entry = m_models.front().entry;
      view.modelVersion = m_spec.version;
      view.members = group.members;
      view.draining = group.isEnding;
      view.serving = group.isServing;
      view.formedAt = ToTime(group.formedAt);
      if (group.brokenAt != kNever) {
        view.brokenSince = ToTime(group.brokenAt);
      }
      m_groupViews.push_back(std::move(view));
    }
  }

  void Plan()
  {
    BuildGroupViews();
    const double before = m_clockMicros();
    std::vector<PlannerAction> actions =
      m_planner.Plan(ToTime(m_now), { m_views, m_groupViews, m_models, &m_fleet.policy });
    m_result.planMicros.push_back(m_clockMicros() - before);
    for (PlannerAction& action : actions) {
      m_commands.push_back({ m_now + kLogDelay, std::move(action) });
    }
    if (m_fleet.grantsPreloads) {
      GrantPreloads();
    }
    m_lastPlan = m_now;
    m_planAt = m_now + PlanInterval(m_now - m_changedAt);
  }

  static constexpr const char* kWeights = "assist@v1";

  const ReplayFleet& m_fleet;
  PlacementPlanner m_planner;
  const std::function<double()>& m_clockMicros;
  ModelSpec m_spec;
  std::vector<ModelView> m_models;
  std::vector<VmView> m_views;
  std::vector<GroupView> m_groupViews;
  std::unordered_map<std::string, std::uint32_t> m_rows;
  std::vector<Vm> m_vms;
  std::map<std::uint64_t, Group> m_groups;
  std::set<std::uint64_t> m_active; ///< Groups with a pending change of state.
  std::set<std::uint64_t> m_loading;
  std::set<std::pair<double, std::uint32_t>> m_notices;
  std::map<std::uint32_t, double> m_preloads; ///< Seconds of load left, by VM.
  std::deque<Command> m_commands;
  std::vector<Change> m_changes;
  std::size_t m_nextChange = 0;
  std::uint64_t m_nextGroup = 1;
  double m_now = 0;
  double m_planAt = 1;
  double m_lastPlan = 0;
  double m_changedAt = 0;
  double m_serving = 0;
  double m_healthy = 0;
  ReplayResult m_result;
};

} // namespace

ReplayResult Replay(const ReplayFleet& fleet,
                    const std::vector<ReplayOutage>& outages,
                    PlacementPlanner planner,
                    const std::function<double()>& clockMicros)
{
  return Runner(fleet, outages, std::move(planner), clockMicros).Run();
}

} // namespace gooseberrysail::fakes
