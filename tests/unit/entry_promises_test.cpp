#include "gooseberrysail/core/http_status.hpp"
#include "gooseberrysail/gateway/dispatcher.hpp"
#include "gooseberrysail/observe/event.hpp"
#include "platform/gateway_adapter.hpp"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
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
constexpr Duration kSilence = 2s;

constexpr std::array kStatuses{ 200U, 204U, 304U, 400U, 404U, 408U, 409U,
                                421U, 429U, 500U, 502U, 503U, 504U };
constexpr std::array kStatements{ "1", "true", "yes" };

/// \brief Which conduct targets may show.
struct Options
{
  /// The value of X-Not-Executed beside answers of requests that ran; "" for none.
  std::string denial = {};
  bool misdirects = false; ///< A target that ran a request answers 421 without the header.
  bool hasTrouble = true;  ///< Connections take time, fail and are withdrawn; lists change.
};

struct Conduct
{
  bool runs = true;
  unsigned status = 200; ///< 0: it closes the connection instead of answering.
  std::optional<std::string> statement;
  bool hasSeal = true;
  bool hasId = true;
  bool isWhole = true;
  bool isUntilClose = false;
  std::string retryAfter;
};

/// \brief One dispatcher with the platform's hooks.
class RealTargets
{
public:
  RealTargets(RepeatPolicy repeat, std::uint32_t maxAttempts, std::uint64_t seed, Options options)
    : m_options(options)
    , m_repeat(repeat)
    , m_random(seed)
    , m_dispatcher(platform::MakeGatewayApi(),
                   { .ratio = 1, .slack = 1000 },
                   FailureDomainId("a"),
                   [this] { return m_random(); })
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
    for (const char* name : { "t1", "t2", "t3", "t4", "t5", "t6" }) {
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
      if (m_options.hasTrouble && Draw(0.02)) {
        Restart();
      }
      if (m_options.hasTrouble && Draw(0.02)) {
        ChangeList();
      }
    }
    for (Duration rest{}; rest < 12s; rest += kTick) {
      Advance();
    }
  }

  struct Fate
  {
    int runs = 0;
    int finals = 0;
    bool isGone = false;
    unsigned status = 0;
    bool statesNotRun = false; ///< The caller's answer bears the header.
    std::string ways;
    std::vector<Conduct> conducts;
  };

  std::map<std::string, Fate> fates;
  std::map<std::string, int> counts;

private:
  struct Call
  {
    std::string id;
    TimePoint sentAt{};
    bool isSent = false;
    bool dialFails = false;
    TimePoint answeredAt{};
    Conduct conduct;
  };

  bool Draw(double probability)
  {
    return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
  }

  Conduct DrawConduct()
  {
    Conduct conduct;
    conduct.isUntilClose = Draw(0.2);
    if (Draw(0.5)) {
      return conduct;
    }
    conduct.status = Draw(0.15) ? 0 : kStatuses.at(m_random() % kStatuses.size());
    if (conduct.status != 0 && Draw(0.3)) {
      conduct.statement = kStatements.at(m_random() % kStatements.size());
    }
    const bool isTrue = conduct.statement && conduct.status >= 400;
    conduct.runs = !isTrue && (conduct.status != 0 || Draw(0.5));
    if (conduct.status == 421 && !conduct.statement && !m_options.misdirects) {
      conduct.runs = false;
    }
    if (!m_options.denial.empty() && conduct.runs && conduct.status != 0 && Draw(0.5)) {
      conduct.statement = m_options.denial;
    }
    conduct.hasSeal = Draw(0.8);
    conduct.hasId = Draw(0.95);
    conduct.isWhole = Draw(0.9);
    conduct.retryAfter = Draw(0.3) ? (Draw(0.5) ? "0.05" : "0.4") : "";
    return conduct;
  }

  void Ask(const std::string& id)
  {
    HttpRequestIn request;
    request.receivedAt = m_now;
    request.exchange = ExchangeId(++m_asked);
    request.method = "POST";
    request.target = "/x";
    request.body = "b" + std::to_string(m_random() % 100);
    request.headers = { { "Host", "hire.example" },
                        { "X-Request-Id", id },
                        { "X-Model", "large" },
                        { "X-Prompt-Prefix",
                          "p" + std::to_string(m_random() % 8) + ":50," + id + ":50" } };
    if (Draw(0.15)) {
      request.headers.push_back({ "X-Request-Deadline", Draw(0.5) ? "60" : "400" });
    }
    const ExchangeId exchange = request.exchange;
    m_callers.emplace(exchange, id);
    fates[id];
    m_dispatcher.OnRequest(m_now, std::move(request), m_snapshot, m_outbox);
    HandleOutputs();
    if (m_options.hasTrouble && Draw(0.02) && fates[id].finals == 0) {
      fates[id].isGone = true;
      m_dispatcher.OnCallerGone(m_now, exchange, m_outbox);
      HandleOutputs();
    }
  }

  void Restart()
  {
    ServedTarget& target = m_targets.at(m_random() % m_targets.size());
    target.born = Incarnation(target.born.Get() + 1);
    m_dispatcher.OnTargets(m_now, m_targets, m_outbox);
    HandleOutputs();
  }

  void ChangeList()
  {
    std::vector<ServedTarget> some;
    for (const ServedTarget& target : m_targets) {
      if (Draw(0.7)) {
        some.push_back(target);
      }
    }
    m_dispatcher.OnTargets(m_now, some, m_outbox);
    HandleOutputs();
  }

  void Advance()
  {
    m_now += kTick;
    std::vector<ExchangeId> due;
    for (auto& [exchange, call] : m_calls) {
      if (!call.isSent && call.sentAt <= m_now) {
        due.push_back(exchange);
      }
    }
    for (const ExchangeId exchange : due) {
      Dialled(exchange);
    }
    m_dispatcher.Tick(m_now, m_outbox);
    HandleOutputs();
    due.clear();
    for (const auto& [exchange, call] : m_calls) {
      if (call.isSent && call.answeredAt <= m_now) {
        due.push_back(exchange);
      }
    }
    std::ranges::shuffle(due, m_random);
    for (const ExchangeId exchange : due) {
      Answer(exchange);
    }
  }

  void HandleOutputs()
  {
    while (!m_outbox.empty()) {
      for (const GatewayOutput& output : std::exchange(m_outbox, {})) {
        Handle(output);
      }
    }
  }

  void Handle(const GatewayOutput& output)
  {
    if (const auto* call = std::get_if<TargetCallOut>(&output)) {
      Receive(*call);
    } else if (const auto* cancel = std::get_if<TargetCancelOut>(&output)) {
      m_calls.erase(cancel->exchange); // What was sent may run none the less.
    } else if (const auto* withdraw = std::get_if<TargetWithdrawOut>(&output)) {
      const auto found = m_calls.find(withdraw->exchange);
      if (found != m_calls.end() && !found->second.isSent) {
        m_calls.erase(found);
        Fail(withdraw->exchange, true, true);
      }
    } else if (const auto* answer = std::get_if<HttpAnswerOut>(&output)) {
      Fate& fate = fates[m_callers.at(answer->exchange)];
      fate.status = answer->status.value_or(fate.status);
      fate.statesNotRun =
        fate.statesNotRun || std::ranges::any_of(answer->headers, [](const HttpHeader& header) {
          return header.name == "X-Not-Executed";
        });
      fate.finals += answer->end || answer->abort ? 1 : 0;
    } else if (const auto* event = std::get_if<EventOut>(&output)) {
      ++counts[std::to_string(event->number)];
    }
  }

  void Receive(const TargetCallOut& sent)
  {
    Call call;
    for (const HttpHeader& header : sent.headers) {
      if (header.name == "X-Request-Id") {
        call.id = header.value;
      }
    }
    call.conduct = DrawConduct();
    const bool dials = m_options.hasTrouble && Draw(0.3);
    call.sentAt = m_now + (dials ? 1ms * (10 + m_random() % 300) : Duration{});
    call.dialFails = dials && Draw(0.3);
    call.answeredAt = call.sentAt + (Draw(0.05) ? kSilence : 1ms * (5 + m_random() % 40));
    const ExchangeId exchange = sent.exchange;
    m_calls.emplace(exchange, std::move(call));
    if (!dials) {
      Dialled(exchange);
    }
  }

  void Dialled(ExchangeId exchange)
  {
    const auto found = m_calls.find(exchange);
    if (found == m_calls.end()) {
      return;
    }
    if (found->second.dialFails) {
      m_calls.erase(found);
      Fail(exchange, true, false);
      return;
    }
    found->second.isSent = true;
    Fate& fate = fates[found->second.id];
    fate.runs += found->second.conduct.runs ? 1 : 0;
    fate.conducts.push_back(found->second.conduct);
  }

  void Fail(ExchangeId exchange, bool neverSent, bool isWithdrawn)
  {
    ++counts[isWithdrawn ? "withdrawn" : neverSent ? "never sent" : "closed"];
    TargetFailedIn failed;
    failed.exchange = exchange;
    failed.error = Error{ ErrorCode::kUnavailable, "call", "target", "closed" };
    failed.neverSent = neverSent;
    failed.isWithdrawn = isWithdrawn;
    m_dispatcher.OnFailed(m_now, failed, m_outbox);
    HandleOutputs();
  }

  void Answer(ExchangeId exchange)
  {
    const auto found = m_calls.find(exchange);
    if (found == m_calls.end()) {
      return;
    }
    const Call call = std::move(found->second);
    const Conduct& conduct = call.conduct;
    m_calls.erase(found);
    if (conduct.status != 0) {
      TargetAnswerIn answer;
      answer.exchange = exchange;
      answer.status = conduct.status;
      answer.framing =
        conduct.isUntilClose ? AnswerFraming::kUntilClose : AnswerFraming::kDelimited;
      const auto add = [&](bool isBorne, const char* name, const std::string& value) {
        if (isBorne) {
          answer.headers.push_back({ name, value });
        }
      };
      add(conduct.hasId, "X-Request-Id", call.id);
      add(conduct.hasSeal, "X-Response-Seal", "s");
      add(conduct.statement.has_value(), "X-Not-Executed", conduct.statement.value_or(""));
      add(!conduct.retryAfter.empty(), "Retry-After", conduct.retryAfter);
      const std::string body = Draw(0.1) ? "" : "id: 1\ndata: " + call.id + "\n\n";
      if (Draw(0.5)) {
        m_dispatcher.OnAnswer(m_now, answer, m_outbox);
        HandleOutputs();
        TargetAnswerIn rest;
        rest.exchange = exchange;
        rest.bytes = body;
        rest.end = conduct.isWhole;
        m_dispatcher.OnAnswer(m_now, rest, m_outbox);
      } else {
        answer.bytes = body;
        answer.end = conduct.isWhole;
        m_dispatcher.OnAnswer(m_now, answer, m_outbox);
      }
      HandleOutputs();
    }
    if (conduct.status == 0 || !conduct.isWhole) {
      Fail(exchange, false, false);
    }
  }

  Options m_options;
  RepeatPolicy m_repeat;
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

struct Tally
{
  int requests = 0;
  int refusedAndRan = 0;
  int refusedAndRanOnce = 0; ///< Of these, requests that may run once.
  int ranTwice = 0;
  int headerAndRan = 0; ///< The answer bears `X-Not-Executed` and the request ran.
  int notOneFinal = 0;
  std::map<std::string, int> counts;
  std::string first;
};

std::string Describe(const std::string& id, const RealTargets::Fate& fate)
{
  std::string text = id + ": status " + std::to_string(fate.status) + ", targets:";
  for (const Conduct& conduct : fate.conducts) {
    text += (conduct.runs ? " ran and answered " : " answered ") + std::to_string(conduct.status) +
            (conduct.statement ? " X-Not-Executed: \"" + *conduct.statement + "\"" : "") + ";";
  }
  return text;
}

Tally PlayAll(Options options, std::uint64_t seeds)
{
  Tally tally;
  for (const RepeatPolicy repeat : { RepeatPolicy::kIdempotent,
                                     RepeatPolicy::kAtMostOnce,
                                     RepeatPolicy::kEventStream,
                                     RepeatPolicy::kResumableStream }) {
    for (const std::uint32_t maxAttempts : { 1U, 3U }) {
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        RealTargets targets(repeat, maxAttempts, seed, options);
        targets.Play();
        for (const auto& [key, count] : targets.counts) {
          tally.counts[key] += count;
        }
        for (const auto& [id, fate] : targets.fates) {
          ++tally.requests;
          const bool isRefused = PromisesNotRun(fate.status) && fate.runs > 0;
          const bool isTwice = !MayRunAgain(repeat) && fate.runs > 1;
          const bool hasHeader = fate.statesNotRun && fate.runs > 0;
          const bool isLost = !fate.isGone && fate.finals != 1;
          tally.refusedAndRan += isRefused ? 1 : 0;
          tally.refusedAndRanOnce += isRefused && !MayRunAgain(repeat) ? 1 : 0;
          tally.ranTwice += isTwice ? 1 : 0;
          tally.headerAndRan += hasHeader ? 1 : 0;
          tally.notOneFinal += isLost ? 1 : 0;
          if ((isRefused || isTwice || hasHeader || isLost) && tally.first.size() < 1500) {
            tally.first += Describe(id, fate) + "\n";
          }
        }
      }
    }
  }
  return tally;
}

void ExpectNone(const Tally& tally)
{
  EXPECT_EQ(tally.refusedAndRan, 0) << tally.refusedAndRanOnce << " of them may run once\n"
                                    << tally.first;
  EXPECT_EQ(tally.ranTwice, 0) << tally.first;
  EXPECT_EQ(tally.headerAndRan, 0) << tally.first;
  EXPECT_EQ(tally.notOneFinal, 0) << tally.first;
  std::string drawn = std::to_string(tally.requests) + " requests";
  for (const auto& [key, count] : tally.counts) {
    drawn += ", " + key + ": " + std::to_string(count);
  }
  ::testing::Test::RecordProperty("drawn", drawn);
}

// Guards against a promise of the entry's own for a request that was dialled, withdrawn, hedged,
// held or cancelled, and ran.
TEST(EntryPromises, NoPromiseOfAnEntrysOwnIsBroken)
{
  ExpectNone(PlayAll({}, 40));
}

// Guards against a request that ran at a target which answers 421 without a statement.
TEST(EntryPromises, AMisdirectedStatusAloneStatesNothing)
{
  ExpectNone(PlayAll({ .misdirects = true, .hasTrouble = false }, 10));
}

// Guards against a denied statement that is taken for a statement as its letters are capital.
TEST(EntryPromises, ADeniedStatementIsNotBelieved)
{
  const Tally tally = PlayAll({ .denial = "False", .hasTrouble = false }, 10);
  EXPECT_EQ(tally.refusedAndRan, 0) << tally.refusedAndRanOnce << " of them may run once\n"
                                    << tally.first;
  EXPECT_EQ(tally.ranTwice, 0) << tally.first;
}

// Guards against an answer that hands on the header of a statement that its entry didn't believe.
TEST(EntryPromises, ADeniedStatementIsNotHandedOn)
{
  const Tally tally = PlayAll({ .denial = "0", .hasTrouble = false }, 10);
  EXPECT_EQ(tally.refusedAndRan, 0) << tally.refusedAndRanOnce << " of them may run once\n"
                                    << tally.first;
  EXPECT_EQ(tally.ranTwice, 0) << tally.first;
  EXPECT_EQ(tally.headerAndRan, 0) << tally.first;
}

} // namespace
} // namespace gooseberrysail
