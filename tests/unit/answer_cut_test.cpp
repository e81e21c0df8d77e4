#include "gooseberrysail/observe/event_catalog.hpp"
#include "support/http_exchange.hpp"
#include "support/raw_connection.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <gmock/gmock.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using testing::HasSubstr;
using testing::Not;
using tests::RawConnection;
using tests::RecordingServer;

constexpr const char* kGet = "GET /a HTTP/1.1\r\nHost: x\r\nX-Request-Id: r-1\r\n\r\n";

bool IsCut(const EventOut& event)
{
  return event.number == static_cast<std::uint32_t>(EventNumber::kHttpAnswerCut);
}

std::string FieldOf(const EventOut& event, const std::string& name)
{
  const auto found =
    std::ranges::find(event.fields, name, &std::pair<std::string, std::string>::first);
  return found == event.fields.end() ? "none" : found->second;
}

/// The event of the only response that was cut.
EventOut WaitForCut(RecordingServer& server)
{
  EXPECT_TRUE(server.WaitFor([&] { return std::ranges::any_of(server.events, IsCut); }));
  EXPECT_EQ(std::ranges::count_if(server.events, IsCut), 1);
  return *std::ranges::find_if(server.events, IsCut);
}

std::uint64_t CutsBy(RecordingServer& server, AnswerCutCause cause)
{
  return server.server.Counters().cuts.at(static_cast<std::size_t>(cause));
}

// Guards against connections that end without a complete response and without a line that tells
// who decided it and what was sent.
TEST(AnswerCut, IsReportedWithItsCause)
{
  IoRuntime runtime;
  SECTION("aborted by the process during the response")
  {
    RecordingServer server(runtime);
    RawConnection caller(runtime, server.address);
    caller.Write(kGet);
    server.Send(server.Request(1), "half", false);
    ASSERT_TRUE(caller.ReadUntil("half"));
    caller.Write(kGet);
    runtime.SleepFor(20ms);
    server.Send(server.Request(1), "", false, true);
    const EventOut cut = WaitForCut(server);
    EXPECT_EQ(FieldOf(cut, "cause"), "process");
    EXPECT_EQ(FieldOf(cut, "request"), "r-1");
    EXPECT_EQ(FieldOf(cut, "exchange"), "1");
    EXPECT_EQ(FieldOf(cut, "sentBytes"), std::to_string(caller.ReadToEnd().size()));
    EXPECT_EQ(FieldOf(cut, "queuedBytes"), "0");
    EXPECT_EQ(FieldOf(cut, "readAheadBytes"), std::to_string(std::string(kGet).size()));
    EXPECT_GE(std::stoi(FieldOf(cut, "millis")), 20);
    EXPECT_EQ(CutsBy(server, AnswerCutCause::kProcess), 1U);
  }
  SECTION("the caller takes nothing within the time limit")
  {
    RecordingServer server(runtime,
                           [](HttpServerSettings& settings) { settings.writeTimeout = 50ms; });
    RawConnection caller(runtime, server.address);
    caller.Write(kGet);
    server.Send(server.Request(1), std::string(15 * 1024 * 1024, 'x'), false);
    const EventOut cut = WaitForCut(server);
    EXPECT_EQ(FieldOf(cut, "cause"), "write-timeout");
    EXPECT_GT(std::stoull(FieldOf(cut, "sentBytes")), 0U);
    EXPECT_EQ(FieldOf(cut, "queuedBytes"), std::to_string(15 * 1024 * 1024));
    EXPECT_EQ(server.disconnected.size(), 1U);
  }
  SECTION("too much is queued for a caller that reads slowly")
  {
    RecordingServer server(
      runtime, [](HttpServerSettings& settings) { settings.maxQueuedAnswerBytes = 1024 * 1024; });
    RawConnection caller(runtime, server.address);
    caller.Write(kGet);
    const HttpRequestIn request = server.Request(1);
    for (int i = 0; i < 1000 && server.disconnected.empty(); ++i) {
      server.Send(request, std::string(100 * 1024, 'x'), false);
      runtime.SleepFor(1ms);
    }
    const EventOut cut = WaitForCut(server);
    EXPECT_EQ(FieldOf(cut, "cause"), "slow-caller");
    EXPECT_GT(std::stoull(FieldOf(cut, "queuedBytes")), 900U * 1024U);
  }
  SECTION("the server is closed")
  {
    RecordingServer server(runtime);
    RawConnection caller(runtime, server.address);
    caller.Write(kGet);
    server.Request(1);
    server.server.Close();
    const EventOut cut = WaitForCut(server);
    EXPECT_EQ(FieldOf(cut, "cause"), "stop");
    EXPECT_EQ(FieldOf(cut, "sentBytes"), "0");
  }
  SECTION("a caller who leaves is counted only")
  {
    RecordingServer server(runtime);
    RawConnection caller(runtime, server.address);
    caller.Write(kGet);
    server.Request(1);
    caller.Close();
    ASSERT_TRUE(server.WaitFor([&] { return server.disconnected.size() == 1; }));
    runtime.SleepFor(20ms);
    EXPECT_EQ(CutsBy(server, AnswerCutCause::kCaller), 1U);
    EXPECT_TRUE(std::ranges::none_of(server.events, IsCut));
  }
}

// Guards against a connection that is closed without one byte though the caller could still be
// told that its request failed and may have run.
TEST(AnswerCut, BeforeItsFirstByteIsReplacedByAnError)
{
  IoRuntime runtime;
  const auto expectError = [](const std::string& received) {
    EXPECT_EQ(received.substr(9, 4), "502 ");
    EXPECT_THAT(received, HasSubstr("\"outcome\":\"unknown\""));
    EXPECT_THAT(received, HasSubstr("Content-Length: "));
    EXPECT_THAT(received, HasSubstr("X-Request-Id: r-1\r\n"));
    EXPECT_THAT(received, Not(HasSubstr("Retry-After")));
    EXPECT_THAT(received, Not(HasSubstr("half")));
  };
  SECTION("aborted together with its first part; the connection can be used again")
  {
    RecordingServer server(runtime);
    RawConnection caller(runtime, server.address);
    caller.Write(kGet);
    server.Send(server.Request(1), "half", false);
    server.Send(server.Request(1), "", false, true);
    ASSERT_TRUE(caller.ReadUntil("}}"));
    expectError(caller.received);
    EXPECT_THAT(caller.received, Not(HasSubstr("Connection: close")));
    EXPECT_EQ(FieldOf(WaitForCut(server), "cause"), "unsent");
    EXPECT_EQ(server.server.Counters().aborted, 1U);
    EXPECT_TRUE(server.disconnected.empty());
    caller.Write(kGet);
    server.Send(server.Request(2), "next", true);
    EXPECT_TRUE(caller.ReadUntil("next"));
  }
  SECTION("while the server stops: the error ends the connection")
  {
    RecordingServer server(runtime);
    RawConnection caller(runtime, server.address);
    caller.Write(kGet);
    const HttpRequestIn request = server.Request(1);
    server.server.StopAccepting();
    server.Send(request, "", false, true);
    expectError(caller.ReadToEnd());
    EXPECT_THAT(caller.received, HasSubstr("Connection: close"));
  }
  SECTION("HTTP/1.0, whose response waits for its end")
  {
    RecordingServer server(runtime);
    RawConnection caller(runtime, server.address);
    caller.Write("GET / HTTP/1.0\r\nX-Request-Id: r-1\r\n\r\n");
    server.Send(server.Request(1), "half", false);
    runtime.SleepFor(20ms);
    server.Send(server.Request(1), "", false, true);
    expectError(caller.ReadToEnd());
  }
  SECTION("HTTP/1.0, a response that is longer than the limit of its queue")
  {
    RecordingServer server(
      runtime, [](HttpServerSettings& settings) { settings.maxQueuedAnswerBytes = 1000; });
    RawConnection caller(runtime, server.address);
    caller.Write("GET / HTTP/1.0\r\nX-Request-Id: r-1\r\n\r\n");
    server.Send(server.Request(1), "half" + std::string(600, 'x'), false);
    runtime.SleepFor(20ms);
    server.Send(server.Request(1), std::string(600, 'x'), false);
    expectError(caller.ReadToEnd());
    EXPECT_EQ(server.disconnected.size(), 1U);
  }
  SECTION("HEAD: the error has no body")
  {
    RecordingServer server(runtime);
    RawConnection caller(runtime, server.address);
    caller.Write("HEAD / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    server.Send(server.Request(1), "", false, true);
    EXPECT_EQ(caller.ReadToEnd().substr(9, 4), "502 ");
    EXPECT_TRUE(caller.received.ends_with("\r\n\r\n"));
  }
}

// Guards against lines of any length by a caller's own request id.
TEST(AnswerCut, NamesTheRequestInABoundedLine)
{
  IoRuntime runtime;
  RecordingServer server(runtime);
  RawConnection caller(runtime, server.address);
  caller.Write("GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + std::string(5000, 'r') + "\r\n\r\n");
  server.Request(1);
  server.server.Close();
  EXPECT_EQ(FieldOf(WaitForCut(server), "request"), std::string(64, 'r'));
}

} // namespace
} // namespace gooseberrysail
