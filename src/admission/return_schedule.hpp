#pragma once

#include "admission/seconds.hpp"

namespace gooseberrysail::impl {

/// \brief Tells refused callers when to come back, each at a time of its own.
/// \remarks Told one and the same time, all of them return at once, most are refused again, and
/// the waves go on for as long as the overload does. Here each promise takes a place in line, at
/// the rate at which there will be room.
class ReturnSchedule
{
public:
  struct Bounds
  {
    double least = 0; ///< Seconds; no place is nearer.
    double most = 0;
    double jitter = 0; ///< Part added to what is told.
  };

  /// \param rate Callers per second that can be taken back.
  [[nodiscard]] Duration Next(TimePoint now, double rate, const Bounds& bounds)
  {
    const TimePoint soonest = now + FromSeconds(bounds.least);
    const TimePoint latest = now + FromSeconds(bounds.most);
    const TimePoint place = std::min(std::max(m_next, soonest), latest);
    m_next = std::min(place + FromSeconds(1 / std::max(rate, kLeastRate)), latest);
    // At the end of the line places coincide; the additive sequence keeps those apart, too.
    m_phase += kGolden;
    m_phase -= m_phase >= 1 ? 1 : 0;
    const double wait = Seconds(place - now);
    return FromSeconds(wait * (1 + bounds.jitter * m_phase));
  }

private:
  static constexpr double kGolden = 0.6180339887498949;
  static constexpr double kLeastRate = 1e-3;

  TimePoint m_next{};
  double m_phase = 0;
};

} // namespace gooseberrysail::impl
