#include "placement/retirement.hpp"

#include "placement/repair_cost.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace gooseberrysail::impl {

namespace {

using namespace std::chrono_literals;

/// Load reports are delayed, so a VM must have been slow for this long to count as a straggler.
constexpr Duration kStragglerTime = 60s;
/// A straggler is replaced only when more spares than this are available.
constexpr std::size_t kSparesBesidesStraggler = 1;
/// A group is stuck when it has been loading for this many times the usual load time.
constexpr double kStuckFactor = 10;
constexpr double kMinStuckSeconds = 600;

/// A broken group has no requests to finish, so it is dissolved instead of drained.
void EndGroup(FleetGroup& group, std::string reason, std::vector<PlannerAction>& actions)
{
  group.ending = true;
  if (group.broken) {
    actions.emplace_back(DissolveGroupAction{ group.view->group, std::move(reason) });
  } else {
    actions.emplace_back(DrainGroupAction{ group.view->group, std::move(reason) });
  }
}

bool Serves(const FleetGroup& group)
{
  return group.view->serving && !group.broken && !group.ending;
}

bool Loads(const FleetGroup& group)
{
  return !group.view->serving && !group.broken && !group.ending;
}

template<class Predicate>
std::vector<Row> Select(const Fleet& fleet, const FleetModel& model, Predicate predicate)
{
  std::vector<Row> rows;
  std::ranges::copy_if(model.groups, std::back_inserter(rows), [&](Row row) {
    return !fleet.groups[row].ending && predicate(fleet.groups[row]);
  });
  return rows;
}

std::uint32_t CountServing(const Fleet& fleet, const FleetModel& model)
{
  return static_cast<std::uint32_t>(
    std::ranges::count_if(model.groups, [&](Row row) { return Serves(fleet.groups[row]); }));
}

void RetireUnwanted(Fleet& fleet, std::vector<PlannerAction>& actions)
{
  for (FleetGroup& group : fleet.groups) {
    if (group.ending) {
      continue;
    }
    if (group.model == kNoRow) {
      EndGroup(group, "the catalogue no longer has the model", actions);
    } else if (group.leaving) {
      EndGroup(group, "a member leaves", actions);
    }
  }
}

/// Broken groups stay while fewer replicas than wanted serve, even if there are more than wanted:
/// one of them may recover before its substitute serves. Of the groups that aren't broken, those
/// that don't serve end first, then those that aren't current, then the youngest.
void RetireSurplus(Fleet& fleet, const FleetModel& model, std::vector<PlannerAction>& actions)
{
  if (CountServing(fleet, model) >= model.Wanted()) {
    for (const Row row : Select(fleet, model, [](const FleetGroup& g) { return g.broken; })) {
      EndGroup(fleet.groups[row], "enough replicas serve without it", actions);
    }
  }
  std::vector<Row> whole = Select(fleet, model, [](const FleetGroup& g) { return !g.broken; });
  if (whole.size() <= model.Wanted()) {
    return;
  }
  const auto rank = [&](Row row) {
    const FleetGroup& group = fleet.groups[row];
    const auto age = -group.view->formedAt.time_since_epoch().count();
    return std::tuple(Serves(group), group.current, age, group.view->group);
  };
  std::ranges::sort(whole, std::less{}, rank);
  const bool isRollout =
    std::ranges::any_of(whole, [&](Row row) { return !fleet.groups[row].current; });
  const std::size_t surplus = whole.size() - model.Wanted();
  for (std::size_t index = 0; index < surplus; ++index) {
    FleetGroup& group = fleet.groups[whole[index]];
    // During a rollout this is a group of the new version that has to serve before an old one ends.
    if (!(isRollout && group.current && Loads(group))) {
      EndGroup(group, "more replicas than wanted", actions);
    }
  }
}

bool HasRoom(const Fleet& fleet, const FleetModel& model)
{
  return std::ranges::any_of(fleet.fabrics, [&](const FleetFabric& fabric) {
    return fabric.available.size() >= model.Size();
  });
}

/// A new version must not take a model out of service: each step waits until the groups formed
/// before it serve, so a version that fails to load stops the rollout.
/// \returns Replicas to form before an old one ends, as a model with few replicas can't spare one.
std::uint32_t RollOut(Fleet& fleet,
                      const FleetModel& model,
                      std::uint32_t loadsLeft,
                      std::vector<PlannerAction>& actions)
{
  const std::vector<Row> old =
    Select(fleet, model, [](const FleetGroup& group) { return !group.current && !group.broken; });
  if (old.empty()) {
    return 0;
  }
  const auto share = static_cast<std::uint32_t>(kRolloutShare * model.Wanted());
  if (share == 0) {
    const bool isSurging = !Select(fleet, model, Loads).empty();
    if (isSurging || HasRoom(fleet, model)) {
      return 1;
    }
  }
  const std::uint32_t maxDown = std::max(1U, share);
  const std::uint32_t down = model.Wanted() - std::min(model.Wanted(), CountServing(fleet, model));
  std::uint32_t allowed = std::min(maxDown - std::min(maxDown, down), loadsLeft);
  for (const Row row : old) {
    if (allowed == 0) {
      break;
    }
    EndGroup(fleet.groups[row], "the catalogue has another version or size", actions);
    --allowed;
  }
  return 0;
}

bool HasStraggler(const Fleet& fleet, const History& history, const FleetGroup& group)
{
  return std::ranges::any_of(group.members, [&](Row vm) {
    const std::optional<TimePoint>& since = history.At(vm).stragglesSince;
    return since && fleet.now - *since >= kStragglerTime;
  });
}

/// Ends one group of a model at a time, and none while fewer replicas than wanted serve: replacing
/// a member costs a load, and a straggler still does some work.
void RetireStraggler(Fleet& fleet,
                     const History& history,
                     const FleetModel& model,
                     std::vector<PlannerAction>& actions)
{
  if (CountServing(fleet, model) < model.Wanted()) {
    return;
  }
  for (const Row row : model.groups) {
    FleetGroup& group = fleet.groups[row];
    if (Serves(group) && HasStraggler(fleet, history, group) &&
        CountSpares(fleet, group.fabric) > kSparesBesidesStraggler) {
      EndGroup(group, "a member straggles", actions);
      return;
    }
  }
}

void RetireStuck(Fleet& fleet, const WeightLoads& loads, Retirement& result)
{
  for (Row row = 0; row < fleet.groups.size(); ++row) {
    FleetGroup& group = fleet.groups[row];
    if (group.model == kNoRow || !Loads(group)) {
      continue;
    }
    const double usual = loads.LoadSeconds(group.view->entry);
    const double limit = std::max(kMinStuckSeconds, kStuckFactor * usual);
    if (loads.SecondsLoading(fleet, group) > limit) {
      group.ending = true;
      result.stuck.push_back(row);
      result.actions.emplace_back(
        DissolveGroupAction{ group.view->group, "it doesn't begin to serve" });
    }
  }
}

/// When a failure domain returns without weights, all its groups would load at once, each at a
/// small share of the weight store's rate, and the first would serve only when the last does. The
/// groups dissolved here are formed again as the budget allows, so that half of them serve in half
/// the time.
void RetireExcessLoads(Fleet& fleet, const WeightLoads& loads, std::vector<PlannerAction>& actions)
{
  const std::uint32_t budget = std::max(1U, fleet.policy->weightLoadsAtOnce);
  if (loads.CountRunning() <= budget) {
    return;
  }
  std::size_t excess = loads.CountRunning() - budget;
  for (const Row row : loads.RecentlyBegun(fleet)) {
    if (excess == 0) {
      return;
    }
    FleetGroup& group = fleet.groups[row];
    group.ending = true;
    actions.emplace_back(
      DissolveGroupAction{ group.view->group, "the weight store feeds others first" });
    --excess;
  }
}

} // namespace

Retirement RetireGroups(Fleet& fleet, const History& history, const WeightLoads& loads)
{
  Retirement result;
  const std::uint32_t loadsLeft = loads.CountLeft(*fleet.policy);
  RetireUnwanted(fleet, result.actions);
  RetireStuck(fleet, loads, result);
  RetireExcessLoads(fleet, loads, result.actions);
  for (const FleetModel& model : fleet.models) {
    RetireSurplus(fleet, model, result.actions);
    result.surge.push_back(RollOut(fleet, model, loadsLeft, result.actions));
    RetireStraggler(fleet, history, model, result.actions);
  }
  return result;
}

} // namespace gooseberrysail::impl
