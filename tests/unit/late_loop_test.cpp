#include "support/blocking_connection.hpp"
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
using tests::BlockingConnection;
using tests::RecordingClient;
using tests::RecordingServer;

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

// Guards against a caller being cut as too slow because this process was late: it has read what was
// sent, and the rest can be written, when the write timeout is noticed.
TEST(LateLoop, CutsNoCallerWhoHasRead)
{
  constexpr std::size_t kBytes = 12UL * 1024 * 1024;
  constexpr Duration kWriteTimeout = 400ms;
  IoRuntime runtime;
  RecordingServer server(
    runtime, [&](HttpServerSettings& settings) { settings.writeTimeout = kWriteTimeout; });
  BlockingConnection caller(server.address);
  ASSERT_TRUE(caller.Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n"));
  const HttpRequestIn request = server.Request(1);
  server.Send(request, std::string(kBytes, 'x') + "last", true);
  runtime.SleepFor(kWriteTimeout / 4);
  std::string received;
  std::thread reader([&] { received = caller.ReadUntil("last"); });
  std::this_thread::sleep_for(2 * kWriteTimeout);
  for (int i = 0; i < 500 && server.server.PendingExchanges() > 0; ++i) {
    runtime.SleepFor(10ms);
  }
  runtime.SleepFor(kWriteTimeout / 2);
  server.server.Close();
  reader.join();
  EXPECT_TRUE(received.ends_with("last"));
  EXPECT_TRUE(server.disconnected.empty());
}

} // namespace
} // namespace gooseberrysail
