#include "gooseberrysail/gateway/dispatcher.hpp"
#include "support/plain_gateway_api.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <map>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;

constexpr Duration kTick = 20ms;
constexpr Duration kEventInterval = 100ms;
constexpr std::uint64_t kEvents = 30;
constexpr Duration kSilentFrom = 500ms;

/// \brief What a head does with calls that come after the streams have begun.
enum class LateCalls
{
  kServed,
  kRefused,     ///< 503, never ran.
  kUnreachable, ///< The connection is refused.
  kBrokenOff,   ///< Closed before any byte of the answer.
  kFailed,      ///< 500.
  kNotResumed,  ///< 200 with a body that is no stream, from another request.
  kUnanswered,  ///< Nothing, ever.
  kCutInEvent,  ///< 200 and half an event; then the connection ends, as an answer without a length.
  kUntilClose,  ///< The events, in an answer without a length.
};

struct Head
{
  std::string name;
  TimePoint silentUntil{};
  LateCalls lateCalls = LateCalls::kServed;
  Duration startTime = 100ms; ///< From a call to the head of its answer.
};

/// \brief Two heads of one model that send an event of each stream every 100 ms, one dispatcher,
/// and the callers' view of each stream.
class TwoHeads
{
public:
  TwoHeads(RepeatPolicy repeat, std::uint32_t entries)
    : m_dispatcher(tests::PlainApi(), {}, FailureDomainId("a"), [this] { return m_random++; })
  {
    ServingDocument document;
    document.version = 1;
    HttpRoute route;
    route.name = "stream";
    route.host = "hire.example";
    route.pathPrefix = "/";
    route.repeat = repeat;
    route.timeout = 20s;
    route.objective = 300ms;
    route.maxAttempts = 2;
    route.shares = { { "assist", 1 } };
    document.routes = { route };
    document.services.resize(1);
    document.services[0].name = "assist";
    document.services[0].engine.emplace();
    m_snapshot.index = std::make_shared<const RouteIndex>(document);
    m_dispatcher.Selector().SetEntries(entries);
    m_dispatcher.Retries().SetEntries(entries);
    const std::uint32_t slots = 200 * entries;
    m_targets = {
      { InstanceId("h1"), "assist", "h1:80", FailureDomainId("a"), slots, false, "large" },
      { InstanceId("h2"), "assist", "h2:80", FailureDomainId("a"), slots, false, "large" }
    };
    m_dispatcher.Selector().Replace(TimePoint{}, m_targets);
  }

  void Ask()
  {
    HttpRequestIn request;
    request.exchange = ExchangeId(++m_asked);
    request.method = "POST";
    request.target = "/" + std::to_string(m_asked);
    request.headers = { { "Host", "hire.example" },
                        { "X-Request-Id", std::to_string(m_asked) },
                        { "Model", "large" } };
    m_dispatcher.OnRequest(now, std::move(request), m_snapshot, m_outbox);
    TakeOutputs();
  }

  void Run(Duration duration)
  {
    for (const TimePoint until = now + duration; now < until;) {
      now += kTick;
      SendAnswers();
      m_dispatcher.Tick(now, m_outbox);
      TakeOutputs();
    }
  }

  /// \brief Control reports that a new process serves at this head's address.
  void ReportRestart(const std::string& head)
  {
    for (ServedTarget& target : m_targets) {
      target.born = Incarnation(target.instance.Get() == head ? 5 : 0);
    }
    m_dispatcher.OnTargets(now, m_targets, m_outbox);
    TakeOutputs();
  }

  /// \brief Control reports that this head is gone.
  void ReportGone(const std::string& head)
  {
    std::erase_if(m_targets, [&](const auto& target) { return target.instance.Get() == head; });
    m_dispatcher.OnTargets(now, m_targets, m_outbox);
    TakeOutputs();
  }

  /// \brief The head closes its connections.
  void BreakCallsTo(const std::string& head)
  {
    std::vector<ExchangeId> broken;
    for (const auto& [exchange, call] : m_calls) {
      if (call.head == head) {
        broken.push_back(exchange);
      }
    }
    for (const ExchangeId exchange : broken) {
      Fail(exchange, false);
    }
    TakeOutputs();
  }

  struct Stream
  {
    std::string bytes;
    unsigned status = 0;
    bool isEnded = false;
    bool isCut = false;
  };

  [[nodiscard]] std::size_t CountWhole() const
  {
    std::string whole;
    for (std::uint64_t id = 1; id <= kEvents; ++id) {
      whole += Event(id);
    }
    return static_cast<std::size_t>(std::ranges::count_if(m_streams, [&](const auto& row) {
      return row.second.isEnded && row.second.status == 200 && row.second.bytes == whole;
    }));
  }
  [[nodiscard]] std::size_t CountCut() const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(m_streams, [](const auto& row) { return row.second.isCut; }));
  }
  [[nodiscard]] std::size_t CallsTo(const std::string& head) const
  {
    const auto found = m_callsByHead.find(head);
    return found == m_callsByHead.end() ? 0 : found->second;
  }

  TimePoint now{ 1h };
  std::map<std::string, Head> heads{ { "h1", { "h1" } }, { "h2", { "h2" } } };
  bool isLate = false; ///< Calls from now on are late ones.

private:
  struct Call
  {
    std::string head;
    std::string requestId;
    std::uint64_t nextEvent = 1;
    TimePoint nextAt{};
    LateCalls kind = LateCalls::kServed;
    bool hasHead = false;
  };

  static std::string Event(std::uint64_t id)
  {
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
  }

  void TakeOutputs()
  {
    std::vector<GatewayOutput> outputs;
    outputs.swap(m_outbox);
    for (const GatewayOutput& output : outputs) {
      if (const auto* call = std::get_if<TargetCallOut>(&output)) {
        Take(*call);
      } else if (const auto* cancel = std::get_if<TargetCancelOut>(&output)) {
        m_calls.erase(cancel->exchange);
      } else if (const auto* answer = std::get_if<HttpAnswerOut>(&output)) {
        Stream& stream = m_streams[answer->exchange];
        stream.status = answer->status.value_or(stream.status);
        stream.bytes += answer->abort ? "" : answer->bytes;
        stream.isEnded = stream.isEnded || answer->end;
        stream.isCut = stream.isCut || answer->abort;
      }
    }
  }

  void Take(const TargetCallOut& out)
  {
    Call call;
    call.head = FindHeader(out.headers, "Instance");
    call.requestId = FindHeader(out.headers, "X-Request-Id");
    const std::string after(FindHeader(out.headers, "After"));
    call.nextEvent = after.empty() ? 1 : std::stoull(after) + 1;
    call.nextAt = now + heads[call.head].startTime;
    call.kind = isLate ? heads[call.head].lateCalls : LateCalls::kServed;
    ++m_callsByHead[call.head];
    m_calls.emplace(out.exchange, call);
  }

  void SendAnswers()
  {
    std::vector<ExchangeId> due;
    for (const auto& [exchange, call] : m_calls) {
      const bool isSilent =
        now < heads[call.head].silentUntil || call.kind == LateCalls::kUnanswered;
      if (!isSilent && now >= call.nextAt) {
        due.push_back(exchange);
      }
    }
    for (const ExchangeId exchange : due) {
      if (const auto found = m_calls.find(exchange); found != m_calls.end()) {
        SendNext(exchange, found->second);
        TakeOutputs();
      }
    }
  }

  void Fail(ExchangeId exchange, bool neverSent)
  {
    TargetFailedIn failed;
    failed.exchange = exchange;
    failed.error = { ErrorCode::kUnavailable, "read answer", "", "closed" };
    failed.neverSent = neverSent;
    m_calls.erase(exchange);
    m_dispatcher.OnFailed(now, failed, m_outbox);
  }

  void SendNext(ExchangeId exchange, Call& call)
  {
    TargetAnswerIn part;
    part.exchange = exchange;
    if (call.kind == LateCalls::kUnreachable || call.kind == LateCalls::kBrokenOff) {
      Fail(exchange, call.kind == LateCalls::kUnreachable);
      return;
    }
    if (!std::exchange(call.hasHead, true)) {
      part.status = 200;
      part.headers = { { "X-Request-Id", call.requestId }, { "Seal", "s" } };
    }
    if (call.kind == LateCalls::kRefused || call.kind == LateCalls::kFailed) {
      part.status = call.kind == LateCalls::kRefused ? 503 : 500;
      if (call.kind == LateCalls::kRefused) {
        part.headers.push_back({ "Never-Ran", "1" });
      }
      part.end = true;
    } else if (call.kind == LateCalls::kNotResumed) {
      part.headers = { { "X-Request-Id", "another" }, { "Seal", "s" } };
      part.end = true;
    } else if (call.kind == LateCalls::kCutInEvent) {
      part.framing = AnswerFraming::kUntilClose;
      part.bytes = "id: " + std::to_string(call.nextEvent) + "\nda";
      part.end = true;
    } else {
      part.framing = call.kind == LateCalls::kUntilClose ? AnswerFraming::kUntilClose
                                                         : AnswerFraming::kDelimited;
      part.bytes = Event(call.nextEvent);
      part.end = call.nextEvent == kEvents;
      ++call.nextEvent;
      call.nextAt = now + kEventInterval;
    }
    if (part.end) {
      m_calls.erase(exchange);
    }
    m_dispatcher.OnAnswer(now, part, m_outbox);
  }

  std::uint64_t m_random = 0;
  std::uint64_t m_asked = 0;
  ServingSnapshot m_snapshot;
  std::vector<ServedTarget> m_targets;
  Dispatcher m_dispatcher;
  std::vector<GatewayOutput> m_outbox;
  std::map<ExchangeId, Call> m_calls;
  std::map<ExchangeId, Stream> m_streams;
  std::map<std::string, std::size_t> m_callsByHead;
};

constexpr std::size_t kStreams = 20;

/// \brief 20 streams have begun, half of them at each head; then h1 falls silent.
TwoHeads BeginStreams(RepeatPolicy repeat, std::uint32_t entries, Duration silence)
{
  TwoHeads world(repeat, entries);
  for (std::size_t stream = 0; stream < kStreams; ++stream) {
    world.Ask();
  }
  world.Run(kSilentFrom);
  EXPECT_EQ(world.CallsTo("h1"), kStreams / 2);
  world.isLate = true;
  world.heads["h1"].silentUntil = world.now + silence;
  return world;
}

// Guards against streams that are cut at a head that was silent for a second and went on.
TEST(SilentHead, StreamsThatItGoesOnWithAreNotCut)
{
  struct Case
  {
    std::string name;
    LateCalls lateCalls;
    Duration startTime;
  };
  const std::vector<Case> cases{
    { "the other head serves", LateCalls::kServed, 100ms },
    { "the other head begins at the time at which it goes on", LateCalls::kServed, 400ms },
    { "the other head is full", LateCalls::kRefused, 20ms },
    { "the other head accepts no connection", LateCalls::kUnreachable, 20ms },
    { "the other head closes", LateCalls::kBrokenOff, 100ms },
    { "the other head fails", LateCalls::kFailed, 100ms },
    { "the other head answers another request", LateCalls::kNotResumed, 100ms },
    { "the other head does not answer", LateCalls::kUnanswered, 100ms },
    { "the other head ends inside its first event", LateCalls::kCutInEvent, 100ms },
    { "the other head answers without a length", LateCalls::kUntilClose, 100ms },
  };
  for (const Case& testCase : cases) {
    for (const std::uint32_t entries : { 1U, 5U, 10U, 20U, 50U }) {
      for (const Duration silence : { 500ms, 700ms, 1000ms, 1500ms }) {
        SECTION(testCase.name + ", " + std::to_string(entries) + " entries, " +
                std::to_string(ToMillis(silence)) + " ms")
        {
          TwoHeads world = BeginStreams(RepeatPolicy::kResumableStream, entries, silence);
          world.heads["h2"].lateCalls = testCase.lateCalls;
          world.heads["h2"].startTime = testCase.startTime;
          world.Run(10s);
          EXPECT_EQ(world.CountCut(), 0U);
          EXPECT_EQ(world.CountWhole(), kStreams);
        }
      }
    }
  }
}

// Guards against streams that may not be repeated and are ended because their head is silent.
TEST(SilentHead, StreamsThatMayNotBeRepeatedStay)
{
  for (const Duration silence : { 700ms, 1500ms, 3000ms }) {
    SECTION(std::to_string(ToMillis(silence)) + " ms")
    {
      TwoHeads world = BeginStreams(RepeatPolicy::kEventStream, 1, silence);
      world.Run(10s);
      EXPECT_EQ(world.CountCut(), 0U);
      EXPECT_EQ(world.CountWhole(), kStreams);
      EXPECT_EQ(world.CallsTo("h2"), kStreams / 2);
    }
  }
}

// Guards against work that is ended at a target because control reports a new process there.
TEST(SilentHead, StreamsStayAtATargetThatIsReportedRestartedUntilAnotherServesThem)
{
  for (const RepeatPolicy repeat : { RepeatPolicy::kEventStream, RepeatPolicy::kResumableStream }) {
    for (const LateCalls lateCalls : { LateCalls::kServed, LateCalls::kRefused }) {
      SECTION("policy " + std::to_string(static_cast<int>(repeat)) + ", calls " +
              std::to_string(static_cast<int>(lateCalls)))
      {
        TwoHeads world = BeginStreams(repeat, 1, 0ms);
        world.heads["h2"].lateCalls = lateCalls;
        world.ReportRestart("h1");
        world.Run(10s);
        EXPECT_EQ(world.CountCut(), 0U);
        EXPECT_EQ(world.CountWhole(), kStreams);
      }
    }
  }
}

// Guards against a second token of the retry allowance for one retry.
TEST(SilentHead, EachMoveUsesOneRetry)
{
  constexpr std::uint32_t kEntries = 10;
  TwoHeads world = BeginStreams(RepeatPolicy::kResumableStream, kEntries, 10s);
  world.Run(2s);
  // 0.7 of the entry's allowance: a fifth of 20 requests, and a tenth of the slack of 100.
  EXPECT_EQ(world.CallsTo("h2"), kStreams / 2 + 9);
}

// Guards against streams that wait for a head that never goes on.
TEST(SilentHead, StreamsOfAHeadThatStaysSilentAreResumedElsewhere)
{
  TwoHeads world = BeginStreams(RepeatPolicy::kResumableStream, 1, 1h);
  world.Run(1s);
  EXPECT_EQ(world.CallsTo("h2"), kStreams);
  world.Run(9s);
  EXPECT_EQ(world.CountWhole(), kStreams);
}

// Guards against a stream that ends with its first attempt while the second one goes on.
TEST(SilentHead, TheSecondAttemptServesWhenTheFirstOneFails)
{
  TwoHeads world = BeginStreams(RepeatPolicy::kResumableStream, 1, 700ms);
  world.heads["h2"].startTime = 400ms;
  world.heads["h1"].lateCalls = LateCalls::kRefused;
  world.Run(650ms);
  EXPECT_EQ(world.CallsTo("h2"), kStreams);
  world.BreakCallsTo("h1");
  world.Run(9s);
  EXPECT_EQ(world.CountCut(), 0U);
  EXPECT_EQ(world.CountWhole(), kStreams);
  EXPECT_EQ(world.CallsTo("h2"), kStreams);
}

// Guards against a second attempt that is ended for the last bytes of a process that has ended.
TEST(SilentHead, StreamsOfARestartedHeadAreResumedAfterItsLastBytes)
{
  TwoHeads world = BeginStreams(RepeatPolicy::kResumableStream, 1, 0ms);
  world.heads["h2"].startTime = 400ms;
  world.ReportRestart("h1");
  world.Run(kEventInterval);
  world.BreakCallsTo("h1");
  world.Run(9s);
  EXPECT_EQ(world.CountCut(), 0U);
  EXPECT_EQ(world.CountWhole(), kStreams);
}

// Guards against a second attempt that is ended for one event of a head that then stays silent.
TEST(SilentHead, StreamsOfAHeadThatSendsOneMoreEventAreResumedElsewhere)
{
  TwoHeads world = BeginStreams(RepeatPolicy::kResumableStream, 1, 700ms);
  world.heads["h2"].startTime = 400ms;
  world.Run(740ms);
  world.heads["h1"].silentUntil = world.now + 1h;
  world.Run(9s);
  EXPECT_EQ(world.CountWhole(), kStreams);
}

// Guards against a second attempt that is ended for an answer of the first that can't be forwarded.
TEST(SilentHead, TheSecondAttemptServesWhenTheFirstOneAnswersAnotherRequest)
{
  TwoHeads world(RepeatPolicy::kResumableStream, 1);
  world.isLate = true;
  world.heads["h1"].lateCalls = LateCalls::kNotResumed;
  world.heads["h1"].silentUntil = world.now + 700ms;
  for (std::size_t stream = 0; stream < kStreams; ++stream) {
    world.Ask();
  }
  world.Run(650ms);
  world.heads["h2"].startTime = 400ms;
  world.Run(9s);
  EXPECT_EQ(world.CountWhole(), kStreams);
}

// Guards against streams that are left at an ended process as no other head had room when control
// reported its restart.
TEST(SilentHead, StreamsOfARestartedHeadAreResumedOnceAnotherHeadHasRoom)
{
  for (const bool isReported : { false, true }) {
    SECTION(isReported ? "control reports a restart" : "control reports nothing")
    {
      TwoHeads world = BeginStreams(RepeatPolicy::kResumableStream, 1, 1h);
      world.heads["h2"].silentUntil = world.now + 400ms; // Gets no requests after 300 ms.
      world.Run(380ms);
      if (isReported) {
        world.ReportRestart("h1");
      }
      world.Run(9s);
      EXPECT_EQ(world.CountWhole(), kStreams);
    }
  }
}

// Guards against streams that are left at a silent head because control removed it from the list.
TEST(SilentHead, StreamsOfASilentHeadThatIsReportedGoneAreResumedElsewhere)
{
  TwoHeads world = BeginStreams(RepeatPolicy::kResumableStream, 1, 1h);
  world.Run(400ms);
  world.ReportGone("h1");
  world.Run(9s);
  EXPECT_EQ(world.CountWhole(), kStreams);
}

} // namespace
} // namespace gooseberrysail
