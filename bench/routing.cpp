// Compares routing and admission with common baselines, on a simple model of engines.
//
//   bench_routing            all cases, with the seeds used for tuning
//   bench_routing --held-out all cases, with seeds that were not used to choose any constant
//   bench_routing --cost     decision time and memory by number of known replicas
//   bench_routing --limits   error of workspace limits divided between several entries

#include "routing/cost.hpp"
#include "routing/limits.hpp"
#include "routing/simulation.hpp"

#include <cstdio>
#include <string>
#include <string_view>

namespace {

using namespace gooseberrysail;
using namespace gooseberrysail::bench;

constexpr std::array kTuningSeeds{ 11U, 12U, 13U };
constexpr std::array kHeldOutSeeds{ 901U, 902U, 903U, 904U, 905U };
constexpr std::array kPolicies{ Policy::kRandom,
                                Policy::kRoundRobin,
                                Policy::kLeastInFlight,
                                Policy::kLeastWithAdmission,
                                Policy::kRouter };

std::vector<Scenario> Scenarios()
{
  const auto make = [](std::string_view name, Fault fault, double perSecond) {
    Scenario scenario;
    scenario.name = name;
    scenario.fault = fault;
    scenario.perSecond = perSecond;
    return scenario;
  };
  constexpr double kSteady = 110;
  constexpr double kTwiceCapacity = 350;
  std::vector<Scenario> all{ make("steady", Fault::kNone, kSteady),
                             make("overload 2x", Fault::kNone, kTwiceCapacity),
                             make("straggler", Fault::kStraggler, kSteady),
                             make("dark domain", Fault::kUnreachableDomain, kSteady),
                             make("returning target", Fault::kReturningTarget, kSteady) };
  all.push_back(make("unrelated prompts", Fault::kNone, kSteady));
  all.back().work = Work::kUnrelatedPrompts;
  all.push_back(make("service, straggler", Fault::kStraggler, 300));
  all.back().work = Work::kServiceCalls;
  all.back().groups = 3;
  return all;
}

void Append(std::vector<double>& all, const std::vector<double>& some)
{
  all.insert(all.end(), some.begin(), some.end());
}

template<std::size_t Size>
void Add(std::array<Losses, Size>& sums, const std::array<Losses, Size>& some)
{
  for (std::size_t i = 0; i < Size; ++i) {
    sums[i].calls += some[i].calls;
    sums[i].lost += some[i].lost;
  }
}

void RunCase(const Scenario& scenario, Policy policy, std::span<const unsigned> seeds)
{
  Metrics sum;
  for (const unsigned seed : seeds) {
    const Metrics one = Simulation(scenario, policy, seed).Run();
    sum.goodput += one.goodput;
    sum.wasted += one.wasted;
    sum.hitRate += one.hitRate;
    sum.attemptsPerRequest += one.attemptsPerRequest;
    sum.lostPart += one.lostPart;
    Append(sum.first, one.first);
    Append(sum.whole, one.whole);
    Append(sum.fromStart, one.fromStart);
  }
  const auto n = static_cast<double>(seeds.size());
  std::printf("%-18s %-18s %7.1f  %6.2f %6.2f %6.2f  %6.2f %6.2f %6.2f  %6.2f  %5.1f%% %5.1f%%  "
              "%5.3f  %5.1f%%\n",
              std::string(scenario.name).c_str(),
              std::string(Name(policy)).c_str(),
              sum.goodput / n,
              Percentile(sum.first, 0.5),
              Percentile(sum.first, 0.95),
              Percentile(sum.first, 0.99),
              Percentile(sum.whole, 0.5),
              Percentile(sum.whole, 0.95),
              Percentile(sum.whole, 0.99),
              Percentile(sum.fromStart, 0.99),
              100 * sum.wasted / n,
              100 * sum.hitRate / n,
              sum.attemptsPerRequest / n,
              100 * sum.lostPart / n);
}

void RunPolicies(std::span<const unsigned> seeds)
{
  std::printf("%zu seeds; seconds; first token and whole answer from the accepted call, "
              "'waited' from the first sending\n",
              seeds.size());
  std::printf("%-18s %-18s %7s  %6s %6s %6s  %6s %6s %6s  %6s  %6s %6s  %5s  %6s\n",
              "case",
              "policy",
              "good/s",
              "f50",
              "f95",
              "f99",
              "w50",
              "w95",
              "w99",
              "wait99",
              "wasted",
              "hits",
              "att.",
              "lost");
  for (const Scenario& scenario : Scenarios()) {
    for (const Policy policy : kPolicies) {
      RunCase(scenario, policy, seeds);
    }
  }
}

/// How refusals are distributed when there are too many calls.
void RunOverloadLosses(std::span<const unsigned> seeds)
{
  std::printf(
    "\noverload 2x: lost calls by class, and by workspace from 30%% of all calls to 1%%\n");
  const Scenario scenario = Scenarios()[1];
  for (const Policy policy : { Policy::kLeastInFlight, Policy::kRouter }) {
    std::array<Losses, 3> byClass;
    std::array<Losses, kWorkspaces> byWorkspace;
    for (const unsigned seed : seeds) {
      const Metrics one = Simulation(scenario, policy, seed).Run();
      Add(byClass, one.byClass);
      Add(byWorkspace, one.byWorkspace);
    }
    std::printf("%-16s interactive %3.0f%% standard %3.0f%% batch %3.0f%%; workspaces",
                std::string(Name(policy)).c_str(),
                100 * byClass[0].Part(),
                100 * byClass[1].Part(),
                100 * byClass[2].Part());
    for (const Losses& losses : byWorkspace) {
      std::printf(" %3.0f%%", 100 * losses.Part());
    }
    std::printf("\n");
  }
}

} // namespace

int main(int argc, char** argv)
{
  const std::string_view mode = argc > 1 ? argv[1] : "";
  if (mode.empty()) {
    RunPolicies(kTuningSeeds);
    RunOverloadLosses(kTuningSeeds);
  } else if (mode == "--held-out") {
    RunPolicies(kHeldOutSeeds);
    RunOverloadLosses(kHeldOutSeeds);
  } else if (mode == "--cost") {
    CostBench().Run();
  } else if (mode == "--limits") {
    LimitsBench().Run();
  } else {
    std::fprintf(stderr, "unknown argument %s\n", argv[1]);
    return 2;
  }
  return 0;
}
