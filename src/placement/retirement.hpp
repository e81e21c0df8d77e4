#pragma once

#include "placement/fleet.hpp"
#include "placement/weight_loads.hpp"

#include <vector>

namespace gooseberrysail::impl {

/// \brief Largest share of a model's wanted replicas that a new version may take out at once.
inline constexpr double kRolloutShare = 0.1;

struct Retirement
{
  std::vector<PlannerAction> actions;
  /// Replicas to form beyond those wanted, by model row, before an old one may go.
  std::vector<std::uint32_t> surge;
  std::vector<Row> stuck; ///< Groups that never began to serve.
};

/// \brief Ends groups that the catalogue no longer wants: members that leave, models and versions
/// that were replaced, replicas beyond those wanted; and those that a straggler holds up or that
/// never begin to serve.
/// \remarks Groups told to end are marked as ending in `fleet`.
[[nodiscard]] Retirement RetireGroups(Fleet& fleet,
                                      const History& history,
                                      const WeightLoads& loads);

} // namespace gooseberrysail::impl
