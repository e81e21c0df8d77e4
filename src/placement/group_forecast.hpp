#pragma once

#include "placement/fleet.hpp"
#include "placement/weight_loads.hpp"

#include <array>
#include <limits>
#include <vector>

namespace gooseberrysail::impl {

/// \brief Expected course of a broken group that is left alone.
struct Outlook
{
  Row group = kNoRow;
  std::array<double, kSteps> down{}; ///< Chance that it isn't whole at StepTimes()[step].
  /// Members that will come back with their weights, expected when it isn't whole at that step.
  std::array<double, kSteps + 1> warmReturns{};
  double warmWorth = 0;     ///< Cost that one more warm spare will save.
  double reloadSeconds = 0; ///< Expected load once it is whole again.
  double flapSeconds = 0;   ///< Expected downtime soon after, as a member flaps.
  double rate = 0;          ///< Cost of a second down, with its survivors idle.
  double patienceLeft = 0;  ///< Seconds after which waiting has to be given up.
  std::uint32_t survivors = 0;
  std::uint32_t lost = 0;
};

[[nodiscard]] Outlook ForeseeGroup(const Fleet& fleet,
                                   const History& history,
                                   const WeightLoads& loads,
                                   Row group);

/// \brief Expected cost of leaving the group alone for good.
[[nodiscard]] double CostOfWaiting(const Outlook& outlook);

/// \brief The same, free to take another step at `fallback` cost at the best time from `first` on.
/// \param price Of the spares that the other step uses, whenever it is taken: what makes it dear
/// is an outage that lasts, and one that lasts meets it anyhow.
/// \param fallback Without that price, and without the worth of members that come back as warm
/// spares. \param first Seconds from now before which the other step isn't taken.
[[nodiscard]] double CostOfWaiting(const Outlook& outlook,
                                   double fallback,
                                   double price,
                                   double first);

/// \brief Cost that `warm` spares with weights save over time, each less than the one before.
/// \param loadCost Cost of one load, during which a group is down.
[[nodiscard]] double WorthOfWarm(std::size_t warm, double loadCost);

/// \brief Expected seconds down within the first `limit` seconds when left alone.
[[nodiscard]] double ExpectedDown(const Outlook& outlook, double limit);

/// \brief Expected seconds until `needed` of the VMs that are away are back.
[[nodiscard]] double ExpectedReturns(const Fleet& fleet,
                                     const History& history,
                                     const std::vector<Row>& away,
                                     std::size_t needed);

/// \brief Seconds of downtime that a lasting outage of one VM, each second of the group's own,
/// would bring without a spare: until this group is whole and frees one, or its own VM is back.
[[nodiscard]] double DownWithoutSpare(const Outlook& outlook, const ReturnTimes& times);

/// \brief Of a Poisson number of outages with this mean, how many more find no spare when `used`
/// of `spares` spares are gone.
[[nodiscard]] double OutagesLeftOut(std::size_t spares, std::size_t used, double mean);

} // namespace gooseberrysail::impl
