#pragma once

#include "placement/fleet.hpp"
#include "placement/weight_loads.hpp"

#include <vector>

namespace gooseberrysail::impl {

/// \brief All that a choice between repairs may rest on.
struct RepairInput
{
  const Fleet& fleet;
  const History& history;
  const WeightLoads& loads;
  std::uint32_t loadsLeft = 0;  ///< Groups that may begin to load now.
  bool areSparesLoaded = false; ///< Spares load weights ahead of need.
};

/// \brief Groups of one fabric domain to give up together, so that their survivors, with spares,
/// make up new whole groups.
struct Repair
{
  std::vector<Row> dissolve;
  std::uint32_t formed = 0; ///< Whole groups that come of it at once.
  std::uint32_t loads = 0;  ///< Those of them that have to load weights.
  std::size_t spares = 0;   ///< Free VMs used up.
  double gain = 0;          ///< Expected cost saved against doing it later, if at all.
  double saving = 0;        ///< Expected cost saved against waiting for good.
};

/// \brief The repairs whose expected gain is worth it, at most one for each fabric domain.
[[nodiscard]] std::vector<Repair> ChooseRepairs(const RepairInput& input);

/// \brief How many replicas each model should form beyond those wanted, to stand in for broken
/// groups that are better left to wait for their members.
[[nodiscard]] std::vector<std::uint32_t> CountStandIns(const RepairInput& input);

} // namespace gooseberrysail::impl
