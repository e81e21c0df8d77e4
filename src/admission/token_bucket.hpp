#pragma once

#include "admission/seconds.hpp"

namespace gooseberrysail::impl {

/// \brief A token bucket. Its level may become negative, as the cost of an answer is known only at
/// its end.
class TokenBucket
{
public:
  /// \param rate Tokens per second; ignored when not `limited`.
  void SetRate(bool limited, double rate, double burstSeconds)
  {
    const bool fresh = limited && !m_limited;
    m_limited = limited;
    m_rate = rate;
    m_capacity = std::max(rate * burstSeconds, 1.0);
    m_level = fresh ? m_capacity : std::min(m_level, m_capacity);
  }

  void Refill(TimePoint now)
  {
    if (now > m_filledAt) {
      m_level = std::min(m_level + Seconds(now - m_filledAt) * m_rate, m_capacity);
      m_filledAt = now;
    }
  }

  /// \brief Seconds until `amount` is available; an amount above the capacity waits for a full
  /// bucket.
  [[nodiscard]] double Wait(double amount) const
  {
    const double missing = std::min(amount, m_capacity) - m_level;
    if (!m_limited || missing <= 0) {
      return 0;
    }
    return missing / std::max(m_rate, kMinRate);
  }

  void Take(double amount) { m_level -= m_limited ? amount : 0; }
  [[nodiscard]] double Rate() const { return std::max(m_rate, kMinRate); }

private:
  static constexpr double kMinRate = 1e-6;

  bool m_limited = false;
  double m_rate = 0;
  double m_capacity = 1;
  double m_level = 0;
  TimePoint m_filledAt{};
};

} // namespace gooseberrysail::impl
