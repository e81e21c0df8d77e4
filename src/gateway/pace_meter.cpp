#include "gooseberrysail/gateway/pace_meter.hpp"

#include "gooseberrysail/core/smoothing.hpp"

#include <cmath>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// Events of one step arrive within this; the shortest step of a head takes some 25 ms.
constexpr Duration kBurst = 10ms;
/// Weight of the latest step. Four to six steps tell a slow head, 0.3 s of a sound one; a single
/// step that read a long prompt takes four times as long as the others and must not.
constexpr double kLatestWeight = 0.25;
/// Without news for this long, half of what is known is forgotten.
constexpr double kHalfLifeSeconds = 1;

} // namespace

void PaceMeter::OnBytes(TimePoint now)
{
  const Duration pause = now - m_lastAt;
  m_lastAt = now;
  if (pause > kBurst) {
    Note(now, pause);
  }
}

void PaceMeter::Note(TimePoint now, Duration step)
{
  m_step = Smooth(Step(now), step, kLatestWeight);
  m_notedAt = now;
}

Duration PaceMeter::Step(TimePoint now) const
{
  const double age = std::chrono::duration<double>(now - m_notedAt).count();
  const double kept = std::exp2(-std::floor(age / kHalfLifeSeconds));
  return std::chrono::duration_cast<Duration>(m_step * kept);
}

} // namespace gooseberrysail
