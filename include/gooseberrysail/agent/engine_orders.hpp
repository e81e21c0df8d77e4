#pragma once

#include "gooseberrysail/agent/context.hpp"
#include "gooseberrysail/agent/target_probe.hpp"
#include "gooseberrysail/core/ids.hpp"

#include <optional>
#include <string>

namespace gooseberrysail {

/// \brief Loads the desired weights into the agent's own engine, one order at a time.
/// \remarks Some engines ignore fencing numbers, so that an older order still being executed could
/// silently undo a newer one. An order is therefore sent only after the previous one was answered,
/// or after a probe sent later than its failure shows the engine idle.
class EngineOrders
{
public:
  void SetDesired(std::string model, std::string version, Epoch epoch);
  void ClearDesired();

  void Tick(impl::AgentContext& context, const TargetProbe& probe);
  bool OnAnswer(impl::AgentContext& context, const TargetAnswerIn& answer, TargetProbe& probe);
  bool OnFailed(impl::AgentContext& context, const TargetFailedIn& failure);

  [[nodiscard]] bool Loaded(const TargetStatus& status) const noexcept;
  [[nodiscard]] bool InFlight() const noexcept { return m_order.has_value(); }

private:
  struct DesiredModel
  {
    std::string model;
    std::string version;
    Epoch epoch;
  };
  struct Order
  {
    ExchangeId exchange;
    std::string model; ///< "" for an unload order.
    std::string version;
    Epoch epoch;
    unsigned status = 0;
  };
  /// The weight store is rate-limited, so that a load may take many minutes.
  static constexpr Duration kOrderTimeout = std::chrono::minutes(30);
  static constexpr Duration kRetryAfter = std::chrono::seconds(1);

  void SendLoad(impl::AgentContext& context);
  void SendUnload(impl::AgentContext& context);

  std::optional<DesiredModel> m_desired;
  std::optional<Order> m_order;
  /// Set while the engine may still execute an order whose outcome is unknown. Set initially,
  /// because an earlier incarnation of this agent may have sent one.
  std::optional<TimePoint> m_outcomeUnknownSince = TimePoint{};
  TimePoint m_retryAt{};
};

} // namespace gooseberrysail
