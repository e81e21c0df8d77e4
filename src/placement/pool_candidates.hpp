#pragma once

#include "gooseberrysail/placement/pool_plan.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrysail::impl {

using Targets = std::vector<const FreeTarget*>;

/// \brief One place for one group.
struct Place
{
  FabricDomainId fabricDomain;
  std::uint32_t loads = 0;
  std::uint32_t lost = 0;    ///< Members whose hosts lose another model's weights.
  std::uint32_t changes = 0; ///< Members that served another model last.
  std::size_t free = 0;      ///< Targets of the domain.
};

/// \brief What a group of the model costs when it is formed of these targets.
[[nodiscard]] Place MakePlace(const FabricDomainId& domain,
                              const Targets& targets,
                              const GroupModel& model);

[[nodiscard]] bool IsBetter(const Place& left, const Place& right);

/// \brief The targets of a domain in the order in which a group of the model takes them.
void PutInOrder(Targets& targets, const std::string& model);

/// \brief Targets of one domain that make a group once all of them hold its weights.
struct Assembly
{
  FabricDomainId fabricDomain;
  Targets members;
  std::size_t blocked = 0; ///< Their hosts load other weights first.
  std::size_t toBegin = 0; ///< Loads that have not begun.
  std::size_t underWay = 0;
  bool takesOver = false; ///< Some of the members serve another model.
};

/// \brief Of these targets those that hold the model's weights soonest, as many as a group has.
[[nodiscard]] Assembly MakeAssembly(const FabricDomainId& domain,
                                    Targets targets,
                                    const GroupModel& model);

[[nodiscard]] bool IsSooner(const Assembly& left, const Assembly& right);

/// \brief Whether the target's host holds the weights or loads them.
[[nodiscard]] bool IsComing(const FreeTarget& target, const std::string& model);

[[nodiscard]] std::size_t CountComing(const Targets& targets, const std::string& model);

} // namespace gooseberrysail::impl
