#include "gooseberrysail/gateway/target_selector.hpp"

#include <benchmark/benchmark.h>
#include <string>

/// \file The cost of choosing a target, by the number of heads of a model.

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;

ServedTarget Head(std::int64_t number)
{
  const std::string name = "i-" + std::to_string(1'000'000'000 + number);
  return { InstanceId(name), "assist", name + ":80", FailureDomainId("a"), 34, false, "large" };
}

/// \brief Chooses among heads of which a fifth have named a limit.
void BM_Choose(benchmark::State& state)
{
  TargetSelector selector(FailureDomainId("a"), [] { return 0; });
  std::vector<ServedTarget> heads;
  for (std::int64_t number = 0; number < state.range(0); ++number) {
    heads.push_back(Head(number));
  }
  selector.Replace(TimePoint{}, heads);
  const TimePoint now{ 1h };
  for (std::size_t number = 0; number < heads.size(); number += 5) {
    selector.OnLimit(now, { heads[number].instance, heads[number].born }, now, { 3.0 });
  }
  const std::set<InstanceId> tried;
  for (auto _ : state) {
    benchmark::DoNotOptimize(selector.Choose(now + 1s, { "assist", "large", tried }));
  }
}

BENCHMARK(BM_Choose)->Arg(7)->Arg(50)->Arg(300);

} // namespace
} // namespace gooseberrysail

BENCHMARK_MAIN();
