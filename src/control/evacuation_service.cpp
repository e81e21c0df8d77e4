#include "gooseberrysail/control/evacuation_service.hpp"

#include "control/outside_calls.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

bool IsKnown(const ControlContext& context, const FailureDomainId& domain)
{
  const std::vector<FailureDomainId>& known = context.settings.failureDomains;
  return known.empty() || std::ranges::find(known, domain) != known.end();
}

} // namespace

// An order that is in force already is not proposed again, but it is answered like a read: another
// leader may have committed its withdrawal.
void EvacuationService::OnOrder(ControlContext& context,
                                ExchangeId exchange,
                                const EvacuateCall& call,
                                const Respond& respond)
{
  if (!IsKnown(context, call.failureDomain)) {
    const std::string reason = "unknown failure domain '" + call.failureDomain.Get() + "'";
    respond(exchange, { OutsideStatus::kInvalid, {}, reason, {}, {} });
    return;
  }
  if (OpenCalls() >= impl::kMaxOpenCalls) {
    respond(exchange, impl::Unavailable("too many calls at once"));
    return;
  }
  const bool isInForce =
    context.state.Evacuated().contains(call.failureDomain) != call.isWithdrawal;
  if (!isInForce) {
    wire::SetEvacuationT command;
    command.failureDomain = call.failureDomain.Get();
    command.withdrawn = call.isWithdrawal;
    if (!context.proposer.Propose(std::move(command))) {
      respond(exchange, impl::Unavailable("this process does not lead"));
      return;
    }
  }
  m_orders.push_back({ exchange, call, TakeTicket(context) });
}

bool EvacuationService::IsInForce(const ControlContext& context, const Order& order)
{
  const bool isEvacuated = context.state.Evacuated().contains(order.call.failureDomain);
  return isEvacuated != order.call.isWithdrawal && IsConfirmed(context, order.ticket);
}

void EvacuationService::OnCallerGone(ExchangeId exchange)
{
  std::erase_if(m_orders, [&](const Order& order) { return order.exchange == exchange; });
}

void EvacuationService::Tick(ControlContext& context, const Respond& respond)
{
  std::erase_if(m_orders, [&](const Order& order) {
    const Duration age = context.now - order.ticket.asked;
    if (IsInForce(context, order)) {
      context.outbox.emplace_back(
        MakeEvent(EventNumber::kEvacuationAcknowledged,
                  { { "failureDomain", order.call.failureDomain.Get() },
                    { "state", order.call.isWithdrawal ? "withdrawn" : "evacuated" },
                    { "millis", std::to_string(ToMillis(age)) } }));
      respond(order.exchange, {});
      return true;
    }
    const bool isLate = age > impl::kAnswerTimeout;
    if (isLate) {
      respond(order.exchange, impl::Unavailable("not committed in time; it may still be"));
    }
    return isLate;
  });
}

void EvacuationService::OnLeadershipLost(const Respond& respond)
{
  for (const Order& order : m_orders) {
    respond(order.exchange,
            impl::Unavailable("leadership was lost; the order may still be committed"));
  }
  m_orders.clear();
}

} // namespace gooseberrysail
