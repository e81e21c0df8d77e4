#include "gooseberrysail/agent/engine_orders.hpp"

#include <boost/json.hpp>
#include <utility>

namespace gooseberrysail {

namespace {

constexpr unsigned kHttpOk = 200;
constexpr std::uint64_t kMaxAnswerBytes = std::uint64_t{ 64 } * 1024;

std::vector<HttpHeader> JsonHeaders()
{
  return { HttpHeader{ "Content-Type", "application/json" } };
}

} // namespace

void EngineOrders::SetDesired(std::string model, std::string version, Epoch epoch)
{
  m_desired = DesiredModel{ std::move(model), std::move(version), epoch };
}

void EngineOrders::ClearDesired()
{
  m_desired.reset();
}

bool EngineOrders::Loaded(const TargetStatus& status) const noexcept
{
  return m_desired && !m_order && !m_outcomeUnknownSince && !status.loading &&
         status.model == m_desired->model && status.version == m_desired->version;
}

void EngineOrders::Tick(impl::AgentContext& context, const TargetProbe& probe)
{
  const TargetStatus& status = probe.Status();
  if (m_order) {
    return;
  }
  if (m_outcomeUnknownSince) {
    const bool probedSince = status.aliveAsOf && *status.aliveAsOf >= *m_outcomeUnknownSince;
    if (!probedSince || status.loading) {
      return;
    }
    m_outcomeUnknownSince.reset();
  }
  if (!m_desired || Loaded(status) || status.loading || context.Now() < m_retryAt ||
      !probe.Alive(context.Now())) {
    return;
  }
  if (!status.model.empty()) {
    SendUnload(context);
  } else {
    SendLoad(context);
  }
}

void EngineOrders::SendLoad(impl::AgentContext& context)
{
  const boost::json::object body{ { "model", m_desired->model },
                                  { "version", m_desired->version },
                                  { "fencing", m_desired->epoch.Get() } };
  const ExchangeId exchange = context.Call("POST",
                                           "/orders/load",
                                           JsonHeaders(),
                                           boost::json::serialize(body),
                                           kOrderTimeout,
                                           kMaxAnswerBytes);
  m_order = Order{ exchange, m_desired->model, m_desired->version, m_desired->epoch };
  context.Emit(EventNumber::kEngineOrderSent,
               { { "order", "load" },
                 { "model", m_desired->model },
                 { "version", m_desired->version },
                 { "epoch", std::to_string(m_desired->epoch.Get()) } });
}

void EngineOrders::SendUnload(impl::AgentContext& context)
{
  const boost::json::object body{ { "fencing", m_desired->epoch.Get() } };
  const ExchangeId exchange = context.Call("POST",
                                           "/orders/unload",
                                           JsonHeaders(),
                                           boost::json::serialize(body),
                                           kOrderTimeout,
                                           kMaxAnswerBytes);
  m_order = Order{ exchange, "", "", m_desired->epoch };
  context.Emit(EventNumber::kEngineOrderSent,
               { { "order", "unload" },
                 { "model", "" },
                 { "version", "" },
                 { "epoch", std::to_string(m_desired->epoch.Get()) } });
}

bool EngineOrders::OnAnswer(impl::AgentContext& context,
                            const TargetAnswerIn& answer,
                            TargetProbe& probe)
{
  if (!m_order || answer.exchange != m_order->exchange) {
    return false;
  }
  if (answer.status) {
    m_order->status = *answer.status;
  }
  if (!answer.end) {
    return true;
  }
  const Order order = *std::exchange(m_order, std::nullopt);
  if (order.status == kHttpOk) {
    probe.OnOrderCompleted(order.model, order.version);
    return true;
  }
  m_retryAt = context.Now() + kRetryAfter;
  // An error doesn't prove that the engine did not begin the order.
  m_outcomeUnknownSince = context.Now();
  context.Emit(
    EventNumber::kEngineOrderRefused,
    { { "status", std::to_string(order.status) }, { "epoch", std::to_string(order.epoch.Get()) } });
  return true;
}

bool EngineOrders::OnFailed(impl::AgentContext& context, const TargetFailedIn& failure)
{
  if (!m_order || failure.exchange != m_order->exchange) {
    return false;
  }
  m_order.reset();
  m_retryAt = context.Now() + kRetryAfter;
  if (!failure.neverSent) {
    m_outcomeUnknownSince = context.Now();
  }
  context.Emit(EventNumber::kEngineOrderFailed, { { "error", ToString(failure.error) } });
  return true;
}

} // namespace gooseberrysail
