#pragma once

#include "gooseberrysail/core/time.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrysail::impl {

/// \brief Mean time that requests spend in a stage, by Little's law: waiting seconds per
/// completion. \remarks A mean over finished requests does not include those that hang, so an
/// engine that hangs would keep the mean of its earlier answers. Here each second that a request
/// waits is counted.
class Sojourn
{
public:
  /// \brief Accounts for the time up to `now`, during which `waiting` requests were waiting.
  void Advance(TimePoint now, double waiting)
  {
    if (now <= m_at) {
      return;
    }
    const double seconds = std::chrono::duration<double>(now - m_at).count();
    const double keep = std::exp(-seconds / m_memory);
    // The exponentially decayed integral of `waiting` over the elapsed time.
    m_waited = m_waited * keep + waiting * m_memory * (1 - keep);
    m_completed *= keep;
    m_at = now;
  }

  void Complete() { m_completed += 1; }

  /// \brief Mean seconds, biased towards `peers` while there are few completions.
  [[nodiscard]] double Mean(double peers) const
  {
    return (m_waited + kPrior * peers) / (m_completed + kPrior);
  }

  [[nodiscard]] double Raw() const { return m_completed < 1 ? 0 : m_waited / m_completed; }
  [[nodiscard]] double Completed() const { return m_completed; }
  /// \brief Number of completions, or if larger, the number that peers would have had in the
  /// waiting time.
  [[nodiscard]] double Evidence(double peers) const
  {
    return std::max(m_completed, peers > 0 ? m_waited / peers : 0);
  }

  [[nodiscard]] double PerSecond() const { return m_completed / m_memory; }

  /// \brief Sets the time constant of the decay. It is short where answers are frequent; otherwise
  /// a group that became slow would keep its earlier good mean for long.
  void SetMemory(double seconds) { m_memory = seconds; }

  void Reset(TimePoint now)
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
