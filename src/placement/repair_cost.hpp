#pragma once

#include "placement/group_forecast.hpp"
#include "placement/repair.hpp"

#include <span>
#include <vector>

namespace gooseberrysail::impl {

/// \brief Expected cost of using up spares of a fabric domain until the VMs missing from the group
/// of `cause` are back.
[[nodiscard]] double SpareUseCost(const RepairInput& input,
                                  Row fabric,
                                  std::size_t used,
                                  const GroupForecast& cause);

/// \brief Number of available VMs of a fabric domain that are not suspect.
[[nodiscard]] std::size_t CountSpares(const Fleet& fleet, Row fabric);

/// \brief Whether survivors of a dissolved group aren't free yet; until then no repair is chosen in
/// the fabric domain.
[[nodiscard]] bool HasPendingRelease(const Fleet& fleet, Row fabric);

/// \brief Compares dissolving `groups`, all of one fabric domain, with waiting for each of them.
/// \returns A repair with `formed` 0 when it isn't possible now.
[[nodiscard]] Repair EvaluateRepair(const RepairInput& input,
                                    Row fabric,
                                    std::span<GroupForecast* const> groups);

} // namespace gooseberrysail::impl
