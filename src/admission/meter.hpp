#pragma once

#include "admission/seconds.hpp"

#include <cmath>

namespace gooseberrysail::impl {

/// \brief Events per second over the last seconds.
class Meter
{
public:
  void Add(TimePoint now)
  {
    m_count = m_count * Keep(now) + 1;
    m_at = std::max(m_at, now);
  }

  [[nodiscard]] double PerSecond(TimePoint now) const
  {
    return m_count * Keep(now) / kMemorySeconds;
  }

private:
  static constexpr double kMemorySeconds = 2;

  [[nodiscard]] double Keep(TimePoint now) const
  {
    return now <= m_at ? 1 : std::exp(-Seconds(now - m_at) / kMemorySeconds);
  }

  double m_count = 0;
  TimePoint m_at{};
};

/// \brief A smoothed mean of values such as service times.
class Mean
{
public:
  void Add(double value)
  {
    m_weight = std::min(m_weight + 1, kMemory);
    m_value += (value - m_value) / m_weight;
  }

  [[nodiscard]] double Value() const { return m_value; }
  [[nodiscard]] bool Known() const { return m_weight > 0; }

private:
  static constexpr double kMemory = 50;

  double m_value = 0;
  double m_weight = 0;
};

} // namespace gooseberrysail::impl
