#include "gooseberrysail/control/usage_shares.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace gooseberrysail {

namespace {

/// \brief Fraction of a limit that is spread evenly regardless of demand, so that an entry without
/// callers of a workspace can admit the first one before the next division.
constexpr double kEvenPart = 0.1;
constexpr std::size_t kMaxWorkspacesReported = 10'000;

} // namespace

std::vector<double> DivideByDemand(double limit, std::span<const double> demands)
{
  std::vector<double> parts(demands.size(), 0.0);
  if (demands.empty()) {
    return parts;
  }
  std::vector<std::size_t> order(demands.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
    return demands[left] < demands[right];
  });
  double left = limit;
  std::size_t unserved = demands.size();
  for (const std::size_t index : order) {
    const double fair = left / static_cast<double>(unserved);
    parts[index] = std::min(std::max(demands[index], 0.0), fair);
    left -= parts[index];
    --unserved;
  }
  for (double& part : parts) {
    part += left / static_cast<double>(parts.size());
  }
  return parts;
}

std::vector<std::uint32_t> DivideWhole(std::uint32_t limit, std::span<const double> parts)
{
  std::vector<std::uint32_t> whole(parts.size(), 0);
  const double sum = std::accumulate(parts.begin(), parts.end(), 0.0);
  if (parts.empty() || sum <= 0) {
    return whole;
  }
  std::vector<std::pair<double, std::size_t>> remainders;
  std::uint32_t given = 0;
  for (std::size_t index = 0; index < parts.size(); ++index) {
    const double exact = limit * parts[index] / sum;
    whole[index] = static_cast<std::uint32_t>(std::floor(exact));
    given += whole[index];
    remainders.emplace_back(exact - std::floor(exact), index);
  }
  std::sort(remainders.rbegin(), remainders.rend());
  for (const auto& [remainder, index] : remainders) {
    if (given >= limit) {
      break;
    }
    ++whole[index];
    ++given;
  }
  return whole;
}

void UsageShares::OnReport(const ControlContext& context,
                           const ProcessId& peer,
                           const wire::UsageReportT& report)
{
  Reporter& reporter = m_reporters[peer];
  reporter.lastReport = context.now;
  reporter.demand.clear();
  for (const auto& usage : report.usage) {
    if (reporter.demand.size() < kMaxWorkspacesReported) {
      reporter.demand[usage->workspace] = usage->demandPerSecond;
    }
  }
}

void UsageShares::Tick(ControlContext& context)
{
  if (context.now < m_nextShare || !context.HasFreshQuorum()) {
    return;
  }
  m_nextShare = context.now + kShareInterval;
  std::erase_if(m_reporters, [&](const auto& item) {
    return context.now - item.second.lastReport >= kReservedFor;
  });
  std::vector<std::pair<ProcessId, const Reporter*>> reporters;
  for (const auto& [process, reporter] : m_reporters) {
    reporters.emplace_back(process, &reporter);
  }
  std::sort(reporters.begin(), reporters.end());
  std::vector<wire::ShareUpdateT> updates(reporters.size());

  for (const auto& [name, entry] : context.catalogue.All(wire::EntryKind::Workspace)) {
    const auto& spec = std::get<WorkspaceSpec>(entry.spec);
    const bool limited =
      spec.requestsPerSecond > 0 || spec.tokensPerSecond > 0 || spec.maxConcurrent > 0;
    if (!limited) {
      continue;
    }
    std::vector<double> demands;
    for (const auto& [process, reporter] : reporters) {
      const auto found = reporter->demand.find(name);
      demands.push_back(found == reporter->demand.end() ? 0.0 : found->second);
    }
    // Divides 1 by the demands relative to the request limit, or in proportion to demand if there
    // is no such limit.
    const double total = std::accumulate(demands.begin(), demands.end(), 0.0);
    const double scale = spec.requestsPerSecond > 0 ? spec.requestsPerSecond : total;
    for (double& demand : demands) {
      demand = scale > 0 ? demand / scale : 0.0;
    }
    std::vector<double> parts = DivideByDemand(1.0 - kEvenPart, demands);
    for (double& part : parts) {
      part += kEvenPart / static_cast<double>(parts.size());
    }
    const std::vector<std::uint32_t> concurrent = DivideWhole(spec.maxConcurrent, parts);
    for (std::size_t index = 0; index < reporters.size(); ++index) {
      auto share = std::make_unique<wire::WorkspaceShareT>();
      share->workspace = name;
      share->requestsPerSecond = spec.requestsPerSecond * parts[index];
      share->tokensPerSecond = spec.tokensPerSecond * parts[index];
      share->concurrent = concurrent[index];
      updates[index].shares.push_back(std::move(share));
    }
  }
  for (std::size_t index = 0; index < reporters.size(); ++index) {
    if (!updates[index].shares.empty() && context.IsUp(reporters[index].first)) {
      context.SendMessage(reporters[index].first, std::move(updates[index]));
    }
  }
}

} // namespace gooseberrysail
