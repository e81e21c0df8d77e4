#include "gooseberrysail/gateway/dispatcher.hpp"
#include "gooseberrysail/gateway/unconfirmed_ends.hpp"
#include "support/plain_gateway_api.hpp"
#include "support/section.hpp"

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;

TargetIncarnation Target(const std::string& name)
{
  return { InstanceId(name), Incarnation(1) };
}

UnconfirmedEnds::End End(std::uint64_t exchange, TimePoint at)
{
  return { ExchangeId(exchange), { exchange, 0 }, at };
}

TEST(UnconfirmedEnds, AreSettledByWhatTheTargetDoesNext)
{
  const TimePoint start{ 1h };
  UnconfirmedEnds ends;
  ends.Add(Target("a"), End(1, start));
  ends.Add(Target("a"), End(2, start + 40ms));
  ends.Add(Target("b"), End(3, start));
  SECTION("bytes that come later show that it went on")
  {
    UnconfirmedEnds confirmed = ends;
    const auto whole = confirmed.TakeWhole(start + 60ms, Target("a"));
    ASSERT_EQ(whole.size(), 1U);
    EXPECT_EQ(whole[0].exchange, ExchangeId(1));
    EXPECT_EQ(confirmed.TakeAll(Target("a")).size(), 1U);
  }
  SECTION("a connection that closes explains those that ended just before")
  {
    UnconfirmedEnds closed = ends;
    const auto cut = closed.TakeClosed(start + 60ms, Target("a"));
    ASSERT_EQ(cut.size(), 1U);
    EXPECT_EQ(cut[0].exchange, ExchangeId(2));
  }
  SECTION("no further connection: any of them may have been cut")
  {
    UnconfirmedEnds refused = ends;
    EXPECT_EQ(refused.TakeAll(Target("a")).size(), 2U);
    EXPECT_EQ(refused.TakeAll(Target("b")).size(), 1U);
  }
  SECTION("nothing")
  {
    UnconfirmedEnds kept = ends;
    kept.RemoveExpired(start + UnconfirmedEnds::kRetention);
    EXPECT_EQ(kept.TakeAll(Target("a")).size(), 1U);
    EXPECT_TRUE(kept.TakeAll(Target("b")).empty());
  }
  SECTION("more than are kept: the oldest go first")
  {
    UnconfirmedEnds many;
    for (std::uint64_t number = 0; number <= UnconfirmedEnds::kMaxPerTarget; ++number) {
      many.Add(Target("a"), End(number, start));
    }
    const auto kept = many.TakeAll(Target("a"));
    EXPECT_EQ(kept.size(), UnconfirmedEnds::kMaxPerTarget);
    EXPECT_EQ(kept.front().exchange, ExchangeId(1));
  }
}

/// \brief An entry with two heads, two streams at the first.
class TwoStreams
{
public:
  TwoStreams()
    : m_dispatcher(tests::PlainApi(), {}, FailureDomainId("a"), [] { return 0; })
  {
    HttpRoute route;
    route.host = "hire.example";
    route.pathPrefix = "/stream/";
    route.repeat = RepeatPolicy::kResumableStream;
    route.timeout = 3s;
    route.objective = 300ms;
    route.maxAttempts = 2;
    route.shares = { { "assist", 1 } };
    ServingDocument document;
    document.version = 1;
    document.routes = { route };
    document.services.resize(1);
    document.services[0].name = "assist";
    document.services[0].engine.emplace();
    m_snapshot.index = std::make_shared<const RouteIndex>(document);
    SetHeads({ "first" });
    Ask(1);
    Ask(2);
    SetHeads({ "first", "second" });
  }

  /// \brief All of the first stream, whose end is that of its connection.
  void EndFirst()
  {
    TargetAnswerIn part;
    part.exchange = m_calls.at(0).exchange;
    part.status = 200;
    part.headers = { { "X-Request-Id", "r1" }, { "Seal", "s" } };
    part.framing = AnswerFraming::kUntilClose;
    part.bytes = "id: 1\ndata: a\n\n";
    part.end = true;
    m_dispatcher.OnAnswer(now, part, m_outbox);
    Collect();
  }

  void CloseSecond()
  {
    TargetFailedIn failed;
    failed.exchange = m_calls.at(1).exchange;
    failed.error = { ErrorCode::kUnavailable, "read answer", "", "closed" };
    m_dispatcher.OnFailed(now, failed, m_outbox);
    Collect();
  }

  void Tick()
  {
    m_dispatcher.Tick(now, m_outbox);
    Collect();
  }

  /// \brief Calls to targets that go on after the first event of the first stream.
  [[nodiscard]] std::size_t CountResumed() const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      m_calls, [](const TargetCallOut& call) { return FindHeader(call.headers, "After") == "1"; }));
  }

  [[nodiscard]] bool HasEnded() const { return m_hasEnded; }

  TimePoint now{ 1h };

private:
  void SetHeads(const std::vector<std::string>& names)
  {
    std::vector<ServedTarget> heads;
    for (const std::string& name : names) {
      heads.push_back({ InstanceId(name), "assist", name, FailureDomainId("a"), 34, false, "m" });
    }
    m_dispatcher.OnTargets(now, heads, m_outbox);
  }

  void Ask(std::uint64_t number)
  {
    HttpRequestIn request;
    request.exchange = ExchangeId(number);
    request.method = "POST";
    request.target = "/stream/x";
    request.headers = { { "Host", "hire.example" },
                        { "X-Request-Id", "r" + std::to_string(number) },
                        { "Model", "m" } };
    request.body = std::to_string(number);
    m_dispatcher.OnRequest(now, std::move(request), m_snapshot, m_outbox);
    Collect();
  }

  void Collect()
  {
    for (const GatewayOutput& output : std::exchange(m_outbox, {})) {
      if (const auto* call = std::get_if<TargetCallOut>(&output)) {
        m_calls.push_back(*call);
      } else if (const auto* answer = std::get_if<HttpAnswerOut>(&output)) {
        m_hasEnded = m_hasEnded || (answer->exchange == ExchangeId(1) && answer->end);
      }
    }
  }

  ServingSnapshot m_snapshot;
  Dispatcher m_dispatcher;
  std::vector<GatewayOutput> m_outbox;
  std::vector<TargetCallOut> m_calls;
  bool m_hasEnded = false;
};

// Guards against a stream that is cut by a crash and ends, though another target could go on with
// it.
TEST(UnconfirmedEnds, AStreamWhoseTargetCrashesAsItEndsIsResumed)
{
  SECTION("another connection closes just after")
  {
    TwoStreams after;
    after.EndFirst();
    EXPECT_FALSE(after.HasEnded());
    after.now += 5ms;
    after.CloseSecond();
    EXPECT_EQ(after.CountResumed(), 1U);
    after.now += 200ms;
    after.Tick();
    EXPECT_FALSE(after.HasEnded());
  }
  SECTION("nothing shows a crash: it ends as it came")
  {
    TwoStreams quiet;
    quiet.EndFirst();
    quiet.now += UnconfirmedEnds::kSettleTime;
    quiet.Tick();
    EXPECT_TRUE(quiet.HasEnded());
    EXPECT_EQ(quiet.CountResumed(), 0U);
  }
}

} // namespace
} // namespace gooseberrysail
