#include "support/http_exchange.hpp"
#include "support/raw_connection.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

namespace gooseberrysail {
namespace {

using tests::kTestTimeout;
using tests::RawServer;
using tests::RecordingClient;
using tests::RecordingServer;

TEST(HttpClient, StreamsAnAnswerPartByPart)
{
  IoRuntime runtime;
  RecordingServer target(runtime);
  RecordingClient agent(runtime);
  agent.Start(target.address, 7, Duration::zero(), "prompt");
  EXPECT_EQ(target.Request(1).body, "prompt");
  EXPECT_EQ(FindHeader(target.Request(1).headers, "Host"), target.address);

  target.Send(target.Request(1), "one", false);
  ASSERT_TRUE(agent.WaitFor([&] { return agent.Body() == "one"; }));
  EXPECT_EQ(agent.parts[0].status, 200U);
  EXPECT_EQ(agent.parts[0].exchange, ExchangeId(7));
  EXPECT_EQ(FindHeader(agent.parts[0].headers, "content-type"), "text/plain");
  EXPECT_FALSE(agent.IsWhole());

  target.Send(target.Request(1), "two", true);
  ASSERT_TRUE(agent.WaitFor([&] { return agent.IsWhole(); }));
  EXPECT_EQ(agent.Body(), "onetwo");
  EXPECT_TRUE(agent.failures.empty());
}

TEST(HttpClient, ReusesAConnectionWhoseAnswerWasWhole)
{
  IoRuntime runtime;
  RecordingServer target(runtime);
  target.onRequest = [&](const HttpRequestIn& request) { target.Send(request, "ok", true); };
  HttpClient client(runtime, {});
  for (int i = 0; i < 3; ++i) {
    const auto reply = client.Fetch(target.address, "GET", "/", {}, "", kTestTimeout);
    ASSERT_TRUE(reply) << reply.error();
    EXPECT_EQ(reply.value().status, 200U);
    EXPECT_EQ(reply.value().body, "ok");
  }
  EXPECT_EQ(target.server.Counters().connections, 1U);
}

/// \brief A server that sends the given id with each answer, and a client that only reuses
/// connections whose answers were identified.
class IdentifiedCalls
{
public:
  explicit IdentifiedCalls(IoRuntime& runtime)
    : m_target(runtime)
    , m_client(runtime, { .reuse = ConnectionReuse::kIdentified })
  {
    m_target.onRequest = [this](const HttpRequestIn& request) {
      HttpAnswerOut answer;
      answer.exchange = request.exchange;
      answer.status = 200;
      if (!m_answeredId.empty()) {
        answer.headers.push_back({ "X-Request-Id", m_answeredId });
      }
      answer.end = true;
      m_target.server.Send(std::move(answer));
    };
  }

  /// \returns How many connections the server has accepted so far.
  std::uint64_t Call(const std::string& id, const std::string& answeredId)
  {
    m_answeredId = answeredId;
    std::vector<HttpHeader> headers;
    if (!id.empty()) {
      headers.push_back({ "X-Request-Id", id });
    }
    EXPECT_TRUE(m_client.Fetch(m_target.address, "POST", "/", headers, "", kTestTimeout));
    return m_target.server.Counters().connections;
  }

private:
  RecordingServer m_target;
  HttpClient m_client;
  std::string m_answeredId;
};

// Guards against a late second copy of an answer that is taken for the answer to the next call.
TEST(HttpClient, ReusesAConnectionOnlyWhereALateAnswerCanBeTold)
{
  IoRuntime runtime;
  SECTION("answers that bear the ids of their requests: one connection for all")
  {
    IdentifiedCalls calls(runtime);
    EXPECT_EQ(calls.Call("r1", "r1"), 1U);
    EXPECT_EQ(calls.Call("r2", "r2"), 1U);
    EXPECT_EQ(calls.Call("r3", "r3"), 1U);
  }
  SECTION("an answer to another request: its connection is not used again")
  {
    IdentifiedCalls calls(runtime);
    EXPECT_EQ(calls.Call("r1", "r0"), 1U);
    EXPECT_EQ(calls.Call("r2", "r2"), 2U);
    EXPECT_EQ(calls.Call("r3", "r3"), 2U);
  }
  SECTION("an answer without an id")
  {
    IdentifiedCalls calls(runtime);
    EXPECT_EQ(calls.Call("r1", ""), 1U);
    EXPECT_EQ(calls.Call("r2", "r2"), 2U);
  }
  SECTION("calls without an id, such as orders")
  {
    IdentifiedCalls calls(runtime);
    EXPECT_EQ(calls.Call("", ""), 1U);
    EXPECT_EQ(calls.Call("", ""), 2U);
  }
  SECTION("an id that the connection has carried")
  {
    IdentifiedCalls calls(runtime);
    EXPECT_EQ(calls.Call("r1", "r1"), 1U);
    EXPECT_EQ(calls.Call("r2", "r2"), 1U);
    EXPECT_EQ(calls.Call("r1", "r1"), 2U);
    EXPECT_EQ(calls.Call("r2", "r2"), 2U);
    EXPECT_EQ(calls.Call("r3", "r3"), 2U);
  }
  SECTION("a connection remembers a bounded number of ids, then another one is opened")
  {
    IdentifiedCalls calls(runtime);
    std::uint64_t connections = 0;
    for (int number = 0; number < 600; ++number) {
      const std::string id = "r" + std::to_string(number);
      connections = calls.Call(id, id);
    }
    EXPECT_EQ(connections, 3U);
  }
}

// Guards against passing on an incomplete response as a complete one.
TEST(HttpClient, AnAnswerThatEndsTooEarlyFails)
{
  const std::vector<std::pair<std::string, std::string>> cases{
    { "short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf" },
    { "without its last chunk",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n" },
    { "in the middle of a chunk",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf" },
    { "in its headers", "HTTP/1.1 200 OK\r\nContent-Le" },
    { "before its first byte", "" },
    { "without length or chunks, where the end is ambiguous", "HTTP/1.1 200 OK\r\n\r\nhalf" },
  };
  for (const auto& [name, bytes] : cases) {
    SECTION(name)
    {
      IoRuntime runtime;
      RawServer target(runtime, bytes);
      RecordingClient agent(runtime);
      agent.Start(target.address, 1);
      ASSERT_TRUE(agent.WaitFor([&] { return !agent.failures.empty(); }));
      EXPECT_FALSE(agent.IsWhole());
      EXPECT_FALSE(agent.failures[0].neverSent);
      EXPECT_EQ(agent.failures[0].error.peer, target.address);
      EXPECT_EQ(agent.failures[0].error.step, "read answer");
    }
  }
}

TEST(HttpClient, SkipsAnInformationalResponse)
{
  IoRuntime runtime;
  RawServer target(
    runtime, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok");
  HttpClient client(runtime, {});
  const auto reply = client.Fetch(target.address, "GET", "/", {}, "", kTestTimeout);
  ASSERT_TRUE(reply) << reply.error();
  EXPECT_EQ(reply.value().status, 201U);
}

// Guards against the status or a header of an interim response, or a status that HTTP does not
// have, being passed on as the answer.
TEST(HttpClient, OnlyTheStatusOfAFinalResponseIsHandedOn)
{
  const std::string final = "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok";
  const std::string refusal = "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  IoRuntime runtime;
  SECTION("several interim responses")
  {
    RawServer target(runtime,
                     "HTTP/1.1 100 Continue\r\nX-Not-Executed: 1\r\n\r\n"
                     "HTTP/1.1 103 Early Hints\r\nX-Request-Id: other\r\n\r\n"
                     "HTTP/1.1 199 Unknown\r\n\r\n" +
                       final);
    RecordingClient agent(runtime);
    agent.Start(target.address, 1);
    ASSERT_TRUE(agent.WaitFor([&] { return agent.IsWhole(); }));
    EXPECT_EQ(agent.parts[0].status, 201U);
    EXPECT_TRUE(agent.parts[0].headers.empty());
    EXPECT_EQ(agent.Body(), "ok");
  }
  const std::vector<std::pair<std::string, std::string>> cases{
    { "a switch to another protocol, which was not asked for",
      "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + refusal },
    { "an interim response with a body",
      "HTTP/1.1 103 X\r\nContent-Length: 2\r\n\r\nab" + refusal },
    { "status 0", "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok" },
    { "a status below 100", "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok" },
    { "a status of two digits", "HTTP/1.1 50 X\r\nContent-Length: 2\r\n\r\nok" },
  };
  for (const auto& [name, bytes] : cases) {
    SECTION(name)
    {
      RawServer target(runtime, bytes);
      RecordingClient agent(runtime);
      agent.Start(target.address, 1);
      ASSERT_TRUE(agent.WaitFor([&] { return agent.IsWhole() || !agent.failures.empty(); }));
      EXPECT_TRUE(agent.parts.empty());
      EXPECT_EQ(agent.failures.size(), 1U);
      EXPECT_TRUE(std::ranges::none_of(agent.failures, &TargetFailedIn::neverSent));
    }
  }
}

// Guards against a body that is still encoded being handed on as the body of the answer.
TEST(HttpClient, AnAnswerWithAnotherTransferCodingThanChunksFails)
{
  const std::vector<std::string> codings{
    "Transfer-Encoding: gzip\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked, gzip\r\n",
    "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n",
  };
  IoRuntime runtime;
  const auto answerWith = [&](const std::string& coding, RecordingClient& agent) {
    RawServer target(runtime, "HTTP/1.1 200 OK\r\n" + coding + "\r\n2\r\nab\r\n0\r\n\r\n");
    agent.Start(target.address, 1);
    EXPECT_TRUE(agent.WaitFor([&] { return agent.IsWhole() || !agent.failures.empty(); }));
  };
  for (const std::string& coding : codings) {
    SECTION(coding)
    {
      RecordingClient agent(runtime, { .acceptCloseDelimited = true });
      answerWith(coding, agent);
      EXPECT_TRUE(agent.parts.empty());
      EXPECT_EQ(agent.failures.size(), 1U);
    }
  }
  SECTION("chunks alone, in any case of letters")
  {
    RecordingClient agent(runtime);
    answerWith("Transfer-Encoding: Chunked\r\n", agent);
    EXPECT_EQ(agent.Body(), "ab");
    EXPECT_TRUE(agent.IsWhole());
  }
}

// Guards against a target that crashes with unread bytes, and so resets its connections, being
// taken for a path that failed.
TEST(HttpClient, ReportsAClosedAndAResetConnectionAlike)
{
  IoRuntime runtime;
  RawServer target(runtime, "");
  const auto codeFor = [&](const std::string& body) {
    RecordingClient agent(runtime);
    agent.Start(target.address, 1, Duration::zero(), body);
    EXPECT_TRUE(agent.WaitFor([&] { return !agent.failures.empty(); }));
    EXPECT_FALSE(agent.failures[0].neverSent);
    return agent.failures[0].error.code;
  };
  SECTION("closed")
  {
    EXPECT_EQ(codeFor("prompt"), ErrorCode::kUnavailable);
  }
  SECTION("reset")
  {
    EXPECT_EQ(codeFor(std::string(64 * 1024, 'p')), ErrorCode::kUnavailable);
  }
}

// Guards against taking the lack of a descriptor in this process for the death of a target.
TEST(HttpClient, ReportsATargetAsGoneOnlyIfItsHostRefusesTheConnection)
{
  IoRuntime runtime;
  std::string address;
  {
    RawServer closed(runtime, "");
    address = closed.address;
  }
  const auto codeFor = [&] {
    RecordingClient agent(runtime);
    agent.Start(address, 1);
    EXPECT_TRUE(agent.WaitFor([&] { return !agent.failures.empty(); }));
    EXPECT_TRUE(agent.failures[0].neverSent);
    return agent.failures[0].error.code;
  };
  SECTION("nobody listens")
  {
    EXPECT_EQ(codeFor(), ErrorCode::kUnavailable);
  }
  SECTION("no descriptor is left")
  {
    rlimit usual{};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &usual), 0);
    const rlimit none{ 0, usual.rlim_max };
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &none), 0);
    const ErrorCode code = codeFor();
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &usual), 0);
    EXPECT_EQ(code, ErrorCode::kIo);
  }
}

TEST(HttpClient, ReportsNeverSentOnlyWhenNoByteWasSent)
{
  IoRuntime runtime;
  SECTION("nobody listens")
  {
    std::string address;
    {
      RawServer closed(runtime, "");
      address = closed.address;
    }
    RecordingClient agent(runtime);
    agent.Start(address, 1);
    ASSERT_TRUE(agent.WaitFor([&] { return !agent.failures.empty(); }));
    EXPECT_TRUE(agent.failures[0].neverSent);
    EXPECT_EQ(agent.failures[0].error.step, "connect to target");
  }
  SECTION("a path that would inject a second request is never sent")
  {
    RecordingServer target(runtime);
    HttpClient client(runtime, {});
    const auto reply =
      client.Fetch(target.address, "GET", "/ HTTP/1.1\r\nX: y", {}, "", kTestTimeout);
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.error().code, ErrorCode::kInvalid);
    EXPECT_TRUE(target.requests.empty());
  }
  SECTION("the target received the request and does not answer")
  {
    RecordingServer target(runtime);
    RecordingClient agent(runtime);
    agent.Start(target.address, 1, std::chrono::milliseconds(50));
    ASSERT_TRUE(agent.WaitFor([&] { return !agent.failures.empty(); }));
    EXPECT_FALSE(agent.failures[0].neverSent);
    EXPECT_EQ(agent.failures[0].error.code, ErrorCode::kTimeout);
    SECTION("the target detects the disconnect")
    {
      EXPECT_TRUE(target.WaitFor([&] { return target.disconnected.size() == 1; }));
    }
  }
}

/// \brief Leaves the process no free file descriptor.
class NoFreeDescriptor
{
public:
  NoFreeDescriptor()
  {
    getrlimit(RLIMIT_NOFILE, &m_before);
    rlimit used = m_before;
    const int lowest = dup(STDERR_FILENO);
    close(lowest);
    used.rlim_cur = static_cast<rlim_t>(lowest);
    setrlimit(RLIMIT_NOFILE, &used);
  }
  ~NoFreeDescriptor() { setrlimit(RLIMIT_NOFILE, &m_before); }
  NoFreeDescriptor(const NoFreeDescriptor&) = delete;
  NoFreeDescriptor& operator=(const NoFreeDescriptor&) = delete;

private:
  rlimit m_before{};
};

// Guards against a shortage of this process, or a path that fails, being taken for a target that is
// gone.
TEST(HttpClient, SaysThatNobodyListensOnlyIfTheConnectionIsRefused)
{
  IoRuntime runtime;
  std::string address;
  {
    RawServer closed(runtime, "");
    address = closed.address;
  }
  const auto codeFor = [&](const std::string& target) {
    RecordingClient agent(runtime);
    agent.Start(target, 1);
    EXPECT_TRUE(agent.WaitFor([&] { return !agent.failures.empty(); }));
    EXPECT_TRUE(agent.failures[0].neverSent);
    EXPECT_EQ(agent.failures[0].error.step, "connect to target");
    return agent.failures[0].error.code;
  };
  SECTION("nobody listens")
  {
    EXPECT_EQ(codeFor(address), ErrorCode::kUnavailable);
  }
  SECTION("there is no way to the address")
  {
    EXPECT_EQ(codeFor("127.255.255.255:9"), ErrorCode::kIo);
  }
  SECTION("no file descriptor is free")
  {
    const NoFreeDescriptor none;
    EXPECT_EQ(codeFor(address), ErrorCode::kIo);
  }
}

TEST(HttpClient, ACancelledCallIsSeenByTheTargetAndNoHookIsCalled)
{
  IoRuntime runtime;
  RecordingServer target(runtime);
  RecordingClient agent(runtime);
  agent.Start(target.address, 1);
  target.Send(target.Request(1), "begun", false);
  ASSERT_TRUE(agent.WaitFor([&] { return agent.Body() == "begun"; }));
  const std::size_t partsBefore = agent.parts.size();
  agent.client.Cancel(ExchangeId(1));
  ASSERT_TRUE(target.WaitFor([&] { return target.disconnected.size() == 1; }));
  EXPECT_EQ(agent.parts.size(), partsBefore);
  EXPECT_TRUE(agent.failures.empty());
}

// Guards against a withdrawn request that reaches its target, or is taken for one that didn't.
TEST(HttpClient, WithdrawsACallOnlyUntilItIsSent)
{
  IoRuntime runtime;
  RecordingClient agent(runtime);
  const auto expectWithdrawn = [&] {
    agent.client.Withdraw(ExchangeId(1));
    ASSERT_TRUE(agent.WaitFor([&] { return !agent.failures.empty(); }));
    EXPECT_TRUE(agent.failures[0].isWithdrawn);
    EXPECT_TRUE(agent.failures[0].neverSent);
  };
  SECTION("before it connects")
  {
    RecordingServer target(runtime);
    agent.Start(target.address, 1);
    expectWithdrawn();
    EXPECT_TRUE(target.requests.empty());
  }
  agent.failures.clear();
  SECTION("while it connects")
  {
    // A full backlog leaves further connections waiting.
    boost::asio::ip::tcp::acceptor full(runtime.Io(),
                                        { boost::asio::ip::address_v4::loopback(), 0 });
    full.listen(0);
    boost::asio::ip::tcp::socket first(runtime.Io());
    first.connect(full.local_endpoint());
    agent.Start("127.0.0.1:" + std::to_string(full.local_endpoint().port()), 1);
    agent.changed.WaitFor(std::chrono::milliseconds(100));
    EXPECT_TRUE(agent.failures.empty());
    expectWithdrawn();
  }
  agent.failures.clear();
  SECTION("not once it is sent")
  {
    RecordingServer target(runtime);
    agent.Start(target.address, 1);
    target.Request(1);
    agent.client.Withdraw(ExchangeId(1));
    target.Send(target.Request(1), "whole", true);
    ASSERT_TRUE(agent.WaitFor([&] { return agent.IsWhole(); }));
    EXPECT_TRUE(agent.failures.empty());
  }
}

TEST(HttpClient, AFetchThatIsNotWholeInTimeFails)
{
  IoRuntime runtime;
  RecordingServer target(runtime);
  target.onRequest = [&](const HttpRequestIn& request) { target.Send(request, "begun", false); };
  HttpClient client(runtime, {});
  const auto reply =
    client.Fetch(target.address, "GET", "/", {}, "", std::chrono::milliseconds(100));
  ASSERT_FALSE(reply);
  EXPECT_EQ(reply.error().code, ErrorCode::kTimeout);
  EXPECT_EQ(reply.error().peer, target.address);
}

TEST(HttpClient, AnAnswerOverTheLimitIsNotCollected)
{
  IoRuntime runtime;
  RecordingServer target(runtime);
  target.onRequest = [&](const HttpRequestIn& request) {
    target.Send(request, std::string(5000, 'x'), true);
  };
  HttpClientSettings settings;
  settings.maxFetchedBytes = 4000;
  HttpClient client(runtime, settings);
  const auto reply = client.Fetch(target.address, "GET", "/", {}, "", kTestTimeout);
  ASSERT_FALSE(reply);
  EXPECT_EQ(reply.error().code, ErrorCode::kTooLarge);
}

TargetCallOut CallWithin(Duration totalTimeout, std::uint64_t maxAnswerBytes)
{
  TargetCallOut call;
  call.exchange = ExchangeId(7);
  call.method = "GET";
  call.path = "/";
  call.timeout = kTestTimeout;
  call.totalTimeout = totalTimeout;
  call.maxAnswerBytes = maxAnswerBytes;
  return call;
}

// Guards against a call that lasts as long as its target sends a byte now and then.
TEST(HttpClient, ACallWhoseAnswerIsNotWholeInTimeFails)
{
  IoRuntime runtime;
  RecordingServer target(runtime);
  RecordingClient agent(runtime);
  agent.client.Start(target.address, CallWithin(std::chrono::milliseconds(100), 0));
  const HttpRequestIn request = target.Request(1);
  bool isEnded = false;
  runtime.Spawn([&] {
    while (!isEnded) {
      target.Send(request, "x", false);
      runtime.SleepFor(std::chrono::milliseconds(10));
    }
  });
  EXPECT_TRUE(agent.WaitFor([&] { return !agent.failures.empty(); }));
  isEnded = true;
  ASSERT_FALSE(agent.failures.empty());
  EXPECT_EQ(agent.failures[0].error.code, ErrorCode::kTimeout);
  EXPECT_FALSE(agent.failures[0].neverSent);
}

// Guards against a sound target that counts as silent because its caller's event loop was late.
TEST(HttpClient, AnAnswerThatCameInTimeIsTakenByALateLoop)
{
  constexpr Duration kTotal = std::chrono::milliseconds(200);
  const auto answerLate = [&](bool hasTotal, const std::string& begun, const std::string& rest) {
    IoRuntime runtime;
    RecordingServer target(runtime);
    RecordingClient agent(runtime);
    TargetCallOut call = CallWithin(hasTotal ? kTotal : Duration::zero(), 0);
    call.timeout = kTotal;
    agent.client.Start(target.address, std::move(call));
    const HttpRequestIn request = target.Request(1);
    runtime.SleepFor(kTotal / 10); // The target waits for its answer.
    if (!begun.empty()) {
      target.Send(request, begun, false);
      EXPECT_TRUE(agent.WaitFor([&] { return agent.Body() == begun; }));
    }
    target.Send(request, rest, true);
    runtime.WaitUntilIdle(); // The target has written.
    std::this_thread::sleep_for(2 * kTotal);
    EXPECT_TRUE(agent.WaitFor([&] { return !agent.failures.empty() || agent.IsWhole(); }));
    EXPECT_TRUE(agent.failures.empty());
    EXPECT_EQ(agent.Body(), begun + rest);
  };
  SECTION("at once")
  {
    answerLate(true, "", "whole");
  }
  SECTION("in parts")
  {
    answerLate(true, "who", "le");
  }
  SECTION("by a call with a limit of silence only")
  {
    answerLate(false, "who", "le");
  }
}

// Guards against a target that decides how much its caller keeps.
TEST(HttpClient, ACallWhoseAnswerIsTooLongFails)
{
  constexpr std::size_t kMost = 4000;
  const auto failureAfter = [&](const std::string& answer) {
    IoRuntime runtime;
    RawServer target(runtime, { answer });
    RecordingClient agent(runtime);
    agent.client.Start(target.address, CallWithin(kTestTimeout, kMost));
    EXPECT_TRUE(agent.WaitFor([&] { return !agent.failures.empty() || agent.IsWhole(); }));
    EXPECT_LE(agent.Body().size(), kMost);
    return agent.failures.empty() ? ErrorCode::kIo : agent.failures[0].error.code;
  };
  SECTION("by its announced length, before its body has come")
  {
    EXPECT_EQ(failureAfter("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n"),
              ErrorCode::kTooLarge);
  }
  SECTION("in chunks")
  {
    EXPECT_EQ(failureAfter("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfa1\r\n" +
                           std::string(kMost + 1, 'x') + "\r\n"),
              ErrorCode::kTooLarge);
  }
  SECTION("an answer without a body is taken whatever length it states")
  {
    IoRuntime runtime;
    RawServer target(runtime, { "HTTP/1.1 200 OK\r\nContent-Length: 4001\r\n\r\n" });
    RecordingClient agent(runtime);
    TargetCallOut call = CallWithin(kTestTimeout, kMost);
    call.method = "HEAD";
    agent.client.Start(target.address, std::move(call));
    EXPECT_TRUE(agent.WaitFor([&] { return !agent.failures.empty() || agent.IsWhole(); }));
    EXPECT_TRUE(agent.failures.empty());
  }
  SECTION("a body of the largest length is taken")
  {
    IoRuntime runtime;
    RecordingServer target(runtime);
    target.onRequest = [&](const HttpRequestIn& request) {
      target.Send(request, std::string(kMost, 'x'), true);
    };
    RecordingClient agent(runtime);
    agent.client.Start(target.address, CallWithin(kTestTimeout, kMost));
    EXPECT_TRUE(agent.WaitFor([&] { return agent.IsWhole(); }));
  }
}

TEST(HttpClient, CarriesALargeBodyAndAnswerWhole)
{
  IoRuntime runtime;
  RecordingServer target(runtime);
  target.onRequest = [&](const HttpRequestIn& request) {
    target.Send(request, request.body, true);
  };
  HttpClient client(runtime, {});
  const std::string body(5 * 1024 * 1024, 'b');
  const auto reply = client.Fetch(target.address, "POST", "/", {}, body, kTestTimeout);
  ASSERT_TRUE(reply) << reply.error();
  EXPECT_TRUE(reply.value().body == body);
}

} // namespace
} // namespace gooseberrysail
