/// Replays seeded failure traces through the placement planner, ours beside its baselines, and
/// prints group downtime and stranded accelerator-hours; then the processor time of one Plan call.
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

/// Seeds up to 99 were used to choose the constants; figures come from those above.
constexpr std::uint64_t kFirstHeldOut = 101;

struct Case
{
  ReplayFleet fleet;
  ReplayRates rates;
};

/// Letter 1's rates for 7,200 VMs, and pauses, which it doesn't count.
ReplayRates RatesOfLetter(double vms)
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

Case HireAuthority()
{
  Case hire;
  hire.fleet.name = "hire";
  hire.fleet.policy.downtimeWeight = 10;
  hire.fleet.policy.strandedWeight = 0.1;
  hire.fleet.days = 90;
  hire.rates = RatesOfLetter(hire.fleet.CountVms());
  hire.rates.rackOutages = 1.0 / 45;
  hire.rates.fabricOutages = 1.0 / 20;
  hire.rates.failureDomainOutages = 1.0 / 90;
  return hire;
}

Case Registry()
{
  Case registry = HireAuthority();
  registry.fleet.name = "registry";
  registry.fleet.vmsPerFabric = 41;
  registry.fleet.policy.downtimeWeight = 1;
  registry.fleet.policy.strandedWeight = 1;
  registry.rates = RatesOfLetter(registry.fleet.CountVms());
  registry.rates.rackOutages = 1.0 / 45;
  registry.rates.fabricOutages = 1.0 / 20;
  registry.rates.failureDomainOutages = 1.0 / 90;
  return registry;
}

/// Rare events come more often than in the letter, or a trace of some days would hold none.
Case FullSize()
{
  Case full;
  full.fleet.name = "full";
  full.fleet.failureDomains = 17;
  full.fleet.fabricsPerFailureDomain = 4;
  full.fleet.vmsPerFabric = 108;
  full.fleet.replicas = 1800;
  full.fleet.days = 0.5;
  full.fleet.policy.downtimeWeight = 4;
  full.fleet.policy.strandedWeight = 0.5;
  full.fleet.policy.weightLoadsAtOnce = 32;
  full.rates = RatesOfLetter(full.fleet.CountVms());
  full.rates.rackOutages = 2;
  full.rates.fabricOutages = 2;
  full.rates.failureDomainOutages = 1;
  return full;
}

struct Contender
{
  const char* name;
  std::function<PlacementPlanner()> make;
  bool grantsPreloads = false;
};

std::vector<std::uint32_t> Never(const impl::RepairInput&)
{
  return {};
}

std::vector<std::uint32_t> AtOnce(const impl::RepairInput& input)
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

/// At once, but only where the fabric domain has the VMs for it.
std::vector<std::uint32_t> AtOnceWithSpare(const impl::RepairInput& input)
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

std::vector<Contender> Contenders()
{
  return {
    { "ours", [] { return PlacementPlanner(); } },
    { "ours+preload", [] { return PlacementPlanner(); }, true },
    { "always-wait", [] { return PlacementPlanner(&Never); } },
    { "replace-at-once", [] { return PlacementPlanner(&AtOnce); } },
    { "at-once+preload", [] { return PlacementPlanner(&AtOnce); }, true },
    { "replace-if-spare", [] { return PlacementPlanner(&AtOnceWithSpare); } },
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

/// \returns Whether ours costs least.
bool ReplaySeed(const Case& story, std::uint64_t seed)
{
  const auto outages = fakes::DrawOutages(story.fleet, story.rates, seed);
  double ours = 0;
  double leastOther = INFINITY;
  for (const Contender& contender : Contenders()) {
    ReplayFleet fleet = story.fleet;
    fleet.grantsPreloads = contender.grantsPreloads;
    const ReplayResult result = fakes::Replay(fleet, outages, contender.make(), &CpuMicros);
    const double cost = result.Cost(story.fleet.policy);
    if (std::string(contender.name) == "ours") {
      ours = cost;
    } else if (!contender.grantsPreloads) {
      leastOther = std::min(leastOther, cost);
    }
    std::printf("%-9s %5lu %-17s %10.2f %12.1f %12.1f %7lu %7lu %8.0f %8.0f\n",
                story.fleet.name.c_str(),
                static_cast<unsigned long>(seed),
                contender.name,
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
  for (const Case& story : { HireAuthority(), Registry(), FullSize() }) {
    if (only != "all" && only != story.fleet.name) {
      continue;
    }
    std::uint64_t best = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
      best += ReplaySeed(story, seed) ? 1 : 0;
    }
    std::printf("%s: ours costs least on %lu of %lu seeds\n",
                story.fleet.name.c_str(),
                static_cast<unsigned long>(best),
                static_cast<unsigned long>(seeds));
  }
}

using bench::FitPoint;

/// Prints slope, offset and the largest distance of a point from the line.
void PrintFit(const char* name, const std::vector<FitPoint>& points)
{
  const bench::LinearFit fit = bench::FitLine(points);
  std::printf("%s: %.4f us a VM, %.1f us besides, largest residual %.1f us\n",
              name,
              fit.slope,
              fit.offset,
              bench::LargestResidual(fit, points));
}

/// Processor time of a Plan call over sizes, in a trace of an hour and a half with a failure
/// domain lost in it.
void MeasureCpu()
{
  std::vector<FitPoint> medians;
  std::vector<FitPoint> worst;
  std::printf(
    "%8s %8s %8s %8s %8s %8s\n", "replicas", "VMs", "calls", "p50 us", "p99 us", "max us");
  for (const std::uint32_t fabricsEach : { 1U, 2U, 4U, 6U, 8U }) {
    Case story = FullSize();
    story.fleet.fabricsPerFailureDomain = fabricsEach;
    story.fleet.replicas = 450 * fabricsEach;
    story.fleet.days = 0.0625;
    story.rates = RatesOfLetter(story.fleet.CountVms());
    auto outages = fakes::DrawOutages(story.fleet, story.rates, kFirstHeldOut);
    const std::uint32_t lost = fabricsEach * story.fleet.vmsPerFabric;
    for (std::uint32_t vm = 0; vm < lost; ++vm) {
      outages.push_back({ 1800, 2400, vm, true });
    }
    const ReplayResult result = fakes::Replay(story.fleet, outages, PlacementPlanner(), &CpuMicros);
    const double vms = story.fleet.CountVms();
    medians.push_back({ vms, Quantile(result.planMicros, 0.5) });
    worst.push_back({ vms, Quantile(result.planMicros, 0.99) });
    std::printf("%8u %8.0f %8zu %8.0f %8.0f %8.0f\n",
                story.fleet.replicas,
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
