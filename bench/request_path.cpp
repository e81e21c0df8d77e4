// Compares latency and throughput of a small call through entry and agent with the same call made
// directly to the fake engine; then measures the cost of 1,000 requests in flight.
// Run it in the build folder: it starts the daemon and the fake engine from there.

#include "gooseberrysail/http/http_client.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"
#include "gooseberrysail/process/usage.hpp"
#include "gooseberrysail/shell/clock.hpp"
#include "support/test_cluster.hpp"

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

namespace gooseberrysail::bench {
namespace {

constexpr std::size_t kCallsPerPath = 3000;
constexpr std::size_t kInFlight = 1000;
constexpr const char* kBody =
  R"({"model":"hire-assist","messages":[{"role":"user","content":"free?"}]})";

struct Path
{
  std::string name;
  std::string address;
  std::vector<HttpHeader> headers;
};

struct Figures
{
  double medianMicros = 0;
  double p99Micros = 0;
  double callsPerSecond = 0;
  std::size_t failed = 0;
};

double Micros(Duration duration)
{
  return std::chrono::duration<double, std::micro>(duration).count();
}

/// Makes `calls` calls, `concurrency` at a time, with one connection for each fiber.
Figures Measure(const Path& path, std::size_t concurrency, std::size_t calls)
{
  IoRuntime runtime;
  HttpClient client(runtime, { .maxIdlePerAddress = concurrency });
  std::vector<double> latencies;
  Figures figures;
  std::size_t left = calls;
  std::size_t running = concurrency;
  const TimePoint begin = BootNow();
  const auto work = [&] {
    while (left > 0) {
      --left;
      const TimePoint sent = BootNow();
      const auto reply = client.Fetch(path.address,
                                      "POST",
                                      "/v1/chat/completions",
                                      path.headers,
                                      kBody,
                                      std::chrono::seconds(60));
      latencies.push_back(Micros(BootNow() - sent));
      figures.failed += reply && reply.value().status == 200 ? 0 : 1;
    }
    if (--running == 0) {
      runtime.Stop();
    }
  };
  for (std::size_t index = 0; index < concurrency; ++index) {
    runtime.Spawn(work);
  }
  runtime.Run();
  const double seconds = Micros(BootNow() - begin) / 1e6;
  client.Close();
  std::sort(latencies.begin(), latencies.end());
  figures.medianMicros = latencies[latencies.size() / 2];
  figures.p99Micros = latencies[latencies.size() * 99 / 100];
  figures.callsPerSecond = static_cast<double>(latencies.size()) / seconds;
  return figures;
}

double CpuSeconds(test::TestCluster& cluster, const std::string& process)
{
  const auto usage = ReadProcessUsage(cluster.Process(process).Pid());
  return usage ? usage.value().cpuSeconds : 0;
}

double ResidentMegabytes(test::TestCluster& cluster, const std::string& process)
{
  const auto usage = ReadProcessUsage(cluster.Process(process).Pid());
  return usage ? static_cast<double>(usage.value().residentBytes) / 1e6 : 0;
}

void ComparePaths(test::TestCluster& cluster, const Path& direct, const Path& through)
{
  std::printf("%-11s %-8s %10s %10s %10s %8s\n",
              "concurrency",
              "path",
              "median us",
              "p99 us",
              "calls/s",
              "failed");
  for (const std::size_t concurrency : { 1UL, 16UL, 128UL }) {
    const Figures straight = Measure(direct, concurrency, kCallsPerPath);
    const double entryBefore = CpuSeconds(cluster, "entry-1");
    const double agentBefore = CpuSeconds(cluster, "agent-vm-1");
    const Figures served = Measure(through, concurrency, kCallsPerPath);
    const double entryCpu = CpuSeconds(cluster, "entry-1") - entryBefore;
    const double agentCpu = CpuSeconds(cluster, "agent-vm-1") - agentBefore;
    for (const auto& [name, figures] :
         { std::pair("direct", straight), std::pair("through", served) }) {
      std::printf("%-11zu %-8s %10.0f %10.0f %10.0f %8zu\n",
                  concurrency,
                  name,
                  figures.medianMicros,
                  figures.p99Micros,
                  figures.callsPerSecond,
                  figures.failed);
    }
    std::printf(
      "%-11zu ratio    %10.2f %10.2f %10.2f   processor us a call: entry %.0f, agent %.0f\n",
      concurrency,
      served.medianMicros / straight.medianMicros,
      served.p99Micros / straight.p99Micros,
      served.callsPerSecond / straight.callsPerSecond,
      entryCpu * 1e6 / kCallsPerPath,
      agentCpu * 1e6 / kCallsPerPath);
  }
}

void MeasureInFlight(test::TestCluster& cluster, const Path& through)
{
  for (const char* vm : { "vm-1", "vm-2", "vm-3", "vm-4" }) {
    static_cast<void>(cluster.CallTarget(vm, "POST", "/switch", R"({"answerDelayMs":3000})"));
  }
  // Each call waits three seconds at the engine, so that all are in flight at once. The memory read
  // right after them includes the peak, which the allocator has not returned yet.
  const Figures figures = Measure(through, kInFlight, kInFlight);
  std::printf("%zu in flight: failed %zu, median %.0f ms; resident MB: entry %.1f, agent %.1f\n",
              kInFlight,
              figures.failed,
              figures.medianMicros / 1e3,
              ResidentMegabytes(cluster, "entry-1"),
              ResidentMegabytes(cluster, "agent-vm-1"));
}

/// Measures each process without calls: heartbeats, reports, confirmations and timers.
void MeasureIdle(test::TestCluster& cluster)
{
  constexpr double kIdleSeconds = 10;
  const std::vector<std::string> processes = { "control-1", "entry-1", "agent-vm-1", "agent-vm-2" };
  std::vector<double> before;
  for (const std::string& process : processes) {
    before.push_back(CpuSeconds(cluster, process));
  }
  IoRuntime runtime;
  runtime.SleepFor(
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(kIdleSeconds)));
  for (std::size_t index = 0; index < processes.size(); ++index) {
    const double spent = CpuSeconds(cluster, processes[index]) - before[index];
    std::printf("idle %-10s %.2f %% of a core, %.1f MB resident\n",
                processes[index].c_str(),
                spent / kIdleSeconds * 100,
                ResidentMegabytes(cluster, processes[index]));
  }
}

std::string HeadName(test::TestCluster& cluster)
{
  for (const char* vm : { "vm-1", "vm-2", "vm-3", "vm-4" }) {
    const auto counters = cluster.CallTarget(vm, "GET", "/counters");
    if (counters.body.find("\"completions\":0") == std::string::npos) {
      return vm;
    }
  }
  return "vm-1";
}

int Run()
{
  test::TestCluster cluster({ .controls = 1, .entries = 1 });
  cluster.AddEngineVms("vm", 4, "fabric-a");
  const std::string catalogue =
    R"([{"kind":"model","name":"hire-assist","owner":"bench","class":"interactive","spec":{"version":"1",
      "replicas":1,"membersPerReplica":4,"maxConcurrent":2000,"maxQueued":2000}},
      {"kind":"workspace","name":"bench","owner":"bench","class":"interactive","spec":{"tokenHash":")" +
    test::HashToken(test::kWorkspaceToken) + R"("}}])";
  if (cluster.Apply(catalogue).status != 200 || !cluster.WaitServing()) {
    std::fprintf(stderr, "bench: the cluster does not serve\n%s", cluster.Outputs().c_str());
    return 1;
  }
  const std::string head = HeadName(cluster);
  const HttpHeader json{ "Content-Type", "application/json" };
  const HttpHeader token{ "Authorization", "Bearer " + std::string(test::kWorkspaceToken) };
  const Path direct{ "direct", cluster.TargetAddress(head), { json } };
  const Path through{ "through", cluster.EntryAddress(0), { json, token } };
  std::printf("head: %s\n", head.c_str());
  MeasureIdle(cluster);
  ComparePaths(cluster, direct, through);
  MeasureInFlight(cluster, through);
  return 0;
}

} // namespace
} // namespace gooseberrysail::bench

int main()
{
  return gooseberrysail::bench::Run();
}
