#pragma once

#include "gooseberrysail/core/time.hpp"

#include <array>
#include <cstddef>

namespace gooseberrysail::impl {

/// \brief Seconds as the estimates count them.
[[nodiscard]] constexpr double ToSeconds(Duration duration) noexcept
{
  return std::chrono::duration<double>(duration).count();
}

/// \brief One part of an assumed mix of outages: `share` of them last `meanSeconds` on average.
struct OutageKind
{
  double share = 0;
  double meanSeconds = 0;
  double keepsWeights = 0; ///< Share that comes back with its weights still loaded.
};

/// \brief Learns how long VMs stay away, from outages that ended and those that still last.
/// \remarks A piecewise constant hazard over ages that double: the chance to return within the
/// next second, given how long a VM has been away. Outages still open count as time at risk, so
/// VMs that never come back pull the estimate down although nobody ever reports their deaths.
class ReturnTimes
{
public:
  static constexpr std::size_t kBuckets = 18;

  /// \param mix Assumed until observations outweigh it.
  /// \param assumedOutages How many observed outages the assumption is worth.
  template<std::size_t size>
  ReturnTimes(const std::array<OutageKind, size>& mix, double assumedOutages)
  {
    for (const OutageKind& kind : mix) {
      Assume(kind, assumedOutages);
    }
    Refresh();
  }

  /// \brief Notes that a VM was away from age `from` to age `to`.
  void AddAway(double from, double to, double weight) noexcept;
  /// \brief Notes that a VM came back at this age.
  void AddReturn(double age, bool keptWeights, double weight) noexcept;
  /// \brief Makes what was added count in the answers below.
  void Refresh() noexcept;

  /// \brief Chance that a VM away for `age` is still away after `wait` more seconds.
  [[nodiscard]] double StillAway(double age, double wait) const noexcept;
  /// \brief Chance that a VM that returns at this age still holds its weights.
  [[nodiscard]] double KeepsWeights(double age) const noexcept;
  /// \brief Expected seconds until a VM away for `age` returns, none longer than `limit` counted.
  [[nodiscard]] double ExpectedWait(double age, double limit) const noexcept;

private:
  struct Bucket
  {
    double away = 0;    ///< Seconds at risk.
    double returns = 0; ///< Returns seen.
    double kept = 0;    ///< Those of them with weights.
    double hazard = 0;
    double hazardBefore = 0; ///< Sum of hazard over all lower ages.
  };

  void Assume(const OutageKind& kind, double outages) noexcept;
  [[nodiscard]] double SumOfHazard(double age) const noexcept;

  std::array<Bucket, kBuckets> m_buckets{};
};

/// \brief The steps at which estimates over the future are summed: times that grow by a half.
inline constexpr std::size_t kSteps = 30;
[[nodiscard]] const std::array<double, kSteps>& StepTimes() noexcept;

} // namespace gooseberrysail::impl
