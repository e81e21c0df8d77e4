#pragma once

#include "gooseberrysail/control/membership.hpp"
#include "gooseberrysail/placement/planner.hpp"

#include <cstdint>
#include <functional>
#include <tuple>
#include <utility>
#include <vector>

namespace gooseberrysail {

/// \brief Decides which groups to form, drain and dissolve.
using PlanHook = std::function<std::vector<PlannerAction>(TimePoint now, const PlannerInput&)>;

/// \brief Runs the planner about once a second and proposes its actions; forms the one-VM groups of
/// plain services itself.
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
  /// Revisions of the planner's inputs; a change of them makes the next planning run earlier.
  std::tuple<std::uint64_t, std::uint64_t, LogIndex> m_plannedRevisions;
  TimePoint m_lastPlan{};
  std::vector<VmId> m_engines; ///< Sorted, as of m_sortedRevision.
  std::uint64_t m_sortedRevision = 0;
};

} // namespace gooseberrysail
