#pragma once

#include "admission/seconds.hpp"

namespace gooseberrysail::impl {

/// \brief Assigns each refused caller its own time for a retry.
/// \remarks With one common time all callers retry at once, most are refused again, and these
/// bursts repeat for as long as the overload lasts. The times are spaced by the rate at which
/// callers can be admitted.
class RetrySchedule
{
public:
  struct Bounds
  {
    double least = 0;  ///< Shortest wait in seconds.
    double most = 0;   ///< Longest wait in seconds, before the jitter.
    double jitter = 0; ///< Largest fraction added to the wait.
  };

  /// \param rate Retries per second that can be admitted.
  [[nodiscard]] Duration Next(TimePoint now, double rate, const Bounds& bounds)
  {
    const TimePoint earliest = now + FromSeconds(bounds.least);
    const TimePoint latest = now + FromSeconds(bounds.most);
    const TimePoint retryAt = std::min(std::max(m_next, earliest), latest);
    m_next = std::min(retryAt + FromSeconds(1 / std::max(rate, kMinRate)), latest);
    // Times at the upper bound coincide; the additive golden-ratio sequence spreads these too.
    m_phase += kGoldenRatioConjugate;
    m_phase -= m_phase >= 1 ? 1 : 0;
    const double wait = Seconds(retryAt - now);
    return FromSeconds(wait * (1 + bounds.jitter * m_phase));
  }

private:
  static constexpr double kGoldenRatioConjugate = 0.6180339887498949;
  static constexpr double kMinRate = 1e-3;

  TimePoint m_next{};
  double m_phase = 0;
};

} // namespace gooseberrysail::impl
