#pragma once

#include "gooseberrysail/agent/context.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <optional>
#include <string>

namespace gooseberrysail {

/// \brief The target's last reported status.
struct TargetStatus
{
  std::optional<TimePoint> aliveAsOf; ///< When the latest answered probe was sent.
  std::string model;                  ///< Model whose weights are loaded; "" when none.
  std::string version;
  bool loading = false; ///< The engine is executing an order.
  std::uint32_t kvUsedPermille = 0;
  double tokensPerSecond = 0;
};

/// \brief Polls `GET /health` of the agent's own target, one call at a time.
class TargetProbe
{
public:
  static constexpr Duration kInterval = std::chrono::milliseconds(300);
  static constexpr Duration kTimeout = std::chrono::seconds(1);
  /// The target counts as alive only while its last answered probe is younger than this.
  static constexpr Duration kMaxAge = std::chrono::seconds(1);

  void Tick(impl::AgentContext& context);
  /// \returns True when the answer belongs to a probe.
  bool OnAnswer(const TargetAnswerIn& answer);
  bool OnFailed(const TargetFailedIn& failure);

  [[nodiscard]] bool Alive(TimePoint now) const noexcept;
  [[nodiscard]] const TargetStatus& Status() const noexcept { return m_status; }
  /// \brief Updates the status from a completed order, before the next probe.
  void OnOrderCompleted(std::string model, std::string version);

private:
  void ParseStatus(const std::string& body);

  TargetStatus m_status;
  std::optional<ExchangeId> m_exchange;
  TimePoint m_probeSentAt{};
  std::optional<TimePoint> m_lastProbeAt;
  bool m_predatesOrder = false; ///< An order completed after the pending probe was sent.
  unsigned m_httpStatus = 0;
  std::string m_body;
};

} // namespace gooseberrysail
