#include "placement/repair_cost.hpp"

#include <algorithm>
#include <map>

namespace gooseberrysail::impl {

namespace {

/// From giving up a group until its survivors are free.
constexpr double kReleaseSeconds = 2;
/// What a warm spare is still worth where the next one is loaded ahead of need anyhow.
constexpr double kRefilledWorth = 0.1;
/// Time that one more decision costs if the group's members come back right away.
constexpr double kNextLookSeconds = 1;

std::vector<Row> Away(const Fleet& fleet, Row fabric, std::span<Outlook* const> groups)
{
  std::vector<Row> away;
  for (const Outlook* outlook : groups) {
    const std::vector<Row>& missing = fleet.groups[outlook->group].missing;
    away.insert(away.end(), missing.begin(), missing.end());
  }
  for (const Row vm : fleet.fabrics[fabric].awaySpares) {
    away.push_back(vm);
  }
  return away;
}

/// VMs that a repair may use: survivors and spares, by the weights they hold.
struct Pool
{
  std::size_t total = 0;
  std::map<Row, std::size_t> warm; ///< By model.
};

void AddToPool(const Fleet& fleet, Row vm, std::span<Outlook* const> groups, Pool& pool)
{
  ++pool.total;
  for (const Outlook* outlook : groups) {
    const Row model = fleet.groups[outlook->group].model;
    if (fleet.HoldsWeights(vm, model)) {
      ++pool.warm[model];
      return;
    }
  }
}

Pool MakePool(const Fleet& fleet, Row fabric, std::span<Outlook* const> groups)
{
  Pool pool;
  for (const Row vm : fleet.fabrics[fabric].available) {
    AddToPool(fleet, vm, groups, pool);
  }
  for (const Outlook* outlook : groups) {
    const FleetGroup& group = fleet.groups[outlook->group];
    // With all members in reach one of them is the cause, and nobody can tell which.
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

/// Takes the members of one more group off the pool.
/// \returns Whether the group has to load.
bool TakeGroup(Pool& pool, Row model, std::size_t size)
{
  std::size_t& warm = pool.warm[model];
  const bool needsLoad = warm < size;
  warm -= std::min(warm, size);
  pool.total -= size;
  return needsLoad;
}

struct Tally
{
  double cost = 0;
  double restRate = 0;         ///< Cost per second of those that stay down.
  double restLoad = 0;         ///< Cost of loading them later.
  std::size_t restMembers = 0; ///< VMs that those need.
};

/// \returns False when the weight store has no room for it now.
bool AddGroup(const RepairInput& input,
              const Outlook& outlook,
              Pool& pool,
              Repair& repair,
              Tally& tally)
{
  const FleetGroup& group = input.fleet.groups[outlook.group];
  const FleetModel& model = input.fleet.models[group.model];
  const double load = input.loads.LoadSeconds(model.view->entry);
  if (pool.total < model.Size()) {
    tally.restRate += outlook.rate;
    tally.restLoad += outlook.rate * load;
    tally.restMembers += model.Size();
    return true;
  }
  const bool needsLoad = TakeGroup(pool, group.model, model.Size());
  repair.loads += needsLoad ? 1 : 0;
  ++repair.formed;
  const double start = needsLoad ? load : input.loads.FormSeconds();
  tally.cost += outlook.rate * (kReleaseSeconds + start);
  return repair.loads <= input.loadsLeft;
}

double CostOfRest(const RepairInput& input,
                  const Tally& tally,
                  const Pool& pool,
                  const std::vector<Row>& away)
{
  if (tally.restMembers == 0) {
    return 0;
  }
  const std::size_t needed = tally.restMembers - std::min(tally.restMembers, pool.total);
  const double wait = ExpectedReturns(input.fleet, input.history, away, needed);
  return tally.restRate * wait + tally.restLoad;
}

/// A spare that holds the weights turns the next repair's load into a mere start, so a repair
/// pays for those that it uses and is paid for members that come back with their weights.
struct WarmChange
{
  double cost = 0;
  double worthOfNext = 0;
};

WarmChange WeighWarm(const RepairInput& input,
                     Row fabric,
                     std::span<Outlook* const> groups,
                     const Pool& pool,
                     const Tally& tally)
{
  const Outlook& first = *groups.front();
  const Row model = input.fleet.groups[first.group].model;
  const auto before = static_cast<std::size_t>(
    std::ranges::count_if(input.fleet.fabrics[fabric].available,
                          [&](Row vm) { return input.fleet.HoldsWeights(vm, model); }));
  std::size_t after = before;
  if (const auto found = pool.warm.find(model); tally.restMembers == 0) {
    after = found == pool.warm.end() ? 0 : found->second;
  }
  const double load = input.loads.LoadSeconds(input.fleet.models[model].view->entry);
  const double share = input.areSparesLoaded ? kRefilledWorth : 1;
  const double loadCost = share * first.rate * std::max(0.0, load - input.loads.FormSeconds());
  WarmChange change;
  change.cost = WorthOfWarm(before, loadCost) - WorthOfWarm(after, loadCost);
  change.worthOfNext = WorthOfWarm(after + 1, loadCost) - WorthOfWarm(after, loadCost);
  return change;
}

} // namespace

std::size_t CountSpares(const Fleet& fleet, Row fabric)
{
  return static_cast<std::size_t>(std::ranges::count_if(
    fleet.fabrics[fabric].available, [&](Row vm) { return !fleet.vms[vm].doubtful; }));
}

bool IsUnsettled(const Fleet& fleet, Row fabric)
{
  return fleet.fabrics[fabric].isReleasing;
}

double PriceOfUse(const RepairInput& input, Row fabric, std::size_t used, const Outlook& cause)
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
  const double leftOut =
    OutagesLeftOut(CountSpares(input.fleet, fabric), used, outageRate * refill);
  return cause.rate * downEach * leftOut;
}

Repair WeighRepair(const RepairInput& input, Row fabric, std::span<Outlook* const> groups)
{
  Repair repair;
  Pool pool = MakePool(input.fleet, fabric, groups);
  Tally tally;
  for (const Outlook* outlook : groups) {
    repair.dissolve.push_back(outlook->group);
    if (!AddGroup(input, *outlook, pool, repair, tally)) {
      return {};
    }
  }
  if (repair.formed == 0) {
    return {};
  }
  const std::size_t spares = input.fleet.fabrics[fabric].available.size();
  repair.spares = spares - std::min(spares, pool.total);
  const double price = PriceOfUse(input, fabric, repair.spares, *groups.front());
  double cost = tally.cost + CostOfRest(input, tally, pool, Away(input.fleet, fabric, groups));
  const WarmChange warm = WeighWarm(input, fabric, groups, pool, tally);
  cost += warm.cost;
  const auto count = static_cast<double>(groups.size());
  const double share = cost / count;
  cost += price;
  double waiting = 0;
  for (Outlook* outlook : groups) {
    outlook->warmWorth = warm.worthOfNext;
    cost -= warm.worthOfNext * outlook->warmReturns[0];
    repair.saving += CostOfWaiting(*outlook);
    waiting += CostOfWaiting(*outlook, share, price / count, kNextLookSeconds);
  }
  repair.gain = waiting - cost;
  repair.saving -= cost;
  return repair;
}

} // namespace gooseberrysail::impl
