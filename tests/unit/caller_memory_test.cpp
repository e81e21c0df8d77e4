#include "gooseberrysail/admission/caller_memory.hpp"
#include "support/http_exchange.hpp"
#include "support/raw_connection.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;
using tests::RawConnection;
using tests::RecordingServer;

constexpr std::size_t kKibi = 1024;
constexpr std::size_t kMebi = 1024 * kKibi;
constexpr std::size_t kLimit = 16 * kMebi;
constexpr TimePoint kNow{ 1h };

/// \brief Connections that note when they must give up what they hold.
struct Connections
{
  explicit Connections(std::size_t count)
  {
    for (std::size_t number = 0; number < count; ++number) {
      ids.push_back(memory.Add([this, number] { shed.push_back(number); }));
    }
  }

  CallerMemory memory{ kLimit };
  std::vector<CallerMemory::Id> ids;
  std::vector<std::size_t> shed;
};

// Guards against requests that stop short of their end and keep out those that go on.
TEST(CallerMemory, TheOldestOfTheLargestRequestsIsGivenUp)
{
  Connections connections(8);
  CallerMemory& memory = connections.memory;
  memory.SetArriving(connections.ids[0], kNow, 4 * kKibi);
  for (std::size_t number = 1; number < 5; ++number) {
    memory.SetArriving(connections.ids[number], kNow + number * 1s, 3 * kMebi);
  }
  EXPECT_THAT(connections.shed, IsEmpty());
  SECTION("a further large request")
  {
    memory.SetArriving(connections.ids[5], kNow + 6s, 4 * kMebi);
    EXPECT_THAT(connections.shed, ElementsAre(1));
    EXPECT_EQ(memory.Counters().shedRequests, 1U);
  }
  SECTION("what was given up counts no more, whatever its connection states")
  {
    memory.SetArriving(connections.ids[1], kNow + 7s, 4 * kMebi);
    EXPECT_THAT(connections.shed, ElementsAre(1));
    EXPECT_LE(memory.UsedBytes(), kLimit);
  }
  SECTION("a small request, though it is the oldest, goes on")
  {
    memory.SetArriving(connections.ids[6], kNow + 8s, 3 * kMebi);
    memory.SetArriving(connections.ids[0], kNow + 8s, 8 * kKibi);
    EXPECT_THAT(connections.shed, ElementsAre(1, 2));
  }
  SECTION("one that is larger than the limit by itself")
  {
    memory.SetArriving(connections.ids[7], kNow + 9s, 2 * kLimit);
    EXPECT_THAT(connections.shed, ElementsAre(1, 2, 7));
  }
}

// Guards against large requests that leave no memory for small ones while they run.
TEST(CallerMemory, RequestsThatRunLeaveAPartForOthers)
{
  constexpr std::size_t kBody = kLimit / 5;
  Connections connections(4);
  CallerMemory& memory = connections.memory;
  SECTION("one of the largest size passes in calm")
  {
    EXPECT_TRUE(memory.Hold(connections.ids[0], kBody));
  }
  SECTION("a further one is refused, and a small one passes")
  {
    EXPECT_FALSE(memory.Hold(connections.ids[1], kBody));
    EXPECT_EQ(memory.Counters().refusedRequests, 1U);
    EXPECT_TRUE(memory.Hold(connections.ids[2], 4 * kKibi));
    EXPECT_TRUE(memory.Hold(connections.ids[3], 0));
  }
  SECTION("what arrives does not keep out what has arrived")
  {
    memory.EndRequest(connections.ids[0]);
    memory.SetArriving(connections.ids[0], kNow, kLimit - kMebi);
    EXPECT_TRUE(memory.Hold(connections.ids[1], kBody));
    EXPECT_THAT(connections.shed, ElementsAre(0));
  }
  EXPECT_LE(memory.UsedBytes(), kLimit);
}

// Guards against answers that nobody reads and that fill the memory.
TEST(CallerMemory, TheOldestOfTheLargestAnswersIsGivenUp)
{
  Connections connections(6);
  CallerMemory& memory = connections.memory;
  for (std::size_t number = 0; number < 5; ++number) {
    memory.SetAnswer(connections.ids[number], kNow + number * 1s, 3 * kMebi);
  }
  SECTION("a small request that arrives is not the one")
  {
    memory.SetArriving(connections.ids[5], kNow + 5s, 2 * kMebi);
    EXPECT_THAT(connections.shed, ElementsAre(0));
    EXPECT_EQ(memory.Counters().shedAnswers, 1U);
  }
  SECTION("a caller who reads holds less and less")
  {
    memory.SetAnswer(connections.ids[1], kNow + 6s, kMebi);
    memory.SetAnswer(connections.ids[2], kNow + 7s, 8 * kMebi);
    EXPECT_THAT(connections.shed, ElementsAre(0, 2));
  }
}

// Guards against totals that differ from what is held once connections have ended.
TEST(CallerMemory, CountsNothingOfConnectionsThatEnded)
{
  Connections connections(3);
  CallerMemory& memory = connections.memory;
  memory.SetArriving(connections.ids[0], kNow, kMebi);
  memory.SetArriving(connections.ids[1], kNow, 2 * kLimit);
  EXPECT_THAT(connections.shed, ElementsAre(1));
  for (const CallerMemory::Id id : connections.ids) {
    memory.Remove(id);
  }
  EXPECT_EQ(memory.UsedBytes(), 0U);
}

// Guards against connections without number, each of which costs memory though it sends nothing.
TEST(CallerMemory, ConnectionsLeaveAQuarterOfIt)
{
  Connections connections(kLimit / 4 * 3 / CallerMemory::kConnectionBytes - 10);
  EXPECT_TRUE(connections.memory.HasRoomForConnection(9));
  EXPECT_FALSE(connections.memory.HasRoomForConnection(10));
}

std::string HeadOf(const std::string& id, std::size_t body)
{
  return "POST /a HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body) + "\r\n\r\n";
}

// Guards against a request that is given up without a word, so that its caller can't know that it
// did not run.
TEST(CallerMemory, ARequestThatIsGivenUpIsAnsweredAsNotRun)
{
  constexpr std::size_t kBody = 3 * kMebi;
  IoRuntime runtime;
  const auto memory = std::make_shared<CallerMemory>(5 * kMebi);
  RecordingServer server(runtime, [&](HttpServerSettings& settings) { settings.memory = memory; });
  RawConnection stalled(runtime, server.address);
  ASSERT_TRUE(stalled.Write(HeadOf("stalled", kBody) + std::string(kBody - 1, 'x')));
  const TimePoint until = BootNow() + tests::kTestTimeout;
  while (memory->UsedBytes() < kBody && BootNow() < until) {
    runtime.SleepFor(5ms);
  }
  RawConnection sound(runtime, server.address);
  ASSERT_TRUE(sound.Write(HeadOf("sound", kBody) + std::string(kBody - 1, 'x')));
  const std::string& answer = stalled.ReadToEnd();
  EXPECT_THAT(answer, HasSubstr("HTTP/1.1 503"));
  EXPECT_THAT(answer, HasSubstr("Retry-After: "));
  EXPECT_THAT(answer, HasSubstr("X-Request-Id: stalled"));
  EXPECT_THAT(answer, HasSubstr("not-run"));
  EXPECT_EQ(server.server.Counters().refusedForMemory, 1U);
  ASSERT_EQ(server.events.size(), 1U);
  EXPECT_EQ(server.events[0].number, static_cast<std::uint32_t>(EventNumber::kHttpMemoryLimit));
}

// Guards against a whole request that is refused without a word, or passed on although it has no
// place.
TEST(CallerMemory, AWholeRequestWithoutAPlaceIsAnsweredAsNotRun)
{
  constexpr std::size_t kBody = kMebi;
  IoRuntime runtime;
  RecordingServer server(runtime, [&](HttpServerSettings& settings) {
    settings.memory = std::make_shared<CallerMemory>(5 * kMebi);
  });
  RawConnection first(runtime, server.address);
  ASSERT_TRUE(first.Write(HeadOf("first", kBody) + std::string(kBody, 'x')));
  server.Request(1);
  RawConnection second(runtime, server.address);
  ASSERT_TRUE(second.Write(HeadOf("second", kBody) + std::string(kBody, 'x')));
  const std::string& answer = second.ReadToEnd();
  EXPECT_THAT(answer, HasSubstr("HTTP/1.1 503"));
  EXPECT_THAT(answer, HasSubstr("Retry-After: "));
  EXPECT_THAT(answer, HasSubstr("X-Request-Id: second"));
  SECTION("a small one is passed on")
  {
    RawConnection small(runtime, server.address);
    ASSERT_TRUE(small.Write(HeadOf("small", 5) + "small"));
    EXPECT_EQ(server.Request(2).body, "small");
  }
  SECTION("so is a large one once the first has ended")
  {
    server.Send(server.requests[0], "done", true);
    EXPECT_TRUE(first.ReadUntil("done"));
    RawConnection third(runtime, server.address);
    ASSERT_TRUE(third.Write(HeadOf("third", kBody) + std::string(kBody, 'x')));
    EXPECT_EQ(server.Request(3).body.size(), kBody);
  }
}

// Guards against an answer that is given up and looks whole to its caller, or whose work goes on.
TEST(CallerMemory, AnAnswerThatIsGivenUpIsCutOrReplaced)
{
  constexpr std::size_t kAnswer = 3 * kMebi;
  IoRuntime runtime;
  RecordingServer server(runtime, [&](HttpServerSettings& settings) {
    settings.memory = std::make_shared<CallerMemory>(5 * kMebi);
  });
  RawConnection first(runtime, server.address);
  ASSERT_TRUE(first.Write(HeadOf("first", 0)));
  const ExchangeId exchange = server.Request(1).exchange;
  RawConnection second(runtime, server.address);
  ASSERT_TRUE(second.Write(HeadOf("second", 0)));
  server.Request(2);
  SECTION("held by the owner, before its first byte")
  {
    server.server.SetHeldBytes(exchange, kAnswer);
    server.server.SetHeldBytes(server.requests[1].exchange, kAnswer);
    EXPECT_THAT(server.disconnected, ElementsAre(exchange));
    EXPECT_TRUE(first.ReadUntil("HTTP/1.1 502"));
    EXPECT_TRUE(first.ReadUntil("unknown"));
  }
  SECTION("while it is sent")
  {
    RawConnection third(runtime, server.address);
    ASSERT_TRUE(third.Write(HeadOf("third", 0)));
    const HttpRequestIn request = server.Request(3);
    server.Send(server.requests[1], std::string(kAnswer, 'x'), true);
    EXPECT_TRUE(second.ReadUntil("x"));
    server.Send(request, std::string(kAnswer, 'x'), true);
    EXPECT_THAT(server.disconnected, ElementsAre(exchange, server.requests[1].exchange));
    EXPECT_LT(second.ReadToEnd().size(), kAnswer);
    EXPECT_TRUE(third.ReadSize(kAnswer));
  }
}

// Guards against new callers who are kept out while unfinished requests use all connections.
TEST(ConnectionLimit, TheSlowestUnfinishedRequestMakesRoom)
{
  IoRuntime runtime;
  RecordingServer server(runtime,
                         [](HttpServerSettings& settings) { settings.maxConnections = 2; });
  RawConnection slow(runtime, server.address);
  ASSERT_TRUE(slow.Write(HeadOf("slow", 2000) + "x"));
  RawConnection fast(runtime, server.address);
  ASSERT_TRUE(fast.Write(HeadOf("fast", 2000) + std::string(1000, 'x')));
  runtime.SleepFor(1100ms);
  RawConnection late(runtime, server.address);
  ASSERT_TRUE(late.Write(HeadOf("late", 0)));
  server.Request(1);
  EXPECT_EQ(slow.ReadToEnd(), "");
  ASSERT_TRUE(fast.Write(std::string(1000, 'x')));
  EXPECT_EQ(server.Request(2).body.size(), 2000U);
}

// Guards against limits of the operators' configuration that have no effect.
TEST(LimitsOnCallers, TakeEffectForTheNextRequest)
{
  IoRuntime runtime;
  RecordingServer server(runtime, [](HttpServerSettings& settings) {
    settings.maxBodyBytes = 100;
    settings.memory = std::make_shared<CallerMemory>(5 * kMebi);
  });
  const auto statusOf = [&](std::size_t body) {
    RawConnection caller(runtime, server.address);
    caller.Write(HeadOf("r", body) + std::string(body, 'x'));
    caller.ReadUntil("\r\n");
    return caller.received.substr(0, std::string_view("HTTP/1.1 200").size());
  };
  server.onRequest = [&](const HttpRequestIn& request) { server.Send(request, "ok", true); };
  EXPECT_EQ(statusOf(1000), "HTTP/1.1 413");
  HttpServerSettings limits;
  SECTION("raised")
  {
    limits.maxBodyBytes = 2000;
    server.server.SetLimits(limits);
    EXPECT_EQ(statusOf(2000), "HTTP/1.1 200");
    EXPECT_EQ(statusOf(2001), "HTTP/1.1 413");
  }
  SECTION("raised beyond what the process can bear")
  {
    limits.maxBodyBytes = 100 * kMebi;
    server.server.SetLimits(limits);
    EXPECT_EQ(statusOf(kMebi), "HTTP/1.1 200");
    EXPECT_EQ(statusOf(kMebi + 1), "HTTP/1.1 413");
  }
  SECTION("lowered")
  {
    limits.maxBodyBytes = 10;
    limits.maxHeaderBytes = 200;
    server.server.SetLimits(limits);
    EXPECT_EQ(statusOf(11), "HTTP/1.1 413");
    RawConnection caller(runtime, server.address);
    caller.Write("GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(200, 'x') + "\r\n\r\n");
    EXPECT_TRUE(caller.ReadUntil("HTTP/1.1 431"));
  }
}

} // namespace
} // namespace gooseberrysail
