#include "gooseberrysail/core/decimal.hpp"
#include "gooseberrysail/gateway/dispatcher.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <boost/json.hpp>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// All targets that fit are busy or were left out a moment ago: places come free within this.
constexpr Duration kBusyRetry = 300ms;
/// None serves the model: forming a group takes a second or more.
constexpr Duration kNoTargetRetry = 1s;

/// Seconds with two decimals: a caller with a deadline of a second gains nothing from whole ones.
std::string ToSeconds(Duration duration)
{
  return ToDecimal(std::chrono::duration<double>(duration).count());
}

std::string ErrorText(const char* outcome, const std::string& reason)
{
  boost::json::object detail;
  detail["outcome"] = outcome;
  detail["reason"] = reason;
  return boost::json::serialize(boost::json::object{ { "error", std::move(detail) } });
}

} // namespace

/// No further attempt is possible or allowed.
void Dispatcher::GiveUp(TimePoint now, Request& request, Outbox& outbox)
{
  if (request.headPassed) {
    // Closed without the last chunk: the caller sees that the answer is not whole.
    HttpAnswerOut cut;
    cut.exchange = request.call.exchange;
    cut.abort = true;
    outbox.emplace_back(std::move(cut));
    End(now, request, "cut", 0, outbox);
    return;
  }
  if (request.mayHaveRun) {
    const unsigned status = now >= request.deadline ? 504 : 502;
    Refuse(now, request, { status, request.lastTrouble, std::nullopt }, outbox);
    return;
  }
  if (request.attempts == 0) {
    NoteDemand(request, true);
  }
  const NoTarget why = m_board.WhyNone(now, { request.service, request.model, request.tried });
  const std::string reason = request.lastTrouble.empty() ? ToString(why) : request.lastTrouble;
  const Duration retryAfter = why == NoTarget::kNone ? kNoTargetRetry : kBusyRetry;
  Refuse(now, request, { 503, reason, retryAfter }, outbox);
}

void Dispatcher::Refuse(TimePoint now, Request& request, const Refusal& refusal, Outbox& outbox)
{
  const char* outcome = request.mayHaveRun ? "unknown" : "not-run";
  HttpAnswerOut answer;
  answer.exchange = request.call.exchange;
  answer.status = refusal.status;
  answer.headers.push_back({ "Content-Type", "application/json" });
  if (!request.call.requestId.empty()) {
    answer.headers.push_back({ "X-Request-Id", request.call.requestId });
  }
  if (refusal.retryAfter) {
    answer.headers.push_back({ "Retry-After", ToSeconds(*refusal.retryAfter) });
  }
  answer.bytes = ErrorText(outcome, refusal.reason);
  answer.end = true;
  outbox.emplace_back(std::move(answer));
  request.lastTrouble = refusal.reason;
  End(now, request, outcome, refusal.status, outbox);
}

/// Logs the end and forgets the request, which is void afterwards.
void Dispatcher::End(TimePoint now,
                     Request& request,
                     const char* outcome,
                     unsigned status,
                     Outbox& outbox)
{
  const bool hasFirst = request.firstAt != TimePoint{};
  const Duration firstAfter = hasFirst ? request.firstAt - request.arrived : Duration::zero();
  const std::int64_t aim = request.route == nullptr ? 0 : ToMillis(request.route->objective);
  const std::uint64_t version = request.index ? request.index->Document().version : 0;
  outbox.emplace_back(
    MakeEvent(EventNumber::kGatewayAnswered,
              { { "request", request.call.requestId },
                { "route", request.route == nullptr ? "" : request.route->name },
                { "workspace", request.workspace },
                { "service", request.service },
                { "model", request.model },
                { "target", request.target.instance.Get() },
                { "outcome", outcome },
                { "status", std::to_string(status) },
                { "reason", request.lastTrouble },
                { "attempts", std::to_string(request.attempts) },
                { "millis", std::to_string(ToMillis(now - request.arrived)) },
                { "firstMillis", std::to_string(ToMillis(firstAfter)) },
                { "aimMillis", std::to_string(aim) },
                { "promptTokens", std::to_string(request.call.promptTokens) },
                { "document", std::to_string(version) },
                { "targets", std::to_string(request.targetsSequence) },
                { "ageMillis", std::to_string(ToMillis(request.knowledgeAge)) } }));
  m_line.Remove(request.call.exchange);
  m_deadlines.erase({ request.deadline, request.call.exchange });
  m_requests.erase(request.call.exchange);
}

} // namespace gooseberrysail
