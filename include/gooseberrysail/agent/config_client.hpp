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
  /// Heads ask this often; several questions fit into the confirmation limit.
  static constexpr Duration kInterval = std::chrono::seconds(1);
  /// A member of a group whose head beats asks as rarely as this.
  static constexpr Duration kRelayedInterval = std::chrono::seconds(10);

  explicit ConfigClient(std::function<std::uint64_t()> random);

  void Tick(impl::AgentContext& context, const ControlLink& link, Duration interval);
  void OnState(impl::AgentContext& context,
               ControlLink& link,
               const ProcessId& from,
               const wire::ConfigStateT& state);
  /// \brief Some message bore this version.
  void OnVersionSeen(LogIndex version) noexcept;

  [[nodiscard]] const Catalogue& Copy() const noexcept { return m_catalogue; }
  [[nodiscard]] LogIndex Version() const noexcept { return m_catalogue.Version(); }
  /// \brief Our copy was the newest at some moment after this; none before the first proof.
  [[nodiscard]] std::optional<TimePoint> ConfirmedAt() const noexcept { return m_confirmedAt; }

private:
  static constexpr Duration kCatchUpInterval = std::chrono::milliseconds(100);

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
