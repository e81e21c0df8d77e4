#include "support/blocking_connection.hpp"
#include "support/serving_installation.hpp"

#include <sys/resource.h>

namespace gooseberrysail::test {
namespace {

using namespace std::chrono_literals;
using tests::BlockingConnection;

constexpr rlim_t kDescriptors = 400;
constexpr std::size_t kIdleConnections = 600;

/// \brief Limits the descriptors of this process and of those that it starts meanwhile.
class LowDescriptorLimit
{
public:
  LowDescriptorLimit()
  {
    getrlimit(RLIMIT_NOFILE, &m_before);
    const rlimit low{ kDescriptors, m_before.rlim_max };
    setrlimit(RLIMIT_NOFILE, &low);
  }
  ~LowDescriptorLimit() { setrlimit(RLIMIT_NOFILE, &m_before); }
  LowDescriptorLimit(const LowDescriptorLimit&) = delete;
  LowDescriptorLimit& operator=(const LowDescriptorLimit&) = delete;

private:
  rlimit m_before{};
};

std::unique_ptr<ServingInstallation> StartWithFewDescriptors()
{
  const LowDescriptorLimit low;
  return std::make_unique<ServingInstallation>();
}

// Guards against an entry that serves nobody once idle connections hold all its descriptors.
TEST(DescriptorLimit, IdleConnectionsLeaveRoomForRequests)
{
  const auto serving = StartWithFewDescriptors();
  serving->WaitUntilServed();
  std::vector<std::unique_ptr<BlockingConnection>> idle;
  for (std::size_t number = 0; number < kIdleConnections; ++number) {
    idle.push_back(std::make_unique<BlockingConnection>(serving->site.entryHttp));
  }
  for (int number = 0; number < 20; ++number) {
    EXPECT_EQ(serving->Ask("sound").status, 200U);
  }
  EXPECT_EQ(serving->site.Readiness(), 200U);
}

} // namespace
} // namespace gooseberrysail::test
