#include "gooseberrysail/core/decimal.hpp"
#include "gooseberrysail/gateway/dispatcher.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <boost/json.hpp>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// All matching targets are full or temporarily avoided; slots come free within this time.
constexpr Duration kBusyRetry = 300ms;
/// No target serves the model; forming a group takes a second or more.
constexpr Duration kNoTargetRetry = 1s;
/// A caller that returns sooner needs more time to connect than it waits.
constexpr Duration kMinRetry = 50ms;
/// Callers for whom all targets are in backoff return spread over this part of it, and at most over
/// this time.
constexpr int kSpreadFraction = 4;
constexpr Duration kMaxSpread = 500ms;

/// Seconds with two decimals: whole seconds are too coarse for a caller with a deadline of one
/// second. Rounded up, so that nobody returns too early.
std::string ToSeconds(Duration duration)
{
  using Hundredths = std::chrono::duration<std::int64_t, std::centi>;
  const auto rounded = std::chrono::ceil<Hundredths>(duration);
  return ToDecimal(std::chrono::duration<double>(rounded).count());
}

std::string ErrorText(const char* outcome, const std::string& reason)
{
  boost::json::object detail;
  detail["outcome"] = outcome;
  detail["reason"] = reason;
  return boost::json::serialize(boost::json::object{ { "error", std::move(detail) } });
}

} // namespace

/// Answers the caller when no further attempt is possible or allowed.
void Dispatcher::GiveUp(TimePoint now, Request& request, Outbox& outbox)
{
  if (request.headForwarded) {
    Cut(now, request, outbox);
    return;
  }
  if (request.mayHaveRun) {
    RefuseUnknown(now, request, RetryElsewhere(now, request), outbox);
    return;
  }
  if (request.attempts == 0) {
    CountDemand(request, true);
  }
  const TargetQuery query = QueryOf(now, request);
  const NoTargetReason noTargetReason = m_selector.ReasonForNoTarget(now, query);
  const bool explainsMore = noTargetReason == NoTargetReason::kBackoff || request.lastError.empty();
  const std::string reason = explainsMore ? ToString(noTargetReason) : request.lastError;
  const std::optional<Duration> retryAfter = RetryAfter(now, request, query, noTargetReason);
  Refuse(now, request, { 503, reason, retryAfter }, outbox);
}

void Dispatcher::EndAll(TimePoint now,
                        const std::string& reason,
                        Duration retryAfter,
                        Outbox& outbox)
{
  // A stream of which only the end is held back is settled by the next ticks.
  std::set<ExchangeId> held;
  for (const auto& [at, exchange] : m_heldEnds) {
    held.insert(exchange);
  }
  std::vector<ExchangeId> exchanges;
  for (const auto& [exchange, request] : m_requests) {
    if (!held.contains(exchange)) {
      exchanges.push_back(exchange);
    }
  }
  for (const ExchangeId exchange : exchanges) {
    Request& request = *Find(exchange);
    request.mayHaveRun =
      request.mayHaveRun || !request.sent.exchange.IsNone() || !request.hedges.empty();
    request.lastError = reason;
    StopAttempts(now, request, reason, outbox);
    if (request.headForwarded) {
      Cut(now, request, outbox);
    } else if (request.mayHaveRun) {
      const bool mayRunAgain = MayRunAgain(request.route->repeat);
      RefuseUnknown(now, request, mayRunAgain ? std::optional(retryAfter) : std::nullopt, outbox);
    } else {
      if (request.attempts == 0) {
        CountDemand(request, true);
      }
      Refuse(now, request, { 503, reason, retryAfter }, outbox);
    }
  }
}

// The caller detects the incomplete answer.
void Dispatcher::Cut(TimePoint now, Request& request, Outbox& outbox)
{
  const TargetSelector::Row* row = m_selector.Find(request.sent.target);
  const Duration silent = row == nullptr ? Duration::zero() : now - row->answeredAt;
  outbox.emplace_back(
    MakeEvent(EventNumber::kGatewayAnswerCut,
              { { "request", request.call.requestId },
                { "target", request.sent.target.instance.Get() },
                { "reason", request.lastError },
                { "attempts", std::to_string(request.attempts) },
                { "allowed", std::to_string(request.route->maxAttempts + request.excusedAttempts) },
                { "pauseMillis", std::to_string(ToMillis(now - request.lastEventAt)) },
                { "silentMillis", row == nullptr ? "" : std::to_string(ToMillis(silent)) },
                { "others", row == nullptr ? "" : std::to_string(row->inFlight) },
                { "leftMillis", std::to_string(ToMillis(request.deadline - now)) },
                { "document", std::to_string(request.index->Document().version) },
                { "targets", std::to_string(request.targetsSequence) } }));
  HttpAnswerOut cut;
  cut.exchange = request.call.exchange;
  cut.abort = true;
  outbox.emplace_back(std::move(cut));
  End(now, request, "cut", 0, outbox);
}

std::optional<Duration> Dispatcher::RetryAfter(TimePoint now,
                                               const Request& request,
                                               const TargetQuery& query,
                                               NoTargetReason reason)
{
  const std::optional<Duration> backoffLeft = m_selector.BackoffLeft(now, query);
  if (reason == NoTargetReason::kBackoff && backoffLeft) {
    // Callers that all returned at the end of the backoff would fill the target at once.
    const Duration spread = std::min(*backoffLeft / kSpreadFraction, kMaxSpread);
    const auto draws = static_cast<std::uint64_t>(spread.count()) + 1;
    return std::max(*backoffLeft, kMinRetry) +
           Duration(static_cast<Duration::rep>(m_random() % draws));
  }
  const ServedKind kind = KindOf(request);
  // A target rejects what is more than its slots and its queue hold.
  const bool isRejected = request.isRejected && reason == NoTargetReason::kUnreachable;
  if (m_usesRetryPlaces && (reason == NoTargetReason::kFull || isRejected)) {
    RetryPlaces& places = m_retryPlaces[kind];
    if (places.IsKnown(now)) {
      return places.Next(now, m_queue.CountWaiting(kind), request.deadline - now);
    }
  }
  Duration retryAfter = reason == NoTargetReason::kNone ? kNoTargetRetry : kBusyRetry;
  if (reason == NoTargetReason::kLimited) {
    retryAfter = std::max(retryAfter, m_selector.LimitInterval(now, query));
  }
  return backoffLeft ? std::max(std::min(retryAfter, *backoffLeft), kMinRetry) : retryAfter;
}

void Dispatcher::RefuseUnknown(TimePoint now,
                               Request& request,
                               std::optional<Duration> retryAfter,
                               Outbox& outbox)
{
  const unsigned status = now >= request.deadline ? 504 : 502;
  Refuse(now, request, { status, request.lastError, retryAfter }, outbox);
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
    request.toldRetryAfter = refusal.retryAfter;
  }
  answer.endsConnection = refusal.endsConnection;
  answer.bytes = ErrorText(outcome, refusal.reason);
  request.answerOrigin = kOwnAnswer;
  answer.end = true;
  outbox.emplace_back(std::move(answer));
  request.lastError = refusal.reason;
  End(now, request, outcome, refusal.status, outbox);
}

/// Logs the outcome and erases the request; `request` is invalid afterwards.
void Dispatcher::End(TimePoint now,
                     Request& request,
                     const char* outcome,
                     unsigned status,
                     Outbox& outbox)
{
  const bool hasFirst = request.firstEventAt != TimePoint{};
  const Duration firstAfter = hasFirst ? request.firstEventAt - request.arrived : Duration::zero();
  const std::int64_t objectiveMillis =
    request.route == nullptr ? 0 : ToMillis(request.route->objective);
  const Duration queued = request.queuedAt ? now - *request.queuedAt : request.queued;
  const std::string retryAfterMillis =
    request.toldRetryAfter ? std::to_string(ToMillis(*request.toldRetryAfter)) : "";
  const std::uint64_t version = request.index ? request.index->Document().version : 0;
  outbox.emplace_back(
    MakeEvent(EventNumber::kGatewayAnswered,
              { { "request", request.call.requestId },
                { "route", request.route == nullptr ? "" : request.route->name },
                { "workspace", request.workspace },
                { "service", request.service },
                { "model", request.model },
                { "target", request.sent.target.instance.Get() },
                { "outcome", outcome },
                { "status", std::to_string(status) },
                { "reason", request.lastError },
                { "attempts", std::to_string(request.attempts) },
                { "millis", std::to_string(ToMillis(now - request.arrived)) },
                { "firstMillis", std::to_string(ToMillis(firstAfter)) },
                { "pauseMillis", std::to_string(ToMillis(request.longestPause)) },
                { "aimMillis", std::to_string(objectiveMillis) },
                { "predictedMillis", std::to_string(ToMillis(request.predicted)) },
                { "observedMillis", std::to_string(ToMillis(request.observed)) },
                { "promptTokens", std::to_string(request.call.promptTokens) },
                { "document", std::to_string(version) },
                { "targets", std::to_string(request.targetsSequence) },
                { "ageMillis", std::to_string(ToMillis(request.snapshotAge)) },
                { "unreadMillis", std::to_string(ToMillis(request.unread)) },
                { "urgency", request.route == nullptr ? "" : std::to_string(request.urgency) },
                { "callerRetry", request.isCallerRetry ? "yes" : "no" },
                { "queuedMillis", std::to_string(ToMillis(queued)) },
                { "retryAfterMillis", retryAfterMillis },
                { "framing", request.framing ? ToString(*request.framing) : "" },
                { "bytes", std::to_string(request.answerBytes) },
                { "fingerprint", ToString(request.fingerprint) },
                { "origin", request.answerOrigin },
                { "targetStatus", StatusText(request.sent.status) },
                { "statement", StatementOf(request.sent) } }));
  m_queue.Remove(request.call.exchange);
  m_deadlines.erase({ request.deadline, request.call.exchange });
  m_requests.erase(request.call.exchange);
}

} // namespace gooseberrysail
