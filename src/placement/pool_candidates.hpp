#pragma once

#include "gooseberrysail/placement/pool_plan.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrysail::impl {

using Targets = std::vector<const FreeTarget*>;

/// \brief Cost of forming one group in a domain.
struct FormationOption
{
  FabricDomainId fabricDomain;
  std::uint32_t loads = 0;
  std::uint32_t lost = 0;    ///< Members whose hosts lose another model's weights.
  std::uint32_t changes = 0; ///< Members that served another model last.
  std::size_t free = 0;      ///< Free targets of the domain.
};

/// \brief Cost of forming a group of the model from these targets of the domain.
[[nodiscard]] FormationOption EvaluateFormation(const FabricDomainId& domain,
                                                const Targets& targets,
                                                const GroupModel& model);

[[nodiscard]] bool IsBetter(const FormationOption& left, const FormationOption& right);

/// \brief Sorts the targets of a domain by preference for a group of the model.
void SortForModel(Targets& targets, const std::string& model);

/// \brief Targets of one domain that can form a group once all of them hold its weights.
struct CandidateGroup
{
  FabricDomainId fabricDomain;
  Targets members;
  std::size_t blocked = 0; ///< Members whose hosts are loading other weights.
  std::size_t toBegin = 0; ///< Loads still to start.
  std::size_t underWay = 0;
  bool takesOver = false; ///< Some of the members serve another model.
};

/// \brief Chooses as many targets as a group has members, those that hold the weights soonest.
[[nodiscard]] CandidateGroup MakeCandidate(const FabricDomainId& domain,
                                           Targets targets,
                                           const GroupModel& model);

[[nodiscard]] bool IsReadySooner(const CandidateGroup& left, const CandidateGroup& right);

/// \brief Whether the target's host holds the weights or is loading them.
[[nodiscard]] bool HoldsOrLoads(const FreeTarget& target, const std::string& model);

[[nodiscard]] std::size_t CountHoldingOrLoading(const Targets& targets, const std::string& model);

} // namespace gooseberrysail::impl
