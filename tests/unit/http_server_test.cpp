#include "support/blocking_connection.hpp"
#include "support/http_exchange.hpp"
#include "support/raw_connection.hpp"
#include "support/section.hpp"

#include <thread>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using tests::Contains;
using tests::kTestTimeout;
using tests::RawConnection;
using tests::RecordingServer;

constexpr const char* kGet = "GET /health HTTP/1.1\r\nHost: x\r\n\r\n";

TEST(HttpServer, AnswersOneRequestAfterAnotherOnOneConnection)
{
  IoRuntime runtime;
  RecordingServer server(runtime);
  ASSERT_TRUE(server.started);
  RawConnection caller(runtime, server.address);

  SECTION("the request arrives with method, target, headers, body and the caller's address")
  {
    caller.Write(
      "POST /a?b=c HTTP/1.1\r\nHost: x\r\nX-Kind: roller\r\nContent-Length: 4\r\n\r\nbody");
    const HttpRequestIn& request = server.Request(1);
    EXPECT_EQ(request.method, "POST");
    EXPECT_EQ(request.target, "/a?b=c");
    EXPECT_EQ(FindHeader(request.headers, "x-kind"), "roller");
    EXPECT_EQ(request.body, "body");
    EXPECT_EQ(request.peer, ToAddress(caller.socket.local_endpoint()));
  }
  SECTION("a complete response carries its length")
  {
    server.Send(server.Request(1), "hello", true);
    ASSERT_TRUE(caller.ReadUntil("\r\n\r\nhello"));
    EXPECT_TRUE(Contains(caller.received, "Content-Length: 5"));
    EXPECT_FALSE(Contains(caller.received, "chunked"));
  }
  SECTION("a streamed response is sent in parts")
  {
    caller.received.clear();
    caller.Write(kGet);
    server.Send(server.Request(2), "one", false);
    ASSERT_TRUE(caller.ReadUntil("one\r\n"));
    EXPECT_TRUE(Contains(caller.received, "Transfer-Encoding: chunked"));
    server.Send(server.Request(2), "two", false);
    ASSERT_TRUE(caller.ReadUntil("two\r\n"));
    server.Send(server.Request(2), "", true);
    ASSERT_TRUE(caller.ReadUntil("0\r\n\r\n"));
  }
  SECTION("an answer to HEAD has the length and no body")
  {
    caller.received.clear();
    caller.Write("HEAD / HTTP/1.1\r\nHost: x\r\n\r\n");
    server.Send(server.Request(3), "hidden", true);
    caller.Write(kGet);
    server.Send(server.Request(4), "shown", true);
    ASSERT_TRUE(caller.ReadUntil("shown"));
    EXPECT_TRUE(Contains(caller.received, "Content-Length: 6"));
    EXPECT_FALSE(Contains(caller.received, "hidden"));
  }
  EXPECT_EQ(server.server.Counters().connections, 1U);
  EXPECT_EQ(server.server.Counters().requests, 4U);
  EXPECT_EQ(server.server.PendingExchanges(), 0U);
}

// Guards against a caller taking an incomplete response for a complete one when the engine fails
// in the middle of a stream and the response is aborted.
TEST(HttpServer, AnAbortedResponseCannotLookComplete)
{
  IoRuntime runtime;
  SECTION("chunked: the last chunk is missing")
  {
    RecordingServer server(runtime);
    RawConnection caller(runtime, server.address);
    caller.Write(kGet);
    server.Send(server.Request(1), "half", false);
    ASSERT_TRUE(caller.ReadUntil("half"));
    server.Send(server.Request(1), " more", false, true);
    EXPECT_TRUE(Contains(caller.ReadToEnd(), " more"));
    EXPECT_FALSE(Contains(caller.received, "0\r\n\r\n"));
    EXPECT_EQ(server.server.Counters().aborted, 1U);
    EXPECT_TRUE(server.disconnected.empty());
  }
  SECTION("HTTP/1.0 has no chunks: nothing is sent before the end is known")
  {
    RecordingServer server(runtime);
    RawConnection caller(runtime, server.address);
    caller.Write("GET / HTTP/1.0\r\n\r\n");
    server.Send(server.Request(1), "half", false);
    server.Send(server.Request(1), "", false, true);
    EXPECT_EQ(caller.ReadToEnd().substr(0, 13), "HTTP/1.0 502 ");
    EXPECT_FALSE(Contains(caller.received, "half"));
  }
  SECTION("HTTP/1.0: a stream that ends is sent with its length")
  {
    RecordingServer server(runtime);
    RawConnection caller(runtime, server.address);
    caller.Write("GET / HTTP/1.0\r\n\r\n");
    server.Send(server.Request(1), "half", false);
    server.Send(server.Request(1), "half", true);
    EXPECT_TRUE(Contains(caller.ReadToEnd(), "Content-Length: 8\r\n"));
    EXPECT_TRUE(Contains(caller.received, "halfhalf"));
  }
}

TEST(HttpServer, RejectsMalformedOrOversizedRequestsWithAJsonError)
{
  struct Case
  {
    std::string name;
    std::string bytes;
    std::string status;
  };
  const std::vector<Case> cases{
    { "not HTTP", "what is this\r\n\r\n", "400 " },
    { "a bad length", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400 " },
    { "two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "400 " },
    { "length and chunks",
      "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
      "400 " },
    { "headers over the limit",
      "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n",
      "431 " },
    { "unterminated headers over the limit",
      "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x'),
      "431 " },
    { "a body announced over the limit",
      "POST / HTTP/1.1\r\nContent-Length: 2001\r\n\r\n" + std::string(2001, 'x'),
      "413 " },
    { "a body announced over the limit with Expect: 100-continue",
      "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2001\r\n\r\n",
      "413 " },
    { "chunks over the limit",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d1\r\n" + std::string(2001, 'x') +
        "\r\n0\r\n\r\n",
      "413 " },
  };
  IoRuntime runtime;
  RecordingServer server(runtime, [](HttpServerSettings& settings) {
    settings.maxHeaderBytes = 1000;
    settings.maxBodyBytes = 2000;
  });
  for (const Case& testCase : cases) {
    SECTION(testCase.name)
    {
      RawConnection caller(runtime, server.address);
      caller.Write(testCase.bytes);
      const std::string& answer = caller.ReadToEnd();
      EXPECT_EQ(answer.substr(0, 13), "HTTP/1.1 " + testCase.status);
      EXPECT_TRUE(Contains(answer, "application/json"));
      EXPECT_TRUE(Contains(answer, "\"outcome\":\"not-run\""));
      EXPECT_TRUE(Contains(answer, "Connection: close"));
    }
  }
  EXPECT_TRUE(server.requests.empty());
  EXPECT_EQ(server.server.Counters().rejected, cases.size());

  SECTION("a body of exactly the limit is accepted, after 100 Continue if requested")
  {
    RawConnection caller(runtime, server.address);
    caller.Write("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2000\r\n\r\n");
    ASSERT_TRUE(caller.ReadUntil("100 Continue\r\n\r\n"));
    caller.Write(std::string(2000, 'x'));
    EXPECT_EQ(server.Request(1).body.size(), 2000U);
    server.Send(server.Request(1), "taken", true);
    EXPECT_TRUE(caller.ReadUntil("taken"));
  }
}

// Guards against a length of 0 being stated for a body whose length is not known.
TEST(HttpServer, StatesTheLengthOfABodyThatIsNotSentOnlyIfItIsKnown)
{
  IoRuntime runtime;
  RecordingServer server(runtime);
  const auto headOf = [&](const std::string& body) {
    const std::size_t count = server.requests.size() + 1;
    RawConnection caller(runtime, server.address);
    caller.Write("HEAD / HTTP/1.1\r\nConnection: close\r\n\r\n");
    server.Send(server.Request(count), body, true);
    return caller.ReadToEnd();
  };
  SECTION("an answer passed on from a target, which sent no body either")
  {
    const std::string answer = headOf("");
    EXPECT_TRUE(Contains(answer, "HTTP/1.1 200 OK\r\n"));
    EXPECT_FALSE(Contains(answer, "Content-Length")) << answer;
  }
  SECTION("the connection is kept none the less")
  {
    const std::string request = "HEAD / HTTP/1.1\r\n\r\n";
    const std::size_t count = server.requests.size();
    RawConnection caller(runtime, server.address);
    caller.Write(request);
    server.Send(server.Request(count + 1), "", true);
    EXPECT_TRUE(caller.ReadUntil("\r\n\r\n"));
    caller.Write(request);
    server.Send(server.Request(count + 2), "", true);
    EXPECT_EQ(server.server.Counters().connections, 2U);
  }
  SECTION("an answer whose body is known")
  {
    const std::string answer = headOf("whole");
    EXPECT_TRUE(Contains(answer, "Content-Length: 5\r\n")) << answer;
    EXPECT_FALSE(Contains(answer, "whole"));
  }
}

// Guards against a body whose end is not known being read as a further request, and against one
// that is encoded being passed on without its encoding.
TEST(HttpServer, RejectsRequestsWithOtherTransferCodingsThanChunks)
{
  const std::vector<std::string> codings{
    "Transfer-Encoding: gzip\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: chunked, gzip\r\n",
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding:\r\n",
    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: gzip\r\nContent-Length: 12\r\n",
  };
  const std::vector<std::string> bodies{
    "POST /inside HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    "2\r\nab\r\n0\r\n\r\n",
  };
  IoRuntime runtime;
  for (const std::string& coding : codings) {
    for (const std::string& body : bodies) {
      SECTION(coding + body)
      {
        RecordingServer server(runtime);
        server.onRequest = [&](const HttpRequestIn& request) { server.Send(request, "ok", true); };
        RawConnection caller(runtime, server.address);
        caller.Write("POST / HTTP/1.1\r\n" + coding + "\r\n" + body);
        runtime.SleepFor(std::chrono::milliseconds(20));
        boost::system::error_code ignored;
        caller.socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        const std::string status = caller.ReadToEnd().substr(0, 13);
        EXPECT_TRUE(status == "HTTP/1.1 501 " || status == "HTTP/1.1 400 ") << status;
        EXPECT_EQ(server.requests.size(), 0U);
      }
    }
  }
  SECTION("chunks alone, in any case of letters")
  {
    RecordingServer server(runtime);
    RawConnection caller(runtime, server.address);
    caller.Write("POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
    EXPECT_EQ(server.Request(1).body, "ab");
  }
}

// Guards against a caller of HTTP/1.0, which has no interim responses, that takes one for its
// answer.
TEST(HttpServer, TellsNoCallerOfHttp10ToContinue)
{
  IoRuntime runtime;
  RecordingServer server(runtime);
  RawConnection caller(runtime, server.address);
  caller.Write("POST / HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  runtime.SleepFor(std::chrono::milliseconds(50));
  caller.Write("ab");
  EXPECT_EQ(server.Request(1).body, "ab");
  server.Send(server.Request(1), "done", true);
  EXPECT_EQ(caller.ReadToEnd().substr(0, 13), "HTTP/1.0 200 ");
}

// Guards against engines that keep working for callers that have disconnected.
TEST(HttpServer, DetectsADisconnectWhileTheResponseIsPending)
{
  IoRuntime runtime;
  RecordingServer server(runtime);
  SECTION("before the answer began")
  {
    RawConnection caller(runtime, server.address);
    caller.Write(kGet);
    const ExchangeId exchange = server.Request(1).exchange;
    caller.Close();
    ASSERT_TRUE(server.WaitFor([&] { return server.disconnected.size() == 1; }));
    EXPECT_EQ(server.disconnected[0], exchange);
  }
  SECTION("in the middle of a stream")
  {
    RawConnection caller(runtime, server.address);
    caller.Write(kGet);
    server.Send(server.Request(2), "part", false);
    ASSERT_TRUE(caller.ReadUntil("part"));
    caller.Close();
    ASSERT_TRUE(server.WaitFor([&] { return server.disconnected.size() == 2; }));
  }
  SECTION("having sent its next request already")
  {
    RawConnection caller(runtime, server.address);
    caller.Write(std::string(kGet) + kGet);
    server.Request(3);
    caller.Close();
    ASSERT_TRUE(server.WaitFor([&] { return server.disconnected.size() == 3; }));
  }
  SECTION("an answer for it is dropped")
  {
    server.Send(server.Request(3), "late", true);
    EXPECT_EQ(server.server.PendingExchanges(), 0U);
  }
  EXPECT_EQ(server.server.Counters().callersGone, 3U);
}

TEST(HttpServer, AnswersPipelinedRequestsInOrder)
{
  IoRuntime runtime;
  RecordingServer server(runtime);
  RawConnection caller(runtime, server.address);
  caller.Write(std::string(kGet) + kGet);
  server.Send(server.Request(1), "first", true);
  server.Send(server.Request(2), "second", true);
  ASSERT_TRUE(caller.ReadUntil("second"));
  EXPECT_LT(caller.received.find("first"), caller.received.find("second"));
}

// Guards against unbounded memory use when a caller does not read a long stream.
TEST(HttpServer, ClosesTheConnectionOfACallerThatReadsTooSlowly)
{
  IoRuntime runtime;
  RecordingServer server(
    runtime, [](HttpServerSettings& settings) { settings.maxQueuedAnswerBytes = 1024 * 1024; });
  RawConnection caller(runtime, server.address);
  caller.Write(kGet);
  const HttpRequestIn request = server.Request(1);
  std::size_t queued = 0;
  for (int i = 0; i < 1000 && server.disconnected.empty(); ++i) {
    server.Send(request, std::string(100 * 1024, 'x'), false);
    queued = std::max(queued, server.server.QueuedBytes(request.exchange));
    runtime.SleepFor(std::chrono::milliseconds(1));
  }
  ASSERT_EQ(server.disconnected.size(), 1U);
  EXPECT_LE(queued, 1024U * 1024U);
  EXPECT_EQ(server.server.Counters().aborted, 1U);
  caller.ReadToEnd();
  EXPECT_NE(caller.received.substr(caller.received.size() - 5), "0\r\n\r\n");
}

TEST(HttpServer, AGracefulStopAbortsNoRequestInFlight)
{
  IoRuntime runtime;
  RecordingServer server(runtime);
  RawConnection idle(runtime, server.address);
  RawConnection busy(runtime, server.address);
  idle.Write(kGet);
  server.Send(server.Request(1), "done", true);
  ASSERT_TRUE(idle.ReadUntil("done"));
  busy.Write(kGet);
  const HttpRequestIn request = server.Request(2);
  server.Send(request, "begun", false);
  ASSERT_TRUE(busy.ReadUntil("begun"));
  RawConnection asking(runtime, server.address);
  asking.Write(kGet);

  server.server.StopAccepting();
  SECTION("the idle connection is closed, and new ones are refused")
  {
    idle.ReadToEnd();
    EXPECT_FALSE(RawConnection(runtime, server.address).connected);
  }
  SECTION("a request that arrived before the stop is still served")
  {
    server.Send(server.Request(3), "served", true);
    ASSERT_TRUE(Contains(asking.ReadToEnd(), "served"));
    EXPECT_TRUE(Contains(asking.received, "Connection: close"));
  }
  SECTION("the server is drained only after the stream has ended")
  {
    EXPECT_FALSE(server.server.WaitDrained(std::chrono::milliseconds(20)));
    server.Send(request, "ended", true);
    ASSERT_TRUE(busy.ReadUntil("0\r\n\r\n"));
    busy.Close();
    EXPECT_TRUE(server.server.WaitDrained(kTestTimeout));
  }
}

// Guards against a stop that resets a new connection whose first request is on its way.
TEST(HttpServer, AStopAnswersTheFirstRequestOfANewConnection)
{
  IoRuntime runtime;
  RecordingServer server(runtime);
  RawConnection fresh(runtime, server.address);
  while (server.server.OpenConnections() == 0) {
    runtime.SleepFor(std::chrono::milliseconds(1));
  }
  runtime.SleepFor(std::chrono::milliseconds(20));
  server.server.StopAccepting();
  EXPECT_FALSE(server.server.WaitDrained(std::chrono::milliseconds(20)));
  fresh.Write(kGet);
  server.Send(server.Request(1), "served", true);
  EXPECT_TRUE(Contains(fresh.ReadToEnd(), "served"));
  EXPECT_TRUE(Contains(fresh.received, "Connection: close"));
  SECTION("a connection without a request is closed soon")
  {
    RecordingServer other(runtime);
    RawConnection silent(runtime, other.address);
    while (other.server.OpenConnections() == 0) {
      runtime.SleepFor(std::chrono::milliseconds(1));
    }
    runtime.SleepFor(std::chrono::milliseconds(20));
    other.server.StopAccepting();
    EXPECT_TRUE(other.server.WaitDrained(std::chrono::seconds(3)));
  }
}

// Guards against a stop that waits for ever: a server that is closed while another fiber waits
// until its callers are gone, as when the disk of a control process fails during its stop.
TEST(HttpServer, CanBeClosedWhileItDrains)
{
  IoRuntime runtime;
  RecordingServer server(runtime);
  RawConnection caller(runtime, server.address);
  caller.Write(kGet);
  server.Request(1);
  server.server.StopAccepting();
  bool isDrained = false;
  bool isClosed = false;
  Signal changed;
  runtime.Spawn([&] {
    isDrained = server.server.WaitDrained(kTestTimeout);
    changed.Notify();
  });
  runtime.SleepFor(10ms);
  runtime.Spawn([&] {
    server.server.Close();
    isClosed = true;
    changed.Notify();
  });
  EXPECT_TRUE(tests::WaitUntil(changed, [&] { return isDrained && isClosed; }));
}

TEST(HttpServer, ClosesCallersWhoSendTooSlowly)
{
  IoRuntime runtime;
  RecordingServer server(runtime, [](HttpServerSettings& settings) {
    settings.requestTimeout = std::chrono::milliseconds(50);
    settings.idleTimeout = std::chrono::milliseconds(50);
  });
  RawConnection slow(runtime, server.address);
  slow.Write("GET / HT");
  EXPECT_TRUE(Contains(slow.ReadToEnd(), "HTTP/1.1 408 "));
  RawConnection idle(runtime, server.address);
  EXPECT_EQ(idle.ReadToEnd(), "");
  EXPECT_TRUE(server.requests.empty());
}

// Guards against a caller that keeps a connection by sending its headers slowly, for as long as a
// body may take.
TEST(HttpServer, ClosesCallersWhoSendTheirHeadersTooSlowly)
{
  IoRuntime runtime;
  RecordingServer server(runtime);
  HttpServerSettings limits;
  limits.headTimeout = 50ms;
  server.server.SetLimits(limits);
  RawConnection slow(runtime, server.address);
  const TimePoint start = BootNow();
  slow.Write("GET / HTTP/1.1\r\nHost");
  EXPECT_TRUE(Contains(slow.ReadToEnd(), "HTTP/1.1 408 "));
  EXPECT_LT(BootNow() - start, HttpServerSettings().requestTimeout);
  EXPECT_TRUE(server.requests.empty());
  SECTION("but not those who send a body slowly")
  {
    RawConnection body(runtime, server.address);
    body.Write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n");
    runtime.SleepFor(150ms);
    body.Write("slow");
    EXPECT_EQ(server.Request(1).body, "slow");
  }
}

// Guards against header injection and response splitting by a line break in a header value of a
// target.
TEST(HttpServer, DropsHeadersThatWouldInjectOthers)
{
  IoRuntime runtime;
  RecordingServer server(runtime);
  RawConnection caller(runtime, server.address);
  caller.Write(kGet);
  HttpAnswerOut part;
  part.exchange = server.Request(1).exchange;
  part.status = 200;
  part.headers = { { "X-Good", "yes" },
                   { "X-Bad", "no\r\nSet-Cookie: stolen" },
                   { "Content-Length", "99" },
                   { "Transfer-Encoding", "chunked" } };
  part.bytes = "fine";
  part.end = true;
  server.server.Send(std::move(part));
  ASSERT_TRUE(caller.ReadUntil("fine"));
  EXPECT_TRUE(Contains(caller.received, "X-Good: yes"));
  EXPECT_FALSE(Contains(caller.received, "stolen"));
  EXPECT_TRUE(Contains(caller.received, "Content-Length: 4"));
  EXPECT_FALSE(Contains(caller.received, "99"));
}

TEST(HttpServer, TellsWhenARequestCame)
{
  IoRuntime runtime;
  RecordingServer server(runtime);
  SECTION("before a busy loop noticed it")
  {
    tests::BlockingConnection caller(server.address);
    caller.Write(kGet);
    const TimePoint written = BootNow();
    std::this_thread::sleep_for(200ms);
    EXPECT_LT(*server.Request(1).receivedAt, written + 100ms);
  }
  SECTION("of a request in parts, the last part")
  {
    RawConnection caller(runtime, server.address);
    caller.Write("GET /health HTTP/1.1\r\n");
    runtime.SleepFor(200ms);
    const TimePoint beforeEnd = BootNow();
    caller.Write("Host: x\r\n\r\n");
    EXPECT_GT(*server.Request(2).receivedAt, beforeEnd - 100ms);
  }
}

} // namespace
} // namespace gooseberrysail
