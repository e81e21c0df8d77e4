#pragma once

#include "gooseberrysail/control/membership.hpp"
#include "gooseberrysail/placement/planner.hpp"

#include <cstdint>
#include <functional>
#include <tuple>
#include <utility>
#include <vector>

namespace gooseberrysail {

/// \brief Decides which groups to form and give up.
using PlanHook = std::function<std::vector<PlannerAction>(TimePoint now, const PlannerInput&)>;

/// \brief About once a second shows the planner what there is and proposes what it decides; forms
/// the one-VM groups of plain services itself.
class GroupPlanning
{
public:
  explicit GroupPlanning(PlanHook plan)
    : m_plan(std::move(plan))
  {
  }

  void Tick(ControlContext& context, const TargetMembership& membership);

  static constexpr Duration kPlanInterval = std::chrono::seconds(1);

private:
  struct Views;
  void SortEngines(const GroupTable& table);
  void RunPlanner(ControlContext& context, const TargetMembership& membership);
  void FormServiceGroups(ControlContext& context, const TargetMembership& membership);
  void DrainOrphans(ControlContext& context);
  void Propose(ControlContext& context,
               const TargetMembership& membership,
               const PlannerAction& action);

  PlanHook m_plan;
  /// What was planned on: news of the fleet or the catalogue speed the next planning up.
  std::tuple<std::uint64_t, std::uint64_t, LogIndex> m_plannedOn;
  TimePoint m_lastPlan{};
  std::vector<VmId> m_engines; ///< In order, as of m_sortedRevision.
  std::uint64_t m_sortedRevision = 0;
};

} // namespace gooseberrysail
