#include "gooseberrysail/net/endpoint.hpp"
#include "support/serving_installation.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>
#include <thread>

namespace gooseberrysail::test {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kIdleConnections = 400;
constexpr std::size_t kCallers = 8;

/// \brief How requests on new connections ended, of those that the entry read.
struct Counts
{
  std::atomic<std::size_t> read = 0;
  std::atomic<std::size_t> served = 0;

  [[nodiscard]] double Share() const
  {
    return static_cast<double>(served) / static_cast<double>(std::max<std::size_t>(read, 1));
  }
};

/// \brief Connections on which nothing is ever sent.
class IdleConnections
{
public:
  IdleConnections(const std::string& address, std::size_t count)
  {
    const auto endpoint = ParseEndpoint(address);
    for (std::size_t number = 0; number < count; ++number) {
      m_sockets.emplace_back(m_io);
      boost::system::error_code error;
      m_sockets.back().connect(endpoint.value(), error);
      EXPECT_FALSE(error) << error.message();
    }
  }

private:
  boost::asio::io_context m_io;
  std::vector<boost::asio::ip::tcp::socket> m_sockets;
};

/// \brief Each caller opens connection after connection, with one request on each.
void CallOnNewConnections(const ServingInstallation& serving,
                          std::size_t callers,
                          std::chrono::milliseconds duration,
                          Counts& counts)
{
  std::vector<std::jthread> threads;
  for (std::size_t caller = 0; caller < callers; ++caller) {
    threads.emplace_back([&serving, &counts, caller, duration] {
      const auto until = std::chrono::steady_clock::now() + duration;
      for (int call = 0; std::chrono::steady_clock::now() < until; ++call) {
        const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(call);
        const unsigned status = serving.site.CallEntry("/a/x", "key-of-t1", id, "sound").status;
        counts.read += status == 0 ? 0 : 1; // Without a status it was refused, or closed unread.
        counts.served += status == 200 ? 1 : 0;
      }
    });
  }
}

// Guards against an entry that serves nobody while it gets most new connections, of which many send
// nothing.
TEST(SkewedConnections, TheEntryThatGetsThemServesWhatItReads)
{
  ServingInstallation serving;
  serving.WaitUntilServed();
  Counts before;
  CallOnNewConnections(serving, 1, 1s, before);
  ASSERT_GT(before.served, 0U);

  const IdleConnections idle(serving.site.entryHttp, kIdleConnections);
  Counts during;
  CallOnNewConnections(serving, kCallers, 3s, during);
  EXPECT_GT(during.served, before.served);
  EXPECT_GE(during.Share(), 0.75 * before.Share());
  EXPECT_EQ(serving.site.Readiness(), 200U);
}

} // namespace
} // namespace gooseberrysail::test
