#include "support/blocking_connection.hpp"
#include "support/descriptor_limit.hpp"
#include "support/serving_installation.hpp"

#include <thread>

namespace gooseberrysail::test {
namespace {

using namespace std::chrono_literals;
using tests::BlockingConnection;

constexpr rlim_t kDescriptors = 400;
constexpr std::size_t kConnections = 600;
/// After which the entry has closed its unused connections to targets.
constexpr auto kIdleTimeoutOfTargets = 5s;

std::unique_ptr<ServingInstallation> StartWithFewDescriptors()
{
  const DescriptorLimit low(kDescriptors);
  return std::make_unique<ServingInstallation>();
}

// Guards against an entry that serves nobody once idle connections hold all its descriptors.
TEST(DescriptorLimit, IdleConnectionsLeaveRoomForRequests)
{
  const auto serving = StartWithFewDescriptors();
  serving->WaitUntilServed();
  std::vector<std::unique_ptr<BlockingConnection>> idle;
  for (std::size_t number = 0; number < kConnections; ++number) {
    idle.push_back(std::make_unique<BlockingConnection>(serving->site.entryHttp));
  }
  for (int number = 0; number < 20; ++number) {
    EXPECT_EQ(serving->Ask("sound").status, 200U);
  }
  EXPECT_EQ(serving->site.Readiness(), 200U);
}

// Guards against an entry that can't reach its targets once connections of callers hold all
// descriptors.
TEST(DescriptorLimit, SomeAreKeptForTargets)
{
  const auto serving = StartWithFewDescriptors();
  serving->WaitUntilServed();
  constexpr const char* kStart = "POST /a/x HTTP/1.1\r\n";
  BlockingConnection early(serving->site.entryHttp);
  ASSERT_TRUE(early.Write(kStart));
  std::vector<std::unique_ptr<BlockingConnection>> unfinished;
  for (std::size_t number = 0; number < kConnections; ++number) {
    unfinished.push_back(std::make_unique<BlockingConnection>(serving->site.entryHttp));
    unfinished.back()->Write(kStart);
  }
  std::this_thread::sleep_for(kIdleTimeoutOfTargets);
  early.Write("Host: hire.example\r\nX-Request-Id: early\r\nAuthorization: Bearer key-of-t1\r\n"
              "Content-Length: 0\r\n\r\n");
  EXPECT_EQ(early.ReadUntil("\r\n").substr(0, 12), "HTTP/1.1 200");
}

} // namespace
} // namespace gooseberrysail::test
