#include "gooseberrysail/gateway/dispatcher.hpp"
#include "gooseberrysail/observe/event.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

/// An interface with plain headers: Key, Left (milliseconds), Never-Ran, Seal, After.
GatewayApi PlainApi()
{
  GatewayApi api;
  api.decodeCall = [](HttpRequestIn in) -> Result<GatewayCall> {
    GatewayCall call;
    call.exchange = in.exchange;
    call.requestId = FindHeader(in.headers, "X-Request-Id");
    if (call.requestId.empty()) {
      return Error{ ErrorCode::kInvalid, "decode", "", "no id" };
    }
    call.method = in.method;
    call.target = in.target;
    call.host = FindHeader(in.headers, "Host");
    call.key = FindHeader(in.headers, "Key");
    call.model = FindHeader(in.headers, "Model");
    call.promptTokens = 100;
    call.maxOutputTokens = 365;
    call.expectedOutputTokens = 50;
    call.body = in.body;
    return call;
  };
  api.encodeAttempt = [](const TargetAttempt& attempt) {
    TargetCallOut call;
    call.exchange = attempt.exchange;
    call.method = attempt.call.method;
    call.path = attempt.call.target;
    call.address = attempt.target.address;
    call.headers = { { "Workspace", std::string(attempt.workspace) },
                     { "Left", std::to_string(ToMillis(attempt.timeLeft)) } };
    if (attempt.resumeAfter) {
      call.headers.push_back({ "After", *attempt.resumeAfter });
    }
    return call;
  };
  api.decodeHead = [](const TargetAnswerIn& part) {
    TargetHead head;
    head.status = *part.status;
    head.requestId = FindHeader(part.headers, "X-Request-Id");
    head.neverRan = !FindHeader(part.headers, "Never-Ran").empty();
    head.isProven = !FindHeader(part.headers, "Seal").empty();
    head.headers = part.headers;
    return head;
  };
  return api;
}

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
    knowledge.index = std::make_shared<const RouteIndex>(document);
    knowledge.targetsSequence = 1;
    dispatcher.Board().Replace(std::vector<ServedTarget>{
      { InstanceId("p1"), "portal", "p1:80", FailureDomainId("a"), 6, false, "" },
      { InstanceId("p2"), "portal", "p2:80", FailureDomainId("b"), 6, false, "" },
      { InstanceId("h1"), "assist", "h1:80", FailureDomainId("a"), 34, false, "large" },
      { InstanceId("h2"), "assist", "h2:80", FailureDomainId("b"), 34, false, "large" } });
  }

  /// A caller's request; its number is the exchange.
  void Ask(const std::string& path, const std::string& key = "secret")
  {
    HttpRequestIn request;
    request.exchange = ExchangeId(++m_asked);
    request.method = "POST";
    request.target = path;
    request.headers = { { "Host", "hire.example" },
                        { "X-Request-Id", "r" + std::to_string(m_asked) },
                        { "Key", key },
                        { "Model", "large" } };
    dispatcher.OnRequest(now, std::move(request), knowledge, outbox);
  }

  /// The latest call to a target.
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

  /// What the caller got, joined.
  std::string Body() const
  {
    std::string body;
    for (const HttpAnswerOut& answer : Answers()) {
      body += answer.bytes;
    }
    return body;
  }

  void Head(unsigned status,
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

  void Good(std::string bytes = "whole", bool end = true)
  {
    Head(200, { { "X-Request-Id", "r" + std::to_string(m_asked) }, { "Seal", "s" } }, bytes, end);
  }

  void More(std::string bytes, bool end = false)
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

  void Pass(Duration duration)
  {
    now += duration;
    dispatcher.Tick(now, outbox);
  }

  TimePoint now{ 1h };
  ServingKnowledge knowledge;
  Dispatcher dispatcher;
  std::vector<GatewayOutput> outbox;

private:
  std::uint64_t m_random = 0;
  std::uint64_t m_asked = 0;
};

unsigned LastStatus(const World& world)
{
  const auto answers = world.Answers();
  return answers.empty() ? 0 : answers.back().status.value_or(0);
}

TEST(Dispatcher, RefusesTruthfullyWhatItCannotServe)
{
  SECTION("before any document is known, nothing is said not to exist")
  {
    World world;
    world.knowledge = {};
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
  SECTION("an unknown key, which is told to nobody")
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
    world.dispatcher.Board().Replace({});
    world.Ask("/safe/x");
    EXPECT_EQ(LastStatus(world), 503U);
    EXPECT_THAT(world.Body(), HasSubstr("not-run"));
  }
}

TEST(Dispatcher, PassesTheWholeAnswerAndTheWorkspaceButNoKey)
{
  World world;
  world.Ask("/safe/x");
  EXPECT_EQ(FindHeader(world.Sent().headers, "Workspace"), "parish");
  EXPECT_EQ(FindHeader(world.Sent().headers, "Key"), "");
  EXPECT_EQ(FindHeader(world.Sent().headers, "Left"), "3000");
  world.Good("all of it");
  ASSERT_EQ(world.Answers().size(), 1U);
  EXPECT_TRUE(world.Answers()[0].end);
  EXPECT_EQ(world.Body(), "all of it");
}

// Symptom: a booking was made twice, or a caller was told "not run" of one that ran.
// Sequence: the connection to the target breaks after the request was sent.
// Cause: a lost answer was taken for a request that did not run.
TEST(Dispatcher, WhatMayNotRunTwiceIsSentAgainOnlyWhenItCertainlyDidNotRun)
{
  SECTION("lost after sending: unknown")
  {
    World world;
    world.Ask("/once/x");
    world.Fail(false);
    EXPECT_EQ(world.CountSent(), 1U);
    EXPECT_EQ(LastStatus(world), 502U);
    EXPECT_THAT(world.Body(), HasSubstr("unknown"));
  }
  SECTION("no connection: sent elsewhere")
  {
    World world;
    world.Ask("/once/x");
    const std::string first = world.Sent().address;
    world.Fail(true);
    EXPECT_EQ(world.CountSent(), 2U);
    EXPECT_NE(world.Sent().address, first);
    world.Good();
    EXPECT_EQ(LastStatus(world), 200U);
  }
  SECTION("refused by every target: a truthful refusal")
  {
    World world;
    world.Ask("/once/x");
    world.Head(503, { { "Never-Ran", "1" } }, "", true);
    world.Head(503, { { "Never-Ran", "1" } }, "", true);
    EXPECT_EQ(LastStatus(world), 503U);
    EXPECT_THAT(world.Body(), HasSubstr("not-run"));
  }
  SECTION("the target's own failure is passed on, not repeated")
  {
    World world;
    world.Ask("/once/x");
    world.Head(500, { { "X-Request-Id", "r1" }, { "Seal", "s" } }, "broken", true);
    EXPECT_EQ(world.CountSent(), 1U);
    EXPECT_EQ(LastStatus(world), 500U);
  }
  SECTION("time over while it runs: 504, never 503")
  {
    World world;
    world.Ask("/once/x");
    world.Pass(3s);
    EXPECT_EQ(LastStatus(world), 504U);
    EXPECT_EQ(world.CountCancelled(), 1U);
  }
}

// Symptom: a caller got another caller's answer.
// Sequence: a target answers twice; the second answer lies on the connection when the next request
// is sent on it.
TEST(Dispatcher, AnAnswerToAnotherRequestIsNotPassedOn)
{
  World world;
  world.Ask("/safe/x");
  world.Head(200, { { "X-Request-Id", "r0" }, { "Seal", "s" } }, "of another", true);
  EXPECT_THAT(world.Answers(), IsEmpty());
  world.Good("own");
  EXPECT_EQ(world.Body(), "own");
  SECTION("nor is a success without its seal")
  {
    World other;
    other.Ask("/once/x");
    other.Head(200, { { "X-Request-Id", "r1" } }, "garbled", true);
    EXPECT_EQ(LastStatus(other), 502U);
  }
}

// Symptom: a stream has a gap, a double event, or looks whole although it broke off.
// Sequence: the head of a group dies in the middle of an event.
TEST(Dispatcher, ABrokenStreamGoesOnAfterItsLastWholeEvent)
{
  World world;
  world.Ask("/stream/x");
  world.Good("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", false);
  EXPECT_EQ(world.Body(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  const std::string first = world.Sent().address;
  world.Fail(false);
  EXPECT_NE(world.Sent().address, first);
  EXPECT_EQ(FindHeader(world.Sent().headers, "After"), "2");
  SECTION("another head finishes it")
  {
    world.Good("id: 3\ndata: c\n\n", true);
    EXPECT_EQ(world.Body(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    EXPECT_TRUE(world.Answers().back().end);
    EXPECT_FALSE(world.Answers().back().abort);
  }
}

TEST(Dispatcher, AStreamThatNobodyCanFinishIsCutVisibly)
{
  World world;
  world.Ask("/stream/x");
  world.Good("id: 1\ndata: a\n\n", false);
  world.Fail(false);
  world.Fail(false);
  EXPECT_TRUE(world.Answers().back().abort);
  EXPECT_FALSE(world.Answers().back().end);
}

// Symptom: callers of a group with a dead member wait five seconds.
// Sequence: a member dies; the head accepts requests and nothing moves.
TEST(Dispatcher, ASilentHeadIsLeft)
{
  World world;
  world.Ask("/stream/x");
  world.Good("id: 1\ndata: a\n\n", false);
  const std::string first = world.Sent().address;
  SECTION("new work goes elsewhere at once")
  {
    world.Pass(400ms);
    world.Ask("/stream/y");
    EXPECT_NE(world.Sent().address, first);
  }
  SECTION("what it has goes on elsewhere a little later")
  {
    World other;
    other.Ask("/stream/x");
    other.Good("id: 1\ndata: a\n\n", false);
    const std::string silent = other.Sent().address;
    other.Pass(650ms);
    EXPECT_NE(other.Sent().address, silent);
    EXPECT_EQ(FindHeader(other.Sent().headers, "After"), "1");
  }
}

/// A head that serves the model `large`, in one of its lives.
ServedTarget HeadOf(const std::string& name, std::uint64_t born)
{
  return { InstanceId(name), "assist",         name + ":80", FailureDomainId("a"), 34, false,
           "large",          Incarnation(born) };
}

// Symptom: callers are refused while their model's heads have room. Sequence: answers of all heads
// are lost, one here and one there; each head is left out for a moment. Cause: a failed answer took
// its head out of use, whatever else the head did.
TEST(Dispatcher, AFailedAnswerTakesNoHeadOutOfUse)
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
  SECTION("one that did not fail goes first")
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
  SECTION("one that nobody reaches gets nothing")
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

/// A head of four places, all of which are taken; a place came free each 30 ms lately.
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
      world.Good("id: 1\ndata: a\n\n", true);
    }
    for (int request = 0; request < 4; ++request) {
      world.Ask("/stream/x");
    }
    sent = world.CountSent();
  }

  World world;
  std::size_t sent = 0; ///< Before any caller had to wait.
};

// Symptom: callers are refused although a place comes free 30 ms later; they come back after their
// objective. Sequence: more arrive at one moment than there are places. Cause: nothing waited.
TEST(Dispatcher, ACallerWhoWillBeInTimeWaitsForTheNextPlace)
{
  SECTION("and gets it")
  {
    BusyHead busy;
    busy.world.Ask("/stream/x");
    EXPECT_EQ(busy.world.CountSent(), busy.sent);
    EXPECT_NE(LastStatus(busy.world), 503U);
    busy.world.now += 30ms;
    busy.world.Fail(false); // Ends one of those that run.
    EXPECT_GT(busy.world.CountSent(), busy.sent);
  }
  SECTION("or is refused while it can still come back")
  {
    BusyHead busy;
    busy.world.Ask("/stream/x");
    busy.world.Pass(600ms);
    EXPECT_EQ(LastStatus(busy.world), 503U);
    EXPECT_NE(FindHeader(busy.world.Answers().back().headers, "Retry-After"), "");
  }
  SECTION("those who would not be in time are refused at once")
  {
    BusyHead busy;
    for (int request = 0; request < 40 && LastStatus(busy.world) != 503U; ++request) {
      busy.world.Ask("/stream/x");
    }
    EXPECT_EQ(LastStatus(busy.world), 503U);
  }
  SECTION("one who leaves makes room for the next")
  {
    BusyHead busy;
    busy.world.Ask("/stream/x");
    busy.world.dispatcher.OnCallerGone(busy.world.now, ExchangeId(45), busy.world.outbox);
    busy.world.now += 30ms;
    busy.world.Fail(false);
    EXPECT_EQ(busy.world.CountSent(), busy.sent);
  }
}

// Symptom: callers of a target that started again wait until its silence shows, and the target is
// thought full and troubled. Sequence: it crashes with their work and starts under its old name.
// Cause: what was known of a target was kept by its name alone.
TEST(Dispatcher, ATargetThatStartedAgainIsAnotherOne)
{
  World world;
  const std::vector<ServedTarget> before = { HeadOf("h1", 100) };
  const std::vector<ServedTarget> after = { HeadOf("h1", 200), HeadOf("h2", 100) };
  world.dispatcher.OnTargets(world.now, before, world.outbox);
  world.Ask("/stream/x");
  world.Good("id: 1\ndata: a\n\n", false);
  SECTION("what it had goes on elsewhere at once")
  {
    world.dispatcher.OnTargets(world.now, after, world.outbox);
    EXPECT_EQ(world.Sent().address, "h2:80");
    EXPECT_EQ(FindHeader(world.Sent().headers, "After"), "1");
  }
  SECTION("its load, its troubles and its silence are forgotten")
  {
    World troubled;
    troubled.dispatcher.OnTargets(troubled.now, before, troubled.outbox);
    troubled.Ask("/stream/x");
    troubled.Fail(false);
    const TargetBoard& board = troubled.dispatcher.Board();
    EXPECT_GT(board.Rows().at(InstanceId("h1")).avoidUntil, troubled.now);
    troubled.dispatcher.OnTargets(troubled.now, after, troubled.outbox);
    EXPECT_EQ(board.Rows().at(InstanceId("h1")).avoidUntil, TimePoint{});
    EXPECT_EQ(board.Rows().at(InstanceId("h1")).inFlight, 0U);
  }
  SECTION("an end of the former life's work is not counted for the present one")
  {
    World alone;
    alone.dispatcher.OnTargets(alone.now, before, alone.outbox);
    alone.Ask("/stream/x");
    const ExchangeId former = alone.Sent().exchange;
    const std::vector<ServedTarget> reborn = { HeadOf("h1", 200) };
    alone.dispatcher.OnTargets(alone.now, reborn, alone.outbox);
    alone.Ask("/stream/y");
    TargetFailedIn failed;
    failed.exchange = former;
    alone.dispatcher.OnFailed(alone.now, failed, alone.outbox);
    const auto& row = alone.dispatcher.Board().Rows().at(InstanceId("h1"));
    EXPECT_EQ(row.inFlight, 1U);
    EXPECT_EQ(row.avoidUntil, TimePoint{});
  }
}

TEST(Dispatcher, WorkOfACallerWhoLeftIsCancelled)
{
  World world;
  world.Ask("/safe/x");
  world.dispatcher.OnCallerGone(world.now, ExchangeId(1), world.outbox);
  EXPECT_EQ(world.CountCancelled(), 1U);
  EXPECT_EQ(world.dispatcher.InFlight(), 0U);
  world.Good();
  EXPECT_THAT(world.Answers(), IsEmpty());
}

TEST(Dispatcher, LeavingTargetsGetNothing)
{
  World world;
  world.dispatcher.Board().Replace(std::vector<ServedTarget>{
    { InstanceId("p1"), "portal", "p1:80", FailureDomainId("a"), 6, true, "" },
    { InstanceId("p2"), "portal", "p2:80", FailureDomainId("b"), 6, false, "" } });
  for (int i = 0; i < 6; ++i) {
    world.Ask("/safe/x");
    EXPECT_EQ(world.Sent().address, "p2:80");
  }
}

// Symptom: a head queues 170 requests for 34 slots, and most callers get nothing within 8 s.
// Sequence: five entries each fill the head by themselves.
TEST(Dispatcher, AnEntryUsesOnlyItsPartOfAHead)
{
  World world;
  world.dispatcher.Board().SetEntries(5);
  for (int i = 0; i < 40; ++i) {
    world.Ask("/stream/x");
  }
  EXPECT_EQ(world.CountSent(), 16U); // 1.12 * 34 / 5, rounded, each of two heads.
  EXPECT_EQ(LastStatus(world), 503U);
}

// Symptom: a failure domain with one entry has five times the refusals of the others.
// Sequence: its entry gets a third of all callers and uses a fifth of each head.
TEST(Dispatcher, AnEntrysPartOfAHeadFollowsItsCallers)
{
  World world;
  world.dispatcher.Board().SetEntries(5);
  world.dispatcher.Board().SetPart("large", 0.5);
  for (int i = 0; i < 40; ++i) {
    world.Ask("/stream/x");
  }
  EXPECT_EQ(world.CountSent(), 38U); // Half of 1.12 * 34, each of two heads.
}

// Symptom: twice as many groups are wanted for a model as its callers keep busy.
// Sequence: callers that were refused come back, and each time their work is counted; they allow
// three times the tokens that they get.
TEST(Dispatcher, DemandIsWhatCallersWillLikelyUse)
{
  SECTION("what they expect, where they say so")
  {
    World world;
    world.Ask("/stream/x");
    EXPECT_EQ(world.dispatcher.Demand().at(0).promptTokens, 100U);
    EXPECT_EQ(world.dispatcher.Demand().at(0).outputTokens, 50U);
  }
  SECTION("half of it for one that is refused and will come back")
  {
    World world;
    world.dispatcher.Board().Replace({});
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
    allowance.NoteRequest(now, "portal");
  }
  int taken = 0;
  for (int i = 0; i < 200; ++i) {
    now += 90ms; // 18 s: two windows and more.
    taken += allowance.TryTake(now, "portal") ? 1 : 0;
  }
  EXPECT_GT(taken, 10);
  // 0.2 * 100 of this entry's requests and a fifth of 100 beside, in each of two windows.
  EXPECT_LE(taken, 2 * 40);
  EXPECT_FALSE(RetryAllowance({ 0, 0, 10s }).TryTake(now, "portal"));
}

TEST(EventSplitter, PassesWholeEventsOnly)
{
  EventSplitter splitter;
  EXPECT_EQ(splitter.Take("id: 1\nda"), "");
  EXPECT_EQ(splitter.LastId(), "");
  EXPECT_EQ(splitter.Take("ta: x\n"), "");
  EXPECT_EQ(splitter.Take("\nid:2\r\ndata: y\r\n\r\nid: 3"),
            "id: 1\ndata: x\n\nid:2\r\ndata: y\r\n\r\n");
  EXPECT_EQ(splitter.LastId(), "2");
  EXPECT_EQ(splitter.TakeRest(), "id: 3");
}

} // namespace
} // namespace gooseberrysail
