#include "gooseberrysail/control/evacuation_service.hpp"

#include "control/outside_calls.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

/// How many order numbers are reserved for each term.
constexpr std::uint64_t kOrdersPerTerm = 1ULL << 20U;

bool IsKnown(const ControlContext& context, const FailureDomainId& domain)
{
  const std::vector<FailureDomainId>& known = context.settings.failureDomains;
  return known.empty() || std::ranges::find(known, domain) != known.end();
}

} // namespace

// An order that seems to be in force already is written to the log, too: an opposite one may have
// been written before it and not be committed yet.
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
  // An earlier call with the same order may have been accepted by this or another process.
  if (OpenCalls() >= impl::kMaxOpenCalls) {
    respond(exchange, impl::Unconfirmed("too many calls at once"));
    return;
  }
  const std::uint64_t firstOfTerm = context.replication.term.Get() * kOrdersPerTerm;
  m_lastNumber = std::max(m_lastNumber, firstOfTerm) + 1;
  wire::SetEvacuationT command;
  command.failureDomain = call.failureDomain.Get();
  command.withdrawn = call.isWithdrawal;
  command.order = m_lastNumber;
  if (!context.proposer.Propose(std::move(command))) {
    respond(exchange, impl::Unconfirmed("the order could not be proposed"));
    return;
  }
  m_orders.push_back({ exchange, call, m_lastNumber, context.now });
}

void EvacuationService::OnCallerGone(ExchangeId exchange)
{
  std::erase_if(m_orders, [&](const Order& order) { return order.exchange == exchange; });
}

// An applied order is committed: a majority has synced it to disk.
void EvacuationService::Tick(ControlContext& context, const Respond& respond)
{
  std::erase_if(m_orders, [&](const Order& order) {
    const Duration age = context.now - order.since;
    if (context.state.EvacuationOrder() >= order.number) {
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
      respond(order.exchange, impl::Unconfirmed("not committed in time; it may still be"));
    }
    return isLate;
  });
}

void EvacuationService::OnLeadershipLost(const Respond& respond)
{
  for (const Order& order : m_orders) {
    respond(order.exchange,
            impl::Unconfirmed("leadership was lost; the order may still be committed"));
  }
  m_orders.clear();
}

} // namespace gooseberrysail
