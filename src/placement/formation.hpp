#pragma once

#include "placement/fleet.hpp"

#include <vector>

namespace gooseberrysail::impl {

/// \brief Forms groups for models under their wanted replicas out of available VMs.
/// \param extraWanted Replicas to form beyond those wanted, one count per model row.
/// \param loadsLeft Groups that may begin to load weights now; counted down.
/// \remarks VMs used are taken off `fleet`.
[[nodiscard]] std::vector<FormGroupAction> FormGroups(Fleet& fleet,
                                                      const std::vector<std::uint32_t>& extraWanted,
                                                      std::uint32_t& loadsLeft);

/// \brief The `count` VMs among `candidates` best suited to serve `model`, the head first.
/// \returns Fewer than `count` when there aren't as many.
[[nodiscard]] std::vector<Row> ChooseMembers(const Fleet& fleet,
                                             Row model,
                                             std::vector<Row> candidates,
                                             std::size_t count);

} // namespace gooseberrysail::impl
