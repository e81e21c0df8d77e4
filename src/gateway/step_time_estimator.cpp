#include "gooseberrysail/gateway/step_time_estimator.hpp"

#include "gooseberrysail/core/smoothing.hpp"

#include <cmath>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// Events of one step arrive within this time; the shortest step of a head takes about 25 ms.
constexpr Duration kBurstGap = 10ms;
/// Weight of the latest step. A slow head is detected within four to six steps, which take a
/// healthy head 0.3 s. A single step that reads a long prompt takes four times as long as the
/// others and must not mark the head as slow.
constexpr double kLatestWeight = 0.25;
/// The estimate halves after this time without a sample.
constexpr double kHalfLifeSeconds = 1;

} // namespace

void StepTimeEstimator::OnBytes(TimePoint now)
{
  const Duration pause = now - m_lastBytesAt;
  m_lastBytesAt = now;
  if (pause > kBurstGap) {
    AddSample(now, pause);
  }
}

void StepTimeEstimator::AddSample(TimePoint now, Duration step)
{
  m_step = Smooth(Estimate(now), step, kLatestWeight);
  m_sampledAt = now;
}

Duration StepTimeEstimator::Estimate(TimePoint now) const
{
  const double age = std::chrono::duration<double>(now - m_sampledAt).count();
  const double decay = std::exp2(-std::floor(age / kHalfLifeSeconds));
  return std::chrono::duration_cast<Duration>(m_step * decay);
}

} // namespace gooseberrysail
