#include "support/platform_installation.hpp"
#include "support/process_checks.hpp"
#include "support/section.hpp"

#include <csignal>
#include <string>
#include <string_view>
#include <sys/wait.h>
#include <thread>

namespace gooseberrysail::test {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kStarts = 8;
constexpr auto kEndTimeout = 5s;

/// \brief An installation whose control process knows the address of an entry that has ended.
class LostEntry
{
public:
  LostEntry()
    : m_peer(FreeAddress())
  {
    site.entry->Kill();
    Configure("");
    site.entry = site.Start("entry");
    EXPECT_NE(site.entry->WaitForLine("PeerConnected", PlatformInstallation::kTimeout), "");
    site.entry->Kill();
  }

  /// \brief Writes the settings of the entry, with a fixed address for its peers.
  void Configure(const std::string& extra) const
  {
    constexpr std::string_view kAnyPort = "127.0.0.1:0";
    std::string settings = site.EntrySettings(extra);
    settings.replace(settings.find(kAnyPort), kAnyPort.size(), m_peer);
    site.Write("entry.ini", settings);
  }

  /// \brief Starts the entry again and again, after pauses in which control may connect. Once it
  /// has reported its failure, `signal` comes in a series.
  void ExpectFailedStarts(int signal)
  {
    for (std::size_t count = 1; count <= kStarts; ++count) {
      site.entry = site.Start("entry");
      EXPECT_TRUE(WaitUntil([&] { return CountFailures() == count + m_failures; },
                            PlatformInstallation::kTimeout));
      const auto isEnded = [&] {
        site.entry->Signal(signal);
        return !site.entry->Running();
      };
      EXPECT_TRUE(WaitUntil(isEnded, kEndTimeout));
      const int status = site.entry->WaitForExit(0ms);
      EXPECT_TRUE(status != -1 && WIFEXITED(status) && WEXITSTATUS(status) == 1)
        << "status " << status << ", signal " << signal;
      std::this_thread::sleep_for(count * 10ms);
    }
    m_failures += kStarts;
  }

  PlatformInstallation site;

private:
  [[nodiscard]] std::size_t CountFailures() const
  {
    return CountOccurrences(site.entry->Output(), "ProcessFailed");
  }

  std::string m_peer;
  std::size_t m_failures = 0; ///< Of the series before.
};

// Guards against a start that fails half way and ends by a signal, because what its connections,
// tasks and signals refer to is gone.
TEST(FailedStart, EndsWithItsStatusWhilePeersConnect)
{
  LostEntry lost;
  const std::string taken = lost.site.controlHttp;
  SECTION("the port for readiness is taken")
  {
    lost.site.ready = taken;
    lost.Configure("");
    lost.ExpectFailedStarts(SIGHUP);
    lost.ExpectFailedStarts(SIGTERM);
  }
  SECTION("the port for metrics is taken")
  {
    lost.site.ready = FreeAddress();
    lost.Configure("\n[observe]\nmetricsListen = " + taken + "\n");
    lost.ExpectFailedStarts(SIGHUP);
    lost.ExpectFailedStarts(SIGTERM);
  }
}

} // namespace
} // namespace gooseberrysail::test
