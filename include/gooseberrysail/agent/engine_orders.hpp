#pragma once

#include "gooseberrysail/agent/context.hpp"
#include "gooseberrysail/agent/target_probe.hpp"
#include "gooseberrysail/core/ids.hpp"

#include <optional>
#include <string>

namespace gooseberrysail {

/// \brief Gets the wanted weights into the own engine, one order at a time.
/// \remarks Some engines ignore fencing numbers: an old order still being worked on would undo a
/// newer one unnoticed. So no order is sent before the former one was answered, or is known dead
/// because a probe sent after it broke off shows the engine idle.
class EngineOrders
{
public:
  void Want(std::string model, std::string version, Epoch epoch);
  void WantNothing();

  void Tick(impl::AgentContext& context, const TargetProbe& probe);
  bool OnAnswer(impl::AgentContext& context, const TargetAnswerIn& answer, TargetProbe& probe);
  bool OnFailed(impl::AgentContext& context, const TargetFailedIn& failure);

  [[nodiscard]] bool Loaded(const TargetStatus& status) const noexcept;
  [[nodiscard]] bool InFlight() const noexcept { return m_order.has_value(); }

private:
  struct Wanted
  {
    std::string model;
    std::string version;
    Epoch epoch;
  };
  struct Order
  {
    ExchangeId exchange;
    std::string model; ///< "": unload.
    std::string version;
    Epoch epoch;
    unsigned status = 0;
  };
  /// Weights come through a rate-limited store; a load of many minutes is no fault.
  static constexpr Duration kOrderTimeout = std::chrono::minutes(30);
  static constexpr Duration kRetryAfter = std::chrono::seconds(1);

  void SendLoad(impl::AgentContext& context);
  void SendUnload(impl::AgentContext& context);

  std::optional<Wanted> m_wanted;
  std::optional<Order> m_order;
  /// Set while the engine may still work on an order of ours or of our predecessor.
  std::optional<TimePoint> m_unsureSince = TimePoint{};
  TimePoint m_notBefore{};
};

} // namespace gooseberrysail
