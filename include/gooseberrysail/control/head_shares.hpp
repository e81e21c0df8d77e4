#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <cstdint>
#include <map>
#include <span>

/// \file How the heads of one model's groups are divided among the entries.

namespace gooseberrysail {

struct EntryDemand
{
  ProcessId entry;
  FailureDomainId failureDomain;
  double part = 0; ///< Of the model's requests, 0 to 1.
};

struct HeadCapacity
{
  InstanceId head;
  FailureDomainId failureDomain;
  std::uint32_t slots = 1;
};

/// \brief Which part of each head's slots an entry may use.
using HeadShares = std::map<InstanceId, double>;

/// \brief Divides the heads: each entry gets its part of all slots, at so many heads that it has
/// some whole places at each, those of its own failure domain first.
/// \remarks Few entries use every head, each by its part. The heads of an entry come in the order
/// of a rendezvous hash and no head is given out more than whole (bounded loads), so that a head or
/// an entry that comes or goes changes little for the others.
[[nodiscard]] std::map<ProcessId, HeadShares> DivideHeads(std::span<const EntryDemand> entries,
                                                          std::span<const HeadCapacity> heads);

} // namespace gooseberrysail
