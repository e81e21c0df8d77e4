#pragma once

#include "placement/fleet.hpp"
#include "placement/weight_loads.hpp"

#include <vector>

namespace gooseberrysail::impl {

/// \brief Input for the choice of repairs.
struct RepairInput
{
  const Fleet& fleet;
  const History& history;
  const WeightLoads& loads;
  std::uint32_t loadsLeft = 0;  ///< Groups that may start to load now.
  bool areSparesLoaded = false; ///< Spares load weights in advance.
};

/// \brief Groups of one fabric domain to dissolve together, so that new groups can be formed of
/// their survivors and spares.
struct Repair
{
  std::vector<Row> dissolve;
  std::uint32_t formed = 0; ///< Groups that can be formed at once.
  std::uint32_t loads = 0;  ///< How many of these have to load weights.
  std::size_t spares = 0;   ///< Free VMs used up.
  double gain = 0;          ///< Expected cost saved compared with a later repair or none.
  double saving = 0;        ///< Expected cost saved compared with waiting indefinitely.
};

/// \brief Returns the repairs with sufficient expected gain, at most one per fabric domain.
[[nodiscard]] std::vector<Repair> ChooseRepairs(const RepairInput& input);

/// \brief Number of replicas to form beyond those wanted, by model row, as substitutes for broken
/// groups that should wait for their members.
[[nodiscard]] std::vector<std::uint32_t> CountSubstitutes(const RepairInput& input);

} // namespace gooseberrysail::impl
