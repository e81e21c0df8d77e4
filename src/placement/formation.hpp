#pragma once

#include "placement/fleet.hpp"

#include <vector>

namespace gooseberrysail::impl {

/// \brief Forms groups of available VMs for models that have fewer replicas than wanted.
/// \param extraWanted Replicas to form beyond those wanted, one count per model row.
/// \param loadsLeft Groups that may start to load weights now; decremented for each that does.
/// \remarks Marks the VMs used as not available in `fleet`.
[[nodiscard]] std::vector<FormGroupAction> FormGroups(Fleet& fleet,
                                                      const std::vector<std::uint32_t>& extraWanted,
                                                      std::uint32_t& loadsLeft);

/// \brief The `count` VMs among `candidates` best suited to serve `model`, the head first.
/// \returns Fewer than `count` when there are not enough candidates.
[[nodiscard]] std::vector<Row> ChooseMembers(const Fleet& fleet,
                                             Row model,
                                             std::vector<Row> candidates,
                                             std::size_t count);

} // namespace gooseberrysail::impl
