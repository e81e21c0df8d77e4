#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/serving/document.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief Stands for the model that a host loads where nobody knows which one.
inline const std::string kUnknownWeights = "?";

/// \brief A target that is in no group and may join one.
struct FreeTarget
{
  InstanceId instance;
  FabricDomainId fabricDomain;
  std::vector<std::string> stagedModels; ///< Joining a group of one of these needs no load.
  std::string staging;                   ///< The model that its host loads now; "" for none.
  std::string lastModel; ///< Of its last group: joining one of this model again is quickest.
};

/// \brief Whether the target joins a group of the model without a load.
[[nodiscard]] bool HoldsModel(const FreeTarget& target, const std::string& model);

/// \brief A group that serves; its members may load other weights meanwhile.
struct ServingGroup
{
  std::string name;
  std::string model;
  FabricDomainId fabricDomain;
  std::vector<FreeTarget> members;
};

/// \brief A model and how far its groups are from what is wanted.
struct ModelNeed
{
  const GroupModel* model = nullptr;
  std::uint32_t groups = 0; ///< Serving and forming ones.
  std::uint32_t wanted = 0; ///< Of free targets.
  double offeredLoad = 0;   ///< Groups that the present requests keep fully busy; 0 when not known.
};

struct PoolInput
{
  std::span<const FreeTarget> free;
  std::span<const ModelNeed> needs;
  std::span<const ServingGroup> serving;
  std::uint32_t loadsLeft = 0;  ///< Loads from the weight store that may begin now.
  std::uint32_t spareLoads = 0; ///< Of these, for weights that no group waits for.
  /// \brief Loads are quick and free, as before the first request: groups may be formed of targets
  /// that have to load.
  bool loadsAreCheap = false;
  /// \brief Serving groups may be given up for another model's. Not while losses are coming in:
  /// when a domain goes dark the first loss makes one model look short, and a moment later the
  /// other is.
  bool mayTakeOver = true;
  /// \brief Loads that may begin before the store slows all of them down.
  std::uint32_t loadsAtFullSpeed = std::numeric_limits<std::uint32_t>::max();
  /// \brief Of the spare loads, those for second weights.
  std::uint32_t secondLoads = std::numeric_limits<std::uint32_t>::max();
  /// \brief Sound members of groups that end; they are free in a moment.
  std::span<const FreeTarget> returning{};
};

/// \brief A group to form; the first member is its head.
struct PlannedGroup
{
  std::string model;
  std::vector<InstanceId> members;
  std::uint32_t loads = 0; ///< Members that must load weights from the store.
};

/// \brief A group of free targets and members of groups that end for it.
struct PlannedTakeover
{
  PlannedGroup group;
  std::vector<std::string> releases; ///< Serving groups to close, of a model that lacks less.
};

/// \brief What a load is for.
enum class LoadPurpose
{
  kGroup,         ///< Completes a group of idle targets.
  kTakeover,      ///< Completes a group that takes members of another model's.
  kSpare,         ///< An idle target without weights.
  kSecondWeights, ///< A host whose target serves, or last served, another model.
};

[[nodiscard]] const char* ToString(LoadPurpose purpose) noexcept;

/// \brief Weights that a target's host should load ahead of need.
struct PlannedStage
{
  InstanceId target;
  std::string model;
  LoadPurpose purpose = LoadPurpose::kGroup;
};

/// \brief Free targets that take weights from their host, in a group of their own.
struct PlannedStandby
{
  InstanceId target;
  std::string model;
};

/// \brief Why no serving group is given up for a model that lacks groups.
enum class TakeoverVerdict
{
  kNotNeeded,
  kLossesSettle,  ///< Not while losses come in, nor before demand is known.
  kNoCandidate,   ///< No domain has the targets.
  kTooLittleGain, ///< The callers of all models together would gain too little.
  kWaitsForLoads, ///< Its members load the weights first.
  kTaken,
};

[[nodiscard]] const char* ToString(TakeoverVerdict verdict) noexcept;

/// \brief What a model that lacks groups waits for.
struct PlannedShortage
{
  std::string model;
  TakeoverVerdict takeover = TakeoverVerdict::kNotNeeded;
  double gain = 0;             ///< Of the best takeover, in groups.
  FabricDomainId fabricDomain; ///< Where its next group comes together; none where nowhere.
  std::uint32_t loadsToBegin = 0;
  std::uint32_t loadsUnderWay = 0;
};

struct PoolPlan
{
  std::vector<PlannedGroup> groups;
  std::vector<PlannedStage> stages;
  /// \brief Free targets that should take their host's weights now, in a group of their own that
  /// never opens: from then on each joins a group of that model as quickly as a former member.
  std::vector<PlannedStandby> standbys;
  std::vector<PlannedTakeover> takeovers;
  std::vector<PlannedShortage> shortages;
};

/// \brief Which groups to form of free targets, and which weights the others should hold.
/// \remarks A member that loads keeps the others of its group idle for ten times as long as a warm
/// join takes. So under load groups are formed of warm targets only, and cold ones load on their
/// own first. What is left over waits with weights of either model: such a spare repairs a broken
/// group within a second or two. Where what is left of every domain is too small for a group of a
/// model that lacks most, a group of a model that lacks least gives up its targets; they load the
/// other weights while they still serve. A group never spans fabric domains.
[[nodiscard]] PoolPlan PlanPool(const PoolInput& input);

} // namespace gooseberrysail
