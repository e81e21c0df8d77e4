#pragma once

#include "gooseberrysail/core/time.hpp"

#include <compare>
#include <cstdint>

namespace gooseberrysail {

/// \brief A moment of a hybrid logical clock: if one event caused another, its stamp is smaller.
struct HlcStamp
{
  WallMillis wall = 0;       ///< The highest wall clock seen so far, own or a peer's.
  std::uint32_t logical = 0; ///< Orders moments with the same wall time.

  friend auto operator<=>(const HlcStamp&, const HlcStamp&) = default;
};

/// \brief Stamps events so that causes sort before effects although wall clocks differ.
/// \remarks Only for people reading the time line; no decision uses it.
/// \code
/// envelope.hlcWall = clock.Next(WallNow()).wall;         // before sending
/// clock.Receive(WallNow(), { envelope.hlcWall, envelope.hlcLogical }); // on arrival
/// \endcode
class HybridClock
{
public:
  /// \brief The stamp of a local event or of a message about to leave.
  HlcStamp Next(WallMillis now) noexcept;

  /// \brief Takes in the stamp of a message that arrived.
  /// \returns The stamp of its arrival: above the sender's and above every own stamp before.
  HlcStamp Receive(WallMillis now, HlcStamp sent) noexcept;

  [[nodiscard]] HlcStamp Last() const noexcept { return m_last; }

private:
  HlcStamp m_last;
};

} // namespace gooseberrysail
