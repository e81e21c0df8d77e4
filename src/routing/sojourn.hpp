#pragma once

#include "gooseberrysail/core/time.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrysail::impl {

/// \brief Mean time requests spend in a stage, by Little's law: waiting seconds per completion.
/// \remarks A mean over finished requests alone never hears of those that hang: a stuck engine
/// would keep the good figure of its last answer. Here each second that a request waits counts.
class Sojourn
{
public:
  /// \brief Counts the time up to `now` with the number that was waiting until now.
  void Advance(TimePoint now, double waiting)
  {
    if (now <= m_at) {
      return;
    }
    const double seconds = std::chrono::duration<double>(now - m_at).count();
    const double keep = std::exp(-seconds / m_memory);
    // The integral of `waiting` over the gap, decayed as it grows.
    m_waited = m_waited * keep + waiting * m_memory * (1 - keep);
    m_completed *= keep;
    m_at = now;
  }

  void Complete() { m_completed += 1; }

  /// \brief Mean seconds, drawn towards `peers` while there is little evidence.
  [[nodiscard]] double Mean(double peers) const
  {
    return (m_waited + kPrior * peers) / (m_completed + kPrior);
  }

  [[nodiscard]] double Raw() const { return m_completed < 1 ? 0 : m_waited / m_completed; }
  [[nodiscard]] double Completed() const { return m_completed; }
  /// \brief Completions that peers would have had in the time spent waiting here.
  [[nodiscard]] double Evidence(double peers) const
  {
    return std::max(m_completed, peers > 0 ? m_waited / peers : 0);
  }

  [[nodiscard]] double PerSecond() const { return m_completed / m_memory; }

  /// \brief How long an answer counts: short where there are many, or a group that was well for
  /// long would be taken to be well for long after.
  void SetMemory(double seconds) { m_memory = seconds; }

  void Forget(TimePoint now)
  {
    m_waited = 0;
    m_completed = 0;
    m_at = now;
  }

private:
  static constexpr double kPrior = 2;

  double m_memory = 10;
  double m_waited = 0;
  double m_completed = 0;
  TimePoint m_at{};
};

} // namespace gooseberrysail::impl
