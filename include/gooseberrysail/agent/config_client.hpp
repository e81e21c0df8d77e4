#pragma once

#include "gooseberrysail/agent/context.hpp"
#include "gooseberrysail/agent/control_link.hpp"
#include "gooseberrysail/agent/nonce_ring.hpp"
#include "gooseberrysail/catalogue/catalogue.hpp"

#include <functional>
#include <optional>

namespace gooseberrysail {

/// \brief Keeps the agent's copy of the catalogue and the time of its last confirmation.
/// \remarks A version received from a peer only shows that a newer version exists. Its delay is
/// unknown, so it never confirms the local copy.
class ConfigClient
{
public:
  /// Age at which a confirmation is renewed. Several queries fit into the confirmation limit. A
  /// head whose reports control answers gets a confirmation with each lease grant and sends no
  /// queries.
  static constexpr Duration kRenewAfter = std::chrono::seconds(2);
  /// The same for a member that receives heartbeat requests: these carry the head's version.
  static constexpr Duration kRelayedRenewAfter = std::chrono::seconds(10);

  explicit ConfigClient(std::function<std::uint64_t()> random);

  void Tick(impl::AgentContext& context, const ControlLink& link, Duration renewAfter);
  void OnState(impl::AgentContext& context,
               ControlLink& link,
               const ProcessId& from,
               const wire::ConfigStateT& state);
  /// \brief Records that `version` was the newest at some moment after `querySentAt`, as control
  /// confirmed.
  void OnConfirmed(TimePoint querySentAt, LogIndex version) noexcept;
  /// \brief Records a version carried by any received message.
  void OnVersionSeen(LogIndex version) noexcept;

  [[nodiscard]] const Catalogue& LocalCatalogue() const noexcept { return m_catalogue; }
  [[nodiscard]] LogIndex Version() const noexcept { return m_catalogue.Version(); }
  /// \brief The local copy was the newest at some moment after this; none before the first
  /// confirmation.
  [[nodiscard]] std::optional<TimePoint> ConfirmedAt() const noexcept { return m_confirmedAt; }

private:
  static constexpr Duration kAskInterval = std::chrono::seconds(1);
  static constexpr Duration kCatchUpInterval = std::chrono::milliseconds(100);

  void ReportInForce(impl::AgentContext& context, const ProcessId& control);

  std::function<std::uint64_t()> m_random;
  Catalogue m_catalogue;
  impl::NonceRing m_queries;
  std::optional<TimePoint> m_confirmedAt;
  LogIndex m_latestSeen;
  bool m_needFullState = false;
  LogIndex m_reportedVersion;
  ProcessId m_reportedTo;
};

} // namespace gooseberrysail
