#include "gooseberrysail/core/decimal.hpp"
#include "gooseberrysail/gateway/dispatcher.hpp"
#include "gooseberrysail/observe/event.hpp"

namespace gooseberrysail {

void Dispatcher::RecordStatements(TimePoint now,
                                  const Request& request,
                                  const SentCall& sent,
                                  const TargetHead& head,
                                  Outbox& outbox)
{
  RecordLimit(now, request, sent, head, outbox);
  RecordBackoff(now, request, sent, head, outbox);
  if (head.isLeaving && m_selector.OnLeaving(now, sent.target)) {
    outbox.emplace_back(MakeEvent(
      EventNumber::kGatewayTargetLeaving,
      { { "target", sent.target.instance.Get() }, { "request", request.call.requestId } }));
  }
}

void Dispatcher::RecordLimit(TimePoint now,
                             const Request& request,
                             const SentCall& sent,
                             const TargetHead& head,
                             Outbox& outbox)
{
  const LimitChange change =
    m_selector.OnLimit(now, sent.target, sent.at, { head.requestLimit, head.hasInvalidLimit });
  if (change != LimitChange::kNone) {
    const std::string limit = head.requestLimit ? ToDecimal(*head.requestLimit) : "";
    outbox.emplace_back(MakeEvent(EventNumber::kGatewayTargetLimit,
                                  { { "target", sent.target.instance.Get() },
                                    { "state", ToString(change) },
                                    { "perSecond", limit },
                                    { "request", request.call.requestId } }));
  }
}

void Dispatcher::RecordBackoff(TimePoint now,
                               const Request& request,
                               const SentCall& sent,
                               const TargetHead& head,
                               Outbox& outbox)
{
  const BackoffChange change =
    m_selector.OnBackoff(now, sent.target, { head.retryAfter, head.hasInvalidRetryAfter });
  if (change == BackoffChange::kRequested) {
    WithdrawUnsent(sent, outbox);
  }
  if (change != BackoffChange::kNone) {
    const std::string millis = head.retryAfter ? std::to_string(ToMillis(*head.retryAfter)) : "";
    outbox.emplace_back(MakeEvent(EventNumber::kGatewayTargetBackoff,
                                  { { "target", sent.target.instance.Get() },
                                    { "state", ToString(change) },
                                    { "millis", millis },
                                    { "request", request.call.requestId } }));
  }
}

// A connection may take half a second to be made; its request would reach the target in the
// backoff.
void Dispatcher::WithdrawUnsent(const SentCall& informed, Outbox& outbox)
{
  const auto withdraw = [&](const SentCall& sent) {
    const bool isOther = !sent.exchange.IsNone() && sent.exchange != informed.exchange;
    if (isOther && sent.target == informed.target) {
      outbox.emplace_back(TargetWithdrawOut{ sent.exchange });
    }
  };
  for (const auto& [exchange, request] : m_requests) {
    withdraw(request.sent);
    for (const Hedge& hedge : request.hedges) {
      withdraw(hedge.sent);
    }
  }
}

void Dispatcher::OnWithdrawn(TimePoint now, Request& request, const SentCall& sent, Outbox& outbox)
{
  const char* reason = "withdrawn before it was sent";
  ++request.excusedAttempts;
  if (sent.exchange != request.sent.exchange) {
    OnHedgeEnded(now, request, sent.exchange, false, reason, outbox);
    return;
  }
  StopAttempt(request, outbox, false);
  LogFailedAttempt(now, request, request.sent, false, reason, std::nullopt, outbox);
  if (request.hedges.empty()) {
    Attempt(now, request, outbox);
  } else {
    ForwardHedge(now, request, request.hedges.front().sent.exchange, outbox);
  }
}

} // namespace gooseberrysail
