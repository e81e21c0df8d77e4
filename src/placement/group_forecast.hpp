#pragma once

#include "placement/fleet.hpp"
#include "placement/weight_loads.hpp"

#include <array>
#include <limits>
#include <vector>

namespace gooseberrysail::impl {

/// \brief Forecast for a broken group that waits for its missing members.
struct GroupForecast
{
  Row group = kNoRow;
  std::array<double, kSteps> down{}; ///< Probability that it is incomplete at StepTimes()[step].
  /// Expected number of missing members that return with their weights, given that they are still
  /// away now, for [0], or at StepTimes()[step], for [step + 1].
  std::array<double, kSteps + 1> warmReturns{};
  double warmSpareValue = 0; ///< Cost saved by one more warm spare.
  double reloadSeconds = 0;  ///< Expected time to serve once it is complete again.
  double flapSeconds = 0;    ///< Expected later downtime caused by flapping members.
  double costPerSecond = 0;  ///< Cost per second of downtime, with its survivors idle.
  double patienceLeft = 0;   ///< Seconds until the configured patience ends.
  std::uint32_t survivors = 0;
  std::uint32_t lost = 0;
};

[[nodiscard]] GroupForecast ForecastGroup(const Fleet& fleet,
                                          const History& history,
                                          const WeightLoads& loads,
                                          Row group);

/// \brief Expected cost of waiting indefinitely.
[[nodiscard]] double CostOfWaiting(const GroupForecast& forecast);

/// \brief Expected cost of waiting, with the option to take a fallback at the best time from
/// `first` on.
/// \param fallback Cost of the fallback, without `price` and without the value of members that
/// return as warm spares.
/// \param price Cost of the spares that the fallback uses. It is not weighted by the probability
/// that the group is still down: only lasting outages make spares expensive, and those lead to the
/// fallback in any case.
/// \param first Seconds from now before which the fallback isn't taken.
[[nodiscard]] double CostOfWaiting(const GroupForecast& forecast,
                                   double fallback,
                                   double price,
                                   double first);

/// \brief Expected cost that `warm` spares with weights save; each further spare saves less.
/// \param loadCost Cost of one load, during which a group is down.
[[nodiscard]] double WarmSpareValue(std::size_t warm, double loadCost);

/// \brief Expected downtime within the next `limit` seconds of waiting.
[[nodiscard]] double ExpectedDown(const GroupForecast& forecast, double limit);

/// \brief Expected seconds until `needed` of the VMs that are away have returned.
[[nodiscard]] double ExpectedReturns(const Fleet& fleet,
                                     const History& history,
                                     const std::vector<Row>& away,
                                     std::size_t needed);

/// \brief Expected downtime caused by further single-VM outages without a spare, for a rate of one
/// outage per second while this group is down. Each lasts until this group is complete and frees a
/// spare, or until the lost VM is back.
[[nodiscard]] double DownWithoutSpare(const GroupForecast& forecast, const ReturnTimes& times);

/// \brief Expected number of additional outages without a spare when `used` of `spares` spares are
/// used up; the number of outages is Poisson distributed with this mean.
[[nodiscard]] double AddedUncoveredOutages(std::size_t spares, std::size_t used, double mean);

} // namespace gooseberrysail::impl
