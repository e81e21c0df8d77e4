#pragma once

#include "gooseberrysail/core/time.hpp"

#include <algorithm>
#include <array>
#include <cstdint>

namespace gooseberrysail::impl {

/// \brief The number of own requests in flight at a group, now and during the last two seconds.
/// \remarks A load report describes a past moment and includes this sender's requests at that time.
/// Subtracting the current count instead would count own requests twice or lose those of others.
class OwnHistory
{
public:
  void Set(TimePoint now, std::uint32_t count)
  {
    Advance(now);
    m_counts[Index(m_bucket)] = Clamp(count);
  }

  [[nodiscard]] std::uint32_t At(TimePoint time) const
  {
    const std::int64_t oldest = m_bucket - static_cast<std::int64_t>(kBuckets) + 1;
    return m_counts[Index(std::clamp(Bucket(time), oldest, m_bucket))];
  }

private:
  static constexpr std::size_t kBuckets = 32;
  static constexpr Duration kWidth = std::chrono::milliseconds(64);

  static std::int64_t Bucket(TimePoint time) { return time.time_since_epoch() / kWidth; }
  static std::size_t Index(std::int64_t bucket)
  {
    return static_cast<std::uint64_t>(bucket) % kBuckets;
  }
  static std::uint16_t Clamp(std::uint32_t count)
  {
    return static_cast<std::uint16_t>(std::min<std::uint32_t>(count, UINT16_MAX));
  }

  /// Buckets without a change repeat the previous count.
  void Advance(TimePoint now)
  {
    const std::int64_t target = std::max(Bucket(now), m_bucket);
    const std::uint16_t held = m_counts[Index(m_bucket)];
    const std::int64_t steps = std::min<std::int64_t>(target - m_bucket, kBuckets);
    for (std::int64_t step = 0; step < steps; ++step) {
      m_counts[Index(target - step)] = held;
    }
    m_bucket = target;
  }

  std::int64_t m_bucket = 0;
  std::array<std::uint16_t, kBuckets> m_counts{};
};

} // namespace gooseberrysail::impl
