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

/// How long an action may take to be applied through the log before it is returned again.
constexpr Duration kPendingTimeout = 5s;
/// A planner makes no repairs for this long after its first call: a new leader has had no contact
/// with most VMs yet and would dissolve groups that serve.
constexpr Duration kStartupGrace = 5s;
/// After a longer gap between calls the startup grace period begins again.
constexpr Duration kMaxCallGap = 5min;
/// How long members are avoided after their group broke with all of them reachable, or got stuck.
constexpr Duration kSuspectTime = 10min;

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
  impl::PendingActions pendingActions;
  impl::MemberRows memberRows;
  impl::Preloads preloads;
  /// Expiry times of loads reserved for dissolved groups that are not formed again yet.
  std::vector<TimePoint> reservedLoads;
  std::optional<TimePoint> startedAt;
  TimePoint lastCall{};

  bool IsSettled(TimePoint now)
  {
    if (!startedAt || now - lastCall > kMaxCallGap) {
      startedAt = now;
    }
    lastCall = now;
    return now - *startedAt >= kStartupGrace;
  }

  void RecordPending(const impl::Fleet& fleet, const std::vector<PlannerAction>& actions)
  {
    const TimePoint until = fleet.now + kPendingTimeout;
    for (const PlannerAction& action : actions) {
      if (const auto* form = std::get_if<FormGroupAction>(&action)) {
        for (const VmId& vm : form->members) {
          pendingActions.vms[vm.Get()] = until;
        }
      } else if (const auto* dissolve = std::get_if<DissolveGroupAction>(&action)) {
        pendingActions.endings[dissolve->group.Get()] = { until, true };
      } else if (const auto* drain = std::get_if<DrainGroupAction>(&action)) {
        pendingActions.endings[drain->group.Get()] = { until, false };
      }
    }
  }

  /// The faulty member can't be identified, so other VMs are preferred to all of the members.
  void MarkMembersSuspect(const impl::Fleet& fleet, const impl::FleetGroup& group)
  {
    if (!group.missing.empty() || group.unknown > 0) {
      return;
    }
    for (const impl::Row vm : group.members) {
      history.MarkSuspect(vm, fleet.now + kSuspectTime);
    }
  }

  /// Until a dissolved group is formed again, the load that it will need is reserved: if another
  /// repair took it, both groups would stay down.
  std::uint32_t LoadsLeftForRepairs(const impl::Fleet& fleet)
  {
    std::erase_if(reservedLoads, [&](TimePoint until) { return until <= fleet.now; });
    const std::uint32_t left = loads.CountLeft(*fleet.policy);
    return left - std::min(left, static_cast<std::uint32_t>(reservedLoads.size()));
  }

  void ReleaseReservedLoads(std::size_t formed)
  {
    const auto released = static_cast<std::ptrdiff_t>(std::min(formed, reservedLoads.size()));
    reservedLoads.erase(reservedLoads.begin(), reservedLoads.begin() + released);
  }

  std::uint32_t LoadsLeft(const impl::Fleet& fleet) const
  {
    const auto promised =
      static_cast<std::uint32_t>(std::ranges::count_if(fleet.groups, &impl::FleetGroup::releasing));
    const std::uint32_t left = loads.CountLeft(*fleet.policy);
    return left - std::min(left, promised);
  }

  void Dissolve(impl::Fleet& fleet, impl::Row row, std::vector<PlannerAction>& actions)
  {
    impl::FleetGroup& group = fleet.groups[row];
    if (group.ending) {
      return;
    }
    group.ending = true;
    group.releasing = true;
    reservedLoads.push_back(fleet.now + kPendingTimeout);
    MarkMembersSuspect(fleet, group);
    actions.emplace_back(
      DissolveGroupAction{ group.view->group, "its survivors serve sooner in a new group" });
  }

  std::vector<PlannerAction> Plan(impl::Fleet& fleet, bool isSettled)
  {
    impl::Retirement retired = impl::RetireGroups(fleet, history, loads);
    for (const impl::Row row : retired.stuck) {
      MarkMembersSuspect(fleet, fleet.groups[row]);
    }
    std::vector<PlannerAction> actions = std::move(retired.actions);
    std::vector<std::uint32_t> extra = std::move(retired.surge);
    if (isSettled) {
      for (const impl::Row row :
           policy({ fleet, history, loads, LoadsLeftForRepairs(fleet), preloads.AreGranted() })) {
        Dissolve(fleet, row, actions);
      }
    }
    std::uint32_t loadsLeft = LoadsLeft(fleet);
    if (isSettled && formsSubstitutes) {
      const auto substitutes =
        impl::CountSubstitutes({ fleet, history, loads, loadsLeft, preloads.AreGranted() });
      std::ranges::transform(extra, substitutes, extra.begin(), std::plus{});
    }
    std::vector<FormGroupAction> formed = impl::FormGroups(fleet, extra, loadsLeft);
    ReleaseReservedLoads(formed.size());
    std::ranges::move(formed, std::back_inserter(actions));
    preloads.Choose(fleet, loadsLeft);
    return actions;
  }

  bool formsSubstitutes = false;
};

PlacementPlanner::PlacementPlanner()
  : PlacementPlanner(&ChooseByCost)
{
  m_impl->formsSubstitutes = true;
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
  planner.pendingActions.RemoveExpired(now);
  planner.history.Observe(now, input);
  impl::Fleet fleet =
    impl::BuildFleet(now, input, planner.pendingActions, planner.history, planner.memberRows);
  fleet.policy = input.policy != nullptr ? input.policy : &kDefaultPolicy;
  planner.loads.Observe(fleet);
  planner.preloads.Observe(fleet);
  std::vector<PlannerAction> actions = planner.Plan(fleet, planner.IsSettled(now));
  planner.RecordPending(fleet, actions);
  return actions;
}

std::span<const PreloadRequest> PlacementPlanner::Preloads() const noexcept
{
  return m_impl->preloads.Requests();
}

} // namespace gooseberrysail
