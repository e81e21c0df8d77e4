#include "placement/pool_candidates.hpp"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace gooseberrysail::impl {

namespace {

/// Moves the targets that match `fits` to the front and keeps the order otherwise.
template<class Fits>
void MoveToFront(Targets& targets, Fits fits)
{
  std::stable_partition(targets.begin(), targets.end(), fits);
}

/// When a target joins a group, the group's weights replace all that its host holds.
bool LosesOtherWeights(const FreeTarget& target, const std::string& model)
{
  const bool servedOther = !target.lastModel.empty() && target.lastModel != model;
  return servedOther || std::ranges::any_of(target.stagedModels, [&](const std::string& staged) {
           return staged != model;
         });
}

std::uint32_t CountWarm(const Targets& targets, const std::string& model)
{
  return static_cast<std::uint32_t>(std::ranges::count_if(
    targets, [&](const FreeTarget* target) { return HoldsModel(*target, model); }));
}

/// Counts targets that hold the model's weights and would lose those of another model.
std::uint32_t CountLosing(const Targets& targets, const std::string& model)
{
  return static_cast<std::uint32_t>(std::ranges::count_if(targets, [&](const FreeTarget* target) {
    return HoldsModel(*target, model) && LosesOtherWeights(*target, model);
  }));
}

std::uint32_t CountServedLast(const Targets& targets, const std::string& model)
{
  return static_cast<std::uint32_t>(std::ranges::count(targets, model, &FreeTarget::lastModel));
}

/// How soon a target's host can hold a model's weights, the soonest first.
enum class Readiness
{
  kHolds,
  kLoads,
  kCanLoad,
  kLoadsOther, ///< A host loads one model at a time.
};

Readiness ReadinessOf(const FreeTarget& target, const std::string& model)
{
  if (HoldsModel(target, model)) {
    return Readiness::kHolds;
  }
  if (target.staging == model) {
    return Readiness::kLoads;
  }
  return target.staging.empty() ? Readiness::kCanLoad : Readiness::kLoadsOther;
}

} // namespace

FormationOption EvaluateFormation(const FabricDomainId& domain,
                                  const Targets& targets,
                                  const GroupModel& model)
{
  const std::uint32_t warm = CountWarm(targets, model.name);
  const std::uint32_t losing = CountLosing(targets, model.name);
  const std::uint32_t keeping = warm - losing;
  const std::uint32_t served = CountServedLast(targets, model.name);
  return { domain,
           model.size - std::min(model.size, warm),
           std::min(losing, model.size - std::min(model.size, keeping)),
           model.size - std::min(model.size, served),
           targets.size() };
}

/// Fewest loads first; then fewest weights lost, as only a load restores them; then fewest changes
/// of model. Then the domain with most free targets, so that groups are spread evenly and the loss
/// of a domain affects few groups of a model.
bool IsBetter(const FormationOption& left, const FormationOption& right)
{
  return std::tuple(left.loads, left.lost, left.changes, right.free, left.fabricDomain) <
         std::tuple(right.loads, right.lost, right.changes, left.free, right.fabricDomain);
}

void SortForModel(Targets& targets, const std::string& model)
{
  // Sort keys, least significant first: quickest join, then targets that lose no other model's
  // weights, then targets that hold this model's weights.
  MoveToFront(targets, [&](const FreeTarget* target) { return target->lastModel == model; });
  MoveToFront(targets,
              [&](const FreeTarget* target) { return !LosesOtherWeights(*target, model); });
  MoveToFront(targets, [&](const FreeTarget* target) { return HoldsModel(*target, model); });
}

CandidateGroup MakeCandidate(const FabricDomainId& domain, Targets targets, const GroupModel& model)
{
  const auto readiness = [&](const FreeTarget* target) { return ReadinessOf(*target, model.name); };
  std::ranges::stable_sort(targets, std::less{}, readiness);
  targets.resize(model.size);
  const auto count = [&](Readiness wanted) {
    return static_cast<std::size_t>(std::ranges::count(targets, wanted, readiness));
  };
  const std::size_t blocked = count(Readiness::kLoadsOther);
  const std::size_t toBegin = count(Readiness::kCanLoad);
  const std::size_t underWay = count(Readiness::kLoads);
  return { domain, std::move(targets), blocked, toBegin, underWay, false };
}

/// All loads take equally long, so one more load to start takes no extra time, while closing a
/// group of another model affects its callers.
bool IsReadySooner(const CandidateGroup& left, const CandidateGroup& right)
{
  const auto rank = [](const CandidateGroup& each) {
    return std::tuple(each.blocked, each.toBegin > 0, each.takesOver, each.toBegin);
  };
  return rank(left) < rank(right);
}

bool HoldsOrLoads(const FreeTarget& target, const std::string& model)
{
  return HoldsModel(target, model) || target.staging == model;
}

std::size_t CountHoldingOrLoading(const Targets& targets, const std::string& model)
{
  return static_cast<std::size_t>(std::ranges::count_if(
    targets, [&](const FreeTarget* target) { return HoldsOrLoads(*target, model); }));
}

} // namespace gooseberrysail::impl
