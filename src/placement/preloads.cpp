#include "placement/preloads.hpp"

#include <algorithm>
#include <unordered_set>

namespace gooseberrysail::impl {

namespace {

/// Largest share of the weight store's budget for spares; groups that have to load go first.
constexpr double kBudgetShare = 0.5;

/// \brief The model whose weights a spare of this fabric domain should hold: the one with the most
/// urgent class, then the one with the most groups there. Models are sorted by urgency.
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
  std::unordered_map<std::string_view, std::string> requested;
  for (const PreloadRequest& request : m_requests) {
    requested.emplace(request.vm.Get(), WeightsName(request.entry, request.modelVersion));
  }
  for (std::size_t row = 0; row < fleet.vms.size() && !requested.empty() && !m_areGranted; ++row) {
    const VmView& view = *fleet.vms[row].view;
    const auto found = requested.find(view.vm.Get());
    m_areGranted =
      found != requested.end() && view.group.IsNone() && view.loadedModel == found->second;
  }
}

void Preloads::Choose(const Fleet& fleet, std::uint32_t loadsLeft)
{
  const auto most = static_cast<std::size_t>(
    std::min<double>(loadsLeft, std::max(1.0, kBudgetShare * fleet.policy->weightLoadsAtOnce)));
  std::unordered_set<std::string> before;
  for (const PreloadRequest& request : m_requests) {
    before.insert(request.vm.Get());
  }
  std::vector<PreloadRequest> kept;
  std::vector<PreloadRequest> fresh;
  for (const FleetFabric& fabric : fleet.fabrics) {
    const Row model = fabric.available.empty() ? kNoRow : ModelFor(fleet, fabric);
    if (model == kNoRow) {
      continue;
    }
    const FleetModel& target = fleet.models[model];
    for (const Row vm : fabric.available) {
      if (!fleet.vms[vm].available || fleet.vms[vm].suspect || fleet.HoldsWeights(vm, model)) {
        continue;
      }
      PreloadRequest request{ fleet.vms[vm].view->vm,
                              target.view->entry,
                              target.view->spec->version };
      const bool isOld = before.contains(request.vm.Get());
      (isOld ? kept : fresh).push_back(std::move(request));
    }
  }
  // Requests of the previous call come first, so that a running load isn't aborted for another.
  kept.insert(kept.end(), fresh.begin(), fresh.end());
  kept.resize(std::min(most, kept.size()));
  m_requests = std::move(kept);
}

} // namespace gooseberrysail::impl
