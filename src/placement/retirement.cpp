#include "placement/retirement.hpp"

#include <algorithm>
#include <tuple>

namespace gooseberrysail::impl {

namespace {

/// A broken group has nothing to finish, so it is given up instead of drained.
void End(FleetGroup& group, std::string reason, std::vector<PlannerAction>& actions)
{
  group.ending = true;
  if (group.broken) {
    actions.emplace_back(DissolveGroupAction{ group.view->group, std::move(reason) });
  } else {
    actions.emplace_back(DrainGroupAction{ group.view->group, std::move(reason) });
  }
}

void RetireUnwanted(Fleet& fleet, std::vector<PlannerAction>& actions)
{
  for (FleetGroup& group : fleet.groups) {
    if (group.ending) {
      continue;
    }
    if (group.model == kNoRow) {
      End(group, "the catalogue no longer has the model", actions);
    } else if (group.leaving) {
      End(group, "a member leaves", actions);
    }
  }
}

std::vector<Row> Replicas(const Fleet& fleet, const FleetModel& model)
{
  std::vector<Row> rows;
  std::ranges::copy_if(
    model.groups, std::back_inserter(rows), [&](Row row) { return !fleet.groups[row].ending; });
  return rows;
}

bool Serves(const FleetGroup& group)
{
  return group.view->serving && !group.broken && !group.ending;
}

/// Those that do least for the callers go first; among equals, the youngest.
void RetireSurplus(Fleet& fleet, const FleetModel& model, std::vector<PlannerAction>& actions)
{
  std::vector<Row> replicas = Replicas(fleet, model);
  if (replicas.size() <= model.Wanted()) {
    return;
  }
  std::ranges::sort(replicas, std::less{}, [&](Row row) {
    const FleetGroup& group = fleet.groups[row];
    return std::tuple(Serves(group),
                      group.current,
                      -group.view->formedAt.time_since_epoch().count(),
                      group.view->group);
  });
  const std::size_t surplus = replicas.size() - model.Wanted();
  for (std::size_t index = 0; index < surplus; ++index) {
    End(fleet.groups[replicas[index]], "more replicas than wanted", actions);
  }
}

std::uint32_t Serving(const Fleet& fleet, const FleetModel& model)
{
  return static_cast<std::uint32_t>(
    std::ranges::count_if(model.groups, [&](Row row) { return Serves(fleet.groups[row]); }));
}

/// A new version may never take a model out of service by itself: each step waits until the
/// groups formed before serve again, so a version that doesn't load stops the rollout by itself.
void RollOut(Fleet& fleet, const FleetModel& model, std::vector<PlannerAction>& actions)
{
  const auto share = static_cast<std::uint32_t>(kRolloutShare * model.Wanted());
  const std::uint32_t maxDown = std::max(1U, share);
  const std::uint32_t serving = Serving(fleet, model);
  const std::uint32_t down = model.Wanted() - std::min(model.Wanted(), serving);
  std::uint32_t allowed = maxDown - std::min(maxDown, down);
  for (const Row row : model.groups) {
    FleetGroup& group = fleet.groups[row];
    if (allowed == 0) {
      return;
    }
    if (group.current || group.ending || group.broken) {
      continue;
    }
    End(group, "the catalogue has another version or size", actions);
    --allowed;
  }
}

} // namespace

std::vector<PlannerAction> RetireGroups(Fleet& fleet)
{
  std::vector<PlannerAction> actions;
  RetireUnwanted(fleet, actions);
  for (const FleetModel& model : fleet.models) {
    RetireSurplus(fleet, model, actions);
    RollOut(fleet, model, actions);
  }
  return actions;
}

} // namespace gooseberrysail::impl
