#include "placement/fleet.hpp"

#include <algorithm>

namespace gooseberrysail::impl {

namespace {

using RowByName = std::unordered_map<std::string_view, Row>;

void AddVms(const PlannerInput& input,
            const PendingActions& pendingActions,
            const History& history,
            Fleet& fleet)
{
  fleet.vms.reserve(input.vms.size());
  fleet.fabrics.resize(history.CountFabrics());
  for (const VmView& view : input.vms) {
    const auto row = static_cast<Row>(fleet.vms.size());
    const VmHistory& past = history.At(row);
    FleetVm vm;
    vm.view = &view;
    vm.fabric = past.fabric;
    vm.suspect = view.straggler || fleet.now < past.suspectUntil;
    vm.available = view.group.IsNone() && view.reachable && !view.draining;
    if (vm.available) {
      // If a name is listed twice, only one of its rows is used; otherwise one VM could be placed
      // in two groups.
      vm.available = history.Find(view.vm) == row && !pendingActions.vms.contains(view.vm.Get()) &&
                     !history.IsQuarantined(row, fleet.now);
    }
    FleetFabric& fabric = fleet.fabrics[vm.fabric];
    if (fabric.vms == 0) {
      fabric.id = view.fabricDomain;
      fabric.failureDomain = view.failureDomain;
    }
    ++fabric.vms;
    fabric.unreachable += view.reachable ? 0 : 1;
    fleet.vms.push_back(vm);
  }
}

RowByName AddModels(const PlannerInput& input, Fleet& fleet)
{
  for (const ModelView& view : input.models) {
    if (view.spec != nullptr && view.spec->membersPerReplica > 0) {
      fleet.models.push_back({ &view, WeightsName(view.entry, view.spec->version), {} });
    }
  }
  std::ranges::sort(fleet.models, [](const FleetModel& left, const FleetModel& right) {
    return std::tie(left.view->priorityClass, left.view->entry) <
           std::tie(right.view->priorityClass, right.view->entry);
  });
  RowByName rows;
  for (Row row = 0; row < fleet.models.size(); ++row) {
    rows.try_emplace(fleet.models[row].view->entry.Get(), row);
  }
  return rows;
}

void AddMembers(const MemberRows::Rows& rows, Row groupRow, FleetGroup& group, Fleet& fleet)
{
  group.members = rows.known;
  group.unknown = rows.unknown;
  for (const Row row : rows.known) {
    FleetVm& vm = fleet.vms[row];
    // A group that is ending releases its members one by one. Members of other groups are never
    // available, even while the group table and the VM table disagree for a moment.
    if (!group.ending || vm.view->group == group.view->group) {
      vm.available = false;
      vm.group = groupRow;
    }
    group.fabric = vm.fabric;
    group.leaving = group.leaving || vm.view->draining;
    if (!vm.view->reachable) {
      group.missing.push_back(row);
    }
  }
}

bool HoldsSurvivor(const Fleet& fleet, const FleetGroup& group)
{
  return std::ranges::any_of(group.members, [&](Row vm) {
    const VmView& view = *fleet.vms[vm].view;
    return view.reachable && view.group == group.view->group;
  });
}

void AddToFabric(Row row, const FleetGroup& group, FleetFabric& fabric)
{
  fabric.isReleasing = fabric.isReleasing || group.releasing;
  if (group.ending) {
    return;
  }
  fabric.groups.push_back(row);
  if (group.broken) {
    fabric.broken.push_back(row);
  }
}

TimePoint BrokenSince(const FleetGroup& group, const Fleet& fleet)
{
  if (group.view->brokenSince) {
    return *group.view->brokenSince;
  }
  TimePoint since = fleet.now;
  for (const Row vm : group.missing) {
    since = std::min(since, fleet.vms[vm].view->lastHeard);
  }
  return since;
}

void AddGroups(const PlannerInput& input,
               const PendingActions& pendingActions,
               const History& history,
               MemberRows& memberRows,
               const RowByName& modelRows,
               Fleet& fleet)
{
  fleet.groups.reserve(input.groups.size());
  for (const GroupView& view : input.groups) {
    const auto row = static_cast<Row>(fleet.groups.size());
    FleetGroup group;
    group.view = &view;
    const auto pendingEnd = pendingActions.endings.find(view.group.Get());
    const bool isPending = pendingEnd != pendingActions.endings.end();
    group.ending = view.draining || isPending;
    AddMembers(memberRows.Of(view, history), row, group, fleet);
    group.releasing = isPending && pendingEnd->second.isDissolved && HoldsSurvivor(fleet, group);
    group.broken = view.brokenSince.has_value() || !group.missing.empty() || group.unknown > 0;
    if (group.broken) {
      group.brokenSince = BrokenSince(group, fleet);
    }
    if (const auto found = modelRows.find(view.entry.Get()); found != modelRows.end()) {
      group.model = found->second;
      FleetModel& model = fleet.models[group.model];
      model.groups.push_back(row);
      group.current =
        view.modelVersion == model.view->spec->version && view.members.size() == model.Size();
    }
    if (group.fabric != kNoRow) {
      AddToFabric(row, group, fleet.fabrics[group.fabric]);
    }
    fleet.groups.push_back(std::move(group));
  }
}

} // namespace

void PendingActions::RemoveExpired(TimePoint now)
{
  std::erase_if(vms, [now](const auto& entry) { return entry.second <= now; });
  std::erase_if(endings, [now](const auto& entry) { return entry.second.until <= now; });
}

const MemberRows::Rows& MemberRows::Of(const GroupView& group, const History& history)
{
  Entry& entry = m_entries[group.group.Get()];
  entry.isUsed = true;
  const auto isSame = [&](Row row, const VmId& vm) {
    return row < history.CountVms() && history.At(row).vm == vm;
  };
  if (entry.rows.unknown == 0 && std::ranges::equal(entry.rows.known, group.members, isSame)) {
    return entry.rows;
  }
  entry.rows = {};
  for (const VmId& member : group.members) {
    const Row row = history.Find(member);
    if (row == kNoRow) {
      ++entry.rows.unknown;
    } else {
      entry.rows.known.push_back(row);
    }
  }
  return entry.rows;
}

void MemberRows::DropUnused()
{
  std::erase_if(m_entries, [](const auto& entry) { return !entry.second.isUsed; });
  for (auto& [group, entry] : m_entries) {
    entry.isUsed = false;
  }
}

Fleet BuildFleet(TimePoint now,
                 const PlannerInput& input,
                 const PendingActions& pendingActions,
                 const History& history,
                 MemberRows& memberRows)
{
  Fleet fleet;
  fleet.now = now;
  fleet.policy = input.policy;
  AddVms(input, pendingActions, history, fleet);
  const RowByName modelRows = AddModels(input, fleet);
  memberRows.DropUnused();
  AddGroups(input, pendingActions, history, memberRows, modelRows, fleet);
  for (Row row = 0; row < fleet.vms.size(); ++row) {
    const FleetVm& vm = fleet.vms[row];
    FleetFabric& fabric = fleet.fabrics[vm.fabric];
    if (vm.available) {
      fabric.available.push_back(row);
    }
    if (!vm.view->reachable) {
      fabric.away.push_back(row);
    }
    if (!vm.view->reachable && vm.group == kNoRow) {
      fabric.awaySpares.push_back(row);
    }
  }
  return fleet;
}

std::string WeightsName(const EntryName& entry, std::string_view version)
{
  std::string name = entry.Get();
  name += '@';
  name += version;
  return name;
}

} // namespace gooseberrysail::impl
