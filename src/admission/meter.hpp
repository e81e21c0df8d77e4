#pragma once

#include "admission/seconds.hpp"

#include <cmath>

namespace gooseberrysail::impl {

/// \brief Rate of events, averaged with exponential decay.
class RateMeter
{
public:
  void Add(TimePoint now)
  {
    m_count = m_count * Decay(now) + 1;
    m_at = std::max(m_at, now);
  }

  [[nodiscard]] double PerSecond(TimePoint now) const
  {
    return m_count * Decay(now) / kTimeConstantSeconds;
  }

private:
  static constexpr double kTimeConstantSeconds = 2;

  [[nodiscard]] double Decay(TimePoint now) const
  {
    return now <= m_at ? 1 : std::exp(-Seconds(now - m_at) / kTimeConstantSeconds);
  }

  double m_count = 0;
  TimePoint m_at{};
};

/// \brief A moving mean: exact for the first kMaxWeight values, exponential after them.
class Mean
{
public:
  void Add(double value)
  {
    m_weight = std::min(m_weight + 1, kMaxWeight);
    m_value += (value - m_value) / m_weight;
  }

  [[nodiscard]] double Value() const { return m_value; }
  [[nodiscard]] bool Known() const { return m_weight > 0; }

private:
  static constexpr double kMaxWeight = 50;

  double m_value = 0;
  double m_weight = 0;
};

} // namespace gooseberrysail::impl
