#include "support/blocking_connection.hpp"
#include "support/serving_installation.hpp"

#include <csignal>

namespace gooseberrysail::test {
namespace {

using namespace std::chrono_literals;
using tests::BlockingConnection;

constexpr int kCallers = 100;

std::string RequestWithId(const std::string& id)
{
  return "POST /a/x HTTP/1.1\r\nHost: hire.example\r\nX-Request-Id: " + id +
         "\r\nX-Request-Deadline: 1000\r\nAuthorization: Bearer key-of-t1\r\n"
         "Content-Length: 5\r\n\r\nsound";
}

// Guards against an entry that works for callers who left while it was paused.
TEST(PausedEntry, ServesNobodyWhoLeft)
{
  ServingInstallation serving;
  serving.WaitUntilServed();
  const std::uint64_t before = serving.Runs();

  serving.site.entry->Signal(SIGSTOP);
  for (int number = 0; number < kCallers; ++number) {
    BlockingConnection caller(serving.site.entryHttp);
    ASSERT_TRUE(caller.Write(RequestWithId("gone-" + std::to_string(number))));
    caller.Close();
  }
  serving.site.entry->Signal(SIGCONT);

  EXPECT_EQ(serving.Ask("sound").status, 200U);
  std::this_thread::sleep_for(500ms);
  EXPECT_EQ(serving.Runs(), before + 1);
}

} // namespace
} // namespace gooseberrysail::test
