#include "gooseberrysail/placement/planner.hpp"

#include "placement/fleet.hpp"
#include "placement/formation.hpp"
#include "placement/retirement.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

/// How long a decision may take through the log before it is taken again.
constexpr Duration kPromiseTime = std::chrono::seconds(5);

/// A group that never serves although no member is missing.
std::uint32_t CountLoads(const impl::Fleet& fleet)
{
  return static_cast<std::uint32_t>(
    std::ranges::count_if(fleet.groups, [&](const impl::FleetGroup& group) {
      return !group.view->serving && !group.broken && !group.ending;
    }));
}

std::vector<PlannerAction> DissolveBroken(impl::Fleet& fleet)
{
  std::vector<PlannerAction> actions;
  for (impl::FleetFabric& fabric : fleet.fabrics) {
    std::size_t spares = fabric.available.size();
    for (const impl::Row row : fabric.broken) {
      impl::FleetGroup& group = fleet.groups[row];
      const std::size_t lost = group.missing.size() + group.unknown;
      const bool isOverdue = fleet.now - group.brokenSince >= fleet.policy->repairPatience;
      if (group.ending || !isOverdue || lost > spares) {
        continue;
      }
      spares -= lost;
      group.ending = true;
      actions.emplace_back(DissolveGroupAction{ group.view->group, "a spare takes over" });
    }
  }
  return actions;
}

} // namespace

struct PlacementPlanner::Impl
{
  impl::Promises promises;

  void Remember(TimePoint now, const std::vector<PlannerAction>& actions)
  {
    for (const PlannerAction& action : actions) {
      if (const auto* form = std::get_if<FormGroupAction>(&action)) {
        for (const VmId& vm : form->members) {
          promises.vms[vm.Get()] = now + kPromiseTime;
        }
      } else if (const auto* dissolve = std::get_if<DissolveGroupAction>(&action)) {
        promises.endings[dissolve->group.Get()] = now + kPromiseTime;
      } else if (const auto* drain = std::get_if<DrainGroupAction>(&action)) {
        promises.endings[drain->group.Get()] = now + kPromiseTime;
      }
    }
  }
};

PlacementPlanner::PlacementPlanner()
  : m_impl(std::make_unique<Impl>())
{
}

PlacementPlanner::~PlacementPlanner() = default;
PlacementPlanner::PlacementPlanner(PlacementPlanner&&) noexcept = default;

std::vector<PlannerAction> PlacementPlanner::Plan(TimePoint now, const PlannerInput& input)
{
  static const PolicySpec kDefaultPolicy;
  m_impl->promises.DropOverdue(now);
  impl::Fleet fleet = impl::BuildFleet(now, input, m_impl->promises);
  fleet.policy = input.policy != nullptr ? input.policy : &kDefaultPolicy;
  std::vector<PlannerAction> actions = impl::RetireGroups(fleet);
  std::ranges::move(DissolveBroken(fleet), std::back_inserter(actions));
  const std::uint32_t loads = CountLoads(fleet);
  std::uint32_t loadsLeft =
    fleet.policy->weightLoadsAtOnce - std::min(fleet.policy->weightLoadsAtOnce, loads);
  const std::vector<std::uint32_t> noExtra(fleet.models.size(), 0);
  std::ranges::move(impl::FormGroups(fleet, noExtra, loadsLeft), std::back_inserter(actions));
  m_impl->Remember(now, actions);
  return actions;
}

} // namespace gooseberrysail
