#include "placement/pool_candidates.hpp"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace gooseberrysail::impl {

namespace {

/// Those that `fits` come first; otherwise the order stays.
template<class Fits>
void PutFirst(Targets& targets, Fits fits)
{
  std::stable_partition(targets.begin(), targets.end(), fits);
}

/// A target that joins a group has its weights put in the place of all that its host holds.
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

/// Those that hold the model's weights and another one's.
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

/// How soon a target's host holds a model's weights, the soonest first.
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

Place MakePlace(const FabricDomainId& domain, const Targets& targets, const GroupModel& model)
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

/// Fewest loads first. Then fewest weights lost, which only a load brings back, and fewest changes
/// of model. Then the domain with most room, so that groups spread evenly and one dark domain takes
/// few of a model.
bool IsBetter(const Place& left, const Place& right)
{
  return std::tuple(left.loads, left.lost, left.changes, right.free, left.fabricDomain) <
         std::tuple(right.loads, right.lost, right.changes, left.free, right.fabricDomain);
}

void PutInOrder(Targets& targets, const std::string& model)
{
  // The quickest first, and before them those that can serve this model only.
  PutFirst(targets, [&](const FreeTarget* target) { return target->lastModel == model; });
  PutFirst(targets, [&](const FreeTarget* target) { return !LosesOtherWeights(*target, model); });
  PutFirst(targets, [&](const FreeTarget* target) { return HoldsModel(*target, model); });
}

Assembly MakeAssembly(const FabricDomainId& domain, Targets targets, const GroupModel& model)
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

/// Loads take equally long, so that one more to begin costs no time, while a group that another
/// model gives up costs its callers.
bool IsSooner(const Assembly& left, const Assembly& right)
{
  const auto rank = [](const Assembly& each) {
    return std::tuple(each.blocked, each.toBegin > 0, each.takesOver, each.toBegin);
  };
  return rank(left) < rank(right);
}

bool IsComing(const FreeTarget& target, const std::string& model)
{
  return HoldsModel(target, model) || target.staging == model;
}

std::size_t CountComing(const Targets& targets, const std::string& model)
{
  return static_cast<std::size_t>(std::ranges::count_if(
    targets, [&](const FreeTarget* target) { return IsComing(*target, model); }));
}

} // namespace gooseberrysail::impl
