#pragma once

#include "gooseberrysail/core/time.hpp"

#include <algorithm>
#include <optional>

namespace gooseberrysail {

/// \brief The shortest of the durations that were added lately: in one to two windows.
class RecentMinimum
{
public:
  void Add(TimePoint now, Duration duration)
  {
    Rotate(now);
    m_current = m_current ? std::min(*m_current, duration) : duration;
  }

  [[nodiscard]] std::optional<Duration> Get(TimePoint now)
  {
    Rotate(now);
    if (m_current && m_former) {
      return std::min(*m_current, *m_former);
    }
    return m_current ? m_current : m_former;
  }

  static constexpr Duration kWindow = std::chrono::seconds(10);

private:
  void Rotate(TimePoint now)
  {
    if (now - m_since >= kWindow) {
      m_former = now - m_since < 2 * kWindow ? m_current : std::nullopt;
      m_current = std::nullopt;
      m_since = now;
    }
  }

  std::optional<Duration> m_current;
  std::optional<Duration> m_former;
  TimePoint m_since{};
};

} // namespace gooseberrysail
