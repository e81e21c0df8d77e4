#include "support/blocking_connection.hpp"
#include "support/http_exchange.hpp"
#include "support/raw_connection.hpp"
#include "support/section.hpp"

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using tests::BlockingConnection;
using tests::RawConnection;
using tests::RecordingServer;

constexpr const char* kGet = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr const char* kOldGet = "GET /a HTTP/1.0\r\n\r\n";
constexpr std::size_t kCallers = 20;

/// \brief Callers who send a request and leave before the server's fibers run.
void ComeAndGo(const std::string& address,
               std::string_view request,
               const std::function<void(BlockingConnection&)>& leave)
{
  for (std::size_t number = 0; number < kCallers; ++number) {
    BlockingConnection caller(address);
    ASSERT_TRUE(caller.isConnected);
    ASSERT_TRUE(caller.Write(request));
    leave(caller);
  }
}

// Guards against requests that are passed on though their callers left before they were read.
TEST(DepartedCallers, TheirRequestsAreNotPassedOn)
{
  struct Case
  {
    std::string name;
    std::string request;
    std::function<void(BlockingConnection&)> leave;
  };
  const auto close = [](BlockingConnection& caller) { caller.Close(); };
  const std::vector<Case> cases{
    { "closed", kGet, close },
    { "reset", kGet, [](BlockingConnection& caller) { caller.Reset(); } },
    { "closed for writing only",
      kGet,
      [](BlockingConnection& caller) { caller.CloseForWriting(); } },
    { "closed after a second request", std::string(kGet) + kGet, close },
    { "closed after HTTP/1.0", kOldGet, close },
  };
  for (const Case& testCase : cases) {
    SECTION(testCase.name)
    {
      IoRuntime runtime;
      RecordingServer server(runtime);
      ComeAndGo(server.address, testCase.request, testCase.leave);
      RawConnection last(runtime, server.address);
      ASSERT_TRUE(last.Write("GET /last HTTP/1.1\r\nHost: x\r\n\r\n"));
      EXPECT_TRUE(server.WaitFor(
        [&] { return !server.requests.empty() && server.requests.back().target == "/last"; }));
      runtime.SleepFor(50ms);
      EXPECT_EQ(server.requests.size(), 1U);
    }
  }
}

} // namespace
} // namespace gooseberrysail
