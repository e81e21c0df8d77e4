#include "gooseberrysail/observe/hybrid_clock.hpp"

#include <algorithm>
#include <limits>

namespace gooseberrysail {

namespace {

HlcStamp After(HlcStamp stamp) noexcept
{
  if (stamp.logical == std::numeric_limits<std::uint32_t>::max()) {
    return { stamp.wall + 1, 0 };
  }
  return { stamp.wall, stamp.logical + 1 };
}

} // namespace

HlcStamp HybridClock::Next(WallMillis now) noexcept
{
  m_last = std::max(After(m_last), HlcStamp{ now, 0 });
  return m_last;
}

// With wall clocks alone, an answer would be ordered before its query if the clock of the answering
// process is behind. Advancing to the sender's stamp keeps the order for any clock difference.
HlcStamp HybridClock::Receive(WallMillis now, HlcStamp sent) noexcept
{
  m_last = std::max(m_last, sent);
  return Next(now);
}

} // namespace gooseberrysail
