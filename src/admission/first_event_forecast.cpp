#include "gooseberrysail/admission/first_event_forecast.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrysail {

namespace {

/// Weight of the latest observation: about five of them show a change of pace.
constexpr double kLatestWeight = 0.2;
/// Of a normal distribution, one in 20 exceeds the mean by 2 mean deviations.
constexpr double kDeviations = 2;
/// A request arrives in the midst of a pass.
constexpr double kPresentPassPart = 0.5;

} // namespace

EventForecast ForecastFirstEvent(const EngineSpec& engine,
                                 const HeadWork& work,
                                 double promptTokens,
                                 double modelPace)
{
  const double unread = work.unreadTokens + promptTokens;
  const double perPass = engine.promptTokensPerPass > 0 ? engine.promptTokensPerPass : unread;
  const double passes = perPass > 0 ? std::ceil(unread / perPass) : 1;
  const double perSecond = engine.promptTokensPerSecond;
  const double reading = perSecond > 0 ? unread / perSecond : 0;
  const std::chrono::duration<double> step =
    engine.stepTime + engine.stepTimePerRequest * work.running;
  const double writing = step.count() * std::max(engine.tokensPerEvent, 1U);
  const double longestRead = perSecond > 0 ? std::min(unread, perPass) / perSecond : 0;
  const auto toDuration = [&](double seconds) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds * modelPace));
  };
  const double present = work.running > 0 ? kPresentPassPart * (longestRead + writing) : 0;
  // The pass of its own event reads the prompts that come after it.
  const double own = writing + (work.running > 0 ? longestRead : 0);
  const double firstEvent = present + reading + passes * (work.running > 0 ? writing : 0) + own;
  return { toDuration(firstEvent), toDuration(firstEvent), toDuration(longestRead + writing) };
}

double ObservedPace::Kept(TimePoint now) const
{
  if (!m_observedAt) {
    return 0;
  }
  const Duration age = std::max(now - *m_observedAt, Duration::zero());
  return std::exp2(-std::chrono::duration<double>(age) / std::chrono::duration<double>(kHalfLife));
}

void ObservedPace::Observe(TimePoint now, Duration predicted, Duration took)
{
  const double ratio =
    std::chrono::duration<double>(took) / std::chrono::duration<double>(predicted);
  if (!std::isfinite(ratio) || ratio <= 0 || ratio > kMaxRatio) {
    return;
  }
  const double pace = At(now);
  m_deviation *= Kept(now);
  m_deviation += kLatestWeight * (std::abs(ratio - pace) - m_deviation);
  m_pace = pace + kLatestWeight * (ratio - pace);
  m_observedAt = now;
}

double ObservedPace::At(TimePoint now) const
{
  return 1 + (m_pace - 1) * Kept(now);
}

double ObservedPace::UpperBoundAt(TimePoint now) const
{
  return At(now) + kDeviations * m_deviation * Kept(now);
}

} // namespace gooseberrysail
