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
constexpr std::size_t kRequests = 400;
/// Long enough for a head to be taken for stalled.
constexpr Duration kSilence = 2s;

/// \brief What a target answers.
enum class AnswerKind
{
  kSuccess,
  kFailure,
  kRefusal,
  kRefusalWithBackoff,
  kMisdirected,
};

constexpr std::array kAnswerKinds{ AnswerKind::kSuccess,
                                   AnswerKind::kFailure,
                                   AnswerKind::kRefusal,
                                   AnswerKind::kRefusalWithBackoff,
                                   AnswerKind::kMisdirected };

const char* ToText(AnswerKind kind)
{
  constexpr std::array kNames{ "success", "failure", "refusal", "refusal with backoff", "421" };
  return kNames.at(static_cast<std::size_t>(kind));
}

bool Runs(AnswerKind kind)
{
  return kind == AnswerKind::kSuccess || kind == AnswerKind::kFailure;
}

/// \param id The request's id; "" for an answer that names none.
TargetAnswerIn MakeAnswer(AnswerKind kind, const std::string& id)
{
  TargetAnswerIn answer;
  answer.end = true;
  if (!id.empty()) {
    answer.headers.push_back({ "X-Request-Id", id });
  }
  switch (kind) {
    case AnswerKind::kSuccess:
      answer.status = 200;
      answer.headers.push_back({ "Seal", "s" });
      answer.bytes = "data: " + id + "\n\n";
      return answer;
    case AnswerKind::kFailure:
      answer.status = 500;
      return answer;
    case AnswerKind::kRefusalWithBackoff:
      answer.headers.push_back({ "Backoff", "50" });
      [[fallthrough]];
    case AnswerKind::kRefusal:
      answer.status = 503;
      answer.headers.push_back({ "Never-Ran", "1" });
      return answer;
    case AnswerKind::kMisdirected:
      break;
  }
  answer.status = 421;
  answer.headers.push_back({ "Never-Ran", "1" });
  return answer;
}

HttpRoute MakeRoute(RepeatPolicy repeat)
{
  HttpRoute route;
  route.name = "route";
  route.host = "hire.example";
  route.pathPrefix = "/";
  route.repeat = repeat;
  route.timeout = 10s;
  route.objective = 300ms;
  route.maxAttempts = 3;
  route.shares = { { "assist", 1 } };
  return route;
}

/// \brief Which answers have a second copy that comes late, as the answer to the next request on
/// their connection.
struct Lateness
{
  AnswerKind kind = AnswerKind::kSuccess;
  bool bearsId = true;
};

/// \brief One dispatcher before four targets that keep their connections and run what reaches them.
class LateTargets
{
public:
  LateTargets(RepeatPolicy repeat, Lateness lateness, std::uint64_t seed)
    : m_random(seed)
    , m_lateness(lateness)
    , m_dispatcher(tests::PlainApi(), { .ratio = 1, .slack = 1000 }, FailureDomainId("a"), [this] {
      return m_random();
    })
  {
    ServingDocument document;
    document.version = 1;
    document.routes = { MakeRoute(repeat) };
    document.services.resize(1);
    document.services[0].name = "assist";
    if (IsStream(repeat)) {
      document.services[0].engine.emplace();
    }
    document.workspaces = { { "parish", { "secret" }, std::nullopt } };
    m_snapshot.index = std::make_shared<const RouteIndex>(document);
    std::vector<ServedTarget> targets;
    for (const char* name : { "t1", "t2", "t3", "t4" }) {
      targets.push_back({ InstanceId(name),
                          "assist",
                          name,
                          FailureDomainId("a"),
                          8,
                          false,
                          IsStream(repeat) ? "large" : "" });
    }
    m_dispatcher.Selector().Replace(TimePoint{}, targets);
  }

  void Play()
  {
    for (std::size_t asked = 0; asked < kRequests; ++asked) {
      Ask("r" + std::to_string(asked));
      Advance(kTick);
    }
    for (Duration rest{}; rest < 12s; rest += kTick) {
      Advance(kTick);
    }
  }

  /// \brief What became of a request.
  struct Fate
  {
    int runs = 0;
    unsigned status = 0;
    std::string body;
  };

  std::map<std::string, Fate> fates;
  int lateAnswers = 0; ///< That a target sent in place of an answer to the request.
  int hedges = 0;

private:
  /// \brief A connection to a target; an answer to an earlier request may be on its way.
  struct Connection
  {
    std::string target;
    std::optional<TargetAnswerIn> late;
  };

  struct Call
  {
    TimePoint answeredAt{};
    std::string id;
    AnswerKind kind = AnswerKind::kSuccess;
    Connection connection;
  };

  bool Draw(double probability)
  {
    return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
  }

  void Ask(const std::string& id)
  {
    HttpRequestIn request;
    request.receivedAt = m_now;
    request.exchange = ExchangeId(++m_asked);
    request.method = "POST";
    request.target = "/x";
    request.headers = {
      { "Host", "hire.example" }, { "X-Request-Id", id }, { "Key", "secret" }, { "Model", "large" }
    };
    m_callers.emplace(request.exchange, id);
    m_dispatcher.OnRequest(m_now, std::move(request), m_snapshot, m_outbox);
    HandleOutputs();
  }

  void Advance(Duration duration)
  {
    m_now += duration;
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
      } else if (const auto* answer = std::get_if<HttpAnswerOut>(&output)) {
        Fate& fate = fates[m_callers.at(answer->exchange)];
        fate.status = answer->status.value_or(fate.status);
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
    call.kind =
      Draw(0.4) ? kAnswerKinds.at(m_random() % kAnswerKinds.size()) : AnswerKind::kSuccess;
    call.connection = { sent.address, std::nullopt };
    const auto kept = std::ranges::find(m_kept, sent.address, &Connection::target);
    if (kept != m_kept.end()) {
      call.connection = std::move(*kept);
      m_kept.erase(kept);
    }
    const bool isSilent = !call.connection.late && Draw(0.1);
    call.answeredAt = m_now + (isSilent ? kSilence : 1ms * (5 + m_random() % 40));
    fates[call.id].runs += Runs(call.kind) ? 1 : 0;
    m_calls.emplace(sent.exchange, std::move(call));
  }

  void Answer(ExchangeId exchange)
  {
    const auto found = m_calls.find(exchange);
    if (found == m_calls.end()) {
      return; // Cancelled by the answer to another call.
    }
    Call call = std::move(found->second);
    m_calls.erase(found);
    const bool isLate = call.connection.late.has_value();
    TargetAnswerIn answer =
      isLate ? *std::exchange(call.connection.late, std::nullopt) : MakeAnswer(call.kind, call.id);
    lateAnswers += isLate ? 1 : 0;
    if (!isLate) {
      if (call.kind == m_lateness.kind && Draw(0.5)) {
        call.connection.late = MakeAnswer(call.kind, m_lateness.bearsId ? call.id : "");
      }
      m_kept.push_back(std::move(call.connection));
    }
    answer.exchange = exchange;
    m_dispatcher.OnAnswer(m_now, answer, m_outbox);
    HandleOutputs();
  }

  std::mt19937_64 m_random;
  Lateness m_lateness;
  TimePoint m_now{ 1h };
  ServingSnapshot m_snapshot;
  Dispatcher m_dispatcher;
  std::vector<GatewayOutput> m_outbox;
  std::map<ExchangeId, std::string> m_callers;
  std::map<ExchangeId, Call> m_calls;
  std::vector<Connection> m_kept;
  std::uint64_t m_asked = 0;
};

void ExpectTruth(const LateTargets& targets, RepeatPolicy repeat)
{
  for (const auto& [id, fate] : targets.fates) {
    SECTION(id + ": " + std::to_string(fate.runs) + " runs, status " + std::to_string(fate.status))
    {
      if (!MayRunAgain(repeat)) {
        EXPECT_LE(fate.runs, 1);
        EXPECT_FALSE(fate.status == 503 && fate.runs > 0) << "refused as not run";
      }
      if (fate.status == 200) {
        EXPECT_EQ(fate.body, "data: " + id + "\n\n");
      }
      EXPECT_NE(fate.status, 421U);
    }
  }
}

// Guards against a late copy of an answer that is believed to be about the next request on its
// connection: a request that may run once then runs twice, or is refused though it ran.
TEST(LateAnswer, SaysNothingOfTheNextRequest)
{
  constexpr std::array kPolicies{ std::pair{ RepeatPolicy::kIdempotent, "idempotent" },
                                  std::pair{ RepeatPolicy::kAtMostOnce, "at most once" },
                                  std::pair{ RepeatPolicy::kEventStream, "stream" },
                                  std::pair{ RepeatPolicy::kResumableStream, "resumable stream" } };
  for (const auto& [repeat, name] : kPolicies) {
    for (const AnswerKind kind : kAnswerKinds) {
      for (const bool bearsId : { true, false }) {
        int lateAnswers = 0;
        int hedges = 0;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
          SECTION(std::string(name) + ", late " + ToText(kind) + (bearsId ? "" : " without id") +
                  ", seed " + std::to_string(seed))
          {
            LateTargets targets(repeat, { kind, bearsId }, seed);
            targets.Play();
            ExpectTruth(targets, repeat);
            lateAnswers += targets.lateAnswers;
            hedges += targets.hedges;
          }
        }
        EXPECT_GT(lateAnswers, 0);
        EXPECT_EQ(hedges > 0, repeat == RepeatPolicy::kResumableStream);
      }
    }
  }
}

} // namespace
} // namespace gooseberrysail
