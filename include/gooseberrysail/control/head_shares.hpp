#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <cstdint>
#include <map>
#include <span>

/// \file Divides the heads of one model's groups among the entries.

namespace gooseberrysail {

struct EntryDemand
{
  ProcessId entry;
  FailureDomainId failureDomain;
  double part = 0; ///< Fraction of the model's requests, 0 to 1.
};

struct HeadCapacity
{
  InstanceId head;
  FailureDomainId failureDomain;
  std::uint32_t slots = 1;
};

/// \brief The fraction of each head's slots that an entry may use.
using HeadShares = std::map<InstanceId, double>;

/// \brief Gives each entry its part of all slots, concentrated on so many heads that it has several
/// whole slots at each; heads of the entry's own failure domain come first.
/// \remarks With few entries each one uses every head. An entry's heads are ordered by a rendezvous
/// hash, and no head is allocated beyond its capacity (bounded loads), so that adding or removing a
/// head or an entry changes little for the others.
[[nodiscard]] std::map<ProcessId, HeadShares> DivideHeads(std::span<const EntryDemand> entries,
                                                          std::span<const HeadCapacity> heads);

} // namespace gooseberrysail
