#pragma once

#include "gooseberrysail/control/context.hpp"
#include "gooseberrysail/control/outside_api.hpp"

#include <functional>
#include <vector>

namespace gooseberrysail {

/// \brief Handles operators' orders to evacuate failure domains, on the leader.
class EvacuationService
{
public:
  using Respond = std::function<void(ExchangeId, const OutsideAnswer&)>;

  void OnOrder(ControlContext& context,
               ExchangeId exchange,
               const EvacuateCall& call,
               const Respond& respond);
  void OnCallerGone(ExchangeId exchange);

  /// \brief Answers the orders that are in force or timed out.
  void Tick(ControlContext& context, const Respond& respond);

  /// \brief Answers all open orders with an error, as their outcome is not known here any more.
  void OnLeadershipLost(const Respond& respond);

  [[nodiscard]] std::size_t OpenCalls() const noexcept { return m_orders.size(); }

private:
  struct Order
  {
    ExchangeId exchange;
    EvacuateCall call;
    ReadTicket ticket;
  };

  /// \brief Whether the order is in force and durable on a majority.
  [[nodiscard]] static bool IsInForce(const ControlContext& context, const Order& order);

  std::vector<Order> m_orders;
};

} // namespace gooseberrysail
