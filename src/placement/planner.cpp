#include "gooseberrysail/placement/planner.hpp"

#include "placement/fleet.hpp"
#include "placement/formation.hpp"
#include "placement/preloads.hpp"
#include "placement/repair.hpp"
#include "placement/retirement.hpp"
#include "placement/weight_loads.hpp"

#include <algorithm>
#include <iterator>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// How long a decision may take through the log before it is taken again.
constexpr Duration kPromiseTime = 5s;
/// A planner that just began to plan repairs nothing for this long: a new leader hasn't heard
/// most VMs yet, and would give up groups that serve.
constexpr Duration kSettleTime = 5s;
/// After such a gap between calls the planner counts as one that just began.
constexpr Duration kLongestGap = 5min;
/// Members of a group that broke although all were in reach, or that got stuck, are avoided.
constexpr Duration kDoubtTime = 10min;

const PolicySpec kDefaultPolicy;

std::vector<impl::Row> ChooseByCost(const impl::RepairInput& input)
{
  std::vector<impl::Row> rows;
  for (const impl::Repair& repair : impl::ChooseRepairs(input)) {
    rows.insert(rows.end(), repair.dissolve.begin(), repair.dissolve.end());
  }
  return rows;
}

} // namespace

struct PlacementPlanner::Impl
{
  RepairPolicy policy;
  impl::History history;
  impl::WeightLoads loads;
  impl::Promises promises;
  impl::MemberRows memberRows;
  impl::Preloads preloads;
  std::vector<TimePoint> owedLoads; ///< Of groups given up and not formed again, until when.
  std::optional<TimePoint> begunAt;
  TimePoint lastCall{};

  bool IsSettled(TimePoint now)
  {
    if (!begunAt || now - lastCall > kLongestGap) {
      begunAt = now;
    }
    lastCall = now;
    return now - *begunAt >= kSettleTime;
  }

  void Remember(const impl::Fleet& fleet, const std::vector<PlannerAction>& actions)
  {
    const TimePoint until = fleet.now + kPromiseTime;
    for (const PlannerAction& action : actions) {
      if (const auto* form = std::get_if<FormGroupAction>(&action)) {
        for (const VmId& vm : form->members) {
          promises.vms[vm.Get()] = until;
        }
      } else if (const auto* dissolve = std::get_if<DissolveGroupAction>(&action)) {
        promises.endings[dissolve->group.Get()] = { until, true };
      } else if (const auto* drain = std::get_if<DrainGroupAction>(&action)) {
        promises.endings[drain->group.Get()] = { until, false };
      }
    }
  }

  /// Nobody can tell which member is the cause: all of them step back behind other VMs.
  void DoubtMembers(const impl::Fleet& fleet, const impl::FleetGroup& group)
  {
    if (!group.missing.empty() || group.unknown > 0) {
      return;
    }
    for (const impl::Row vm : group.members) {
      history.Doubt(vm, fleet.now + kDoubtTime);
    }
  }

  /// Until a group given up is formed again, the load that it will need is spoken for: another
  /// repair that took its place at the store would leave both groups down.
  std::uint32_t LoadsLeftForRepairs(const impl::Fleet& fleet)
  {
    std::erase_if(owedLoads, [&](TimePoint until) { return until <= fleet.now; });
    const std::uint32_t left = loads.CountLeft(*fleet.policy);
    return left - std::min(left, static_cast<std::uint32_t>(owedLoads.size()));
  }

  void PayLoads(std::size_t formed)
  {
    const auto paid = static_cast<std::ptrdiff_t>(std::min(formed, owedLoads.size()));
    owedLoads.erase(owedLoads.begin(), owedLoads.begin() + paid);
  }

  std::uint32_t LoadsLeft(const impl::Fleet& fleet) const
  {
    const auto promised =
      static_cast<std::uint32_t>(std::ranges::count_if(fleet.groups, &impl::FleetGroup::releasing));
    const std::uint32_t left = loads.CountLeft(*fleet.policy);
    return left - std::min(left, promised);
  }

  void GiveUp(impl::Fleet& fleet, impl::Row row, std::vector<PlannerAction>& actions)
  {
    impl::FleetGroup& group = fleet.groups[row];
    if (group.ending) {
      return;
    }
    group.ending = true;
    group.releasing = true;
    owedLoads.push_back(fleet.now + kPromiseTime);
    DoubtMembers(fleet, group);
    actions.emplace_back(
      DissolveGroupAction{ group.view->group, "its survivors serve sooner in a new group" });
  }

  std::vector<PlannerAction> Plan(impl::Fleet& fleet, bool isSettled)
  {
    impl::Retirement retired = impl::RetireGroups(fleet, history, loads);
    for (const impl::Row row : retired.stuck) {
      DoubtMembers(fleet, fleet.groups[row]);
    }
    std::vector<PlannerAction> actions = std::move(retired.actions);
    std::vector<std::uint32_t> extra = std::move(retired.surge);
    if (isSettled) {
      for (const impl::Row row :
           policy({ fleet, history, loads, LoadsLeftForRepairs(fleet), preloads.AreGranted() })) {
        GiveUp(fleet, row, actions);
      }
    }
    std::uint32_t loadsLeft = LoadsLeft(fleet);
    if (isSettled && hasStandIns) {
      const auto standIns =
        impl::CountStandIns({ fleet, history, loads, loadsLeft, preloads.AreGranted() });
      std::ranges::transform(extra, standIns, extra.begin(), std::plus{});
    }
    std::vector<FormGroupAction> formed = impl::FormGroups(fleet, extra, loadsLeft);
    PayLoads(formed.size());
    std::ranges::move(formed, std::back_inserter(actions));
    preloads.Choose(fleet, loadsLeft);
    return actions;
  }

  bool hasStandIns = false;
};

PlacementPlanner::PlacementPlanner()
  : PlacementPlanner(&ChooseByCost)
{
  m_impl->hasStandIns = true;
}

PlacementPlanner::PlacementPlanner(RepairPolicy policy)
  : m_impl(std::make_unique<Impl>())
{
  m_impl->policy = std::move(policy);
}

PlacementPlanner::~PlacementPlanner() = default;
PlacementPlanner::PlacementPlanner(PlacementPlanner&&) noexcept = default;

std::vector<PlannerAction> PlacementPlanner::Plan(TimePoint now, const PlannerInput& input)
{
  Impl& planner = *m_impl;
  planner.promises.DropOverdue(now);
  planner.history.Observe(now, input);
  impl::Fleet fleet =
    impl::BuildFleet(now, input, planner.promises, planner.history, planner.memberRows);
  fleet.policy = input.policy != nullptr ? input.policy : &kDefaultPolicy;
  planner.loads.Observe(fleet);
  planner.preloads.Observe(fleet);
  std::vector<PlannerAction> actions = planner.Plan(fleet, planner.IsSettled(now));
  planner.Remember(fleet, actions);
  return actions;
}

std::span<const PreloadWish> PlacementPlanner::Preloads() const noexcept
{
  return m_impl->preloads.Wishes();
}

} // namespace gooseberrysail
