#pragma once

#include "gooseberrysail/agent/context.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <optional>
#include <string>

namespace gooseberrysail {

/// \brief What the target last said of itself.
struct TargetStatus
{
  std::optional<TimePoint> aliveAskedAt; ///< When the latest answered probe was sent.
  std::string model;                     ///< Whose weights are loaded; "" when none.
  std::string version;
  bool loading = false; ///< An order is being worked on.
  std::uint32_t kvUsedPermille = 0;
  double tokensPerSecond = 0;
};

/// \brief Asks the own target `GET /health`, one question at a time.
class TargetProbe
{
public:
  static constexpr Duration kInterval = std::chrono::milliseconds(300);
  static constexpr Duration kTimeout = std::chrono::seconds(1);
  /// A member vouches for its engine only with an answer as fresh as this.
  static constexpr Duration kFresh = std::chrono::seconds(1);

  void Tick(impl::AgentContext& context);
  /// \returns True when the answer was a probe's.
  bool OnAnswer(const TargetAnswerIn& answer);
  bool OnFailed(const TargetFailedIn& failure);

  [[nodiscard]] bool Alive(TimePoint now) const noexcept;
  [[nodiscard]] const TargetStatus& Status() const noexcept { return m_status; }
  /// \brief An order was answered: what it did is known before the next probe.
  void OnOrdered(std::string model, std::string version);

private:
  void Read(const std::string& body);

  TargetStatus m_status;
  std::optional<ExchangeId> m_exchange;
  TimePoint m_askedAt{};
  std::optional<TimePoint> m_lastAsked;
  bool m_stale = false; ///< An order ended since the open probe was sent.
  unsigned m_httpStatus = 0;
  std::string m_body;
};

} // namespace gooseberrysail
