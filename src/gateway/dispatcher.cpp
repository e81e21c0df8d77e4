#include "gooseberrysail/gateway/dispatcher.hpp"

#include "gooseberrysail/observe/event.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxLoggedParts = 8;
constexpr std::size_t kMaxLoggedIdLength = 64;
/// Requests without room that are passed over in a queue: each costs a prediction for each head.
constexpr std::size_t kMaxSkipped = 4;
/// A caller's retry, which is late anyway, waits for a slot for at most this part of its time left.
constexpr int kRetryWaitDivisor = 4;

std::string JoinParts(std::span<const RequestFingerprint> parts)
{
  std::string text;
  for (const RequestFingerprint& part : parts.first(std::min(parts.size(), kMaxLoggedParts))) {
    text += (text.empty() ? "" : ",") + ToString(part);
  }
  return text;
}

} // namespace

Dispatcher::Dispatcher(GatewayApi api,
                       RetrySettings retries,
                       FailureDomainId ownDomain,
                       std::function<std::uint64_t()> random)
  : m_api(std::move(api))
  , m_random(random)
  , m_selector(std::move(ownDomain), std::move(random))
  , m_retries(retries)
{
}

Dispatcher::Request* Dispatcher::Find(ExchangeId exchange)
{
  const auto found = m_requests.find(exchange);
  return found == m_requests.end() ? nullptr : &found->second;
}

Dispatcher::Request* Dispatcher::FindByAttempt(ExchangeId attempt)
{
  const auto found = m_attempts.find(attempt);
  return found == m_attempts.end() ? nullptr : Find(found->second);
}

ServedKind Dispatcher::KindOf(const Request& request)
{
  return { request.service, request.model };
}

TargetQuery Dispatcher::QueryOf(TimePoint now, const Request& request) const
{
  const bool headsHaveRoom = m_room.HasRoom(now, KindOf(request), request.route->objective);
  TargetQuery query{ request.service, request.model, request.tried, headsHaveRoom };
  if (const ServiceDefinition* service = request.index->FindService(request.service)) {
    query.maxConnections = service->maxConnections;
    query.cacheTokens = service->engine ? service->engine->cacheTokens : 0;
    query.tokens = TokensOf(request);
  }
  if (ForecastEngine(request) != nullptr) {
    query.forecast =
      [this, now, &request](const ServedTarget& head, double share, std::uint32_t own) {
        return ForecastFor(now, request, head, share, own);
      };
    SetForecastLimits(now, request, query);
  }
  return query;
}

// A request that is late already is sent where one that has just come would be on time, so that it
// delays no other.
void Dispatcher::SetForecastLimits(TimePoint now, const Request& request, TargetQuery& query) const
{
  const Duration age = now - request.arrived;
  const Duration objective = request.route->objective;
  const bool isCallerRetry = m_usesRetryPlaces && request.isCallerRetry;
  const bool wasSent = request.attempts > request.excusedAttempts;
  const bool isLate = age >= objective || isCallerRetry || wasSent;
  const bool hasLimit = objective > Duration::zero() && !request.headForwarded;
  query.firstEventLimit = Duration::max();
  if (hasLimit) {
    query.firstEventLimit = isLate ? objective : objective - age;
    query.pauseLimit = request.route->longestPause;
  }
}

std::uint64_t Dispatcher::TokensOf(const Request& request)
{
  return request.call.promptTokens + ExpectedOutput(request);
}

const EngineSpec* Dispatcher::ForecastEngine(const Request& request) const
{
  const ServiceDefinition* service =
    m_usesForecasts ? request.index->FindService(request.service) : nullptr;
  const bool isKnown = service != nullptr && service->engine && !request.model.empty() &&
                       IsStream(request.route->repeat) &&
                       service->engine->promptTokensPerSecond > 0 &&
                       service->engine->stepTime > Duration::zero();
  return isKnown ? &*service->engine : nullptr;
}

EventForecast Dispatcher::ForecastFor(TimePoint now,
                                      const Request& request,
                                      const ServedTarget& head,
                                      double share,
                                      std::uint32_t inFlight) const
{
  const EngineSpec& engine = *ForecastEngine(request);
  const auto model = std::ranges::find(engine.models, request.model, &GroupModel::name);
  const double pace = model == engine.models.end() ? 1 : model->pace;
  return m_forecasts.Forecast(now,
                              { head.instance, head.born },
                              share,
                              inFlight,
                              { engine, pace, static_cast<double>(request.call.promptTokens) });
}

void Dispatcher::Attempt(TimePoint now, Request& request, Outbox& outbox)
{
  if (!HasTime(now, request)) {
    request.lastError = kTimeIsOver;
    GiveUp(now, request, outbox);
  } else if (!request.mayHaveRun && !EndsInTime(now, request)) {
    RefuseTooLong(now, request, outbox);
  } else if (const ServedTarget* target = m_selector.Choose(now, QueryOf(now, request))) {
    Send(now, request, *target, outbox);
  } else if (!TryEnqueue(now, request, outbox)) {
    GiveUp(now, request, outbox);
  }
}

void Dispatcher::SendOrGiveUp(TimePoint now, Request& request, Outbox& outbox)
{
  const ServedTarget* target =
    HasTime(now, request) ? m_selector.Choose(now, QueryOf(now, request)) : nullptr;
  if (target != nullptr) {
    request.queued = now - std::exchange(request.queuedAt, std::nullopt).value_or(now);
    Send(now, request, *target, outbox);
  } else {
    GiveUp(now, request, outbox);
  }
}

void Dispatcher::Send(TimePoint now, Request& request, const ServedTarget& target, Outbox& outbox)
{
  ForwardFrom(request, StartCall(now, request, target, outbox));
}

void Dispatcher::ForwardFrom(Request& request, const SentCall& sent)
{
  request.sent = sent;
  request.streams = false;
  request.begunAt = TimePoint{};
  request.isProven = false;
  request.isRejected = false;
}

Dispatcher::SentCall Dispatcher::StartCall(TimePoint now,
                                           Request& request,
                                           const ServedTarget& target,
                                           Outbox& outbox)
{
  SentCall sent;
  sent.exchange = ExchangeId(++m_lastAttempt);
  sent.target = { target.instance, target.born };
  sent.at = now;
  sent.isTargetAvoided = m_selector.IsAvoided(now, target.instance);
  sent.number = ++request.attempts;
  request.tried.insert(target.instance);
  if (ForecastEngine(request) != nullptr) {
    const TargetSelector::Row* row = m_selector.Find(sent.target);
    const std::uint32_t inFlight = row == nullptr ? 0 : row->inFlight;
    const EventForecast forecast =
      ForecastFor(now, request, target, m_selector.ShareOf(target), inFlight);
    m_forecasts.OnSent(now, sent.exchange, sent.target, request.call.promptTokens, forecast);
  }
  if (sent.number == 1) {
    request.firstSentAt = now;
    CountDemand(request, false);
  }
  m_attempts.emplace(sent.exchange, request.call.exchange);
  std::optional<std::string> resumeAfter;
  if (request.headForwarded && !request.events.LastId().empty()) {
    resumeAfter = request.events.LastId();
  }
  std::optional<Urgency> urgency;
  if (request.index->HasUrgencies(request.service)) {
    urgency = request.urgency;
  }
  TargetCallOut call = m_api.encodeAttempt({ sent.exchange,
                                             request.call,
                                             target,
                                             request.deadline - now,
                                             request.workspace,
                                             resumeAfter,
                                             urgency });
  call.caller = request.call.exchange;
  outbox.emplace_back(std::move(call));
  m_selector.OnSent(now, sent.target, TokensOf(request));
  return sent;
}

// Only requests that no target has worked on are queued: a retry has no time left to wait.
bool Dispatcher::TryEnqueue(TimePoint now, Request& request, Outbox& outbox)
{
  const TargetQuery query = QueryOf(now, request);
  const NoTargetReason reason = m_selector.ReasonForNoTarget(now, query);
  const bool endsByItself = reason == NoTargetReason::kFull || reason == NoTargetReason::kBackoff;
  const bool wasSent = request.attempts > request.excusedAttempts;
  const bool mayWait = !wasSent && !request.model.empty() && endsByItself;
  QueueRank rank{ request.urgency };
  if (m_usesRetryPlaces && request.isCallerRetry) {
    rank.retryWait = (request.deadline - now) / kRetryWaitDivisor;
  }
  const bool isQueued = mayWait && m_queue.TryEnqueue(now,
                                                      KindOf(request),
                                                      request.call.exchange,
                                                      request.route->objective,
                                                      m_selector.BackoffLeft(now, query),
                                                      rank);
  if (isQueued) {
    request.queuedAt = now;
  }
  for (const ExchangeId displaced : m_queue.TakeDisplaced()) {
    SendOrGiveUp(now, *Find(displaced), outbox);
  }
  return isQueued;
}

/// Sends queued requests while targets have capacity. Where first events are predicted, a request
/// for which no head has room leaves the heads to those behind it.
void Dispatcher::DispatchQueued(TimePoint now, Outbox& outbox)
{
  for (const ServedKind& kind : m_queue.ListWaiting()) {
    std::size_t skipped = 0;
    for (const ExchangeId waiting : m_queue.ListInOrder(kind)) {
      Request& request = *Find(waiting);
      if (!HasTime(now, request) || !EndsInTime(now, request)) {
        continue; // The next tick ends it.
      }
      if (const ServedTarget* target = m_selector.Choose(now, QueryOf(now, request))) {
        m_queue.Dequeue(waiting);
        request.queued = now - std::exchange(request.queuedAt, std::nullopt).value_or(now);
        Send(now, request, *target, outbox);
      } else if (!m_usesForecasts || ++skipped > kMaxSkipped) {
        break;
      }
    }
  }
}

// A stream that has begun needs only the time for the rest of it, and is cut without that.
const ServedTarget* Dispatcher::TakeRetry(TimePoint now, const Request& request, bool mayHaveRun)
{
  const bool repeatable = !mayHaveRun || MayRunAgain(request.route->repeat);
  const bool isAllowed = repeatable && !m_suspects.IsQuarantined(request.fingerprint) &&
                         FindHeldPart(request) == nullptr &&
                         request.attempts - request.excusedAttempts < request.route->maxAttempts &&
                         HasTime(now, request) &&
                         (request.headForwarded || EndsInTime(now, request));
  // The allowance is asked first: choosing a target looks at all of them.
  if (!isAllowed || !m_retries.HasLeft(now, request.service)) {
    return nullptr;
  }
  const ServedTarget* target = m_selector.Choose(now, QueryOf(now, request));
  return target != nullptr && m_retries.TryTake(now, request.service) ? target : nullptr;
}

void Dispatcher::StopAttempt(Request& request, Outbox& outbox, bool cancel)
{
  if (!request.sent.exchange.IsNone()) {
    EndCall(request, request.sent, outbox, cancel);
    request.sent.exchange = ExchangeId();
  }
  request.held = {};
}

void Dispatcher::StopAttempts(TimePoint now,
                              Request& request,
                              const std::string& reason,
                              Outbox& outbox)
{
  if (!request.sent.exchange.IsNone()) {
    LogFailedAttempt(now, request, request.sent, true, reason, std::nullopt, outbox);
  }
  StopAttempt(request, outbox, true);
  for (const Hedge& hedge : request.hedges) {
    LogFailedAttempt(now, request, hedge.sent, true, reason, std::nullopt, outbox);
    EndCall(request, hedge.sent, outbox, true);
  }
  request.hedges.clear();
}

void Dispatcher::EndCall(const Request& request, const SentCall& sent, Outbox& outbox, bool cancel)
{
  if (cancel) {
    outbox.emplace_back(TargetCancelOut{ sent.exchange });
  }
  m_attempts.erase(sent.exchange);
  m_forecasts.OnEnded(sent.exchange);
  m_selector.OnEnded(sent.target, TokensOf(request));
  m_freedSlots.insert(KindOf(request));
}

/// The attempt ended without an answer that can be forwarded.
void Dispatcher::AttemptEnded(TimePoint now,
                              Request& request,
                              Outbox& outbox,
                              bool ran,
                              std::string error,
                              std::optional<Duration> retryAfter)
{
  StopAttempt(request, outbox, true);
  m_selector.OnFailure(now, request.sent.target);
  request.mayHaveRun = request.mayHaveRun || ran;
  request.lastError = std::move(error);
  request.events.DiscardPartial();
  LogFailedAttempt(now, request, request.sent, ran, request.lastError, retryAfter, outbox);
  if (!request.hedges.empty()) {
    ForwardHedge(now, request, request.hedges.front().sent.exchange, outbox);
  } else if (const ServedTarget* target = TakeRetry(now, request, request.mayHaveRun)) {
    Send(now, request, *target, outbox);
  } else {
    GiveUp(now, request, outbox);
  }
}

std::string Dispatcher::StatusText(unsigned status)
{
  return status == 0 ? "" : std::to_string(status);
}

const char* Dispatcher::StatementOf(const SentCall& sent)
{
  if (sent.status == 0) {
    return "";
  }
  return sent.statesNotRun ? "not-run" : "none";
}

void Dispatcher::LogFailedAttempt(TimePoint now,
                                  const Request& request,
                                  const SentCall& sent,
                                  bool ran,
                                  const std::string& reason,
                                  std::optional<Duration> retryAfter,
                                  Outbox& outbox) const
{
  const bool isHedge = sent.number != request.sent.number;
  const bool hasBegun = !isHedge && request.begunAt != TimePoint{};
  outbox.emplace_back(
    MakeEvent(EventNumber::kGatewayAttemptFailed,
              { { "request", request.call.requestId },
                { "fingerprint", ToString(request.fingerprint) },
                { "attempt", std::to_string(sent.number) },
                { "target", sent.target.instance.Get() },
                { "ran", ran ? "maybe" : "no" },
                { "reason", reason },
                { "millis", std::to_string(ToMillis(now - sent.at)) },
                { "avoided", sent.isTargetAvoided ? "yes" : "no" },
                { "retryAfterMillis", retryAfter ? std::to_string(ToMillis(*retryAfter)) : "" },
                { "begun", hasBegun ? "yes" : "no" },
                { "parts", JoinParts(request.promptParts) },
                { "targetStatus", StatusText(sent.status) },
                { "statement", StatementOf(sent) } }));
}

void Dispatcher::OnAnswer(TimePoint now, const TargetAnswerIn& part, Outbox& outbox)
{
  Request* request = FindByAttempt(part.exchange);
  if (request == nullptr) {
    return;
  }
  const SentCall sent = FindCall(*request, part.exchange);
  if (part.status) {
    const std::string_view answeredId = m_api.answeredId(part);
    if (answeredId != request->call.requestId) {
      OnOtherAnswer(now, *request, sent, answeredId, outbox);
      UseFreedSlots(now, outbox);
      return;
    }
  }
  m_selector.OnBytes(now, sent.target);
  ConfirmEnds(now, sent.target, outbox);
  if (part.exchange != request->sent.exchange) {
    OnHedgeAnswer(now, *request, part, outbox);
  } else if (!request->hedges.empty()) {
    OnDoubtedAnswer(now, *request, part, outbox);
  } else {
    OnPart(now, *request, part, outbox);
  }
  UseFreedSlots(now, outbox);
}

// An answer that an earlier exchange left on the connection may be old, and the target may run this
// request none the less: neither its status nor what it says of the target is used.
void Dispatcher::OnOtherAnswer(TimePoint now,
                               Request& request,
                               const SentCall& sent,
                               std::string_view answeredId,
                               Outbox& outbox)
{
  const bool isHedge = sent.exchange != request.sent.exchange;
  if (isHedge) {
    m_selector.OnFailure(now, sent.target);
  }
  const std::string id = answeredId.empty()
                           ? "without an id"
                           : "id " + std::string(answeredId.substr(0, kMaxLoggedIdLength));
  EndAttempt(now, request, sent, true, "an answer to another request (" + id + ")", outbox);
}

void Dispatcher::OnPart(TimePoint now, Request& request, const TargetAnswerIn& part, Outbox& outbox)
{
  request.answerBytes += part.bytes.size();
  if (part.status) {
    request.framing = part.framing;
    OnHead(now, request, part, outbox);
  } else {
    OnBody(now, request, part, outbox);
  }
}

std::string Dispatcher::FaultOf(const TargetHead& head)
{
  const std::string status = std::to_string(head.status);
  if (head.HasNotRun()) {
    return "refused with " + status;
  }
  if (head.statesNotRun) {
    return "answered " + status + ", stating that it did not run the request";
  }
  return IsSuccess(head.status) && !head.isProven ? "a success without its seal" : "";
}

void Dispatcher::NoteHead(SentCall& sent, const TargetHead& head)
{
  sent.status = head.status;
  sent.statesNotRun = head.statesNotRun;
}

void Dispatcher::OnHead(TimePoint now, Request& request, const TargetAnswerIn& part, Outbox& outbox)
{
  TargetHead head = m_api.decodeHead(part);
  NoteHead(request.sent, head);
  RecordStatements(now, request, request.sent, head, outbox);
  if (const std::string fault = FaultOf(head); !fault.empty()) {
    request.excusedAttempts += IsExcused(head) ? 1 : 0;
    request.isRejected = head.HasNotRun() && !IsExcused(head);
    AttemptEnded(now, request, outbox, !head.HasNotRun(), fault, head.retryAfter);
    return;
  }
  const bool isUnstated = IsUnstatedRefusal(head);
  const bool isRetried =
    head.status >= kServerFault && MayRunAgain(request.route->repeat) && !request.headForwarded;
  if ((isRetried || isUnstated) && !request.hedges.empty()) {
    AttemptEnded(now, request, outbox, true, FailureOf(head));
    return;
  }
  const ServedTarget* target = isRetried ? TakeRetry(now, request, true) : nullptr;
  if (target != nullptr || (isUnstated && !request.headForwarded)) {
    ReplaceAnswer(now, request, head, target, outbox);
    return;
  }
  request.streams = IsStream(request.route->repeat) && IsSuccess(head.status);
  if (request.headForwarded && !Resumes(request, head.status)) {
    AttemptEnded(now, request, outbox, true, "could not go on with the stream");
    return;
  }
  if (!request.headForwarded) {
    request.bufferedAnswer = HttpAnswerOut{};
    request.bufferedAnswer.exchange = request.call.exchange;
    request.bufferedAnswer.status = head.status;
    request.bufferedAnswer.headers = std::move(head.headers);
    request.bufferedAnswer.framing = part.framing;
  }
  OnBody(now, request, part, outbox);
}

std::string Dispatcher::FailureOf(const TargetHead& head)
{
  const std::string status = std::to_string(head.status);
  return IsUnstatedRefusal(head)
           ? "answered " + status + " without stating that it did not run the request"
           : "failed with " + status;
}

// Its target is at work, and may answer all requests of one workspace like that: it isn't avoided.
void Dispatcher::ReplaceAnswer(TimePoint now,
                               Request& request,
                               const TargetHead& head,
                               const ServedTarget* next,
                               Outbox& outbox)
{
  StopAttempt(request, outbox, true);
  request.mayHaveRun = true;
  request.lastError = FailureOf(head);
  LogFailedAttempt(now, request, request.sent, true, request.lastError, head.retryAfter, outbox);
  if (next != nullptr) {
    Send(now, request, *next, outbox);
    return;
  }
  std::optional<Duration> retryAfter;
  if (MayRunAgain(request.route->repeat)) {
    const TargetQuery query = QueryOf(now, request);
    retryAfter = RetryAfter(now, request, query, m_selector.ReasonForNoTarget(now, query));
  }
  RefuseUnknown(now, request, retryAfter, outbox);
}

void Dispatcher::OnBody(TimePoint now, Request& request, const TargetAnswerIn& part, Outbox& outbox)
{
  if (request.streams) {
    ForwardEvents(now, request, part, outbox);
    return;
  }
  // Buffered until complete, so that an answer that breaks off can still be replaced by a retry.
  request.bufferedAnswer.bytes += part.bytes;
  if (request.bufferedAnswer.bytes.size() > m_limits.maxBodyBytes) {
    EndUnbounded(now, request, request.sent, AnswerBound::kBody, outbox);
    return;
  }
  if (!part.end) {
    ReportHeldAnswer(request);
    return;
  }
  request.bufferedAnswer.end = true;
  const unsigned status = request.bufferedAnswer.status.value_or(0);
  if (request.model.empty() && request.framing == AnswerFraming::kDelimited) {
    m_selector.OnAnswerTime(now, request.sent.target, now - request.sent.at);
  }
  request.answerOrigin = kTargetAnswer;
  outbox.emplace_back(std::move(request.bufferedAnswer));
  Complete(now, request, status, outbox);
}

void Dispatcher::ForwardEvents(TimePoint now,
                               Request& request,
                               const TargetAnswerIn& part,
                               Outbox& outbox)
{
  std::string events = request.events.Take(part.bytes);
  if (request.begunAt == TimePoint{} && !events.empty()) {
    request.begunAt = now;
    m_fastestStarts[KindOf(request)].Add(now, now - request.sent.at);
    if (const auto predicted = m_forecasts.OnFirstEvent(now, request.sent.exchange)) {
      request.predicted = *predicted;
      request.observed = now - request.sent.at;
    }
  }
  if (request.begunAt != TimePoint{} && now - request.begunAt >= PromptSuspects::kProofTime) {
    ProveParts(now, request, request.begunAt, outbox);
  }
  if (request.events.PartialBytes() > m_limits.maxEventBytes) {
    SendEvents(now, request, std::move(events), false, outbox);
    EndUnbounded(now, request, request.sent, AnswerBound::kEvent, outbox);
  } else if (part.end) {
    EndStream(now, request, std::move(events), outbox);
  } else {
    SendEvents(now, request, std::move(events), false, outbox);
    ReportHeldAnswer(request);
  }
}

void Dispatcher::ReportHeldAnswer(Request& request) const
{
  std::size_t bytes = request.bufferedAnswer.bytes.capacity() + request.events.PartialBytes();
  if (!request.hedges.empty()) {
    bytes += request.held.bytes;
  }
  for (const Hedge& hedge : request.hedges) {
    bytes += hedge.held.bytes;
  }
  if (m_onHeldAnswer && bytes != request.reportedBytes) {
    request.reportedBytes = bytes;
    m_onHeldAnswer(request.call.exchange, bytes);
  }
}

Dispatcher::AnswerBound Dispatcher::ExceededBy(const HeldAnswer& held) const
{
  if (held.bytes > m_limits.maxBodyBytes) {
    return AnswerBound::kBody;
  }
  return held.events.PartialBytes() > m_limits.maxEventBytes ? AnswerBound::kEvent
                                                             : AnswerBound::kNone;
}

void Dispatcher::EndUnbounded(TimePoint now,
                              Request& request,
                              const SentCall& sent,
                              AnswerBound bound,
                              Outbox& outbox)
{
  const bool isBody = bound == AnswerBound::kBody;
  const std::size_t most = isBody ? m_limits.maxBodyBytes : m_limits.maxEventBytes;
  m_selector.OnNoAnswer(now, sent.target);
  const std::string reason =
    std::string(isBody ? "the body" : "an event") + " exceeds " + std::to_string(most) + " bytes";
  outbox.emplace_back(MakeEvent(EventNumber::kGatewayAnswerUnbounded,
                                { { "request", request.call.requestId },
                                  { "target", sent.target.instance.Get() },
                                  { "bound", isBody ? "body" : "event" },
                                  { "reason", reason } }));
  EndAttempt(now, request, sent, true, reason, outbox);
}

void Dispatcher::EndStream(TimePoint now, Request& request, std::string events, Outbox& outbox)
{
  const bool isDelimited = request.framing == AnswerFraming::kDelimited;
  if (isDelimited && !request.headForwarded && events.empty()) {
    events = request.events.TakePartial(); // A whole answer that is no stream of events.
  }
  if (request.events.HasPartial()) {
    SendEvents(now, request, std::move(events), false, outbox);
    const char* error = "the stream ended inside an event";
    if (isDelimited) {
      AttemptEnded(now, request, outbox, true, error);
    } else {
      OnClosed(now, request, request.sent, error, outbox);
    }
    return;
  }
  const bool wasDelimited =
    request.headForwarded && request.callerFraming == AnswerFraming::kDelimited;
  if (wasDelimited && !isDelimited) {
    // A last chunk would state an end that the target didn't state.
    SendEvents(now, request, std::move(events), false, outbox);
    AttemptEnded(now, request, outbox, true, "the end of the resumed stream is not certain");
    return;
  }
  // The end of an answer that may have been cut is sent once it is settled.
  SendEvents(now, request, std::move(events), isDelimited, outbox);
  const unsigned status = 200;
  Complete(now, request, status, outbox);
}

void Dispatcher::SendEvents(TimePoint now,
                            Request& request,
                            std::string events,
                            bool end,
                            Outbox& outbox)
{
  if (events.empty() && !end) {
    return;
  }
  HttpAnswerOut out;
  if (!request.headForwarded) {
    out = std::move(request.bufferedAnswer);
    request.callerFraming = out.framing;
    request.headForwarded = true;
    request.answerOrigin = kTargetAnswer;
    request.firstEventAt = now;
    const ServedKind kind = KindOf(request);
    m_queue.OnFirstEvent(kind, now - request.sent.at);
    m_retryPlaces[kind].OnFirstEvent(now);
    m_room.OnFirstEvent(now, kind, now - request.sent.at);
  }
  if (request.lastEventAt != TimePoint{}) {
    request.longestPause = std::max(request.longestPause, now - request.lastEventAt);
  }
  request.lastEventAt = now;
  out.exchange = request.call.exchange;
  out.bytes = std::move(events);
  out.end = end;
  outbox.emplace_back(std::move(out));
}

void Dispatcher::Complete(TimePoint now, Request& request, unsigned status, Outbox& outbox)
{
  DropHedges(now, request, ExchangeId(), outbox);
  StopAttempt(request, outbox, false);
  if (IsSuccess(status)) {
    RecordAnswerTime(now, request);
  }
  if (request.framing == AnswerFraming::kUntilClose) {
    CompleteUnconfirmed(now, request, status, outbox);
    return;
  }
  m_selector.OnSuccess(request.sent.target);
  RecordFinished(now, request.fingerprint, outbox);
  ProveParts(now, request, std::max(request.begunAt, request.sent.at), outbox);
  End(now, request, "answered", status, outbox);
}

bool Dispatcher::RecordClosed(TimePoint now,
                              const Request& request,
                              const SentCall& sent,
                              Outbox& outbox)
{
  m_selector.OnNoAnswer(now, sent.target);
  const bool isQuarantined = RecordCrash(now, request.fingerprint, sent.target, outbox);
  RecordPartCrashes(
    UnprovenParts(now, request, sent), sent.target, { sent.at, now, request.isTrial });
  return isQuarantined;
}

void Dispatcher::OnClosed(TimePoint now,
                          Request& request,
                          const SentCall& sent,
                          const std::string& error,
                          Outbox& outbox)
{
  // The request may be erased when its attempt ends.
  const RequestFingerprint fingerprint = request.fingerprint;
  const TargetIncarnation target = sent.target;
  const bool isQuarantined = RecordClosed(now, request, sent, outbox);
  request.isTrial = false;
  EndAttempt(now, request, sent, true, error, outbox);
  if (isQuarantined) {
    StopRepeats(now, fingerprint, outbox);
  }
  ApplyHeldParts(now, kOwnSource, outbox);
  OnEndsCut(now, target, m_unconfirmed.TakeClosed(now, target), outbox);
}

void Dispatcher::EndAttempt(TimePoint now,
                            Request& request,
                            const SentCall& sent,
                            bool ran,
                            const std::string& error,
                            Outbox& outbox)
{
  if (sent.exchange == request.sent.exchange) {
    AttemptEnded(now, request, outbox, ran, error);
  } else {
    OnHedgeEnded(now, request, sent.exchange, ran, error, outbox);
  }
}

void Dispatcher::OnFailed(TimePoint now, const TargetFailedIn& failed, Outbox& outbox)
{
  Request* request = FindByAttempt(failed.exchange);
  if (request == nullptr) {
    return;
  }
  const SentCall sent = FindCall(*request, failed.exchange);
  if (failed.error.code == ErrorCode::kTooLarge) {
    outbox.emplace_back(MakeEvent(EventNumber::kGatewayAnswerUnbounded,
                                  { { "request", request->call.requestId },
                                    { "target", sent.target.instance.Get() },
                                    { "bound", "head" },
                                    { "reason", failed.error.description } }));
  }
  const std::string error = failed.error.step + ": " + failed.error.description;
  if (failed.isWithdrawn) {
    OnWithdrawn(now, *request, sent, outbox);
  } else if (failed.neverSent) {
    m_selector.OnUnreachable(now, sent.target);
    ++request->excusedAttempts; // The route's maximum counts targets that got the request.
    EndAttempt(now, *request, sent, false, error, outbox);
    if (failed.error.code == ErrorCode::kUnavailable) {
      OnEndsCut(now, sent.target, m_unconfirmed.TakeAll(sent.target), outbox);
    }
  } else if (failed.error.code == ErrorCode::kUnavailable) {
    OnClosed(now, *request, sent, error, outbox);
  } else {
    m_selector.OnNoAnswer(now, sent.target);
    EndAttempt(now, *request, sent, true, error, outbox);
  }
  UseFreedSlots(now, outbox);
}

void Dispatcher::OnCallerGone(TimePoint now, ExchangeId exchange, Outbox& outbox)
{
  if (Request* request = Find(exchange)) {
    StopAttempts(now, *request, "the caller has left", outbox);
    End(now, *request, "caller-gone", 0, outbox);
    UseFreedSlots(now, outbox);
  }
}

void Dispatcher::Tick(TimePoint now, Outbox& outbox)
{
  ReleaseHeldEnds(now, outbox);
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    Request& request = *Find(m_deadlines.begin()->second);
    request.mayHaveRun = request.mayHaveRun || !request.sent.exchange.IsNone();
    request.lastError = kTimeIsOver;
    RecordAnswerTime(now, request); // It would have taken longer.
    StopAttempts(now, request, request.lastError, outbox);
    GiveUp(now, request, outbox);
  }
  RefuseQueuedTooLong(now, outbox);
  for (const ExchangeId exchange : m_queue.TakeExpired(now)) {
    SendOrGiveUp(now, *Find(exchange), outbox);
  }
  HedgeRequests(now, outbox);
  m_suspects.RemoveExpired(now);
  m_promptParts.RemoveExpired(now);
  m_unconfirmed.RemoveExpired(now);
  m_forecasts.RemoveUnused(now);
  UseFreedSlots(now, outbox);
}

void Dispatcher::UseFreedSlots(TimePoint now, Outbox& outbox)
{
  for (const ServedKind& kind : m_freedSlots) {
    m_queue.OnSlotFreed(now, kind);
  }
  m_freedSlots.clear();
  DispatchQueued(now, outbox);
}

void Dispatcher::OnTargets(TimePoint now, std::span<const ServedTarget> targets, Outbox& outbox)
{
  m_hasReplaced = !m_selector.Replace(now, targets).empty() || m_hasReplaced;
  HedgeRequests(now, outbox);
  UseFreedSlots(now, outbox); // A new group may have opened.
}

void Dispatcher::OnTargetChanges(TimePoint now,
                                 std::span<const ServedTarget> changed,
                                 std::span<const InstanceId> gone,
                                 Outbox& outbox)
{
  m_hasReplaced = !m_selector.Change(now, changed, gone).empty() || m_hasReplaced;
  HedgeRequests(now, outbox);
  UseFreedSlots(now, outbox);
}

std::vector<DemandRow> Dispatcher::Demand() const
{
  std::vector<DemandRow> rows;
  for (const auto& [key, row] : m_demand) {
    rows.push_back(row);
  }
  return rows;
}

} // namespace gooseberrysail
