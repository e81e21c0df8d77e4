#pragma once

#include "gooseberrysail/control/context.hpp"
#include "gooseberrysail/control/outside_api.hpp"

#include <cstdint>
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

  /// \brief Answers the orders that are committed or timed out.
  void Tick(ControlContext& context, const Respond& respond);

  /// \brief Answers all open orders with an error, as their outcome is not known here any more.
  void OnLeadershipLost(const Respond& respond);

  [[nodiscard]] std::size_t OpenCalls() const noexcept { return m_orders.size(); }

private:
  struct Order
  {
    ExchangeId exchange;
    EvacuateCall call;
    std::uint64_t number = 0; ///< See ControlState::EvacuationOrder().
    TimePoint since{};
  };

  std::vector<Order> m_orders;
  std::uint64_t m_lastNumber = 0;
};

} // namespace gooseberrysail
