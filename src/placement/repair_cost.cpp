#include "placement/repair_cost.hpp"

#include <algorithm>
#include <map>

namespace gooseberrysail::impl {

namespace {

/// Time from dissolving a group until its survivors are free.
constexpr double kReleaseSeconds = 2;
/// Factor for the value of a warm spare when spares load in advance, so that a used one is
/// replaced.
constexpr double kRefilledSpareValue = 0.1;
/// Earliest time of a later repair: the interval between calls of the planner.
constexpr double kReplanSeconds = 1;

std::vector<Row> ListAway(const Fleet& fleet, Row fabric, std::span<GroupForecast* const> groups)
{
  std::vector<Row> away;
  for (const GroupForecast* forecast : groups) {
    const std::vector<Row>& missing = fleet.groups[forecast->group].missing;
    away.insert(away.end(), missing.begin(), missing.end());
  }
  for (const Row vm : fleet.fabrics[fabric].awaySpares) {
    away.push_back(vm);
  }
  return away;
}

/// VMs that a repair may use, survivors and spares, counted by the weights they hold.
struct Pool
{
  std::size_t total = 0;
  std::map<Row, std::size_t> warm; ///< By model.
};

void AddToPool(const Fleet& fleet, Row vm, std::span<GroupForecast* const> groups, Pool& pool)
{
  ++pool.total;
  for (const GroupForecast* forecast : groups) {
    const Row model = fleet.groups[forecast->group].model;
    if (fleet.HoldsWeights(vm, model)) {
      ++pool.warm[model];
      return;
    }
  }
}

Pool MakePool(const Fleet& fleet, Row fabric, std::span<GroupForecast* const> groups)
{
  Pool pool;
  for (const Row vm : fleet.fabrics[fabric].available) {
    AddToPool(fleet, vm, groups, pool);
  }
  for (const GroupForecast* forecast : groups) {
    const FleetGroup& group = fleet.groups[forecast->group];
    // When all members are reachable, one of them is the cause and can't be identified.
    std::size_t suspects = group.missing.empty() && group.unknown == 0 ? 1 : 0;
    for (const Row vm : group.members) {
      if (fleet.vms[vm].view->reachable && suspects == 0) {
        AddToPool(fleet, vm, groups, pool);
      }
      suspects -= suspects > 0 ? 1 : 0;
    }
  }
  return pool;
}

/// Removes the members of one more group from the pool.
/// \returns Whether the group has to load.
bool TakeGroup(Pool& pool, Row model, std::size_t size)
{
  std::size_t& warm = pool.warm[model];
  const bool needsLoad = warm < size;
  warm -= std::min(warm, size);
  pool.total -= size;
  return needsLoad;
}

struct RepairTotals
{
  double cost = 0;
  double unformedCostPerSecond = 0; ///< Cost per second of the groups that can't be formed now.
  double unformedLoadCost = 0;      ///< Cost of loading those groups later.
  std::size_t unformedMembers = 0;  ///< VMs that those groups need.
};

/// \returns False when the budget for loads doesn't allow it now.
bool AddGroup(const RepairInput& input,
              const GroupForecast& forecast,
              Pool& pool,
              Repair& repair,
              RepairTotals& totals)
{
  const FleetGroup& group = input.fleet.groups[forecast.group];
  const FleetModel& model = input.fleet.models[group.model];
  const double load = input.loads.LoadSeconds(model.view->entry);
  if (pool.total < model.Size()) {
    totals.unformedCostPerSecond += forecast.costPerSecond;
    totals.unformedLoadCost += forecast.costPerSecond * load;
    totals.unformedMembers += model.Size();
    return true;
  }
  const bool needsLoad = TakeGroup(pool, group.model, model.Size());
  repair.loads += needsLoad ? 1 : 0;
  ++repair.formed;
  const double start = needsLoad ? load : input.loads.FormSeconds();
  totals.cost += forecast.costPerSecond * (kReleaseSeconds + start);
  return repair.loads <= input.loadsLeft;
}

double UnformedCost(const RepairInput& input,
                    const RepairTotals& totals,
                    const Pool& pool,
                    const std::vector<Row>& away)
{
  if (totals.unformedMembers == 0) {
    return 0;
  }
  const std::size_t needed = totals.unformedMembers - std::min(totals.unformedMembers, pool.total);
  const double wait = ExpectedReturns(input.fleet, input.history, away, needed);
  return totals.unformedCostPerSecond * wait + totals.unformedLoadCost;
}

/// Cost of a repair's effect on the spares that hold the weights. With such a spare the next repair
/// needs no load, so a repair is charged for those that it uses and credited with members that
/// return with their weights.
struct WarmChange
{
  double cost = 0;
  double valueOfNext = 0;
};

WarmChange EvaluateWarmSpares(const RepairInput& input,
                              Row fabric,
                              std::span<GroupForecast* const> groups,
                              const Pool& pool,
                              const RepairTotals& totals)
{
  const GroupForecast& first = *groups.front();
  const Row model = input.fleet.groups[first.group].model;
  const auto before = static_cast<std::size_t>(
    std::ranges::count_if(input.fleet.fabrics[fabric].available,
                          [&](Row vm) { return input.fleet.HoldsWeights(vm, model); }));
  std::size_t after = before;
  if (const auto found = pool.warm.find(model); totals.unformedMembers == 0) {
    after = found == pool.warm.end() ? 0 : found->second;
  }
  const double load = input.loads.LoadSeconds(input.fleet.models[model].view->entry);
  const double share = input.areSparesLoaded ? kRefilledSpareValue : 1;
  const double loadCost =
    share * first.costPerSecond * std::max(0.0, load - input.loads.FormSeconds());
  WarmChange change;
  change.cost = WarmSpareValue(before, loadCost) - WarmSpareValue(after, loadCost);
  change.valueOfNext = WarmSpareValue(after + 1, loadCost) - WarmSpareValue(after, loadCost);
  return change;
}

} // namespace

std::size_t CountSpares(const Fleet& fleet, Row fabric)
{
  return static_cast<std::size_t>(std::ranges::count_if(
    fleet.fabrics[fabric].available, [&](Row vm) { return !fleet.vms[vm].suspect; }));
}

bool HasPendingRelease(const Fleet& fleet, Row fabric)
{
  return fleet.fabrics[fabric].isReleasing;
}

double SpareUseCost(const RepairInput& input,
                    Row fabric,
                    std::size_t used,
                    const GroupForecast& cause)
{
  if (used == 0) {
    return 0;
  }
  const FleetFabric& domain = input.fleet.fabrics[fabric];
  const auto vms = static_cast<double>(domain.vms - domain.unreachable);
  const double outageRate = input.history.OutageRate() * vms;
  const double refill = ExpectedDown(cause, StepTimes().back());
  const double downEach =
    DownWithoutSpare(cause, input.history.Times(OutageSpan::kAlone)) / std::max(refill, 1.0);
  const double uncovered =
    AddedUncoveredOutages(CountSpares(input.fleet, fabric), used, outageRate * refill);
  return cause.costPerSecond * downEach * uncovered;
}

Repair EvaluateRepair(const RepairInput& input, Row fabric, std::span<GroupForecast* const> groups)
{
  Repair repair;
  Pool pool = MakePool(input.fleet, fabric, groups);
  RepairTotals totals;
  for (const GroupForecast* forecast : groups) {
    repair.dissolve.push_back(forecast->group);
    if (!AddGroup(input, *forecast, pool, repair, totals)) {
      return {};
    }
  }
  if (repair.formed == 0) {
    return {};
  }
  const std::size_t spares = input.fleet.fabrics[fabric].available.size();
  repair.spares = spares - std::min(spares, pool.total);
  const double price = SpareUseCost(input, fabric, repair.spares, *groups.front());
  double cost =
    totals.cost + UnformedCost(input, totals, pool, ListAway(input.fleet, fabric, groups));
  const WarmChange warm = EvaluateWarmSpares(input, fabric, groups, pool, totals);
  cost += warm.cost;
  const auto count = static_cast<double>(groups.size());
  const double share = cost / count;
  cost += price;
  double waiting = 0;
  for (GroupForecast* forecast : groups) {
    forecast->warmSpareValue = warm.valueOfNext;
    cost -= warm.valueOfNext * forecast->warmReturns[0];
    repair.saving += CostOfWaiting(*forecast);
    waiting += CostOfWaiting(*forecast, share, price / count, kReplanSeconds);
  }
  repair.gain = waiting - cost;
  repair.saving -= cost;
  return repair;
}

} // namespace gooseberrysail::impl
