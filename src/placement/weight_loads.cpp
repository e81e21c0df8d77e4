#include "placement/weight_loads.hpp"

#include "placement/return_times.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace gooseberrysail::impl {

namespace {

/// Assumed load time of a model for which no load was observed yet.
constexpr double kDefaultLoadSeconds = 120;
/// A group first observed to start within this time after its formation is a new group.
constexpr Duration kNewGroupTime = std::chrono::seconds(10);
/// A load that started within this time has used little of the store's capacity yet.
constexpr Duration kRecentTime = std::chrono::seconds(10);
/// Weight of the latest sample in the exponential moving average.
constexpr double kSmoothingFactor = 0.3;

void UpdateEstimate(double& estimate, double sample)
{
  estimate += kSmoothingFactor * (sample - estimate);
}

} // namespace

bool NeedsLoad(const Fleet& fleet, const FleetGroup& group)
{
  const std::string weights = WeightsName(group.view->entry, group.view->modelVersion);
  return std::ranges::any_of(group.members,
                             [&](Row vm) { return fleet.vms[vm].view->loadedModel != weights; });
}

void WeightLoads::Observe(const Fleet& fleet)
{
  m_running = 0;
  for (auto& [group, start] : m_starts) {
    start.isSeen = false;
  }
  for (const FleetGroup& group : fleet.groups) {
    const bool isStarting = !group.view->serving && !group.broken && !group.ending;
    if (isStarting) {
      RecordStart(fleet, group);
      continue;
    }
    const auto found = m_starts.empty() ? m_starts.end() : m_starts.find(group.view->group.Get());
    if (found == m_starts.end()) {
      continue;
    }
    if (group.view->serving) {
      RecordServing(fleet, group, found->second);
    }
    m_starts.erase(found);
  }
  m_lastCall = fleet.now;
  std::erase_if(m_starts, [](const auto& entry) { return !entry.second.isSeen; });
}

void WeightLoads::RecordStart(const Fleet& fleet, const FleetGroup& group)
{
  const bool isLoad = NeedsLoad(fleet, group);
  const auto [found, isFirst] = m_starts.try_emplace(group.view->group.Get(), Start{ fleet.now });
  if (isFirst) {
    found->second.isNew = fleet.now - group.view->formedAt < kNewGroupTime;
    found->second.isStartObserved = m_lastCall && fleet.now - *m_lastCall < kRecentTime;
  }
  found->second.isLoad = found->second.isLoad || isLoad;
  found->second.isSeen = true;
  m_running += isLoad ? 1 : 0;
}

void WeightLoads::RecordServing(const Fleet& fleet, const FleetGroup& group, const Start& start)
{
  const double sample = ToSeconds(fleet.now - start.at);
  if (!start.isLoad) {
    UpdateEstimate(start.isNew ? m_formSeconds : m_resumeSeconds, sample);
    return;
  }
  double& estimate =
    m_loadSeconds.try_emplace(group.view->entry.Get(), kDefaultLoadSeconds).first->second;
  UpdateEstimate(estimate, sample);
}

std::uint32_t WeightLoads::CountLeft(const PolicySpec& policy) const noexcept
{
  return policy.weightLoadsAtOnce - std::min(policy.weightLoadsAtOnce, m_running);
}

std::vector<Row> WeightLoads::RecentlyBegun(const Fleet& fleet) const
{
  std::vector<std::pair<TimePoint, Row>> begun;
  for (Row row = 0; row < fleet.groups.size(); ++row) {
    const FleetGroup& group = fleet.groups[row];
    const auto found = m_starts.empty() ? m_starts.end() : m_starts.find(group.view->group.Get());
    if (found == m_starts.end() || group.ending) {
      continue;
    }
    const Start& start = found->second;
    if (start.isLoad && start.isStartObserved && fleet.now - start.at < kRecentTime) {
      begun.emplace_back(start.at, row);
    }
  }
  std::ranges::sort(begun, std::greater{});
  std::vector<Row> rows;
  std::ranges::transform(
    begun, std::back_inserter(rows), [](const auto& entry) { return entry.second; });
  return rows;
}

double WeightLoads::SecondsLoading(const Fleet& fleet, const FleetGroup& group) const
{
  const auto found = m_starts.find(group.view->group.Get());
  return found == m_starts.end() ? 0 : ToSeconds(fleet.now - found->second.at);
}

double WeightLoads::LoadSeconds(const EntryName& entry) const
{
  const auto found = m_loadSeconds.find(entry.Get());
  return found == m_loadSeconds.end() ? kDefaultLoadSeconds : found->second;
}

} // namespace gooseberrysail::impl
