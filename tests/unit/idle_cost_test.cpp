#include "gooseberrysail/roles/entry_role.hpp"
#include "support/http_exchange.hpp"
#include "support/mesh_process.hpp"
#include "support/section.hpp"

#include <ctime>
#include <memory>
#include <vector>

namespace gooseberrysail {
namespace {

using tests::MeshProcess;
using tests::RecordingServer;

Duration ProcessorTime()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

// Guards against an idle process that uses a whole core, because its scheduler polls or a fiber
// yields in a loop.
TEST(IdleCost, AnIdleProcessWithConnectionsUsesLessThanOnePercentOfACore)
{
  constexpr Duration kWatched = std::chrono::seconds(2);
  constexpr double kAllowedShare = 0.01;
  constexpr int kPeers = 5;

  // Declared before the runtime, whose destructor waits for the fiber that uses them.
  bool stopping = false;
  Signal tick;
  IoRuntime runtime;
  RecordingServer server(runtime);
  MeshProcess entry(runtime, "entry-1");
  std::vector<std::unique_ptr<MeshProcess>> agents;
  for (int i = 0; i < kPeers; ++i) {
    agents.push_back(std::make_unique<MeshProcess>(runtime, "agent-" + std::to_string(i)));
    entry.SendNumber(*agents.back(), 1, agents.back()->mesh.ListenAddress());
    ASSERT_TRUE(agents.back()->WaitForTransition("up entry-1"));
  }
  runtime.Spawn([&] {
    while (!stopping) {
      tick.WaitFor(EntryRole::kTickInterval);
    }
  });
  const Duration before = ProcessorTime();
  runtime.SleepFor(kWatched);
  const Duration used = ProcessorTime() - before;
  stopping = true;
  tick.Notify();
  EXPECT_LT(static_cast<double>(used.count()), kAllowedShare * kWatched.count());
  RecordProperty(
    "idleMicros",
    static_cast<int>(std::chrono::duration_cast<std::chrono::microseconds>(used).count()));
}

} // namespace
} // namespace gooseberrysail
