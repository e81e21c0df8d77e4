#include "gooseberrysail/core/http_status.hpp"
#include "gooseberrysail/gateway/dispatcher.hpp"
#include "gooseberrysail/observe/event.hpp"
#include "support/plain_gateway_api.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;

constexpr Duration kTick = 10ms;
constexpr std::size_t kRequests = 300;
/// Long enough for a head to be taken for stalled.
constexpr Duration kSilence = 2s;

constexpr std::array kStatuses{ 200U, 201U, 204U, 206U, 301U, 304U, 400U, 401U, 403U, 404U, 408U,
                                409U, 413U, 421U, 425U, 429U, 431U, 500U, 501U, 502U, 503U, 504U };

/// \brief What a target does with a request.
struct Conduct
{
  bool runs = true;
  unsigned status = 200; ///< 0: it closes the connection instead of answering.
  bool statesNotRun = false;
  bool hasSeal = true;
  bool hasId = true;
  bool isWhole = true;       ///< Else it closes the connection within the answer.
  bool isUntilClose = false; ///< The answer ends with its connection.
  std::string retryAfter;    ///< Milliseconds; "" for none.
};

/// \brief One dispatcher before targets that run requests and answer them with any status.
class AnyTargets
{
public:
  AnyTargets(RepeatPolicy repeat, std::uint32_t maxAttempts, std::uint64_t seed)
    : m_random(seed)
    , m_dispatcher(tests::PlainApi(), { .ratio = 1, .slack = 1000 }, FailureDomainId("a"), [this] {
      return m_random();
    })
  {
    HttpRoute route;
    route.name = "route";
    route.host = "hire.example";
    route.pathPrefix = "/";
    route.repeat = repeat;
    route.timeout = 10s;
    route.objective = 300ms;
    route.maxAttempts = maxAttempts;
    route.shares = { { "assist", 1 } };
    ServingDocument document;
    document.version = 1;
    document.routes = { route };
    document.services.resize(1);
    document.services[0].name = "assist";
    if (IsStream(repeat)) {
      document.services[0].engine.emplace();
    }
    m_snapshot.index = std::make_shared<const RouteIndex>(document);
    for (const char* name : { "t1", "t2", "t3", "t4" }) {
      m_targets.push_back({ InstanceId(name),
                            "assist",
                            name,
                            FailureDomainId("a"),
                            8,
                            false,
                            IsStream(repeat) ? "large" : "" });
    }
    m_dispatcher.Selector().Replace(TimePoint{}, m_targets);
  }

  void Play()
  {
    for (std::size_t asked = 0; asked < kRequests; ++asked) {
      Ask("r" + std::to_string(asked));
      Advance();
      if (Draw(0.02)) {
        Restart();
      }
    }
    for (Duration rest{}; rest < 12s; rest += kTick) {
      Advance();
    }
  }

  /// \brief What became of a request.
  struct Fate
  {
    int runs = 0;
    unsigned status = 0;
    bool hasSeal = false;
    std::string body;
    std::vector<Conduct> conducts;
  };

  std::map<std::string, Fate> fates;
  int hedges = 0;

private:
  struct Call
  {
    TimePoint answeredAt{};
    std::string id;
    Conduct conduct;
  };

  bool Draw(double probability)
  {
    return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
  }

  /// A statement with a failure is true. Only a success with one contradicts itself: it may have
  /// run.
  Conduct DrawConduct()
  {
    Conduct conduct;
    if (Draw(0.5)) {
      return conduct;
    }
    conduct.status = Draw(0.1) ? 0 : kStatuses.at(m_random() % kStatuses.size());
    conduct.statesNotRun = conduct.status != 0 && Draw(0.3);
    const bool isTrue = conduct.statesNotRun && conduct.status >= 400;
    conduct.runs = !isTrue && (conduct.status != 0 || Draw(0.5));
    conduct.hasSeal = Draw(0.8);
    conduct.hasId = Draw(0.95);
    conduct.isWhole = Draw(0.9);
    conduct.isUntilClose = Draw(0.2);
    conduct.retryAfter = Draw(0.3) ? "50" : "";
    return conduct;
  }

  void Ask(const std::string& id)
  {
    HttpRequestIn request;
    request.receivedAt = m_now;
    request.exchange = ExchangeId(++m_asked);
    request.method = "POST";
    request.target = "/x";
    request.headers = { { "Host", "hire.example" }, { "X-Request-Id", id }, { "Model", "large" } };
    if (Draw(0.1)) {
      request.headers.push_back({ "Left", "60" });
    }
    m_callers.emplace(request.exchange, id);
    m_dispatcher.OnRequest(m_now, std::move(request), m_snapshot, m_outbox);
    HandleOutputs();
  }

  /// \brief Control reports a new process at a target.
  void Restart()
  {
    ServedTarget& target = m_targets.at(m_random() % m_targets.size());
    target.born = Incarnation(target.born.Get() + 1);
    m_dispatcher.OnTargets(m_now, m_targets, m_outbox);
    HandleOutputs();
  }

  void Advance()
  {
    m_now += kTick;
    m_dispatcher.Tick(m_now, m_outbox);
    HandleOutputs();
    std::vector<ExchangeId> due;
    for (const auto& [exchange, call] : m_calls) {
      if (call.answeredAt <= m_now) {
        due.push_back(exchange);
      }
    }
    for (const ExchangeId exchange : due) {
      Answer(exchange);
    }
  }

  void HandleOutputs()
  {
    for (const GatewayOutput& output : std::exchange(m_outbox, {})) {
      if (const auto* call = std::get_if<TargetCallOut>(&output)) {
        Receive(*call);
      } else if (const auto* cancel = std::get_if<TargetCancelOut>(&output)) {
        m_calls.erase(cancel->exchange);
      } else if (const auto* withdraw = std::get_if<TargetWithdrawOut>(&output)) {
        // It has been sent already.
        EXPECT_FALSE(withdraw->exchange.IsNone());
      } else if (const auto* answer = std::get_if<HttpAnswerOut>(&output)) {
        Fate& fate = fates[m_callers.at(answer->exchange)];
        fate.status = answer->status.value_or(fate.status);
        fate.hasSeal = fate.hasSeal || !FindHeader(answer->headers, "Seal").empty();
        fate.body += answer->bytes;
      } else if (const auto* event = std::get_if<EventOut>(&output)) {
        hedges +=
          event->number == static_cast<std::uint32_t>(EventNumber::kGatewayRequestHedged) ? 1 : 0;
      }
    }
  }

  void Receive(const TargetCallOut& sent)
  {
    Call call;
    call.id = FindHeader(sent.headers, "X-Request-Id");
    call.conduct = DrawConduct();
    call.answeredAt = m_now + (Draw(0.05) ? kSilence : 1ms * (5 + m_random() % 40));
    Fate& fate = fates[call.id];
    fate.runs += call.conduct.runs ? 1 : 0;
    fate.conducts.push_back(call.conduct);
    m_calls.emplace(sent.exchange, std::move(call));
  }

  void Answer(ExchangeId exchange)
  {
    const auto found = m_calls.find(exchange);
    if (found == m_calls.end()) {
      return; // Cancelled by the answer to another call.
    }
    const Call call = std::move(found->second);
    m_calls.erase(found);
    if (call.conduct.status != 0) {
      m_dispatcher.OnAnswer(m_now, MakeAnswer(exchange, call), m_outbox);
    }
    if (call.conduct.status == 0 || !call.conduct.isWhole) {
      TargetFailedIn failed;
      failed.exchange = exchange;
      failed.error = Error{ ErrorCode::kUnavailable, "read answer", "target", "closed" };
      m_dispatcher.OnFailed(m_now, failed, m_outbox);
    }
    HandleOutputs();
  }

  static TargetAnswerIn MakeAnswer(ExchangeId exchange, const Call& call)
  {
    const Conduct& conduct = call.conduct;
    TargetAnswerIn answer;
    answer.exchange = exchange;
    answer.status = conduct.status;
    answer.framing = conduct.isUntilClose ? AnswerFraming::kUntilClose : AnswerFraming::kDelimited;
    answer.bytes = "data: " + call.id + "\n\n";
    answer.end = conduct.isWhole;
    const auto add = [&](bool isBorne, const char* name, const std::string& value) {
      if (isBorne) {
        answer.headers.push_back({ name, value });
      }
    };
    add(conduct.hasId, "X-Request-Id", call.id);
    add(conduct.hasSeal, "Seal", "s");
    add(conduct.statesNotRun, "Never-Ran", "1");
    add(!conduct.retryAfter.empty(), "Backoff", conduct.retryAfter);
    return answer;
  }

  std::mt19937_64 m_random;
  TimePoint m_now{ 1h };
  ServingSnapshot m_snapshot;
  Dispatcher m_dispatcher;
  std::vector<ServedTarget> m_targets;
  std::vector<GatewayOutput> m_outbox;
  std::map<ExchangeId, std::string> m_callers;
  std::map<ExchangeId, Call> m_calls;
  std::uint64_t m_asked = 0;
};

std::string Describe(const std::string& id, const AnyTargets::Fate& fate)
{
  std::string text = id + ": status " + std::to_string(fate.status) + ", targets:";
  for (const Conduct& conduct : fate.conducts) {
    text += (conduct.runs ? " ran and answered " : " answered ") + std::to_string(conduct.status) +
            (conduct.statesNotRun ? " stating that it did not run;" : ";");
  }
  return text;
}

void ExpectPromisesKept(const AnyTargets& targets, RepeatPolicy repeat)
{
  for (const auto& [id, fate] : targets.fates) {
    SECTION(Describe(id, fate))
    {
      EXPECT_FALSE(PromisesNotRun(fate.status) && fate.runs > 0)
        << "refused with a promise, and ran";
      if (!MayRunAgain(repeat)) {
        EXPECT_LE(fate.runs, 1);
      }
      const bool isOfATarget = std::ranges::any_of(fate.conducts, [&](const Conduct& conduct) {
        return conduct.status == fate.status && conduct.hasSeal;
      });
      EXPECT_TRUE(!fate.hasSeal || isOfATarget) << "a seal beside a status that no target gave";
    }
  }
}

// Guards against an answer whose status promises that a request has not run though a target ran it.
TEST(PromisedRefusal, IsNeverThatOfARequestThatRan)
{
  constexpr std::array kPolicies{ std::pair{ RepeatPolicy::kIdempotent, "idempotent" },
                                  std::pair{ RepeatPolicy::kAtMostOnce, "at most once" },
                                  std::pair{ RepeatPolicy::kEventStream, "stream" },
                                  std::pair{ RepeatPolicy::kResumableStream, "resumable stream" } };
  for (const auto& [repeat, name] : kPolicies) {
    int hedges = 0;
    for (const std::uint32_t maxAttempts : { 1U, 3U }) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SECTION(std::string(name) + ", " + std::to_string(maxAttempts) + " attempts, seed " +
                std::to_string(seed))
        {
          AnyTargets targets(repeat, maxAttempts, seed);
          targets.Play();
          ExpectPromisesKept(targets, repeat);
          hedges += targets.hedges;
        }
      }
    }
    EXPECT_EQ(hedges > 0,
              repeat == RepeatPolicy::kResumableStream || repeat == RepeatPolicy::kIdempotent);
  }
}

} // namespace
} // namespace gooseberrysail
