#include "gooseberrysail/gateway/dispatcher.hpp"
#include "gooseberrysail/observe/event.hpp"
#include "support/plain_gateway_api.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using ::testing::HasSubstr;
using ::testing::IsEmpty;
using tests::PlainApi;

HttpRoute Route(const std::string& path, RepeatPolicy repeat, std::uint32_t attempts)
{
  HttpRoute route;
  route.name = path;
  route.host = "hire.example";
  route.pathPrefix = path;
  route.repeat = repeat;
  route.timeout = 3s;
  route.objective = 300ms;
  route.maxAttempts = attempts;
  route.shares = { { repeat == RepeatPolicy::kResumableStream ? "assist" : "portal", 1 } };
  return route;
}

class World
{
public:
  World()
    : dispatcher(PlainApi(), {}, FailureDomainId("a"), [this] { return m_random++; })
  {
    ServingDocument document;
    document.version = 7;
    document.needsKeys = true;
    document.routes = { Route("/safe/", RepeatPolicy::kIdempotent, 2),
                        Route("/once/", RepeatPolicy::kAtMostOnce, 2),
                        Route("/stream/", RepeatPolicy::kResumableStream, 2) };
    document.services.resize(2);
    document.services[0].name = "portal";
    document.services[1].name = "assist";
    document.services[1].engine.emplace();
    document.workspaces = { { "parish", { "secret" }, std::nullopt } };
    snapshot.index = std::make_shared<const RouteIndex>(document);
    snapshot.targetsSequence = 1;
    dispatcher.Selector().Replace(
      TimePoint{},
      std::vector<ServedTarget>{
        { InstanceId("p1"), "portal", "p1:80", FailureDomainId("a"), 6, false, "" },
        { InstanceId("p2"), "portal", "p2:80", FailureDomainId("b"), 6, false, "" },
        { InstanceId("h1"), "assist", "h1:80", FailureDomainId("a"), 34, false, "large" },
        { InstanceId("h2"), "assist", "h2:80", FailureDomainId("b"), 34, false, "large" } });
  }

  /// Sends a caller's request. Exchanges are numbered from 1.
  /// \param unread How long it waited to be read.
  void Ask(const std::string& path,
           const std::string& key = "secret",
           Duration unread = Duration::zero())
  {
    HttpRequestIn request;
    request.receivedAt = now - unread;
    request.exchange = ExchangeId(++m_asked);
    request.method = "POST";
    request.target = path;
    request.headers = { { "Host", "hire.example" },
                        { "X-Request-Id", "r" + std::to_string(m_asked) },
                        { "Key", key },
                        { "Model", "large" } };
    dispatcher.OnRequest(now, std::move(request), snapshot, outbox);
  }

  /// The latest request that was sent to a target.
  const TargetCallOut& Sent()
  {
    for (auto output = outbox.rbegin(); output != outbox.rend(); ++output) {
      if (const auto* call = std::get_if<TargetCallOut>(&*output)) {
        return *call;
      }
    }
    throw std::runtime_error("nothing was sent");
  }

  std::size_t CountSent() const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      outbox, [](const auto& output) { return std::holds_alternative<TargetCallOut>(output); }));
  }

  std::size_t CountCancelled() const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      outbox, [](const auto& output) { return std::holds_alternative<TargetCancelOut>(output); }));
  }

  std::vector<HttpAnswerOut> Answers() const
  {
    std::vector<HttpAnswerOut> answers;
    for (const auto& output : outbox) {
      if (const auto* answer = std::get_if<HttpAnswerOut>(&output)) {
        answers.push_back(*answer);
      }
    }
    return answers;
  }

  /// The bytes of all answers, concatenated.
  std::string Body() const
  {
    std::string body;
    for (const HttpAnswerOut& answer : Answers()) {
      body += answer.bytes;
    }
    return body;
  }

  void AnswerHead(unsigned status,
                  std::vector<HttpHeader> headers,
                  std::string bytes = "",
                  bool end = false)
  {
    TargetAnswerIn part;
    part.exchange = Sent().exchange;
    part.status = status;
    part.headers = std::move(headers);
    part.bytes = std::move(bytes);
    part.end = end;
    dispatcher.OnAnswer(now, part, outbox);
  }

  void AnswerOk(std::string bytes = "whole", bool end = true)
  {
    AnswerHead(
      200, { { "X-Request-Id", "r" + std::to_string(m_asked) }, { "Seal", "s" } }, bytes, end);
  }

  /// \brief A whole answer of the target.
  void Answer(unsigned status)
  {
    AnswerHead(status,
               { { "X-Request-Id", "r" + std::to_string(m_asked) }, { "Seal", "s" } },
               "whole",
               true);
  }

  void AnswerMore(std::string bytes, bool end = false)
  {
    TargetAnswerIn part;
    part.exchange = Sent().exchange;
    part.bytes = std::move(bytes);
    part.end = end;
    dispatcher.OnAnswer(now, part, outbox);
  }

  void Fail(bool neverSent)
  {
    TargetFailedIn failed;
    failed.exchange = Sent().exchange;
    failed.error = { ErrorCode::kUnavailable, "read answer", "", "reset" };
    failed.neverSent = neverSent;
    dispatcher.OnFailed(now, failed, outbox);
  }

  void AdvanceTime(Duration duration)
  {
    now += duration;
    dispatcher.Tick(now, outbox);
  }

  TimePoint now{ 1h };
  ServingSnapshot snapshot;
  Dispatcher dispatcher;
  std::vector<GatewayOutput> outbox;

private:
  std::uint64_t m_random = 0;
  std::uint64_t m_asked = 0;
};

std::string MillisLeft(World& world)
{
  return std::string(FindHeader(world.Sent().headers, "Left"));
}

unsigned LastStatus(const World& world)
{
  const auto answers = world.Answers();
  return answers.empty() ? 0 : answers.back().status.value_or(0);
}

TEST(Dispatcher, RefusesWithTheExactStatusWhatItCannotServe)
{
  SECTION("before a document is known, no route is reported as missing")
  {
    World world;
    world.snapshot = {};
    world.Ask("/nowhere");
    EXPECT_EQ(LastStatus(world), 503U);
    EXPECT_NE(FindHeader(world.Answers().back().headers, "Retry-After"), "");
  }
  SECTION("no route")
  {
    World world;
    world.Ask("/nowhere");
    EXPECT_EQ(LastStatus(world), 404U);
  }
  SECTION("an unknown key, which is not logged")
  {
    World world;
    world.Ask("/safe/x", "guess");
    EXPECT_EQ(LastStatus(world), 401U);
    for (const auto& output : world.outbox) {
      if (const auto* event = std::get_if<EventOut>(&output)) {
        for (const auto& [name, value] : event->fields) {
          EXPECT_NE(value, "guess") << name;
        }
      }
    }
  }
  SECTION("no target")
  {
    World world;
    world.dispatcher.Selector().Replace(TimePoint{}, {});
    world.Ask("/safe/x");
    EXPECT_EQ(LastStatus(world), 503U);
    EXPECT_THAT(world.Body(), HasSubstr("not-run"));
  }
}

TEST(Dispatcher, ForwardsTheWholeAnswerAndTheWorkspaceButNoKey)
{
  World world;
  world.Ask("/safe/x");
  EXPECT_EQ(FindHeader(world.Sent().headers, "Workspace"), "parish");
  EXPECT_EQ(FindHeader(world.Sent().headers, "Key"), "");
  EXPECT_EQ(FindHeader(world.Sent().headers, "Left"), "3000");
  world.AnswerOk("all of it");
  ASSERT_EQ(world.Answers().size(), 1U);
  EXPECT_TRUE(world.Answers()[0].end);
  EXPECT_EQ(world.Body(), "all of it");
}

// A request whose connection breaks after it was sent may have run. If it were treated as not run,
// a booking could be made twice, or a caller could receive "not-run" for a request that ran.
TEST(Dispatcher, AnAtMostOnceRequestIsRetriedOnlyIfItCertainlyDidNotRun)
{
  SECTION("connection lost after sending: outcome unknown")
  {
    World world;
    world.Ask("/once/x");
    world.Fail(false);
    EXPECT_EQ(world.CountSent(), 1U);
    EXPECT_EQ(LastStatus(world), 502U);
    EXPECT_THAT(world.Body(), HasSubstr("unknown"));
  }
  SECTION("no connection: retried at another target")
  {
    World world;
    world.Ask("/once/x");
    const std::string first = world.Sent().address;
    world.Fail(true);
    EXPECT_EQ(world.CountSent(), 2U);
    EXPECT_NE(world.Sent().address, first);
    world.AnswerOk();
    EXPECT_EQ(LastStatus(world), 200U);
  }
  SECTION("refused by every target: refused as not run")
  {
    World world;
    world.Ask("/once/x");
    world.AnswerHead(503, { { "X-Request-Id", "r1" }, { "Never-Ran", "1" } }, "", true);
    world.AnswerHead(503, { { "X-Request-Id", "r1" }, { "Never-Ran", "1" } }, "", true);
    EXPECT_EQ(LastStatus(world), 503U);
    EXPECT_THAT(world.Body(), HasSubstr("not-run"));
  }
  SECTION("a refusal of another request, or of an unnamed one: outcome unknown")
  {
    for (const std::vector<HttpHeader>& id :
         { std::vector<HttpHeader>{ { "X-Request-Id", "r0" } }, std::vector<HttpHeader>{} }) {
      World world;
      world.Ask("/once/x");
      std::vector<HttpHeader> headers = id;
      headers.push_back({ "Never-Ran", "1" });
      world.AnswerHead(503, headers, "", true);
      EXPECT_EQ(world.CountSent(), 1U);
      EXPECT_EQ(LastStatus(world), 502U);
      EXPECT_THAT(world.Body(), HasSubstr("unknown"));
    }
  }
  SECTION("an error answer of the target is forwarded, not retried")
  {
    World world;
    world.Ask("/once/x");
    world.AnswerHead(500, { { "X-Request-Id", "r1" }, { "Seal", "s" } }, "broken", true);
    EXPECT_EQ(world.CountSent(), 1U);
    EXPECT_EQ(LastStatus(world), 500U);
  }
  SECTION("deadline reached while it runs: 504, never 503")
  {
    World world;
    world.Ask("/once/x");
    world.AdvanceTime(3s);
    EXPECT_EQ(LastStatus(world), 504U);
    EXPECT_EQ(world.CountCancelled(), 1U);
  }
}

// If a target answers twice, the second answer is still on the connection when the next request is
// sent on it. It must not be forwarded to that request's caller.
TEST(Dispatcher, AnAnswerToAnotherRequestIsNotForwarded)
{
  World world;
  world.Ask("/safe/x");
  world.AnswerHead(200, { { "X-Request-Id", "r0" }, { "Seal", "s" } }, "of another", true);
  EXPECT_THAT(world.Answers(), IsEmpty());
  world.AnswerOk("own");
  EXPECT_EQ(world.Body(), "own");
  SECTION("nor is a successful answer without a seal")
  {
    World other;
    other.Ask("/once/x");
    other.AnswerHead(200, { { "X-Request-Id", "r1" } }, "garbled", true);
    EXPECT_EQ(LastStatus(other), 502U);
  }
}

// Guards against a target that works for a caller whose time is over.
TEST(Dispatcher, ARequestWhoseTimeIsOverIsNotSentAgainWhenItIsWithdrawn)
{
  World world;
  world.Ask("/once/x");
  world.now += 3s;
  TargetFailedIn withdrawn;
  withdrawn.exchange = world.Sent().exchange;
  withdrawn.neverSent = true;
  withdrawn.isWithdrawn = true;
  world.dispatcher.OnFailed(world.now, withdrawn, world.outbox);
  EXPECT_EQ(world.CountSent(), 1U);
  EXPECT_EQ(LastStatus(world), 503U);
  EXPECT_THAT(world.Body(), HasSubstr("not-run"));
}

// Guards against events that come twice: a second attempt that began beside the one that serves the
// caller can't go on after the events of that one.
TEST(Dispatcher, AStreamIsServedByOneOfSeveralHedgesOnly)
{
  World world;
  ServingDocument document;
  document.version = 8;
  document.routes = { Route("/stream/", RepeatPolicy::kResumableStream, 4) };
  document.services.resize(1);
  document.services[0].name = "assist";
  document.services[0].engine.emplace();
  world.snapshot.index = std::make_shared<const RouteIndex>(document);
  std::vector<ServedTarget> heads;
  for (const char* name : { "h1", "h2", "h3" }) {
    heads.push_back({ InstanceId(name), "assist", name, FailureDomainId("a"), 34, false, "large" });
  }
  world.dispatcher.Selector().Replace(world.now, heads);
  world.Ask("/stream/x", "");
  world.AdvanceTime(700ms);
  ASSERT_EQ(world.CountSent(), 2U);
  const ExchangeId second = world.Sent().exchange;
  world.AdvanceTime(700ms);
  ASSERT_EQ(world.CountSent(), 3U);
  world.AnswerOk("id: 1\ndata: a\n\n", false);
  world.Fail(false);
  TargetAnswerIn late;
  late.exchange = second;
  late.status = 200;
  late.headers = { { "X-Request-Id", "r1" }, { "Seal", "s" } };
  late.bytes = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  late.end = true;
  world.dispatcher.OnAnswer(world.now, late, world.outbox);
  EXPECT_EQ(world.Body(), "id: 1\ndata: a\n\n");
}

// Guards against a stream that looks complete though its last events are missing.
TEST(Dispatcher, AResumedStreamThatIsAnsweredWithoutABodyIsCut)
{
  World world;
  world.Ask("/stream/x");
  world.AnswerOk("id: 1\ndata: a\n\n", false);
  world.Fail(false);
  world.AnswerHead(204, { { "X-Request-Id", "r1" }, { "Seal", "s" } }, "", true);
  EXPECT_FALSE(world.Answers().back().end);
  EXPECT_TRUE(world.Answers().back().abort);
}

// When the head of a group fails in the middle of an event, the stream must continue without a gap
// or a repeated event, and must not appear complete if it broke off.
TEST(Dispatcher, ABrokenStreamResumesAfterItsLastCompleteEvent)
{
  World world;
  world.Ask("/stream/x");
  world.AnswerOk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", false);
  EXPECT_EQ(world.Body(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  const std::string first = world.Sent().address;
  world.Fail(false);
  EXPECT_NE(world.Sent().address, first);
  EXPECT_EQ(FindHeader(world.Sent().headers, "After"), "2");
  SECTION("another head completes it")
  {
    world.AnswerOk("id: 3\ndata: c\n\n", true);
    EXPECT_EQ(world.Body(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    EXPECT_TRUE(world.Answers().back().end);
    EXPECT_FALSE(world.Answers().back().abort);
  }
}

TEST(Dispatcher, AStreamThatCannotBeResumedIsAborted)
{
  World world;
  world.Ask("/stream/x");
  world.AnswerOk("id: 1\ndata: a\n\n", false);
  world.Fail(false);
  world.Fail(false);
  EXPECT_TRUE(world.Answers().back().abort);
  EXPECT_FALSE(world.Answers().back().end);
}

// When a member of a group fails, the head still accepts requests but makes no progress. Its
// callers would wait for five seconds.
TEST(Dispatcher, RequestsMoveAwayFromASilentHead)
{
  World world;
  world.Ask("/stream/x");
  world.AnswerOk("id: 1\ndata: a\n\n", false);
  const std::string first = world.Sent().address;
  SECTION("new requests go to another head first")
  {
    world.AdvanceTime(400ms);
    world.Ask("/stream/y");
    EXPECT_NE(world.Sent().address, first);
  }
  SECTION("its requests are resumed at another head a little later")
  {
    World other;
    other.Ask("/stream/x");
    other.AnswerOk("id: 1\ndata: a\n\n", false);
    const std::string silent = other.Sent().address;
    other.AdvanceTime(650ms);
    EXPECT_NE(other.Sent().address, silent);
    EXPECT_EQ(FindHeader(other.Sent().headers, "After"), "1");
  }
}

/// A head that serves the model `large`; `born` differs after a restart.
ServedTarget HeadOf(const std::string& name, std::uint64_t born)
{
  return { InstanceId(name), "assist",         name + ":80", FailureDomainId("a"), 34, false,
           "large",          Incarnation(born) };
}

// If one failed answer excluded its head, single lost answers at all heads would cause refusals
// although the heads have capacity.
TEST(Dispatcher, AFailedAnswerDoesNotExcludeAHead)
{
  World world;
  const std::vector<ServedTarget> heads = { HeadOf("h1", 0), HeadOf("h2", 0) };
  world.dispatcher.OnTargets(world.now, heads, world.outbox);
  world.Ask("/stream/x");
  world.Fail(false); // At one head,
  world.Fail(false); // and at the other.
  world.Ask("/stream/y");
  const std::string asked = world.Sent().address;
  EXPECT_NE(LastStatus(world), 503U);
  SECTION("a head that did not fail is preferred")
  {
    World other;
    other.dispatcher.OnTargets(other.now, heads, other.outbox);
    other.Ask("/stream/x");
    const std::string failed = other.Sent().address;
    other.Fail(false);
    for (int request = 0; request < 5; ++request) {
      other.Ask("/stream/y");
      EXPECT_NE(other.Sent().address, failed);
    }
  }
  SECTION("an unreachable head gets no requests")
  {
    World other;
    const std::vector<ServedTarget> one = { HeadOf("h1", 0) };
    other.dispatcher.OnTargets(other.now, one, other.outbox);
    other.Ask("/stream/x");
    other.Fail(true);
    const std::size_t sent = other.CountSent();
    other.Ask("/stream/y");
    EXPECT_EQ(other.CountSent(), sent);
    EXPECT_THAT(other.Answers().back().bytes, HasSubstr("out of reach"));
  }
}

/// A head with four slots, all in use, at which a slot came free every 30 ms until now.
class BusyHead
{
public:
  BusyHead()
  {
    world.dispatcher.OnTargets(
      world.now,
      std::vector<ServedTarget>{
        { InstanceId("h1"), "assist", "h1:80", FailureDomainId("a"), 4, false, "large", {} } },
      world.outbox);
    for (int request = 0; request < 40; ++request) {
      world.Ask("/stream/x");
      world.now += 30ms;
      world.AnswerOk("id: 1\ndata: a\n\n", true);
    }
    for (int request = 0; request < 4; ++request) {
      world.Ask("/stream/x");
    }
    sent = world.CountSent();
  }

  World world;
  std::size_t sent = 0; ///< Requests sent before the first one is queued.
};

// Without the queue, callers that arrive together are refused although a slot comes free 30 ms
// later, and they retry only after their objective.
TEST(Dispatcher, ARequestThatWillMeetItsObjectiveWaitsForTheNextSlot)
{
  SECTION("and gets the slot")
  {
    BusyHead busy;
    busy.world.Ask("/stream/x");
    EXPECT_EQ(busy.world.CountSent(), busy.sent);
    EXPECT_NE(LastStatus(busy.world), 503U);
    busy.world.now += 30ms;
    busy.world.Fail(false); // Ends one of the running requests.
    EXPECT_GT(busy.world.CountSent(), busy.sent);
  }
  SECTION("or is refused while it can still retry")
  {
    BusyHead busy;
    busy.world.Ask("/stream/x");
    busy.world.AdvanceTime(600ms);
    EXPECT_EQ(LastStatus(busy.world), 503U);
    EXPECT_NE(FindHeader(busy.world.Answers().back().headers, "Retry-After"), "");
  }
  SECTION("callers that would not meet the objective are refused at once")
  {
    BusyHead busy;
    for (int request = 0; request < 40 && LastStatus(busy.world) != 503U; ++request) {
      busy.world.Ask("/stream/x");
    }
    EXPECT_EQ(LastStatus(busy.world), 503U);
  }
  SECTION("a caller that disconnects is removed from the queue")
  {
    BusyHead busy;
    busy.world.Ask("/stream/x");
    busy.world.dispatcher.OnCallerGone(busy.world.now, ExchangeId(45), busy.world.outbox);
    busy.world.now += 30ms;
    busy.world.Fail(false);
    EXPECT_EQ(busy.world.CountSent(), busy.sent);
  }
}

// Guards against requests that end without an answer, or with an untrue one, when the process
// stops.
TEST(Dispatcher, EndsEachRequestWithATrueAnswer)
{
  constexpr const char* kReason = "this entry stops";
  SECTION("one that waits for a slot has not run")
  {
    BusyHead busy;
    busy.world.Ask("/stream/x");
    ASSERT_EQ(busy.world.CountSent(), busy.sent);
    const ExchangeId waiting(busy.sent + 1);
    busy.world.dispatcher.EndAll(busy.world.now, kReason, 50ms, busy.world.outbox);
    const std::vector<HttpAnswerOut> answers = busy.world.Answers();
    const auto answer = std::ranges::find(answers, waiting, &HttpAnswerOut::exchange);
    ASSERT_NE(answer, answers.end());
    EXPECT_EQ(answer->status, 503U);
    EXPECT_NE(answer->bytes.find("not-run"), std::string::npos);
    EXPECT_EQ(FindHeader(answer->headers, "Retry-After"), "0.05");
    EXPECT_EQ(answers.size(), busy.sent + 1);
    EXPECT_EQ(busy.world.CountSent(), busy.sent);
    EXPECT_EQ(busy.world.dispatcher.InFlight(), 0U);
  }
  SECTION("one that was sent may have run")
  {
    World world;
    world.Ask("/once/x");
    world.dispatcher.EndAll(world.now, kReason, 50ms, world.outbox);
    ASSERT_EQ(world.Answers().size(), 1U);
    EXPECT_EQ(world.Answers().back().status, 502U);
    EXPECT_NE(world.Answers().back().bytes.find("unknown"), std::string::npos);
    EXPECT_EQ(world.CountCancelled(), 1U);
  }
  SECTION("one that was sent and may run again has a time at which another entry serves it")
  {
    for (const char* path : { "/safe/x", "/stream/x" }) {
      World world;
      world.Ask(path);
      world.dispatcher.EndAll(world.now, kReason, 50ms, world.outbox);
      ASSERT_EQ(world.Answers().size(), 1U);
      EXPECT_EQ(world.Answers().back().status, 502U);
      EXPECT_EQ(FindHeader(world.Answers().back().headers, "Retry-After"), "0.05") << path;
    }
    World world;
    world.Ask("/once/x");
    world.dispatcher.EndAll(world.now, kReason, 50ms, world.outbox);
    EXPECT_EQ(FindHeader(world.Answers().back().headers, "Retry-After"), "");
  }
}

// Guards against late requests that a stopping entry passes on and ends without their answers.
TEST(Dispatcher, SendsNothingThatIsExpectedToOutlastAStop)
{
  constexpr Duration kUsual = 500ms;
  World world;
  for (const char* path : { "/safe/x", "/once/x" }) {
    for (int answer = 0; answer < 20; ++answer) {
      world.Ask(path);
      world.now += answer == 0 ? 2 * kUsual : kUsual;
      world.AnswerOk();
    }
  }
  const std::size_t sent = world.CountSent();
  const auto isSent = [&](const std::string& path) {
    const std::size_t before = world.CountSent();
    world.Ask(path);
    return world.CountSent() > before;
  };
  SECTION("nothing that takes longer than is left, by the usual time of its route")
  {
    world.dispatcher.EndBy(world.now + kUsual - 1ms, 50ms);
    EXPECT_FALSE(isSent("/safe/x"));
    EXPECT_EQ(LastStatus(world), 503U);
    EXPECT_EQ(FindHeader(world.Answers().back().headers, "Retry-After"), "0.05");
    EXPECT_TRUE(world.Answers().back().endsConnection);
    EXPECT_THAT(world.Answers().back().bytes, HasSubstr("not-run"));
  }
  SECTION("what has the usual time, but nothing whose outcome could stay unknown")
  {
    world.dispatcher.EndBy(world.now + kUsual, 50ms);
    EXPECT_TRUE(isSent("/safe/x"));
    EXPECT_FALSE(isSent("/once/x"));
    world.dispatcher.EndBy(world.now + 2 * kUsual, 50ms);
    EXPECT_TRUE(isSent("/once/x"));
  }
  SECTION("a route without answers is taken by the time that its caller gives it")
  {
    world.dispatcher.EndBy(world.now + 2999ms, 50ms);
    EXPECT_FALSE(isSent("/stream/x"));
    world.dispatcher.EndBy(world.now + 3s, 50ms);
    EXPECT_TRUE(isSent("/stream/x"));
  }
  SECTION("no retry that takes longer than is left")
  {
    world.dispatcher.EndBy(world.now + kUsual, 50ms);
    EXPECT_TRUE(isSent("/safe/x"));
    const std::size_t before = world.CountSent();
    world.now += 100ms;
    world.Fail(false);
    EXPECT_EQ(world.CountSent(), before);
    EXPECT_EQ(LastStatus(world), 502U);
    EXPECT_EQ(FindHeader(world.Answers().back().headers, "Retry-After"), "0.05");
  }
  SECTION("a failed request that may not run again has no such time")
  {
    world.dispatcher.EndBy(world.now + 2 * kUsual, 50ms);
    EXPECT_TRUE(isSent("/once/x"));
    world.Fail(false);
    EXPECT_EQ(LastStatus(world), 502U);
    EXPECT_EQ(FindHeader(world.Answers().back().headers, "Retry-After"), "");
  }
  EXPECT_GT(world.CountSent(), sent);
}

// Guards against an answer that a stop cuts because failures made the route seem fast.
TEST(Dispatcher, FailuresDoNotTellHowLongAnAnswerTakes)
{
  World world;
  const auto ask = [&](Duration time, unsigned status) {
    world.Ask("/once/x");
    world.now += time;
    world.Answer(status);
  };
  for (int answer = 0; answer < 20; ++answer) {
    ask(1s, 200);
  }
  for (std::size_t answer = 0; answer < AnswerTimes::kAnswers; ++answer) {
    ask(1ms, 500);
  }
  world.dispatcher.EndBy(world.now + 500ms, 50ms);
  const std::size_t sent = world.CountSent();
  world.Ask("/once/x");
  EXPECT_EQ(world.CountSent(), sent);
  EXPECT_EQ(LastStatus(world), 503U);
}

// Guards against a stream that a stopping entry cuts although only its last events are missing.
TEST(Dispatcher, GoesOnWithABrokenStreamDuringAStop)
{
  World world;
  world.Ask("/stream/x");
  world.AnswerOk("id: 1\ndata: a\n\n", false);
  world.now += 2s;
  world.AnswerMore("id: 2\ndata: b\n\n", true);
  world.Ask("/stream/x");
  world.AnswerOk("id: 1\ndata: a\n\n", false);
  world.now += 1500ms;
  world.dispatcher.EndBy(world.now + 1s, 50ms);
  const std::size_t sent = world.CountSent();
  world.Fail(false);
  EXPECT_EQ(world.CountSent(), sent + 1);
  EXPECT_FALSE(world.Answers().back().abort);
}

// Guards against requests that wait for a slot until a stop ends them.
TEST(Dispatcher, RefusesWaitingRequestsOnceTheyWouldOutlastAStop)
{
  BusyHead busy;
  busy.world.Ask("/stream/x");
  busy.world.dispatcher.EndBy(busy.world.now + 20ms, 50ms);
  busy.world.Fail(false); // Ends one of the running requests.
  const std::size_t answered = busy.world.Answers().size();
  busy.world.AdvanceTime(1ms);
  ASSERT_EQ(busy.world.Answers().size(), answered + 1);
  EXPECT_EQ(LastStatus(busy.world), 503U);
  EXPECT_EQ(busy.world.CountSent(), busy.sent);
}

// A target that crashes with requests in flight and restarts under its old name has none of them
// any more. If its state were kept by name alone, it would count as full and failing, and the
// callers would wait until it is detected as silent.
TEST(Dispatcher, ARestartedTargetStartsWithoutState)
{
  World world;
  const std::vector<ServedTarget> before = { HeadOf("h1", 100) };
  const std::vector<ServedTarget> after = { HeadOf("h1", 200), HeadOf("h2", 100) };
  world.dispatcher.OnTargets(world.now, before, world.outbox);
  world.Ask("/stream/x");
  world.AnswerOk("id: 1\ndata: a\n\n", false);
  SECTION("its requests are resumed at another target at once")
  {
    world.dispatcher.OnTargets(world.now, after, world.outbox);
    EXPECT_EQ(world.Sent().address, "h2:80");
    EXPECT_EQ(FindHeader(world.Sent().headers, "After"), "1");
  }
  SECTION("its load and its failures are reset")
  {
    World troubled;
    troubled.dispatcher.OnTargets(troubled.now, before, troubled.outbox);
    troubled.Ask("/stream/x");
    troubled.Fail(false);
    const TargetSelector& board = troubled.dispatcher.Selector();
    EXPECT_GT(board.Rows().at(InstanceId("h1")).avoidUntil, troubled.now);
    troubled.dispatcher.OnTargets(troubled.now, after, troubled.outbox);
    EXPECT_EQ(board.Rows().at(InstanceId("h1")).avoidUntil, TimePoint{});
    EXPECT_EQ(board.Rows().at(InstanceId("h1")).inFlight, 0U);
  }
  SECTION("the end of a request from before the restart is ignored")
  {
    World alone;
    alone.dispatcher.OnTargets(alone.now, before, alone.outbox);
    alone.Ask("/stream/x");
    const ExchangeId former = alone.Sent().exchange;
    const std::vector<ServedTarget> restarted = { HeadOf("h1", 200) };
    alone.dispatcher.OnTargets(alone.now, restarted, alone.outbox);
    alone.Ask("/stream/y");
    TargetFailedIn failed;
    failed.exchange = former;
    alone.dispatcher.OnFailed(alone.now, failed, alone.outbox);
    const auto& row = alone.dispatcher.Selector().Rows().at(InstanceId("h1"));
    EXPECT_EQ(row.inFlight, 1U);
    EXPECT_EQ(row.avoidUntil, TimePoint{});
  }
}

TEST(Dispatcher, RequestsOfADisconnectedCallerAreCancelled)
{
  World world;
  world.Ask("/safe/x");
  world.dispatcher.OnCallerGone(world.now, ExchangeId(1), world.outbox);
  EXPECT_EQ(world.CountCancelled(), 1U);
  EXPECT_EQ(world.dispatcher.InFlight(), 0U);
  world.AnswerOk();
  EXPECT_THAT(world.Answers(), IsEmpty());
}

TEST(Dispatcher, LeavingTargetsGetNoRequests)
{
  World world;
  world.dispatcher.Selector().Replace(
    TimePoint{},
    std::vector<ServedTarget>{
      { InstanceId("p1"), "portal", "p1:80", FailureDomainId("a"), 6, true, "" },
      { InstanceId("p2"), "portal", "p2:80", FailureDomainId("b"), 6, false, "" } });
  for (int i = 0; i < 6; ++i) {
    world.Ask("/safe/x");
    EXPECT_EQ(world.Sent().address, "p2:80");
  }
}

// If each of five entries filled a head by itself, the head would queue 170 requests for 34 slots,
// and most callers would get no answer within 8 s.
TEST(Dispatcher, AnEntryUsesOnlyItsFractionOfAHead)
{
  World world;
  world.dispatcher.Selector().SetEntries(5);
  for (int i = 0; i < 40; ++i) {
    world.Ask("/stream/x");
  }
  EXPECT_EQ(world.CountSent(), 16U); // 1.12 * 34 / 5, rounded, at each of two heads.
  EXPECT_EQ(LastStatus(world), 503U);
}

// If the only entry of a failure domain gets a third of all callers but uses a fifth of each head,
// it refuses five times as many requests as the others.
TEST(Dispatcher, AnEntrysFractionOfAHeadFollowsItsCallers)
{
  World world;
  world.dispatcher.Selector().SetEntries(5);
  world.dispatcher.Selector().SetCallerFraction("large", 0.5);
  for (int i = 0; i < 40; ++i) {
    world.Ask("/stream/x");
  }
  EXPECT_EQ(world.CountSent(), 38U); // Half of 1.12 * 34, at each of two heads.
}

// Refused callers retry, and callers allow three times the tokens that they use. Counted in full,
// both would lead to twice as many groups for a model as its callers keep busy.
TEST(Dispatcher, DemandIsTheExpectedUse)
{
  SECTION("the tokens that they expect, if stated")
  {
    World world;
    world.Ask("/stream/x");
    EXPECT_EQ(world.dispatcher.Demand().at(0).promptTokens, 100U);
    EXPECT_EQ(world.dispatcher.Demand().at(0).outputTokens, 50U);
  }
  SECTION("half of them for a refused request, which will be retried")
  {
    World world;
    world.dispatcher.Selector().Replace(TimePoint{}, {});
    world.Ask("/stream/x");
    EXPECT_EQ(LastStatus(world), 503U);
    EXPECT_EQ(world.dispatcher.Demand().at(0).promptTokens, 50U);
    EXPECT_EQ(world.dispatcher.Demand().at(0).outputTokens, 25U);
  }
}

TEST(RetryAllowance, AllEntriesTogetherKeepTheBudget)
{
  RetryAllowance allowance({ 0.2, 100, 10s });
  allowance.SetEntries(5);
  TimePoint now{ 1h };
  for (int i = 0; i < 100; ++i) {
    allowance.CountRequest(now, "portal");
  }
  int taken = 0;
  for (int i = 0; i < 200; ++i) {
    now += 90ms; // 18 s in total: more than one window.
    taken += allowance.TryTake(now, "portal") ? 1 : 0;
  }
  EXPECT_GT(taken, 10);
  // In each of two windows 0.2 * 100 for this entry's requests, and a fifth of the slack of 100.
  EXPECT_LE(taken, 2 * 40);
  EXPECT_FALSE(RetryAllowance({ 0, 0, 10s }).TryTake(now, "portal"));
}

// Guards against streams that are cut beside sound heads, as one that has just crashed refused
// their second attempt.
TEST(Dispatcher, ARefusedConnectionUsesUpNoAttempt)
{
  World world;
  world.dispatcher.Selector().Replace(
    TimePoint{},
    std::vector<ServedTarget>{
      { InstanceId("h1"), "assist", "h1:80", FailureDomainId("a"), 34, false, "large" },
      { InstanceId("h2"), "assist", "h2:80", FailureDomainId("a"), 34, false, "large" },
      { InstanceId("h3"), "assist", "h3:80", FailureDomainId("a"), 34, false, "large" } });
  world.Ask("/stream/x");
  world.AnswerOk("id: 1\ndata: a\n\n", false);
  world.Fail(false);
  world.Fail(true);
  EXPECT_EQ(world.CountSent(), 3U);
  world.AnswerOk("id: 2\ndata: b\n\n", true);
  EXPECT_TRUE(world.Answers().back().end);
  SECTION("a second attempt that was sent does")
  {
    World sent;
    sent.Ask("/stream/x");
    sent.AnswerOk("id: 1\ndata: a\n\n", false);
    sent.Fail(false);
    sent.Fail(false);
    EXPECT_EQ(sent.CountSent(), 2U);
    EXPECT_TRUE(sent.Answers().back().abort);
  }
}

TEST(EventSplitter, ReturnsCompleteEventsOnly)
{
  EventSplitter splitter;
  EXPECT_EQ(splitter.Take("id: 1\nda"), "");
  EXPECT_EQ(splitter.LastId(), "");
  EXPECT_EQ(splitter.Take("ta: x\n"), "");
  EXPECT_EQ(splitter.Take("\nid:2\r\ndata: y\r\n\r\nid: 3"),
            "id: 1\ndata: x\n\nid:2\r\ndata: y\r\n\r\n");
  EXPECT_EQ(splitter.LastId(), "2");
  EXPECT_EQ(splitter.TakePartial(), "id: 3");
}

// Guards against callers that wait, or come back too early, for targets that take few requests a
// second.
TEST(Dispatcher, RefusesAtOnceWhatTargetsDoNotTakeByTheirLimits)
{
  World world;
  world.dispatcher.Selector().Replace(
    TimePoint{},
    std::vector<ServedTarget>{
      { InstanceId("p1"), "portal", "p1:80", FailureDomainId("a"), 6, false, "" } });
  world.Ask("/safe/x");
  world.AnswerHead(
    200, { { "X-Request-Id", "r1" }, { "Seal", "s" }, { "Limit", "0.4" } }, "whole", true);
  world.Ask("/safe/x");
  EXPECT_EQ(world.CountSent(), 1U);
  EXPECT_EQ(LastStatus(world), 503U);
  EXPECT_THAT(world.Body(), HasSubstr("targets take no more requests a second"));
  EXPECT_GE(std::stod(std::string(FindHeader(world.Answers().back().headers, "Retry-After"))), 2);

  SECTION("after the interval of the limit one more is sent")
  {
    world.AdvanceTime(2500ms);
    world.Ask("/safe/x");
    EXPECT_EQ(world.CountSent(), 2U);
  }
  SECTION("which ends the limit when it is answered without one")
  {
    world.AnswerOk();
    world.Ask("/safe/x");
    EXPECT_EQ(world.CountSent(), 3U);
  }
}

// Guards against callers that wait while all targets want no requests, or return too early.
TEST(Dispatcher, RefusesAtOnceWhileAllTargetsAskToBackOff)
{
  World world;
  world.dispatcher.Selector().Replace(
    TimePoint{},
    std::vector<ServedTarget>{
      { InstanceId("h1"), "assist", "h1:80", FailureDomainId("a"), 34, false, "large" } });
  const auto reject = [&](const std::string& requestId, const std::string& millis) {
    world.AnswerHead(503,
                     { { "X-Request-Id", requestId }, { "Never-Ran", "1" }, { "Backoff", millis } },
                     "",
                     true);
  };
  const auto retryAfter = [&] {
    return std::stod(std::string(FindHeader(world.Answers().back().headers, "Retry-After")));
  };
  world.Ask("/stream/x");

  SECTION("with the time that is left")
  {
    reject("r1", "3000");
    EXPECT_EQ(LastStatus(world), 503U);
    EXPECT_THAT(world.Answers().back().bytes, HasSubstr("targets asked this entry to back off"));
    EXPECT_GE(retryAfter(), 3);
    EXPECT_LE(retryAfter(), 3.5);
    world.AdvanceTime(1s);
    world.Ask("/stream/x");
    EXPECT_EQ(world.CountSent(), 1U);
    EXPECT_EQ(LastStatus(world), 503U);
    EXPECT_GE(retryAfter(), 2);
    EXPECT_LE(retryAfter(), 2.5);
    world.AdvanceTime(2s);
    world.Ask("/stream/x");
    EXPECT_EQ(world.CountSent(), 2U);
  }
}

// Guards against a request that is refused beside a head with room, as it met two that back off.
TEST(Dispatcher, SendsARequestOnThatTwoTargetsRejectedWithABackoff)
{
  World world;
  world.dispatcher.Selector().Replace(
    TimePoint{},
    std::vector<ServedTarget>{
      { InstanceId("h1"), "assist", "h1:80", FailureDomainId("a"), 34, false, "large" },
      { InstanceId("h2"), "assist", "h2:80", FailureDomainId("a"), 34, false, "large" },
      { InstanceId("h3"), "assist", "h3:80", FailureDomainId("a"), 34, false, "large" } });
  world.Ask("/stream/x");
  for (std::size_t sent = 1; sent <= 2; ++sent) {
    EXPECT_EQ(world.CountSent(), sent);
    world.AnswerHead(
      503, { { "X-Request-Id", "r1" }, { "Never-Ran", "1" }, { "Backoff", "3000" } }, "", true);
  }
  EXPECT_EQ(world.CountSent(), 3U);
  EXPECT_TRUE(world.Answers().empty());
}

// Guards against a request that goes round all targets that reject it without a time.
TEST(Dispatcher, CountsAttemptsThatWereRejectedWithoutABackoff)
{
  World world;
  world.dispatcher.Selector().Replace(
    TimePoint{},
    std::vector<ServedTarget>{
      { InstanceId("h1"), "assist", "h1:80", FailureDomainId("a"), 34, false, "large" },
      { InstanceId("h2"), "assist", "h2:80", FailureDomainId("a"), 34, false, "large" },
      { InstanceId("h3"), "assist", "h3:80", FailureDomainId("a"), 34, false, "large" } });
  world.Ask("/stream/x");
  for (std::size_t sent = 1; sent <= 2; ++sent) {
    world.AnswerHead(
      503, { { "X-Request-Id", "r1" }, { "Never-Ran", "1" }, { "Backoff", "0" } }, "", true);
  }
  EXPECT_EQ(world.CountSent(), 2U);
  EXPECT_EQ(LastStatus(world), 503U);
}

// Guards against a request that is refused although a target takes it within its objective.
TEST(Dispatcher, HoldsARequestForTheEndOfAShortBackoff)
{
  World world;
  world.dispatcher.Selector().Replace(
    TimePoint{},
    std::vector<ServedTarget>{
      { InstanceId("h1"), "assist", "h1:80", FailureDomainId("a"), 34, false, "large" } });
  world.Ask("/stream/x");
  world.AnswerHead(
    503, { { "X-Request-Id", "r1" }, { "Never-Ran", "1" }, { "Backoff", "100" } }, "", true);
  world.Ask("/stream/x");
  EXPECT_EQ(world.CountSent(), 1U);
  EXPECT_EQ(world.Answers().size(), 1U);
  world.AdvanceTime(100ms);
  EXPECT_EQ(world.CountSent(), 2U);
}

// Guards against a word of another target, or an old one, that is taken for the target's own.
TEST(Dispatcher, IgnoresStatementsInAnswersToOtherRequests)
{
  World world;
  world.Ask("/safe/x");
  world.AnswerHead(
    503, { { "X-Request-Id", "r0" }, { "Never-Ran", "1" }, { "Backoff", "3000" } }, "", true);
  world.AnswerOk();
  world.Ask("/safe/x");
  world.AnswerOk();
  world.AdvanceTime(1s);
  for (int count = 0; count < 12; ++count) {
    world.Ask("/safe/x"); // Six slots at each of the two targets.
  }
  EXPECT_EQ(world.CountSent(), 15U);
}

// Guards against a request that uses up its attempts though it never reached a target.
TEST(Dispatcher, SendsAWithdrawnRequestElsewhere)
{
  World world;
  const auto countWithdrawn = [&] {
    return std::ranges::count_if(world.outbox, [](const auto& output) {
      return std::holds_alternative<TargetWithdrawOut>(output);
    });
  };
  world.Ask("/once/x");
  const TargetCallOut first = world.Sent();
  world.Ask("/once/x");
  world.Ask("/once/x");
  const TargetCallOut third = world.Sent();
  ASSERT_EQ(third.address, first.address);

  TargetAnswerIn rejection;
  rejection.exchange = first.exchange;
  rejection.status = 503;
  rejection.headers = { { "X-Request-Id", "r1" }, { "Never-Ran", "1" }, { "Backoff", "3000" } };
  rejection.end = true;
  world.dispatcher.OnAnswer(world.now, rejection, world.outbox);
  EXPECT_EQ(countWithdrawn(), 1);

  TargetFailedIn withdrawn;
  withdrawn.exchange = third.exchange;
  withdrawn.neverSent = true;
  withdrawn.isWithdrawn = true;
  const std::size_t sent = world.CountSent();
  world.dispatcher.OnFailed(world.now, withdrawn, world.outbox);
  EXPECT_EQ(world.CountSent(), sent + 1);
  EXPECT_NE(world.Sent().address, third.address);
  EXPECT_TRUE(world.Answers().empty());
}

// Guards against targets that work past the caller's time on a request that waited to be read.
TEST(Dispatcher, TheTimeThatARequestWaitedUnreadIsNotLeft)
{
  World world;
  SECTION("the target gets what is left of the route's timeout")
  {
    world.Ask("/once/x", "secret", 1s);
    EXPECT_EQ(MillisLeft(world), "2000");
  }
  SECTION("it is answered at that time")
  {
    world.AdvanceTime(1999ms);
    EXPECT_THAT(world.Answers(), IsEmpty());
    world.AdvanceTime(1ms);
    EXPECT_EQ(LastStatus(world), 504U);
  }
  SECTION("one that has no time left is refused without an attempt")
  {
    const std::size_t sent = world.CountSent();
    world.Ask("/safe/x", "secret", 2999ms);
    EXPECT_EQ(LastStatus(world), 503U);
    EXPECT_EQ(world.CountSent(), sent);
  }
}

} // namespace
} // namespace gooseberrysail
