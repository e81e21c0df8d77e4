#pragma once

#include "placement/fleet.hpp"

#include <vector>

namespace gooseberrysail::impl {

/// \brief Largest share of a model's wanted replicas that a new version may take out at once.
inline constexpr double kRolloutShare = 0.1;

/// \brief Ends groups that the catalogue no longer wants: members that leave, models and versions
/// that were replaced, replicas beyond those wanted.
/// \remarks Groups told to end are marked as ending in `fleet`.
[[nodiscard]] std::vector<PlannerAction> RetireGroups(Fleet& fleet);

} // namespace gooseberrysail::impl
