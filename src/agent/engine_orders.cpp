#include "gooseberrysail/agent/engine_orders.hpp"

#include <boost/json.hpp>
#include <utility>

namespace gooseberrysail {

namespace {

constexpr unsigned kHttpOk = 200;

std::vector<HttpHeader> JsonHeaders()
{
  return { HttpHeader{ "Content-Type", "application/json" } };
}

} // namespace

void EngineOrders::Want(std::string model, std::string version, Epoch epoch)
{
  m_wanted = Wanted{ std::move(model), std::move(version), epoch };
}

void EngineOrders::WantNothing()
{
  m_wanted.reset();
}

bool EngineOrders::Loaded(const TargetStatus& status) const noexcept
{
  return m_wanted && !m_order && !m_unsureSince && !status.loading &&
         status.model == m_wanted->model && status.version == m_wanted->version;
}

void EngineOrders::Tick(impl::AgentContext& context, const TargetProbe& probe)
{
  const TargetStatus& status = probe.Status();
  if (m_order) {
    return;
  }
  if (m_unsureSince) {
    const bool askedSince = status.aliveAskedAt && *status.aliveAskedAt >= *m_unsureSince;
    if (!askedSince || status.loading) {
      return;
    }
    m_unsureSince.reset();
  }
  if (!m_wanted || Loaded(status) || status.loading || context.Now() < m_notBefore ||
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
  const boost::json::object body{ { "model", m_wanted->model },
                                  { "version", m_wanted->version },
                                  { "fencing", m_wanted->epoch.Get() } };
  const ExchangeId exchange = context.Call(
    "POST", "/orders/load", JsonHeaders(), boost::json::serialize(body), kOrderTimeout);
  m_order = Order{ exchange, m_wanted->model, m_wanted->version, m_wanted->epoch };
  context.Emit(EventNumber::kEngineOrderSent,
               { { "order", "load" },
                 { "model", m_wanted->model },
                 { "version", m_wanted->version },
                 { "epoch", std::to_string(m_wanted->epoch.Get()) } });
}

void EngineOrders::SendUnload(impl::AgentContext& context)
{
  const boost::json::object body{ { "fencing", m_wanted->epoch.Get() } };
  const ExchangeId exchange = context.Call(
    "POST", "/orders/unload", JsonHeaders(), boost::json::serialize(body), kOrderTimeout);
  m_order = Order{ exchange, "", "", m_wanted->epoch };
  context.Emit(EventNumber::kEngineOrderSent,
               { { "order", "unload" },
                 { "model", "" },
                 { "version", "" },
                 { "epoch", std::to_string(m_wanted->epoch.Get()) } });
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
    probe.OnOrdered(order.model, order.version);
    return true;
  }
  m_notBefore = context.Now() + kRetryAfter;
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
  m_notBefore = context.Now() + kRetryAfter;
  if (!failure.neverSent) {
    m_unsureSince = context.Now();
  }
  context.Emit(EventNumber::kEngineOrderFailed, { { "error", ToString(failure.error) } });
  return true;
}

} // namespace gooseberrysail
