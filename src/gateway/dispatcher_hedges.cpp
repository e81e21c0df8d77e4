#include "gooseberrysail/gateway/dispatcher.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>

namespace gooseberrysail {

// A target that sends nothing may go on with all it has, so nothing there is ended before another
// attempt goes on.
void Dispatcher::HedgeRequests(TimePoint now, Outbox& outbox)
{
  const std::vector<TargetIncarnation> stalled = m_selector.ListStalledHeads(now);
  for (const TargetIncarnation& head : stalled) {
    m_selector.OnStalled(now, head);
  }
  if (stalled.empty() && !m_hasReplaced) {
    return;
  }
  const auto isDoubtful = [&](const SentCall& sent) {
    return m_selector.Find(sent.target) == nullptr ||
           std::ranges::find(stalled, sent.target) != stalled.end();
  };
  m_hasReplaced = false;
  for (auto& [exchange, request] : m_requests) {
    if (request.sent.exchange.IsNone()) {
      continue;
    }
    const TargetSelector::Row* row = m_selector.Find(request.sent.target);
    m_hasReplaced = m_hasReplaced || row == nullptr;
    const bool isInDoubt =
      isDoubtful(request.sent) && std::ranges::all_of(request.hedges, [&](const Hedge& hedge) {
        return isDoubtful(hedge.sent);
      });
    const ServedTarget* target = isInDoubt ? TakeRetry(now, request, true) : nullptr;
    if (target == nullptr) {
      continue;
    }
    request.hedges.push_back({ StartCall(now, request, *target, outbox), {} });
    outbox.emplace_back(
      MakeEvent(EventNumber::kGatewayRequestHedged,
                { { "request", request.call.requestId },
                  { "target", request.sent.target.instance.Get() },
                  { "reason", row ? "its head stands still" : "its target started again" },
                  { "silentMillis",
                    row ? std::to_string(ToMillis(TargetSelector::SilentFor(now, *row))) : "" },
                  { "others", row ? std::to_string(std::max(row->inFlight, 1U) - 1) : "" },
                  { "attempt", std::to_string(request.attempts) },
                  { "second", target->instance.Get() } }));
  }
}

// One event may be the last that was on its way from a process that has ended. The events are held
// back meanwhile: once one of them has gone to the caller, no hedge could resume the stream.
void Dispatcher::OnDoubtedAnswer(TimePoint now,
                                 Request& request,
                                 const TargetAnswerIn& part,
                                 Outbox& outbox)
{
  // An answer in one piece goes on when it ends; a head that can't be forwarded ends its attempt.
  const bool beginsStream = part.status && IsSuccess(*part.status) &&
                            IsStream(request.route->repeat) &&
                            FaultOf(m_api.decodeHead(part)).empty();
  if (!request.streams && !beginsStream && request.held.parts.empty()) {
    OnPart(now, request, part, outbox);
    return;
  }
  HeldAnswer& held = request.held;
  held.parts.push_back(part);
  held.bytes += part.bytes.size();
  const bool hasEvent = !held.events.Take(part.bytes).empty();
  if (hasEvent && held.firstEventAt == TimePoint{}) {
    held.firstEventAt = now;
  }
  ReportHeldAnswer(request);
  if (const AnswerBound bound = ExceededBy(held); bound != AnswerBound::kNone) {
    EndUnbounded(now, request, request.sent, bound, outbox);
    return;
  }
  const bool hasGoneOn = hasEvent && now - held.firstEventAt >= kGoesOnAfter;
  if (part.end && held.events.HasPartial()) {
    AttemptEnded(now, request, outbox, true, "the stream ended inside an event");
  } else if (hasGoneOn || part.end) {
    DropHedges(now, request, ExchangeId(), outbox);
    ForwardParts(now, std::exchange(request.held, {}).parts, outbox);
  }
}

void Dispatcher::ForwardParts(TimePoint now,
                              const std::vector<TargetAnswerIn>& parts,
                              Outbox& outbox)
{
  for (const TargetAnswerIn& part : parts) {
    if (Request* request = FindByAttempt(part.exchange)) {
      OnPart(now, *request, part, outbox);
    }
  }
}

Dispatcher::Hedge* Dispatcher::FindHedge(Request& request, ExchangeId exchange)
{
  const auto found = std::ranges::find_if(
    request.hedges, [&](const Hedge& hedge) { return hedge.sent.exchange == exchange; });
  return found == request.hedges.end() ? nullptr : &*found;
}

const Dispatcher::SentCall& Dispatcher::FindCall(Request& request, ExchangeId exchange)
{
  const Hedge* hedge = FindHedge(request, exchange);
  return hedge == nullptr ? request.sent : hedge->sent;
}

// The first attempt may still succeed, so a failure of the target is no answer either.
std::string Dispatcher::HedgeFaultOf(const Request& request,
                                     const TargetHead& head,
                                     AnswerFraming framing)
{
  if (std::string fault = FaultOf(head); !fault.empty()) {
    return fault;
  }
  if (head.status >= kServerFault || IsUnstatedRefusal(head)) {
    return FailureOf(head);
  }
  if (request.headForwarded && !Resumes(request, head.status)) {
    return "could not go on with the stream";
  }
  const bool statesEnd =
    framing == AnswerFraming::kDelimited || request.callerFraming == AnswerFraming::kUntilClose;
  return request.headForwarded && !statesEnd ? "the end of the resumed stream is not certain" : "";
}

void Dispatcher::OnHedgeAnswer(TimePoint now,
                               Request& request,
                               const TargetAnswerIn& part,
                               Outbox& outbox)
{
  Hedge& hedge = *FindHedge(request, part.exchange);
  if (part.status) {
    const TargetHead head = m_api.decodeHead(part);
    NoteHead(hedge.sent, head);
    if (const std::string fault = HedgeFaultOf(request, head, part.framing); !fault.empty()) {
      RecordStatements(now, request, hedge.sent, head, outbox);
      m_selector.OnFailure(now, hedge.sent.target);
      request.excusedAttempts += IsExcused(head) ? 1 : 0;
      OnHedgeEnded(now, request, part.exchange, !head.HasNotRun(), fault, outbox, head.retryAfter);
      return;
    }
  }
  HeldAnswer& held = hedge.held;
  held.parts.push_back(part);
  held.bytes += part.bytes.size();
  const bool hasEvent = !held.events.Take(part.bytes).empty();
  ReportHeldAnswer(request);
  if (const AnswerBound bound = ExceededBy(held); bound != AnswerBound::kNone) {
    EndUnbounded(now, request, SentCall(hedge.sent), bound, outbox);
    return;
  }
  const bool isStream =
    IsStream(request.route->repeat) && IsSuccess(held.parts.front().status.value_or(0));
  if (isStream && part.end && (!hasEvent || held.events.HasPartial())) {
    OnHedgeEnded(now, request, part.exchange, true, "the stream ended inside an event", outbox);
    return;
  }
  if (!(isStream ? hasEvent : part.end)) {
    return;
  }
  StopAttempt(request, outbox, true);
  LogFailedAttempt(now, request, request.sent, true, kGoesOn, std::nullopt, outbox);
  request.mayHaveRun = true;
  // The others began where this one did: none of them could resume the stream after its events.
  DropHedges(now, request, part.exchange, outbox);
  ForwardHedge(now, request, part.exchange, outbox);
}

void Dispatcher::OnHedgeEnded(TimePoint now,
                              Request& request,
                              ExchangeId exchange,
                              bool ran,
                              const std::string& reason,
                              Outbox& outbox,
                              std::optional<Duration> retryAfter)
{
  DropHedge(now, request, exchange, ran, reason, outbox, retryAfter);
  if (request.hedges.empty()) {
    ForwardParts(now, std::exchange(request.held, {}).parts, outbox);
  }
}

void Dispatcher::DropHedge(TimePoint now,
                           Request& request,
                           ExchangeId exchange,
                           bool ran,
                           const std::string& reason,
                           Outbox& outbox,
                           std::optional<Duration> retryAfter)
{
  const SentCall sent = FindHedge(request, exchange)->sent;
  EndCall(request, sent, outbox, true);
  std::erase_if(request.hedges,
                [&](const Hedge& hedge) { return hedge.sent.exchange == exchange; });
  request.mayHaveRun = request.mayHaveRun || ran;
  LogFailedAttempt(now, request, sent, ran, reason, retryAfter, outbox);
}

void Dispatcher::DropHedges(TimePoint now, Request& request, ExchangeId kept, Outbox& outbox)
{
  std::vector<ExchangeId> dropped;
  for (const Hedge& hedge : request.hedges) {
    if (hedge.sent.exchange != kept) {
      dropped.push_back(hedge.sent.exchange);
    }
  }
  for (const ExchangeId exchange : dropped) {
    DropHedge(now, request, exchange, true, kGoesOn, outbox, std::nullopt);
  }
}

void Dispatcher::ForwardHedge(TimePoint now, Request& request, ExchangeId exchange, Outbox& outbox)
{
  const Hedge hedge = std::move(*FindHedge(request, exchange));
  std::erase_if(request.hedges,
                [&](const Hedge& other) { return other.sent.exchange == exchange; });
  ForwardFrom(request, hedge.sent);
  request.events.DiscardPartial();
  ForwardParts(now, hedge.held.parts, outbox);
}

} // namespace gooseberrysail
