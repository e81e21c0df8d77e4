#pragma once

#include "placement/fleet.hpp"
#include "placement/weight_loads.hpp"

#include <vector>

namespace gooseberrysail::impl {

/// \brief Largest share of a model's wanted replicas that a rollout may take out of service at
/// once.
inline constexpr double kRolloutShare = 0.1;

struct Retirement
{
  std::vector<PlannerAction> actions;
  /// Replicas to form beyond those wanted, by model row, before an old one may end.
  std::vector<std::uint32_t> surge;
  std::vector<Row> stuck; ///< Groups that never started to serve.
};

/// \brief Ends groups with a draining member, of a removed model or a replaced version, or beyond
/// the wanted replicas. Also ends groups slowed down by a straggler, groups that never start to
/// serve, and recent loads in excess of the weight store's budget.
/// \remarks Marks these groups as ending in `fleet`.
[[nodiscard]] Retirement RetireGroups(Fleet& fleet,
                                      const History& history,
                                      const WeightLoads& loads);

} // namespace gooseberrysail::impl
