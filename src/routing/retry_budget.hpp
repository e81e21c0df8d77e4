#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/routing/policy.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrysail::impl {

/// \brief Limits retries to a fraction of the first attempts, plus a small rate.
/// \remarks When every group fails or refuses, each retry fails as well and only adds load. With a
/// fixed number of retries per request, the attempts would multiply when there is no capacity. The
/// budget bounds them to a fraction of the traffic in every case.
class RetryBudget
{
public:
  explicit RetryBudget(const RouterPolicy::Retry& policy)
    : m_policy(policy)
    , m_balance(policy.floorPerSecond * MemorySeconds())
  {
  }

  void OnFirstAttempt(TimePoint now)
  {
    Advance(now);
    m_balance += m_policy.fraction;
  }

  [[nodiscard]] bool Take(TimePoint now)
  {
    Advance(now);
    if (m_balance < 1) {
      return false;
    }
    m_balance -= 1;
    return true;
  }

private:
  [[nodiscard]] double MemorySeconds() const
  {
    return std::chrono::duration<double>(m_policy.memory).count();
  }

  /// The unused balance decays, so that a quiet period does not allow a burst of retries.
  void Advance(TimePoint now)
  {
    if (!m_started) {
      m_started = true;
      m_at = now;
    }
    if (now <= m_at) {
      return;
    }
    const double seconds = std::chrono::duration<double>(now - m_at).count();
    const double keep = std::exp(-seconds / MemorySeconds());
    m_balance = m_balance * keep + m_policy.floorPerSecond * MemorySeconds() * (1 - keep);
    m_at = now;
  }

  RouterPolicy::Retry m_policy;
  double m_balance;
  TimePoint m_at{};
  bool m_started = false;
};

} // namespace gooseberrysail::impl
