/// Replays seeded failure traces with the placement planner and with baseline policies, and prints
/// group downtime and stranded accelerator-hours. Also measures the CPU time of a Plan call.
///
///     bench_placement replay [case] [first seed] [seeds]
///     bench_placement cpu

#include "fakes/placement_replay.hpp"
#include "linear_fit.hpp"
#include "placement/repair.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

namespace gooseberrysail {
namespace {

using fakes::ReplayFleet;
using fakes::ReplayRates;
using fakes::ReplayResult;

/// Seeds up to 99 were used to tune the planner's constants; results are reported for later ones.
constexpr std::uint64_t kFirstHeldOut = 101;

struct Scenario
{
  ReplayFleet fleet;
  ReplayRates rates;
};

/// The event rates required for 7,200 VMs, scaled; pauses are an addition.
ReplayRates ScaledRates(double vms)
{
  const double share = vms / 7200;
  ReplayRates rates;
  rates.deaths = 37 * share;
  rates.restarted = 70 * share;
  rates.replaced = 40 * share;
  rates.pauses = 100 * share;
  rates.flapping = 2 * share;
  return rates;
}

Scenario HireScenario()
{
  Scenario hire;
  hire.fleet.name = "hire";
  hire.fleet.policy.downtimeWeight = 10;
  hire.fleet.policy.strandedWeight = 0.1;
  hire.fleet.days = 90;
  hire.rates = ScaledRates(hire.fleet.CountVms());
  hire.rates.rackOutages = 1.0 / 45;
  hire.rates.fabricOutages = 1.0 / 20;
  hire.rates.failureDomainOutages = 1.0 / 90;
  return hire;
}

Scenario RegistryScenario()
{
  Scenario registry = HireScenario();
  registry.fleet.name = "registry";
  registry.fleet.vmsPerFabric = 41;
  registry.fleet.policy.downtimeWeight = 1;
  registry.fleet.policy.strandedWeight = 1;
  registry.rates = ScaledRates(registry.fleet.CountVms());
  registry.rates.rackOutages = 1.0 / 45;
  registry.rates.fabricOutages = 1.0 / 20;
  registry.rates.failureDomainOutages = 1.0 / 90;
  return registry;
}

/// Rare events are more frequent than required; otherwise a trace of half a day would have none.
Scenario FullSizeScenario()
{
  Scenario full;
  full.fleet.name = "full";
  full.fleet.failureDomains = 17;
  full.fleet.fabricsPerFailureDomain = 4;
  full.fleet.vmsPerFabric = 108;
  full.fleet.replicas = 1800;
  full.fleet.days = 0.5;
  full.fleet.policy.downtimeWeight = 4;
  full.fleet.policy.strandedWeight = 0.5;
  full.fleet.policy.weightLoadsAtOnce = 32;
  full.rates = ScaledRates(full.fleet.CountVms());
  full.rates.rackOutages = 2;
  full.rates.fabricOutages = 2;
  full.rates.failureDomainOutages = 1;
  return full;
}

struct RepairPolicy
{
  const char* name;
  std::function<PlacementPlanner()> make;
  bool grantsPreloads = false;
};

std::vector<std::uint32_t> NeverReplace(const impl::RepairInput&)
{
  return {};
}

std::vector<std::uint32_t> ReplaceAtOnce(const impl::RepairInput& input)
{
  std::vector<std::uint32_t> rows;
  for (impl::Row row = 0; row < input.fleet.groups.size(); ++row) {
    const impl::FleetGroup& group = input.fleet.groups[row];
    if (group.broken && !group.ending) {
      rows.push_back(row);
    }
  }
  return rows;
}

/// Replaces at once, but only if the fabric domain has enough available VMs.
std::vector<std::uint32_t> ReplaceIfSpare(const impl::RepairInput& input)
{
  std::vector<std::uint32_t> rows;
  for (const impl::FleetFabric& fabric : input.fleet.fabrics) {
    std::size_t spares = fabric.available.size();
    for (const impl::Row row : fabric.broken) {
      const impl::FleetGroup& group = input.fleet.groups[row];
      if (group.missing.size() <= spares) {
        spares -= group.missing.size();
        rows.push_back(row);
      }
    }
  }
  return rows;
}

std::vector<RepairPolicy> RepairPolicies()
{
  return {
    { "ours", [] { return PlacementPlanner(); } },
    { "ours+preload", [] { return PlacementPlanner(); }, true },
    { "always-wait", [] { return PlacementPlanner(&NeverReplace); } },
    { "replace-at-once", [] { return PlacementPlanner(&ReplaceAtOnce); } },
    { "at-once+preload", [] { return PlacementPlanner(&ReplaceAtOnce); }, true },
    { "replace-if-spare", [] { return PlacementPlanner(&ReplaceIfSpare); } },
  };
}

double CpuMicros()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double Quantile(std::vector<double> values, double share)
{
  std::ranges::sort(values);
  const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return values.empty() ? 0 : values[index];
}

/// \returns Whether the planner has a lower cost than all baselines without preloading.
bool ReplaySeed(const Scenario& scenario, std::uint64_t seed)
{
  const auto outages = fakes::DrawOutages(scenario.fleet, scenario.rates, seed);
  double ours = 0;
  double leastOther = INFINITY;
  for (const RepairPolicy& policy : RepairPolicies()) {
    ReplayFleet fleet = scenario.fleet;
    fleet.grantsPreloads = policy.grantsPreloads;
    const ReplayResult result = fakes::Replay(fleet, outages, policy.make(), &CpuMicros);
    const double cost = result.Cost(scenario.fleet.policy);
    if (std::string(policy.name) == "ours") {
      ours = cost;
    } else if (!policy.grantsPreloads) {
      leastOther = std::min(leastOther, cost);
    }
    std::printf("%-9s %5lu %-17s %10.2f %12.1f %12.1f %7lu %7lu %8.0f %8.0f\n",
                scenario.fleet.name.c_str(),
                static_cast<unsigned long>(seed),
                policy.name,
                result.downSeconds / 3600,
                result.strandedSeconds / 3600,
                cost / 3600,
                static_cast<unsigned long>(result.formed),
                static_cast<unsigned long>(result.ended),
                Quantile(result.planMicros, 0.5),
                Quantile(result.planMicros, 0.99));
    std::fflush(stdout);
  }
  return ours < leastOther;
}

void ReplayCases(const std::string& only, std::uint64_t first, std::uint64_t seeds)
{
  std::printf("%-9s %5s %-17s %10s %12s %12s %7s %7s %8s %8s\n",
              "case",
              "seed",
              "policy",
              "down h",
              "stranded h",
              "weighted",
              "formed",
              "ended",
              "p50 us",
              "p99 us");
  for (const Scenario& scenario : { HireScenario(), RegistryScenario(), FullSizeScenario() }) {
    if (only != "all" && only != scenario.fleet.name) {
      continue;
    }
    std::uint64_t best = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
      best += ReplaySeed(scenario, seed) ? 1 : 0;
    }
    std::printf("%s: ours costs least on %lu of %lu seeds\n",
                scenario.fleet.name.c_str(),
                static_cast<unsigned long>(best),
                static_cast<unsigned long>(seeds));
  }
}

using bench::FitPoint;

/// Prints slope, offset and the largest residual of a linear fit.
void PrintFit(const char* name, const std::vector<FitPoint>& points)
{
  const bench::LinearFit fit = bench::FitLine(points);
  std::printf("%s: %.4f us a VM, %.1f us besides, largest residual %.1f us\n",
              name,
              fit.slope,
              fit.offset,
              bench::LargestResidual(fit, points));
}

/// Measures the CPU time of a Plan call by fleet size, in a trace of 1.5 hours in which a failure
/// domain is lost.
void MeasureCpu()
{
  std::vector<FitPoint> medians;
  std::vector<FitPoint> worst;
  std::printf(
    "%8s %8s %8s %8s %8s %8s\n", "replicas", "VMs", "calls", "p50 us", "p99 us", "max us");
  for (const std::uint32_t fabricsPerDomain : { 1U, 2U, 4U, 6U, 8U }) {
    Scenario scenario = FullSizeScenario();
    scenario.fleet.fabricsPerFailureDomain = fabricsPerDomain;
    scenario.fleet.replicas = 450 * fabricsPerDomain;
    scenario.fleet.days = 0.0625;
    scenario.rates = ScaledRates(scenario.fleet.CountVms());
    auto outages = fakes::DrawOutages(scenario.fleet, scenario.rates, kFirstHeldOut);
    const std::uint32_t lost = fabricsPerDomain * scenario.fleet.vmsPerFabric;
    for (std::uint32_t vm = 0; vm < lost; ++vm) {
      outages.push_back({ 1800, 2400, vm, true });
    }
    const ReplayResult result =
      fakes::Replay(scenario.fleet, outages, PlacementPlanner(), &CpuMicros);
    const double vms = scenario.fleet.CountVms();
    medians.push_back({ vms, Quantile(result.planMicros, 0.5) });
    worst.push_back({ vms, Quantile(result.planMicros, 0.99) });
    std::printf("%8u %8.0f %8zu %8.0f %8.0f %8.0f\n",
                scenario.fleet.replicas,
                vms,
                result.planMicros.size(),
                medians.back().y,
                worst.back().y,
                Quantile(result.planMicros, 1));
  }
  PrintFit("p50", medians);
  PrintFit("p99", worst);
}

} // namespace
} // namespace gooseberrysail

int main(int argc, char** argv)
{
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto number = [&](std::size_t index, std::uint64_t otherwise) {
    return arguments.size() > index ? std::strtoull(arguments[index].c_str(), nullptr, 10)
                                    : otherwise;
  };
  if (!arguments.empty() && arguments[0] == "cpu") {
    gooseberrysail::MeasureCpu();
    return 0;
  }
  const std::string only = arguments.size() > 1 ? arguments[1] : "all";
  gooseberrysail::ReplayCases(only, number(2, gooseberrysail::kFirstHeldOut), number(3, 5));
  return 0;
}
