#include "gooseberrysail/core/decimal.hpp"
#include "gooseberrysail/gateway/dispatcher.hpp"
#include "gooseberrysail/observe/event.hpp"

namespace gooseberrysail {

// An answer to another request was left on the connection by an earlier exchange, and may be old.
void Dispatcher::RecordStatements(TimePoint now,
                                  const Request& request,
                                  const TargetHead& head,
                                  Outbox& outbox)
{
  if (!head.requestId.empty() && head.requestId != request.call.requestId) {
    return;
  }
  RecordLimit(now, request, head, outbox);
  RecordBackoff(now, request, head, outbox);
  if (head.isLeaving && m_selector.OnLeaving(now, request.target)) {
    outbox.emplace_back(MakeEvent(
      EventNumber::kGatewayTargetLeaving,
      { { "target", request.target.instance.Get() }, { "request", request.call.requestId } }));
  }
}

void Dispatcher::RecordLimit(TimePoint now,
                             const Request& request,
                             const TargetHead& head,
                             Outbox& outbox)
{
  const LimitChange change = m_selector.OnLimit(
    now, request.target, request.sentAt, { head.requestLimit, head.hasInvalidLimit });
  if (change != LimitChange::kNone) {
    const std::string limit = head.requestLimit ? ToDecimal(*head.requestLimit) : "";
    outbox.emplace_back(MakeEvent(EventNumber::kGatewayTargetLimit,
                                  { { "target", request.target.instance.Get() },
                                    { "state", ToString(change) },
                                    { "perSecond", limit },
                                    { "request", request.call.requestId } }));
  }
}

void Dispatcher::RecordBackoff(TimePoint now,
                               const Request& request,
                               const TargetHead& head,
                               Outbox& outbox)
{
  const BackoffChange change =
    m_selector.OnBackoff(now, request.target, { head.retryAfter, head.hasInvalidRetryAfter });
  if (change == BackoffChange::kRequested) {
    WithdrawUnsent(request, outbox);
  }
  if (change != BackoffChange::kNone) {
    const std::string millis = head.retryAfter ? std::to_string(ToMillis(*head.retryAfter)) : "";
    outbox.emplace_back(MakeEvent(EventNumber::kGatewayTargetBackoff,
                                  { { "target", request.target.instance.Get() },
                                    { "state", ToString(change) },
                                    { "millis", millis },
                                    { "request", request.call.requestId } }));
  }
}

// A connection may take half a second to be made; its request would reach the target in the
// backoff.
void Dispatcher::WithdrawUnsent(const Request& informed, Outbox& outbox)
{
  for (const auto& [exchange, request] : m_requests) {
    const bool isAtTarget = !request.attempt.IsNone() && request.target == informed.target;
    if (isAtTarget && request.attempt != informed.attempt) {
      outbox.emplace_back(TargetWithdrawOut{ request.attempt });
    }
  }
}

void Dispatcher::OnWithdrawn(TimePoint now, Request& request, Outbox& outbox)
{
  StopAttempt(request, outbox, false);
  ++request.excusedAttempts;
  LogFailedAttempt(now, request, false, "withdrawn before it was sent", std::nullopt, outbox);
  Attempt(now, request, outbox);
}

} // namespace gooseberrysail
