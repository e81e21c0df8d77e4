#include "support/process_checks.hpp"
#include "support/section.hpp"
#include "support/serving_installation.hpp"
#include "support/test_cluster.hpp"

#include <array>
#include <csignal>
#include <functional>
#include <thread>

namespace gooseberrysail::test {
namespace {

using namespace std::chrono_literals;

/// Shorter and longer than the last steps of a stop.
constexpr std::array kIntervals{ 200us, 500us, 1000us, 5000us };

/// \brief Sends a signal again and again until the process has ended.
/// \returns Its status as of waitpid; -1 if it still runs after the timeout.
int SignalUntilExit(ChildProcess& process, int signal, std::chrono::microseconds interval)
{
  const auto end = std::chrono::steady_clock::now() + PlatformInstallation::kTimeout;
  while (process.Running() && std::chrono::steady_clock::now() < end) {
    process.Signal(signal);
    std::this_thread::sleep_for(interval);
  }
  return process.WaitForExit(0ms);
}

std::size_t CountStarts(const ChildProcess& process)
{
  return CountOccurrences(process.Output(), "ProcessStarted");
}

/// \brief Starts a process again and again, and stops it with SIGTERM while `signal` comes in a
/// series, once for each interval.
/// \param find The process; \param restart ends it and starts it again with the same log.
void ExpectOrderlyStops(const std::function<ChildProcess&()>& find,
                        const std::function<void()>& restart,
                        int signal)
{
  for (const auto interval : kIntervals) {
    const std::size_t starts = CountStarts(find());
    restart();
    ChildProcess& process = find();
    ASSERT_TRUE(
      WaitUntil([&] { return CountStarts(process) > starts; }, PlatformInstallation::kTimeout));
    process.Signal(SIGTERM);
    const int status = SignalUntilExit(process, signal, interval);
    EXPECT_TRUE(IsOrderlyExit(status))
      << "status " << status << ", signal " << signal << " each " << interval.count() << " us";
  }
}

// Guards against a reload or a repeated SIGTERM that ends a process in the last steps of its stop.
TEST(StopSignals, EndNoProcessThatStops)
{
  SECTION("an entry")
  {
    PlatformInstallation site;
    const auto find = [&]() -> ChildProcess& { return *site.entry; };
    const auto restart = [&] {
      site.entry->Kill();
      site.entry = site.Start("entry");
    };
    ExpectOrderlyStops(find, restart, SIGHUP);
    ExpectOrderlyStops(find, restart, SIGTERM);
  }
  SECTION("a control process")
  {
    PlatformInstallation site;
    const auto find = [&]() -> ChildProcess& { return *site.control; };
    const auto restart = [&] {
      site.control->Kill();
      site.control = site.Start("control");
    };
    ExpectOrderlyStops(find, restart, SIGHUP);
    ExpectOrderlyStops(find, restart, SIGTERM);
  }
  SECTION("an entry and an agent that serve no platform")
  {
    TestCluster cluster({ .controls = 1, .entries = 1 });
    cluster.AddEngineVms("vm", 1, "fabric-a");
    for (const std::string name : { "entry-1", "agent-vm-1" }) {
      const auto find = [&]() -> ChildProcess& { return cluster.Process(name); };
      ExpectOrderlyStops(
        find, [&] { cluster.Restart(name); }, SIGHUP);
    }
  }
}

} // namespace
} // namespace gooseberrysail::test
