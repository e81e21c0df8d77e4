#pragma once

#include "placement/group_forecast.hpp"
#include "placement/repair.hpp"

#include <span>
#include <vector>

namespace gooseberrysail::impl {

/// \brief Expected cost of using up spares of a fabric domain until the VMs are back whose loss
/// `cause` suffers from.
[[nodiscard]] double PriceOfUse(const RepairInput& input,
                                Row fabric,
                                std::size_t used,
                                const Outlook& cause);

/// \brief Spares of a fabric domain that are as good as any other VM.
[[nodiscard]] std::size_t CountSpares(const Fleet& fleet, Row fabric);

/// \brief Whether nothing may be decided in the fabric domain now.
[[nodiscard]] bool IsUnsettled(const Fleet& fleet, Row fabric);

/// \brief Weighs giving up `groups`, all of one fabric domain, against waiting for each.
/// \returns A repair without groups formed when it isn't possible now.
[[nodiscard]] Repair WeighRepair(const RepairInput& input,
                                 Row fabric,
                                 std::span<Outlook* const> groups);

} // namespace gooseberrysail::impl
