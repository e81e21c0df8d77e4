#include "support/http_exchange.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <thread>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using tests::RecordingClient;

constexpr Duration kCallTimeout = 200ms;

/// \brief A target in a thread of its own: it answers one call, each part a while after the last.
class ThreadedTarget
{
public:
  explicit ThreadedTarget(std::vector<std::string> parts)
    : m_acceptor(m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , m_thread([this, parts = std::move(parts)] { Serve(parts); })
  {
  }
  ~ThreadedTarget() { m_thread.join(); }
  ThreadedTarget(const ThreadedTarget&) = delete;
  ThreadedTarget& operator=(const ThreadedTarget&) = delete;

  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

private:
  void Serve(const std::vector<std::string>& parts)
  {
    boost::system::error_code error;
    tcp::socket socket(m_io);
    m_acceptor.accept(socket, error);
    std::array<char, 4096> bytes{};
    socket.read_some(boost::asio::buffer(bytes), error);
    for (const std::string& part : parts) {
      std::this_thread::sleep_for(kCallTimeout / 2);
      boost::asio::write(socket, boost::asio::buffer(part), error);
    }
  }

  boost::asio::io_context m_io;
  tcp::acceptor m_acceptor;
  std::thread m_thread;
};

// Guards against a sound target's call being given up as silent because this process was late: the
// timeout and the bytes that came before it are noticed together.
TEST(LateLoop, EndsNoCallWhoseBytesHaveCome)
{
  IoRuntime runtime;
  ThreadedTarget target({ "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\none", "two" });
  RecordingClient client(runtime);
  client.Start(target.Address(), 1, kCallTimeout);
  runtime.SleepFor(kCallTimeout / 4);
  std::this_thread::sleep_for(2 * kCallTimeout);
  ASSERT_TRUE(client.WaitFor([&] { return client.IsWhole() || !client.failures.empty(); }));
  EXPECT_EQ(client.Body(), "onetwo");
  EXPECT_TRUE(client.failures.empty());
}

} // namespace
} // namespace gooseberrysail
