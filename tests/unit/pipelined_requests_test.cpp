#include "support/http_exchange.hpp"
#include "support/raw_connection.hpp"
#include "support/section.hpp"

#include <thread>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using tests::Contains;
using tests::RawConnection;
using tests::RecordingServer;

constexpr const char* kGet = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr Duration kMaxUnreadWait = 200ms;
/// Time for the server to read what a caller sent ahead.
constexpr Duration kReadAheadTime = 30ms;

/// \brief Makes each round of the event loop longer than requests may wait to be read.
class LateLoop
{
public:
  explicit LateLoop(IoRuntime& runtime)
    : m_runtime(runtime)
  {
    runtime.Spawn([this] {
      while (m_isRunning) {
        m_runtime.WaitForPoll();
        std::this_thread::sleep_for(kMaxUnreadWait + 50ms);
      }
      m_hasEnded = true;
      m_ended.Notify();
    });
  }

  ~LateLoop()
  {
    m_isRunning = false;
    while (!m_hasEnded) {
      m_ended.Wait();
    }
  }

  LateLoop(const LateLoop&) = delete;
  LateLoop& operator=(const LateLoop&) = delete;

private:
  IoRuntime& m_runtime;
  Signal m_ended;
  bool m_isRunning = true;
  bool m_hasEnded = false;
};

// Guards against a request that is closed as unread though the server read it together with the
// request before it: its caller can't know that it did not run.
TEST(PipelinedRequests, ThatWereReadAreNotClosedAsUnread)
{
  IoRuntime runtime;
  RecordingServer server(
    runtime, [](HttpServerSettings& settings) { settings.maxUnreadWait = kMaxUnreadWait; });
  RawConnection caller(runtime, server.address);
  caller.Write(std::string(kGet) + kGet);
  const HttpRequestIn first = server.Request(1);
  runtime.SleepFor(kReadAheadTime);
  const LateLoop late(runtime);
  server.Send(first, "first", true);
  ASSERT_TRUE(server.WaitFor([&] { return server.requests.size() == 2; }));
  server.Send(server.Request(2), "second", true);
  EXPECT_TRUE(caller.ReadUntil("second"));
  EXPECT_EQ(server.server.Counters().closedUnread, 0U);
}

// Guards against a stop that drops the requests that a caller had sent before it.
TEST(PipelinedRequests, AreAnsweredWhileTheServerStops)
{
  IoRuntime runtime;
  for (const bool isStreamed : { false, true }) {
    SECTION(isStreamed ? "behind a stream" : "behind a complete response")
    {
      RecordingServer server(runtime);
      RawConnection caller(runtime, server.address);
      caller.Write(std::string(kGet) + kGet + kGet);
      const HttpRequestIn first = server.Request(1);
      runtime.SleepFor(kReadAheadTime);
      server.server.StopAccepting();
      if (isStreamed) {
        server.Send(first, "begun", false);
        ASSERT_TRUE(caller.ReadUntil("begun"));
      }
      server.Send(first, "first", true);
      ASSERT_TRUE(server.WaitFor([&] { return server.requests.size() == 2; }));
      server.Send(server.Request(2), "second", true);
      ASSERT_TRUE(server.WaitFor([&] { return server.requests.size() == 3; }));
      EXPECT_FALSE(Contains(caller.received, "Connection: close"));
      server.Send(server.Request(3), "third", true);
      EXPECT_TRUE(Contains(caller.ReadToEnd(), "third"));
      EXPECT_TRUE(Contains(caller.received, "Connection: close"));
    }
  }
}

} // namespace
} // namespace gooseberrysail
