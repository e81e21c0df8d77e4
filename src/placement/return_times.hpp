#pragma once

#include "gooseberrysail/core/time.hpp"

#include <array>
#include <cstddef>

namespace gooseberrysail::impl {

/// \brief The duration in seconds, as a floating-point number.
[[nodiscard]] constexpr double ToSeconds(Duration duration) noexcept
{
  return std::chrono::duration<double>(duration).count();
}

/// \brief One component of a prior over outages: a `share` of them, with exponentially distributed
/// durations of `meanSeconds` on average.
struct OutageKind
{
  double share = 0;
  double meanSeconds = 0;
  double keepsWeights = 0; ///< Share that returns with the weights still loaded.
};

/// \brief Estimates how long VMs stay away, from finished and ongoing outages.
/// \remarks A piecewise constant hazard over ages that double: the rate of return per second, given
/// how long a VM has been away. Ongoing outages count as time at risk, so VMs that never return
/// lower the estimate although their failure is never reported.
class ReturnTimes
{
public:
  static constexpr std::size_t kBuckets = 18;

  /// \param mix Prior over outages; observations gradually outweigh it.
  /// \param priorCount Weight of the prior, as a number of observed outages.
  template<std::size_t size>
  ReturnTimes(const std::array<OutageKind, size>& mix, double priorCount)
  {
    for (const OutageKind& kind : mix) {
      AddPrior(kind, priorCount);
    }
    Refresh();
  }

  /// \brief Records that a VM was away from age `from` to age `to`.
  void AddAway(double from, double to, double weight) noexcept;
  /// \brief Records that a VM returned at this age.
  void AddReturn(double age, bool keptWeights, double weight) noexcept;
  /// \brief Updates the estimates below with the records added since the last call.
  void Refresh() noexcept;

  /// \brief Probability that a VM away for `age` is still away after `wait` more seconds.
  [[nodiscard]] double StillAway(double age, double wait) const noexcept;
  /// \brief Probability that a VM that returns at this age still holds its weights.
  [[nodiscard]] double KeepsWeights(double age) const noexcept;
  /// \brief Expected seconds until a VM away for `age` returns, each wait capped at `limit`.
  [[nodiscard]] double ExpectedWait(double age, double limit) const noexcept;

private:
  struct Bucket
  {
    double away = 0;    ///< Seconds at risk.
    double returns = 0; ///< Returns recorded.
    double kept = 0;    ///< Returns with weights.
    double hazard = 0;
    double cumulativeHazard = 0; ///< Integral of the hazard over all lower ages.
  };

  void AddPrior(const OutageKind& kind, double outages) noexcept;
  [[nodiscard]] double CumulativeHazard(double age) const noexcept;

  std::array<Bucket, kBuckets> m_buckets{};
};

/// \brief Number of StepTimes: seconds from now at which forecasts are evaluated, from 1 s on, each
/// 1.5 times the one before.
inline constexpr std::size_t kSteps = 30;
[[nodiscard]] const std::array<double, kSteps>& StepTimes() noexcept;

} // namespace gooseberrysail::impl
