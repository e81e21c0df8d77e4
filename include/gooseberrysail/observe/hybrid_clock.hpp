#pragma once

#include "gooseberrysail/core/time.hpp"

#include <compare>
#include <cstdint>

namespace gooseberrysail {

/// \brief Timestamp of a hybrid logical clock: a cause has a smaller stamp than its effects.
struct HlcStamp
{
  WallMillis wall = 0;       ///< The highest wall-clock time so far, local or received from a peer.
  std::uint32_t logical = 0; ///< Orders stamps with the same wall time.

  friend auto operator<=>(const HlcStamp&, const HlcStamp&) = default;
};

/// \brief Hybrid logical clock: orders causes before effects even if wall clocks differ.
/// \remarks Used only to display the timeline; no decision depends on it.
/// \code
/// envelope.hlcWall = clock.Next(WallNow()).wall;         // before sending
/// clock.Receive(WallNow(), { envelope.hlcWall, envelope.hlcLogical }); // on arrival
/// \endcode
class HybridClock
{
public:
  /// \brief Returns the stamp for a local event or an outgoing message.
  HlcStamp Next(WallMillis now) noexcept;

  /// \brief Advances the clock past the stamp of a received message.
  /// \returns The stamp of the receipt, greater than the sent stamp and all earlier local stamps.
  HlcStamp Receive(WallMillis now, HlcStamp sent) noexcept;

  [[nodiscard]] HlcStamp Last() const noexcept { return m_last; }

private:
  HlcStamp m_last;
};

} // namespace gooseberrysail
