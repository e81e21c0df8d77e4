#include "gooseberrysail/admission/retry_places.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// Callers wait for at most this part of the time that they have left.
constexpr int kLongestWaitDivisor = 3;
/// A caller that returns sooner needs more time to connect than it waits.
constexpr Duration kShortestWait = 50ms;
/// Part of the capacity that is left to first attempts.
constexpr double kFirstAttemptPart = 0.5;

/// Time constant of the count of requests. It is long enough for one of many entries, which begins
/// a few requests of a model in a second, and short enough to follow the loss of a group.
constexpr double kMemorySeconds = 2;

Duration TimeFor(double requests, double perSecond)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(requests / perSecond));
}

} // namespace

double RetryPlaces::BegunPerSecond(TimePoint now) const
{
  const double age = std::chrono::duration<double>(now - m_countedAt).count();
  return m_begun * std::exp(-age / kMemorySeconds) / kMemorySeconds;
}

void RetryPlaces::OnFirstEvent(TimePoint now)
{
  m_begun = BegunPerSecond(now) * kMemorySeconds + 1;
  m_countedAt = now;
}

std::optional<Duration> RetryPlaces::Next(TimePoint now, std::size_t waiting, Duration timeLeft)
{
  const double perSecond = BegunPerSecond(now);
  const Duration untilRoom = TimeFor(static_cast<double>(waiting) + 1, perSecond);
  const TimePoint place = std::max(m_next, now + std::max(untilRoom, kShortestWait));
  const Duration longest = timeLeft / kLongestWaitDivisor;
  if (longest < kShortestWait) {
    return std::nullopt;
  }
  if (place - now > longest) {
    return longest;
  }
  m_next = place + TimeFor(1, perSecond * (1 - kFirstAttemptPart));
  return place - now;
}

} // namespace gooseberrysail
