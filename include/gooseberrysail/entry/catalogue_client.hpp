#pragma once

#include "gooseberrysail/catalogue/catalogue.hpp"
#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/entry_role.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <vector>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief Keeps the catalogue copy at the newest committed version, and tracks when a control
/// process last confirmed it.
class CatalogueClient
{
public:
  using Send = std::function<void(const EntrySettings::Control& to, wire::ConfigQueryT query)>;

  explicit CatalogueClient(std::vector<EntrySettings::Control> controls);

  /// \brief Sends a query when one is due, and switches to the next control process when the
  /// current one doesn't answer in time.
  void Tick(TimePoint now, const Send& send);

  /// \brief Makes the next Tick send a query, such as when a peer has a newer version.
  void QueryNow() noexcept { m_nextQuery = TimePoint{}; }

  /// \brief Switches to the next control process when the connection with the current one ended.
  void OnPeerDown(const ProcessId& peer);

  /// \brief Applies an answer of a control process to the catalogue copy.
  /// \returns Whether the copy changed to a newer version.
  [[nodiscard]] Result<bool> OnState(const ProcessId& from,
                                     const wire::ConfigStateT& state,
                                     Catalogue& catalogue);

  /// \brief The control process in use, for queries, claims and reports.
  [[nodiscard]] const EntrySettings::Control& Current() const { return m_controls[m_current]; }
  [[nodiscard]] bool IsControl(const ProcessId& peer) const;

  /// \returns None before the first confirmation.
  [[nodiscard]] std::optional<Duration> ConfirmationAge(TimePoint now) const;
  [[nodiscard]] bool Confirmed(TimePoint now, const PolicySpec& policy) const;

  static constexpr Duration kQueryInterval = std::chrono::seconds(1);
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(500);

private:
  struct SentQuery
  {
    std::uint64_t nonce = 0;
    TimePoint at{};
  };

  void SwitchToNextControl();
  [[nodiscard]] std::optional<TimePoint> SentAt(std::uint64_t nonce) const;

  std::vector<EntrySettings::Control> m_controls;
  std::size_t m_current = 0;
  LogIndex m_haveVersion;
  std::uint64_t m_nextNonce = 1;
  TimePoint m_nextQuery{};
  bool m_awaitingReply = false;
  TimePoint m_lastQueryAt{};
  std::deque<SentQuery> m_sentQueries; ///< Oldest first, at most kMaxSentQueries.
  std::optional<TimePoint> m_confirmedAt;
};

} // namespace gooseberrysail
