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

// Guards against a call that is sent to its target after its caller has left.
TEST(DepartedCallers, TheirCallsAreNotSentToTargets)
{
  IoRuntime runtime;
  RecordingServer target(runtime);
  std::vector<ExchangeId> asked;
  HttpClientHooks hooks;
  std::size_t answers = 0;
  hooks.onAnswer = [&](const TargetAnswerIn&) { ++answers; };
  hooks.onFailed = [&](const TargetFailedIn&) { ++answers; };
  hooks.isCallerConnected = [&](ExchangeId caller) {
    asked.push_back(caller);
    return caller != ExchangeId(7);
  };
  HttpClient client(runtime, {}, hooks);
  const auto call = [&](std::uint64_t exchange, ExchangeId caller) {
    TargetCallOut out;
    out.exchange = ExchangeId(exchange);
    out.method = "POST";
    out.path = "/" + std::to_string(exchange);
    out.caller = caller;
    client.Start(target.address, std::move(out));
  };
  SECTION("the call of a caller who left ends without a word")
  {
    call(1, ExchangeId(7));
    call(2, ExchangeId(8));
    EXPECT_EQ(target.Request(1).target, "/2");
  }
  SECTION("a call without a caller is always sent")
  {
    call(3, ExchangeId());
    EXPECT_EQ(target.Request(2).target, "/3");
  }
  runtime.SleepFor(50ms);
  EXPECT_EQ(target.requests.size(), 2U);
  EXPECT_EQ(asked, (std::vector<ExchangeId>{ ExchangeId(7), ExchangeId(8) }));
  EXPECT_EQ(answers, 0U);
}

} // namespace
} // namespace gooseberrysail
