#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/serving/document.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief A target that is in no group and may join one.
struct FreeTarget
{
  InstanceId instance;
  FabricDomainId fabricDomain;
  std::vector<std::string> stagedModels; ///< Joining a group of one of these needs no load.
};

/// \brief What one model has already.
struct ModelHoldings
{
  std::string model;
  std::uint32_t targets = 0; ///< In groups of it, forming ones among them.
};

struct PoolInput
{
  std::span<const FreeTarget> free;
  std::span<const GroupModel> models;
  std::span<const ModelHoldings> holdings;
  std::uint32_t loadsLeft = 0; ///< Loads from the weight store that may begin now.
};

/// \brief A group to form; the first member is its head.
struct PlannedGroup
{
  std::string model;
  std::vector<InstanceId> members;
  std::uint32_t loads = 0; ///< Members that must load weights from the store.
};

/// \brief Which groups to form of free targets, so that the models' parts of all targets come to
/// their shares of the work.
/// \remarks Groups whose members all hold the weights come first: they serve within a second or two
/// where a load takes ten times as long. A group never spans fabric domains.
[[nodiscard]] std::vector<PlannedGroup> PlanPool(const PoolInput& input);

} // namespace gooseberrysail
