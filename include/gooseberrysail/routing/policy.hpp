#pragma once

#include "gooseberrysail/core/time.hpp"

#include <cstddef>
#include <cstdint>

namespace gooseberrysail {

/// \brief Weights and limits of a Router.
/// \remarks bench/routing.cpp compares the defaults with common baselines.
/// \code
/// RouterPolicy policy;
/// policy.ejection.ratio = 4; // Tolerate slower peers.
/// \endcode
struct RouterPolicy
{
  /// \brief Limits on the data that one decision considers.
  struct Scan
  {
    std::size_t candidates = 32;      ///< Most candidates scored in one decision.
    std::size_t prefixBlocks = 64;    ///< Leading prompt blocks that count for affinity.
    std::size_t prefixRows = 1 << 15; ///< Prompt blocks in the index, a power of two.
  } scan;

  /// \brief Costs in units of one request in flight.
  struct Cost
  {
    double missedKilobyte = 2; ///< Prefill of a kilobyte of prompt that is not cached.
    double maxMissed = 30;     ///< Upper bound of the above.
    double hotSpot = 1.5; ///< Further bound, in units of the mean load: no prefix is worth more.
    double awaitingFirst = 1;  ///< Extra cost of an own request in prefill, which delays others.
    double otherDomain = 0.25; ///< Sending to another failure domain.
    double noise = 0.5; ///< Random part, so that several routers don't all choose the same group.
  } cost;

  /// \brief How load reports and cache records lose weight with age.
  struct Aging
  {
    Duration loadReport = std::chrono::seconds(2);
    double loadGain = 0.2; ///< Weight of a new report in the smoothed load.
    Duration cachePrediction =
      std::chrono::minutes(2); ///< Records of sent prompts without a cache event.
    Duration cacheConfirmation = std::chrono::minutes(10);
    Duration eventLag = std::chrono::seconds(2); ///< How late removals may arrive.
    double afterGap = 0.5; ///< Factor for records older than a gap in the events.
  } aging;

  /// \brief When a group is ejected because it is slower than its peers or fails.
  struct Ejection
  {
    double ratio = 2.5;         ///< Mean time of a whole answer against the median of the peers.
    double firstRatio = 5;      ///< The same for the first byte, which a cold cache also delays.
    double evidence = 6;        ///< Answers or waiting requests needed for a comparison.
    double maxShare = 0.2;      ///< Largest fraction of the candidates ejected at once.
    std::uint32_t failures = 3; ///< Consecutive failures that eject a group.
    Duration first = std::chrono::seconds(5);
    Duration longest = std::chrono::seconds(60);
  } ejection;

  /// \brief How load on a new or returning group is increased.
  struct SlowStart
  {
    Duration ramp = std::chrono::seconds(10);
  } slowStart;

  /// \brief When a group that sends no reports or answers counts as silent.
  struct Silence
  {
    Duration least = std::chrono::milliseconds(1500);
    double intervals = 3; ///< Missed report intervals.
  } silence;

  /// \brief Limits on retries.
  struct Retry
  {
    double fraction = 0.1;       ///< Retries added to the budget by each first attempt.
    double floorPerSecond = 0.5; ///< Added per second, for entries with little traffic.
    Duration memory = std::chrono::seconds(30);
    Duration refusalBackoff = std::chrono::milliseconds(250);
    Duration refusalBackoffMax = std::chrono::seconds(4);
  } retry;

  Duration refreshInterval = std::chrono::milliseconds(100);
};

} // namespace gooseberrysail
