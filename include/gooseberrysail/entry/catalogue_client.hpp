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

/// \brief Keeps the catalogue copy at the newest committed version, and knows how old the latest
/// proof of that is.
class CatalogueClient
{
public:
  using Send = std::function<void(const EntrySettings::Control& to, wire::ConfigQueryT query)>;

  explicit CatalogueClient(std::vector<EntrySettings::Control> controls);

  /// \brief Asks when it is time to, and turns to the next control when this one is silent.
  void Tick(TimePoint now, const Send& send);

  /// \brief Asks at once: somebody has a newer version.
  void Hurry() noexcept { m_nextQuery = TimePoint{}; }

  /// \brief The connection with a control process ended.
  void OnPeerDown(const ProcessId& peer);

  /// \brief An answer of a control process.
  /// \returns Whether the catalogue copy moved on.
  [[nodiscard]] Result<bool> OnState(const ProcessId& from,
                                     const wire::ConfigStateT& state,
                                     Catalogue& catalogue);

  /// \brief The control process that answers; claims and reports go to it too.
  [[nodiscard]] const EntrySettings::Control& Current() const { return m_controls[m_current]; }
  [[nodiscard]] bool IsControl(const ProcessId& peer) const;

  /// \returns None before the first proof.
  [[nodiscard]] std::optional<Duration> ConfirmationAge(TimePoint now) const;
  [[nodiscard]] bool Confirmed(TimePoint now, const PolicySpec& policy) const;

  static constexpr Duration kQueryInterval = std::chrono::seconds(1);
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(500);

private:
  struct Asked
  {
    std::uint64_t nonce = 0;
    TimePoint at{};
  };

  void TurnToNext();
  [[nodiscard]] std::optional<TimePoint> SentAt(std::uint64_t nonce) const;

  std::vector<EntrySettings::Control> m_controls;
  std::size_t m_current = 0;
  LogIndex m_haveVersion;
  std::uint64_t m_nextNonce = 1;
  TimePoint m_nextQuery{};
  bool m_waiting = false;
  TimePoint m_lastAsked{};
  std::deque<Asked> m_asked; ///< Latest last, bounded.
  std::optional<TimePoint> m_confirmedAt;
};

} // namespace gooseberrysail
