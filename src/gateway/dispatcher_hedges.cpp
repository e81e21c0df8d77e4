#include "gooseberrysail/gateway/dispatcher.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>

namespace gooseberrysail {

void Dispatcher::HedgeAfterRestart(TimePoint now,
                                   std::span<const InstanceId> restarted,
                                   Outbox& outbox)
{
  if (!restarted.empty()) {
    const auto hasRestarted = [&](const TargetIncarnation& target) {
      return std::ranges::find(restarted, target.instance) != restarted.end();
    };
    HedgeRequests(now, hasRestarted, "its target started again", outbox);
  }
  UseFreedSlots(now, outbox); // A new group may have opened.
}

// A target that sends nothing may go on with all it has, so nothing there is ended before another
// attempt goes on.
void Dispatcher::HedgeRequests(TimePoint now,
                               const IsDoubtful& isDoubtful,
                               const char* reason,
                               Outbox& outbox)
{
  for (auto& [exchange, request] : m_requests) {
    const bool isInDoubt = !request.sent.exchange.IsNone() && isDoubtful(request.sent.target) &&
                           std::ranges::all_of(request.hedges, [&](const Hedge& hedge) {
                             return isDoubtful(hedge.sent.target);
                           });
    const ServedTarget* target = isInDoubt ? TakeRetry(now, request, true) : nullptr;
    if (target == nullptr) {
      continue;
    }
    request.hedges.push_back({ Call(now, request, *target, outbox), {}, {} });
    const TargetSelector::Row* row = m_selector.Find(request.sent.target);
    outbox.emplace_back(
      MakeEvent(EventNumber::kGatewayRequestHedged,
                { { "request", request.call.requestId },
                  { "target", request.sent.target.instance.Get() },
                  { "reason", reason },
                  { "silentMillis",
                    row ? std::to_string(ToMillis(TargetSelector::SilentFor(now, *row))) : "" },
                  { "others", row ? std::to_string(std::max(row->inFlight, 1U) - 1) : "" },
                  { "attempt", std::to_string(request.attempts) },
                  { "second", target->instance.Get() } }));
  }
}

Dispatcher::Hedge* Dispatcher::FindHedge(Request& request, ExchangeId exchange)
{
  const auto found = std::ranges::find_if(
    request.hedges, [&](const Hedge& hedge) { return hedge.sent.exchange == exchange; });
  return found == request.hedges.end() ? nullptr : &*found;
}

std::string Dispatcher::HedgeFaultOf(const Request& request, const TargetHead& head)
{
  if (std::string fault = FaultOf(request, head); !fault.empty()) {
    return fault;
  }
  if (head.status >= kServerFault) {
    return "failed with " + std::to_string(head.status);
  }
  const bool streams = IsStream(request.route->repeat) && IsSuccess(head.status);
  return request.headForwarded && !streams ? "could not go on with the stream" : "";
}

void Dispatcher::OnHedgeAnswer(TimePoint now,
                               Request& request,
                               const TargetAnswerIn& part,
                               Outbox& outbox)
{
  Hedge& hedge = *FindHedge(request, part.exchange);
  if (part.status) {
    const TargetHead head = m_api.decodeHead(part);
    RecordStatements(now, request, hedge.sent, head, outbox);
    if (const std::string fault = HedgeFaultOf(request, head); !fault.empty()) {
      m_selector.OnFailure(now, hedge.sent.target);
      request.excusedAttempts += head.neverRan && head.retryAfter > Duration::zero() ? 1 : 0;
      DropHedge(now, request, part.exchange, !head.neverRan, fault, outbox);
      return;
    }
  }
  hedge.parts.push_back(part);
  const bool hasEvent = !hedge.events.Take(part.bytes).empty();
  if (!part.end && !(hasEvent && IsStream(request.route->repeat))) {
    return;
  }
  const char* reason = "another attempt goes on";
  StopAttempt(request, outbox, true);
  LogFailedAttempt(now, request, request.sent, true, reason, std::nullopt, outbox);
  request.mayHaveRun = true;
  ServeHedge(now, request, part.exchange, outbox);
}

void Dispatcher::OnHedgeFailed(TimePoint now,
                               Request& request,
                               const TargetFailedIn& failed,
                               Outbox& outbox)
{
  const SentCall sent = FindHedge(request, failed.exchange)->sent;
  const RequestFingerprint fingerprint = request.fingerprint;
  const bool isClosed = !failed.neverSent && failed.error.code == ErrorCode::kUnavailable;
  bool isQuarantined = false;
  if (isClosed) {
    isQuarantined = RecordClosed(now, request, sent, outbox);
  } else if (failed.neverSent && !failed.isWithdrawn) {
    m_selector.OnUnreachable(now, sent.target);
  } else if (!failed.isWithdrawn) {
    m_selector.OnNoAnswer(now, sent.target);
  }
  request.excusedAttempts += failed.neverSent ? 1 : 0;
  const std::string error = failed.error.step + ": " + failed.error.description;
  DropHedge(now, request, failed.exchange, !failed.neverSent, error, outbox);
  if (isQuarantined) {
    StopRepeats(now, fingerprint, outbox);
  }
  if (isClosed) {
    ApplyHeldParts(now, kOwnSource, outbox);
    OnEndsCut(now, sent.target, m_unconfirmed.TakeClosed(now, sent.target), outbox);
  } else if (failed.neverSent && failed.error.code == ErrorCode::kUnavailable &&
             !failed.isWithdrawn) {
    OnEndsCut(now, sent.target, m_unconfirmed.TakeAll(sent.target), outbox);
  }
}

void Dispatcher::DropHedge(TimePoint now,
                           Request& request,
                           ExchangeId exchange,
                           bool ran,
                           const std::string& reason,
                           Outbox& outbox)
{
  const SentCall sent = FindHedge(request, exchange)->sent;
  Release(request, sent, outbox, true);
  std::erase_if(request.hedges,
                [&](const Hedge& hedge) { return hedge.sent.exchange == exchange; });
  request.mayHaveRun = request.mayHaveRun || ran;
  LogFailedAttempt(now, request, sent, ran, reason, std::nullopt, outbox);
}

void Dispatcher::DropHedges(TimePoint now,
                            Request& request,
                            const std::string& reason,
                            Outbox& outbox)
{
  while (!request.hedges.empty()) {
    DropHedge(now, request, request.hedges.back().sent.exchange, true, reason, outbox);
  }
}

void Dispatcher::ServeHedge(TimePoint now, Request& request, ExchangeId exchange, Outbox& outbox)
{
  const Hedge hedge = std::move(*FindHedge(request, exchange));
  std::erase_if(request.hedges,
                [&](const Hedge& other) { return other.sent.exchange == exchange; });
  Serve(request, hedge.sent);
  request.events.DiscardPartial();
  for (const TargetAnswerIn& part : hedge.parts) {
    if (Request* served = FindByAttempt(part.exchange)) {
      OnPart(now, *served, part, outbox);
    }
  }
}

} // namespace gooseberrysail
