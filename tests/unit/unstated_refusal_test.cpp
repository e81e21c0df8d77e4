#include "gooseberrysail/gateway/dispatcher.hpp"
#include "platform/gateway_adapter.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;

constexpr Duration kTick = 5ms;

/// \brief A plain service whose targets answer the callers of one kind 429 without a statement, as
/// an application does that limits one customer, and serve all others.
class LimitedCustomer
{
public:
  LimitedCustomer(unsigned status, std::string retryAfter, double closes, RetrySettings retries)
    : m_status(status)
    , m_retryAfter(std::move(retryAfter))
    , m_closes(closes)
    , m_random(1)
    , m_dispatcher(platform::MakeGatewayApi(), retries, FailureDomainId("a"), [this] {
      return m_random();
    })
  {
    HttpRoute route;
    route.name = "route";
    route.host = "hire.example";
    route.pathPrefix = "/";
    route.repeat = RepeatPolicy::kIdempotent;
    route.timeout = 3s;
    route.objective = 300ms;
    route.maxAttempts = 3;
    route.shares = { { "assist", 1 } };
    ServingDocument document;
    document.version = 1;
    document.routes = { route };
    document.services.resize(1);
    document.services[0].name = "assist";
    m_snapshot.index = std::make_shared<const RouteIndex>(document);
    std::vector<ServedTarget> targets;
    for (const char* name : { "t1", "t2", "t3", "t4" }) {
      targets.push_back({ InstanceId(name), "assist", name, FailureDomainId("a"), 8, false, "" });
    }
    m_dispatcher.Selector().Replace(TimePoint{}, targets);
  }

  void Ask(const std::string& kind)
  {
    HttpRequestIn request;
    request.receivedAt = m_now;
    request.exchange = ExchangeId(++m_asked);
    request.method = "POST";
    request.target = "/x";
    request.body = std::to_string(m_asked);
    request.headers = { { "Host", "hire.example" },
                        { "X-Request-Id", kind + std::to_string(m_asked) } };
    m_kinds[request.exchange] = kind;
    m_dispatcher.OnRequest(m_now, std::move(request), m_snapshot, m_outbox);
    Handle();
  }

  void Advance()
  {
    m_now += kTick;
    m_dispatcher.Tick(m_now, m_outbox);
    Handle();
    std::vector<ExchangeId> due;
    for (const auto& [exchange, call] : m_calls) {
      if (call.first <= m_now) {
        due.push_back(exchange);
      }
    }
    for (const ExchangeId exchange : due) {
      Answer(exchange);
    }
  }

  std::map<std::string, std::map<unsigned, int>> answers; ///< By kind and status.
  std::map<std::string, int> arrivals;                    ///< By kind.
  HttpAnswerOut last;

private:
  void Handle()
  {
    while (!m_outbox.empty()) {
      for (const GatewayOutput& output : std::exchange(m_outbox, {})) {
        if (const auto* call = std::get_if<TargetCallOut>(&output)) {
          std::string id;
          for (const HttpHeader& header : call->headers) {
            id = header.name == "X-Request-Id" ? header.value : id;
          }
          ++arrivals[id.substr(0, 1)];
          m_calls[call->exchange] = { m_now + 1ms * (10 + m_random() % 60), id };
        } else if (const auto* cancel = std::get_if<TargetCancelOut>(&output)) {
          m_calls.erase(cancel->exchange);
        } else if (const auto* answer = std::get_if<HttpAnswerOut>(&output)) {
          ++answers[m_kinds[answer->exchange]][answer->status.value_or(0)];
          last = *answer;
        }
      }
    }
  }

  void Answer(ExchangeId exchange)
  {
    const auto found = m_calls.find(exchange);
    if (found == m_calls.end()) {
      return;
    }
    const std::string id = found->second.second;
    m_calls.erase(found);
    const bool isLimited = id.starts_with("n");
    if (!isLimited && std::uniform_real_distribution<>(0, 1)(m_random) < m_closes) {
      TargetFailedIn failed;
      failed.exchange = exchange;
      failed.error = Error{ ErrorCode::kUnavailable, "read answer", "target", "closed" };
      m_dispatcher.OnFailed(m_now, failed, m_outbox);
    } else {
      TargetAnswerIn answer;
      answer.exchange = exchange;
      answer.status = isLimited ? m_status : 200;
      answer.headers = { { "X-Request-Id", id }, { "X-Response-Seal", "s" } };
      if (isLimited && !m_retryAfter.empty()) {
        answer.headers.push_back({ "Retry-After", m_retryAfter });
      }
      answer.bytes = "body";
      answer.end = true;
      m_dispatcher.OnAnswer(m_now, answer, m_outbox);
    }
    Handle();
  }

  unsigned m_status;
  std::string m_retryAfter;
  double m_closes;
  std::mt19937_64 m_random;
  TimePoint m_now{ 1h };
  ServingSnapshot m_snapshot;
  Dispatcher m_dispatcher;
  std::vector<GatewayOutput> m_outbox;
  std::map<ExchangeId, std::string> m_kinds;
  std::map<ExchangeId, std::pair<TimePoint, std::string>> m_calls;
  std::uint64_t m_asked = 0;
};

// Guards against one customer's limited requests using up the retries of all others.
TEST(UnstatedRefusal, ALimitedCustomerLeavesTheRetriesToOthers)
{
  LimitedCustomer service(429, "", 0.05, { .ratio = 0.1, .slack = 5 });
  for (int round = 0; round < 6000; ++round) {
    if (round % 4 == 0) {
      service.Ask("n");
    }
    if (round % 4 == 2) {
      service.Ask("g");
    }
    service.Advance();
  }
  for (int round = 0; round < 800; ++round) {
    service.Advance();
  }
  EXPECT_LE(service.answers["g"][502], 15) << "one in a hundred";
  EXPECT_EQ(service.answers["g"][200] + service.answers["g"][502], 1500);
}

// Guards against a caller that is told nothing of when to return, though its target said it.
TEST(UnstatedRefusal, ARepeatableRequestIsToldWhenToReturn)
{
  LimitedCustomer service(503, "0.5", 0, { .ratio = 0, .slack = 0 });
  service.Ask("n");
  for (int round = 0; round < 800; ++round) {
    service.Advance();
  }
  const std::vector<HttpHeader>& headers = service.last.headers;
  EXPECT_TRUE(std::ranges::any_of(
    headers, [](const HttpHeader& header) { return header.name == "Retry-After"; }));
}

} // namespace
} // namespace gooseberrysail
