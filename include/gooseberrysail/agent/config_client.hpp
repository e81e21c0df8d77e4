#pragma once

#include "gooseberrysail/agent/context.hpp"
#include "gooseberrysail/agent/control_link.hpp"
#include "gooseberrysail/agent/nonce_ring.hpp"
#include "gooseberrysail/catalogue/catalogue.hpp"

#include <functional>
#include <optional>

namespace gooseberrysail {

/// \brief Keeps the agent's copy of the catalogue and knows when it was last confirmed.
/// \remarks A confirmation passed on by a peer only tells that a newer version exists: how long it
/// travelled is unknown, so it never makes our own copy count as confirmed.
class ConfigClient
{
public:
  /// An older confirmation is renewed; several questions fit into the confirmation limit. A head
  /// that control answers gets younger ones with each lease and asks nothing.
  static constexpr Duration kRenewAfter = std::chrono::seconds(2);
  /// For a member whose head beats: the beats tell it of new versions.
  static constexpr Duration kRelayedRenewAfter = std::chrono::seconds(10);

  explicit ConfigClient(std::function<std::uint64_t()> random);

  void Tick(impl::AgentContext& context, const ControlLink& link, Duration renewAfter);
  void OnState(impl::AgentContext& context,
               ControlLink& link,
               const ProcessId& from,
               const wire::ConfigStateT& state);
  /// \brief Control proved that `version` was the newest at some moment after `askedAt`.
  void OnConfirmed(TimePoint askedAt, LogIndex version) noexcept;
  /// \brief Some message bore this version.
  void OnVersionSeen(LogIndex version) noexcept;

  [[nodiscard]] const Catalogue& Copy() const noexcept { return m_catalogue; }
  [[nodiscard]] LogIndex Version() const noexcept { return m_catalogue.Version(); }
  /// \brief Our copy was the newest at some moment after this; none before the first proof.
  [[nodiscard]] std::optional<TimePoint> ConfirmedAt() const noexcept { return m_confirmedAt; }

private:
  static constexpr Duration kAskInterval = std::chrono::seconds(1);
  static constexpr Duration kCatchUpInterval = std::chrono::milliseconds(100);

  void ReportInForce(impl::AgentContext& context, const ProcessId& control);

  std::function<std::uint64_t()> m_random;
  Catalogue m_catalogue;
  impl::NonceRing m_queries;
  std::optional<TimePoint> m_confirmedAt;
  LogIndex m_seen;
  bool m_needWhole = false;
  LogIndex m_reported;
  ProcessId m_reportedTo;
};

} // namespace gooseberrysail
