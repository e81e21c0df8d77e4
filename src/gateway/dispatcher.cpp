#include "gooseberrysail/gateway/dispatcher.hpp"

#include "gooseberrysail/observe/event.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// With less than this left no target can answer in time.
constexpr Duration kLeastTimeLeft = 5ms;

constexpr unsigned kServerFault = 500;

bool IsSuccess(unsigned status)
{
  return status / 100 == 2;
}

} // namespace

Dispatcher::Dispatcher(GatewayApi api,
                       RetrySettings retries,
                       FailureDomainId own,
                       std::function<std::uint64_t()> random)
  : m_api(std::move(api))
  , m_random(random)
  , m_board(std::move(own), std::move(random))
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

void Dispatcher::Attempt(TimePoint now, Request& request, Outbox& outbox)
{
  const ServedTarget* target =
    m_board.Choose(now, { request.service, request.model, request.tried });
  if (target == nullptr) {
    if (!TryWait(now, request)) {
      GiveUp(now, request, outbox);
    }
    return;
  }
  Send(now, request, *target, outbox);
}

void Dispatcher::Send(TimePoint now, Request& request, const ServedTarget& target, Outbox& outbox)
{
  const ExchangeId attempt(++m_lastAttempt);
  request.attempt = attempt;
  request.target = { target.instance, target.born };
  request.tried.insert(target.instance);
  request.streams = false;
  if (++request.attempts == 1) {
    NoteDemand(request, false);
  }
  m_attempts.emplace(attempt, request.call.exchange);
  std::optional<std::string> resumeAfter;
  if (request.headPassed && !request.events.LastId().empty()) {
    resumeAfter = request.events.LastId();
  }
  outbox.emplace_back(m_api.encodeAttempt(
    { attempt, request.call, target, request.deadline - now, request.workspace, resumeAfter }));
  request.sentAt = now;
  m_board.OnSent(now, request.target);
}

// Only what was not sent yet: a second attempt has used up the time that waiting needs.
bool Dispatcher::TryWait(TimePoint now, const Request& request)
{
  const NoTarget reason = m_board.WhyNone(now, { request.service, request.model, request.tried });
  const bool mayWait = request.attempts == 0 && !request.model.empty() && reason == NoTarget::kFull;
  return mayWait && m_line.TryJoin(now,
                                   { request.service, request.model },
                                   request.call.exchange,
                                   request.route->objective);
}

/// Those who wait take the room that came free.
void Dispatcher::ServeWaiting(TimePoint now, Outbox& outbox)
{
  for (const ServedKind& kind : m_line.ListWaiting()) {
    for (ExchangeId first = m_line.First(kind); !first.IsNone(); first = m_line.First(kind)) {
      Request& request = *Find(first);
      const ServedTarget* target = m_board.Choose(now, { kind.service, kind.model, request.tried });
      if (target == nullptr) {
        break;
      }
      m_line.Remove(first);
      Send(now, request, *target, outbox);
    }
  }
}

bool Dispatcher::MayRetry(TimePoint now, const Request& request)
{
  const bool repeatable = !request.mayHaveRun || MayRunAgain(request.route->repeat);
  return repeatable && request.attempts < request.route->maxAttempts &&
         request.deadline - now > kLeastTimeLeft &&
         m_board.Choose(now, { request.service, request.model, request.tried }) != nullptr &&
         m_retries.TryTake(now, request.service);
}

void Dispatcher::StopAttempt(Request& request, Outbox& outbox, bool cancel)
{
  if (request.attempt.IsNone()) {
    return;
  }
  if (cancel) {
    outbox.emplace_back(TargetCancelOut{ request.attempt });
  }
  m_attempts.erase(request.attempt);
  m_board.OnEnded(request.target);
  m_freed.insert({ request.service, request.model });
  request.attempt = ExchangeId();
}

/// An attempt brought no answer that can be passed on.
void Dispatcher::AttemptEnded(TimePoint now,
                              Request& request,
                              Outbox& outbox,
                              bool ran,
                              std::string trouble)
{
  StopAttempt(request, outbox, true);
  m_board.OnTrouble(now, request.target);
  request.mayHaveRun = request.mayHaveRun || ran;
  request.lastTrouble = std::move(trouble);
  request.events.DropRest();
  outbox.emplace_back(MakeEvent(EventNumber::kGatewayAttemptFailed,
                                { { "request", request.call.requestId },
                                  { "attempt", std::to_string(request.attempts) },
                                  { "target", request.target.instance.Get() },
                                  { "ran", ran ? "maybe" : "no" },
                                  { "reason", request.lastTrouble } }));
  if (MayRetry(now, request)) {
    Attempt(now, request, outbox);
  } else {
    GiveUp(now, request, outbox);
  }
}

void Dispatcher::OnAnswer(TimePoint now, const TargetAnswerIn& part, Outbox& outbox)
{
  Request* request = FindByAttempt(part.exchange);
  if (request == nullptr) {
    return;
  }
  m_board.OnBytes(now, request->target);
  if (part.status) {
    OnHead(now, *request, part, outbox);
  } else {
    OnBody(now, *request, part, outbox);
  }
  UseRoom(now, outbox);
}

void Dispatcher::OnHead(TimePoint now, Request& request, const TargetAnswerIn& part, Outbox& outbox)
{
  TargetHead head = m_api.decodeHead(part);
  if (head.neverRan) {
    AttemptEnded(now, request, outbox, false, "refused with " + std::to_string(head.status));
    return;
  }
  // Bytes that an earlier exchange left on the connection look like an answer to this request.
  if (head.requestId != request.call.requestId) {
    AttemptEnded(now, request, outbox, true, "an answer to another request");
    return;
  }
  if (IsSuccess(head.status) && !head.isProven) {
    AttemptEnded(now, request, outbox, true, "a success without its seal");
    return;
  }
  if (head.status >= kServerFault && MayRunAgain(request.route->repeat) && !request.headPassed &&
      MayRetry(now, request)) {
    StopAttempt(request, outbox, true);
    request.mayHaveRun = true;
    request.lastTrouble = "failed with " + std::to_string(head.status);
    Attempt(now, request, outbox);
    return;
  }
  request.streams = IsStream(request.route->repeat) && IsSuccess(head.status);
  if (request.headPassed && !request.streams) {
    AttemptEnded(now, request, outbox, true, "could not go on with the stream");
    return;
  }
  if (!request.headPassed) {
    request.whole = HttpAnswerOut{};
    request.whole.exchange = request.call.exchange;
    request.whole.status = head.status;
    request.whole.headers = std::move(head.headers);
  }
  OnBody(now, request, part, outbox);
}

void Dispatcher::OnBody(TimePoint now, Request& request, const TargetAnswerIn& part, Outbox& outbox)
{
  if (request.streams) {
    PassEvents(now, request, part, outbox);
    return;
  }
  // Passed on in one piece: an answer that breaks off half way can still be replaced.
  request.whole.bytes += part.bytes;
  if (!part.end) {
    return;
  }
  request.whole.end = true;
  const unsigned status = request.whole.status.value_or(0);
  if (request.model.empty()) {
    m_board.OnAnswerTime(now, request.target, now - request.sentAt);
  }
  outbox.emplace_back(std::move(request.whole));
  StopAttempt(request, outbox, false);
  m_board.OnSuccess(request.target);
  End(now, request, "answered", status, outbox);
}

void Dispatcher::PassEvents(TimePoint now,
                            Request& request,
                            const TargetAnswerIn& part,
                            Outbox& outbox)
{
  std::string events = request.events.Take(part.bytes);
  if (part.end) {
    events += request.events.TakeRest();
  }
  if (events.empty() && !part.end) {
    return;
  }
  HttpAnswerOut out;
  if (!request.headPassed) {
    out = std::move(request.whole);
    request.headPassed = true;
    request.firstAt = now;
    m_line.OnFirstEvent({ request.service, request.model }, now - request.sentAt);
  }
  out.exchange = request.call.exchange;
  out.bytes = std::move(events);
  out.end = part.end;
  const unsigned status = 200;
  outbox.emplace_back(std::move(out));
  if (part.end) {
    StopAttempt(request, outbox, false);
    m_board.OnSuccess(request.target);
    End(now, request, "answered", status, outbox);
  }
}

void Dispatcher::OnFailed(TimePoint now, const TargetFailedIn& failed, Outbox& outbox)
{
  if (Request* request = FindByAttempt(failed.exchange)) {
    if (failed.neverSent) {
      m_board.OnOutOfReach(now, request->target);
    } else {
      m_board.OnSilence(now, request->target);
    }
    AttemptEnded(now,
                 *request,
                 outbox,
                 !failed.neverSent,
                 failed.error.step + ": " + failed.error.description);
    UseRoom(now, outbox);
  }
}

void Dispatcher::OnCallerGone(TimePoint now, ExchangeId exchange, Outbox& outbox)
{
  if (Request* request = Find(exchange)) {
    StopAttempt(*request, outbox, true);
    End(now, *request, "caller-gone", 0, outbox);
    UseRoom(now, outbox);
  }
}

void Dispatcher::Tick(TimePoint now, Outbox& outbox)
{
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    Request& request = *Find(m_deadlines.begin()->second);
    request.mayHaveRun = request.mayHaveRun || !request.attempt.IsNone();
    request.lastTrouble = "the time for the answer is over";
    StopAttempt(request, outbox, true);
    GiveUp(now, request, outbox);
  }
  for (const ExchangeId exchange : m_line.TakeExpired(now)) {
    GiveUp(now, *Find(exchange), outbox);
  }
  for (const TargetIncarnation& head : m_board.StalledHeads(now)) {
    m_board.OnSilence(now, head);
    const auto isStalled = [&](const TargetIncarnation& target) { return target == head; };
    MoveRequests(now, isStalled, "its head stands still", outbox);
  }
  UseRoom(now, outbox);
}

void Dispatcher::UseRoom(TimePoint now, Outbox& outbox)
{
  for (const ServedKind& kind : m_freed) {
    m_line.OnRoom(now, kind);
  }
  m_freed.clear();
  ServeWaiting(now, outbox);
}

void Dispatcher::OnTargets(TimePoint now, std::span<const ServedTarget> targets, Outbox& outbox)
{
  EndFormerLives(now, m_board.Replace(targets), outbox);
}

void Dispatcher::OnTargetChanges(TimePoint now,
                                 std::span<const ServedTarget> changed,
                                 std::span<const InstanceId> gone,
                                 Outbox& outbox)
{
  EndFormerLives(now, m_board.Change(now, changed, gone), outbox);
}

void Dispatcher::EndFormerLives(TimePoint now,
                                std::span<const InstanceId> restarted,
                                Outbox& outbox)
{
  const auto isOver = [&](const TargetIncarnation& target) {
    return std::ranges::find(restarted, target.instance) != restarted.end();
  };
  MoveRequests(now, isOver, "its target started again", outbox);
  UseRoom(now, outbox); // A group may have opened.
}

// What may not run elsewhere stays: an answer that was made before may still arrive.
void Dispatcher::MoveRequests(TimePoint now,
                              const std::function<bool(const TargetIncarnation&)>& isLost,
                              const char* trouble,
                              Outbox& outbox)
{
  std::vector<ExchangeId> waiting;
  for (const auto& [exchange, request] : m_requests) {
    if (!request.attempt.IsNone() && isLost(request.target)) {
      waiting.push_back(exchange);
    }
  }
  for (const ExchangeId exchange : waiting) {
    Request& request = *Find(exchange);
    if (MayRetry(now, request)) {
      AttemptEnded(now, request, outbox, true, trouble);
    }
  }
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
