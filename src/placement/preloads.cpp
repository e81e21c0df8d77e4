#include "placement/preloads.hpp"

#include <algorithm>
#include <unordered_set>

namespace gooseberrysail::impl {

namespace {

/// Groups that have to load go first; at most this share of the store's budget is for spares.
constexpr double kBudgetShare = 0.5;

/// \brief The model most worth a spare of this fabric domain: the most urgent, then the one with
/// the most groups there. Models are sorted by urgency.
Row ModelFor(const Fleet& fleet, const FleetFabric& fabric)
{
  std::unordered_map<Row, std::size_t> groups;
  for (const Row row : fabric.groups) {
    if (fleet.groups[row].model != kNoRow) {
      ++groups[fleet.groups[row].model];
    }
  }
  Row best = kNoRow;
  for (const auto& [model, count] : groups) {
    const bool isFirst = best == kNoRow;
    const auto urgency = fleet.models[model].view->priorityClass;
    const auto bestUrgency = isFirst ? urgency : fleet.models[best].view->priorityClass;
    if (isFirst || urgency < bestUrgency ||
        (urgency == bestUrgency &&
         (count > groups[best] || (count == groups[best] && model < best)))) {
      best = model;
    }
  }
  return best;
}

} // namespace

void Preloads::Observe(const Fleet& fleet)
{
  std::unordered_map<std::string_view, std::string> wished;
  for (const PreloadWish& wish : m_wishes) {
    wished.emplace(wish.vm.Get(), WeightsName(wish.entry, wish.modelVersion));
  }
  for (std::size_t row = 0; row < fleet.vms.size() && !wished.empty() && !m_areGranted; ++row) {
    const VmView& view = *fleet.vms[row].view;
    const auto found = wished.find(view.vm.Get());
    m_areGranted =
      found != wished.end() && view.group.IsNone() && view.loadedModel == found->second;
  }
}

void Preloads::Choose(const Fleet& fleet, std::uint32_t loadsLeft)
{
  const auto most = static_cast<std::size_t>(
    std::min<double>(loadsLeft, std::max(1.0, kBudgetShare * fleet.policy->weightLoadsAtOnce)));
  std::unordered_set<std::string> before;
  for (const PreloadWish& wish : m_wishes) {
    before.insert(wish.vm.Get());
  }
  std::vector<PreloadWish> kept;
  std::vector<PreloadWish> fresh;
  for (const FleetFabric& fabric : fleet.fabrics) {
    const Row model = fabric.available.empty() ? kNoRow : ModelFor(fleet, fabric);
    if (model == kNoRow) {
      continue;
    }
    const FleetModel& target = fleet.models[model];
    for (const Row vm : fabric.available) {
      if (!fleet.vms[vm].available || fleet.vms[vm].doubtful || fleet.HoldsWeights(vm, model)) {
        continue;
      }
      PreloadWish wish{ fleet.vms[vm].view->vm, target.view->entry, target.view->spec->version };
      const bool isOld = before.contains(wish.vm.Get());
      (isOld ? kept : fresh).push_back(std::move(wish));
    }
  }
  // A load that has begun is not given up for another one.
  kept.insert(kept.end(), fresh.begin(), fresh.end());
  kept.resize(std::min(most, kept.size()));
  m_wishes = std::move(kept);
}

} // namespace gooseberrysail::impl
