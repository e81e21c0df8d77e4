#include "placement/fleet.hpp"

#include <algorithm>

namespace gooseberrysail::impl {

namespace {

using RowByName = std::unordered_map<std::string_view, Row>;

Row FabricRow(const VmView& vm, RowByName& rows, std::vector<FleetFabric>& fabrics)
{
  const auto [found, isNew] =
    rows.try_emplace(vm.fabricDomain.Get(), static_cast<Row>(fabrics.size()));
  if (isNew) {
    fabrics.push_back({ vm.fabricDomain, vm.failureDomain, 0, 0, {}, {} });
  }
  return found->second;
}

RowByName AddVms(const PlannerInput& input, const Promises& promises, Fleet& fleet)
{
  RowByName rows;
  RowByName fabricRows;
  rows.reserve(input.vms.size());
  fleet.vms.reserve(input.vms.size());
  for (const VmView& view : input.vms) {
    const auto row = static_cast<Row>(fleet.vms.size());
    // A name listed twice would let one VM into two groups: only its first row is ever used.
    const bool isNew = rows.try_emplace(view.vm.Get(), row).second;
    FleetVm vm;
    vm.view = &view;
    vm.fabric = FabricRow(view, fabricRows, fleet.fabrics);
    vm.available = isNew && view.group.IsNone() && view.reachable && !view.draining &&
                   !promises.vms.contains(view.vm.Get());
    FleetFabric& fabric = fleet.fabrics[vm.fabric];
    ++fabric.vms;
    fabric.unreachable += view.reachable ? 0 : 1;
    fleet.vms.push_back(vm);
  }
  return rows;
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

void AddMembers(const RowByName& vmRows, Row groupRow, FleetGroup& group, Fleet& fleet)
{
  for (const VmId& member : group.view->members) {
    const auto found = vmRows.find(member.Get());
    if (found == vmRows.end()) {
      ++group.unknown;
      continue;
    }
    FleetVm& vm = fleet.vms[found->second];
    vm.available = false;
    vm.group = groupRow;
    group.members.push_back(found->second);
    group.fabric = vm.fabric;
    group.leaving = group.leaving || vm.view->draining;
    if (!vm.view->reachable) {
      group.missing.push_back(found->second);
    }
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
               const Promises& promises,
               const RowByName& vmRows,
               const RowByName& modelRows,
               Fleet& fleet)
{
  fleet.groups.reserve(input.groups.size());
  for (const GroupView& view : input.groups) {
    const auto row = static_cast<Row>(fleet.groups.size());
    FleetGroup group;
    group.view = &view;
    AddMembers(vmRows, row, group, fleet);
    group.ending = view.draining || promises.endings.contains(view.group.Get());
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
    if (group.broken && !group.ending && group.fabric != kNoRow) {
      fleet.fabrics[group.fabric].broken.push_back(row);
    }
    fleet.groups.push_back(std::move(group));
  }
}

template<class Map>
void EraseOverdue(TimePoint now, Map& map)
{
  std::erase_if(map, [now](const auto& entry) { return entry.second <= now; });
}

} // namespace

void Promises::DropOverdue(TimePoint now)
{
  EraseOverdue(now, vms);
  EraseOverdue(now, endings);
}

Fleet BuildFleet(TimePoint now, const PlannerInput& input, const Promises& promises)
{
  Fleet fleet;
  fleet.now = now;
  fleet.policy = input.policy;
  const RowByName vmRows = AddVms(input, promises, fleet);
  const RowByName modelRows = AddModels(input, fleet);
  AddGroups(input, promises, vmRows, modelRows, fleet);
  for (Row row = 0; row < fleet.vms.size(); ++row) {
    if (fleet.vms[row].available) {
      fleet.fabrics[fleet.vms[row].fabric].available.push_back(row);
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
