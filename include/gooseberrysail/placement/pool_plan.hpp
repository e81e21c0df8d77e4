#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/placement/move_decision.hpp"
#include "gooseberrysail/serving/document.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief Placeholder for the model that a host loads when it is not known.
inline const std::string kUnknownWeights = "?";

/// \brief A target that is in no group and may join one.
struct FreeTarget
{
  InstanceId instance;
  FabricDomainId fabricDomain;
  std::vector<std::string> stagedModels; ///< It joins a group of one of these without a load.
  std::string staging;                   ///< The model that its host is loading; "" for none.
  std::string lastModel; ///< Model of its last group; joining one of this model is quickest.
};

/// \brief Whether the target can join a group of the model without a load.
[[nodiscard]] bool HoldsModel(const FreeTarget& target, const std::string& model);

/// \brief A serving group; the hosts of its members may load other weights meanwhile.
struct ServingGroup
{
  std::string name;
  std::string model;
  FabricDomainId fabricDomain;
  std::vector<FreeTarget> members;
};

/// \brief A model with its present and its wanted number of groups.
struct ModelNeed
{
  const GroupModel* model = nullptr;
  std::uint32_t groups = 0; ///< Serving and forming groups.
  std::uint32_t wanted = 0; ///< Groups to reach by forming some from free targets.
  double offeredLoad = 0;   ///< Offered load of the present requests, in groups; 0 when not known.
};

/// \brief A move of targets between models that has not paid off yet.
struct RecentMove
{
  std::string donor;
  std::string receiver;
};

/// \brief What moves are weighed by.
struct MoveInput
{
  TimePoint now{};
  const EngineSpec& engine;
  std::span<const LoadSample> history; ///< The oldest sample first.
  std::span<const RecentMove> recent;  ///< Their opposites aren't planned.
  std::span<const std::string> lossy;  ///< Models that lost groups lately.
};

struct PoolInput
{
  std::span<const FreeTarget> free;
  std::span<const ModelNeed> needs;
  std::span<const ServingGroup> serving;
  std::uint32_t loadsLeft = 0;  ///< Loads from the weight store that may start now.
  std::uint32_t spareLoads = 0; ///< No load for a spare once the plan has this many loads.
  /// \brief Loads are fast and delay no requests, as before the first one: groups may be formed of
  /// targets that have to load.
  bool loadsAreCheap = false;
  /// \brief Serving groups may be closed to form groups of another model. False while losses are
  /// still being detected: when a whole domain fails, the first losses may make one model look
  /// short of groups, and a moment later it is the other one.
  bool mayTakeOver = true;
  /// \brief Loads that may start before the weight store slows down all of them.
  std::uint32_t loadsAtFullSpeed = std::numeric_limits<std::uint32_t>::max();
  /// \brief No load for second weights once the plan has this many loads.
  std::uint32_t secondLoads = std::numeric_limits<std::uint32_t>::max();
  /// \brief Healthy members of groups that are ending; they will be free shortly.
  std::span<const FreeTarget> returning{};
  /// \brief A takeover must gain more than it loses over the recent course of the load. Null: by
  /// the present load alone.
  const MoveInput* moves = nullptr;
};

/// \brief A group to form; the first member is its head.
struct PlannedGroup
{
  std::string model;
  std::vector<InstanceId> members;
  std::uint32_t loads = 0; ///< Members that must load weights from the store.
};

/// \brief A group formed of free targets and of members of groups that are closed for it.
struct PlannedTakeover
{
  PlannedGroup group;
  std::vector<std::string> releases; ///< Serving groups to close, of a model with less need.
  std::string donor;                 ///< The model of these groups.
  MoveEstimate estimate;             ///< Only where moves are weighed.
};

/// \brief Purpose of a load.
enum class LoadPurpose
{
  kGroup,         ///< Completes a group of idle targets.
  kTakeover,      ///< Completes a group that takes members from another model's group.
  kSpare,         ///< For an idle target without weights.
  kSecondWeights, ///< For a host whose target serves, or last served, another model.
};

[[nodiscard]] const char* ToString(LoadPurpose purpose) noexcept;

/// \brief Weights that a target's host should load in advance.
struct PlannedStage
{
  InstanceId target;
  std::string model;
  LoadPurpose purpose = LoadPurpose::kGroup;
};

/// \brief A free target that takes weights from its host, in a group of its own.
struct PlannedStandby
{
  InstanceId target;
  std::string model;
};

/// \brief Whether a takeover was planned for a model that is short of groups, or why not.
enum class TakeoverVerdict
{
  kNotNeeded,
  kLossesSettle,  ///< Losses are still being detected, or demand is not known.
  kNoCandidate,   ///< No domain has enough suitable targets.
  kTooLittleGain, ///< The total gain over all models is too small.
  kLoadMayPass,   ///< The shortage has not cost as much yet as the move would.
  kMovedRecently, ///< It would undo a move that has not paid off yet.
  kWaitsForLoads, ///< The members of the new group load its weights first.
  kTaken,
};

[[nodiscard]] const char* ToString(TakeoverVerdict verdict) noexcept;

/// \brief What a model that is short of groups waits for.
struct PlannedShortage
{
  std::string model;
  TakeoverVerdict takeover = TakeoverVerdict::kNotNeeded;
  double gain = 0;       ///< Gain of the best takeover at the present load, in groups.
  MoveEstimate estimate; ///< Of the takeover closest to paying off, where moves are weighed.
  bool isBlockedByRecentMove = false; ///< A takeover that pays off would undo a recent one.
  FabricDomainId fabricDomain; ///< Domain of its next group; none when no domain has the targets.
  std::uint32_t loadsToBegin = 0;
  std::uint32_t loadsUnderWay = 0;
};

struct PoolPlan
{
  std::vector<PlannedGroup> groups;
  std::vector<PlannedStage> stages;
  /// \brief Free targets that should take their host's weights now, in a group of their own that
  /// never serves. Each then joins a group of that model as quickly as a former member of one.
  std::vector<PlannedStandby> standbys;
  std::vector<PlannedTakeover> takeovers;
  std::vector<PlannedShortage> shortages;
};

/// \brief Plans which groups to form of free targets, and which weights the other targets' hosts
/// should load.
/// \remarks A member that has to load keeps its whole group idle for ten times as long as a join of
/// warm targets takes. Under traffic, groups are therefore formed of warm targets only, and cold
/// targets load on their own first. The remaining targets hold the weights of one of the models as
/// spares: such a spare repairs a broken group within one or two seconds. When no domain has enough
/// free targets for a group of the model with the greatest need, a group of another model may be
/// closed for it; its members load the new weights while they still serve. A group never spans
/// fabric domains.
[[nodiscard]] PoolPlan PlanPool(const PoolInput& input);

} // namespace gooseberrysail
