#include "support/process_checks.hpp"
#include "support/section.hpp"
#include "support/serving_installation.hpp"

#include <csignal>
#include <string>
#include <thread>

namespace gooseberrysail::test {
namespace {

using namespace std::chrono_literals;

/// Longer than the pause before control opens its storage again.
constexpr auto kSeveralTries = 2500ms;

/// \brief An installation whose control process waits for its disk.
class BlockedInstallation
{
public:
  BlockedInstallation()
  {
    site.control->Kill();
    site.BlockData();
    Restart();
  }

  void Restart()
  {
    const std::size_t before = CountFailures();
    site.control = site.Start("control");
    EXPECT_TRUE(
      WaitUntil([&] { return CountFailures() > before; }, PlatformInstallation::kTimeout));
  }

  /// \brief Sends SIGHUP in a series.
  void Reload(std::chrono::milliseconds time, std::chrono::microseconds interval)
  {
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      site.control->Signal(SIGHUP);
      std::this_thread::sleep_for(interval);
    }
  }

  PlatformInstallation site;

private:
  /// \brief How often control could not open its storage, in all starts.
  [[nodiscard]] std::size_t CountFailures() const
  {
    return CountOccurrences(site.control->Output(), "gooseberrysaild: ");
  }
};

// Guards against a control process that ends by a signal, or not at all, while it waits for its
// disk.
TEST(StorageWait, EndsOnlyAtAStop)
{
  BlockedInstallation blocked;
  SECTION("SIGTERM at any moment of the wait")
  {
    for (int step = 0; step < 6; ++step) {
      std::this_thread::sleep_for(step * 200ms);
      blocked.site.control->Signal(SIGTERM);
      const int status = blocked.site.control->WaitForExit(2s);
      EXPECT_TRUE(IsOrderlyExit(status)) << "status " << status << ", step " << step;
      blocked.Restart();
    }
  }
  SECTION("SIGTERM among SIGHUPs, and SIGINT")
  {
    for (const int signal : { SIGTERM, SIGINT }) {
      blocked.Reload(100ms, 200us);
      blocked.site.control->Signal(signal);
      blocked.Reload(100ms, 200us);
      const int status = blocked.site.control->WaitForExit(2s);
      EXPECT_TRUE(IsOrderlyExit(status)) << "status " << status << ", signal " << signal;
      blocked.Restart();
    }
  }
  SECTION("SIGHUPs in a series leave it waiting, and it starts once the disk is there")
  {
    ChildProcess& control = *blocked.site.control;
    for (const auto interval : { 200us, 1000us, 20000us }) {
      blocked.Reload(kSeveralTries, interval);
      ASSERT_TRUE(control.Running()) << interval.count();
    }
    blocked.site.UnblockData();
    blocked.Reload(kSeveralTries, 1000us);
    ASSERT_TRUE(control.Running());
    EXPECT_EQ(blocked.site.Put(kServingConfig), 200U) << control.Output();
    control.Signal(SIGTERM);
    EXPECT_TRUE(IsOrderlyExit(control.WaitForExit(PlatformInstallation::kTimeout)));
  }
}

} // namespace
} // namespace gooseberrysail::test
