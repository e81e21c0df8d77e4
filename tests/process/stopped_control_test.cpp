#include "support/blocking_connection.hpp"
#include "support/serving_installation.hpp"

#include <csignal>
#include <sys/wait.h>

namespace gooseberrysail::test {
namespace {

using namespace std::chrono_literals;
using tests::BlockingConnection;

/// The time after which supervisors kill a process that was asked to stop.
constexpr auto kStopTimeout = 8s;

// Guards against control processes that are killed, because a caller that stops in the middle of a
// request delays their stop.
TEST(StoppedControl, EndsBeforeItIsKilled)
{
  ServingInstallation serving(
    kServingConfig,
    { .control = "[process]\nstopTimeout = " + std::to_string(kStopTimeout.count()) + "\n",
      .entry = "" });
  serving.WaitUntilServed();
  BlockingConnection inHead(serving.site.controlHttp);
  ASSERT_TRUE(inHead.Write("PUT /api/config HTTP/1.1\r\nHost: c"));
  BlockingConnection inBody(serving.site.controlHttp);
  ASSERT_TRUE(inBody.Write("PUT /api/config HTTP/1.1\r\nHost: c\r\nContent-Length: 500\r\n\r\n{"));
  std::this_thread::sleep_for(300ms);
  serving.site.control->Signal(SIGTERM);
  const int status = serving.site.control->WaitForExit(kStopTimeout);
  EXPECT_TRUE(status != -1 && WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
}

} // namespace
} // namespace gooseberrysail::test
