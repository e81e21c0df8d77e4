#pragma once

#include "gooseberrysail/core/time.hpp"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief Offered load of each model at one time, in groups.
struct LoadSample
{
  TimePoint at{};
  std::map<std::string, double, std::less<>> loads;
};

/// \brief The recent course of the offered loads.
class LoadHistory
{
public:
  /// \brief Adds a sample, unless the latest one is younger than kInterval, and drops those that
  /// are older than `window`.
  void Record(TimePoint now, Duration window, std::map<std::string, double, std::less<>> loads);

  void Clear() { m_samples.clear(); }

  /// \brief The samples, the oldest first.
  [[nodiscard]] std::span<const LoadSample> Samples() const noexcept { return m_samples; }

  static constexpr Duration kInterval = std::chrono::milliseconds(100);

private:
  std::vector<LoadSample> m_samples;
};

} // namespace gooseberrysail
