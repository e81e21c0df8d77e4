#pragma once

#include "gooseberrysail/core/time.hpp"

#include <cstddef>
#include <cstdint>

namespace gooseberrysail {

/// \brief Weights and limits of a Router; the defaults come from bench/routing.cpp.
/// \code
/// RouterPolicy policy;
/// policy.ejection.ratio = 4; // Tolerate slower peers.
/// \endcode
struct RouterPolicy
{
  /// \brief How far a decision looks.
  struct Scan
  {
    std::size_t candidates = 32;      ///< Most candidates scored in one decision.
    std::size_t prefixBlocks = 64;    ///< Leading prompt blocks that count for affinity.
    std::size_t prefixRows = 1 << 15; ///< Prompt blocks remembered, a power of two.
  } scan;

  /// \brief Costs in units of one request in flight.
  struct Cost
  {
    double missedKilobyte = 2; ///< Prefill of a kilobyte of prompt that is not cached.
    double missedMost = 30;    ///< Bound of the above.
    double hotSpot = 1.5; ///< Further bound, as a part of the mean load: no prefix is worth more.
    double awaitingFirst = 1;  ///< More for an own request still in prefill, which holds up others.
    double otherDomain = 0.25; ///< Leaving the own failure domain.
    double noise = 0.5;        ///< Random part, so that several routers don't move as one.
  } cost;

  /// \brief How load reports and cache events lose their worth.
  struct Aging
  {
    Duration loadReport = std::chrono::seconds(2);
    double loadGain = 0.2; ///< Of a new report against the mean of the former ones.
    Duration cachePrediction = std::chrono::minutes(2); ///< What was sent but never confirmed.
    Duration cacheConfirmation = std::chrono::minutes(10);
    Duration eventLag = std::chrono::seconds(2); ///< Removals may tell of a time this far back.
    double afterGap = 0.5; ///< Trust in records older than a gap in the events.
  } aging;

  /// \brief When a group is left out because it is slower than its peers or fails.
  struct Ejection
  {
    double ratio = 2.5;         ///< Mean time of a whole answer against the median of the peers.
    double firstRatio = 5;      ///< The same for the first byte, which a cold cache delays too.
    double evidence = 6;        ///< Answers or waiting requests needed for a judgement.
    double maxShare = 0.2;      ///< Largest part of the candidates left out at once.
    std::uint32_t failures = 3; ///< Failures in a row that eject.
    Duration first = std::chrono::seconds(5);
    Duration longest = std::chrono::seconds(60);
  } ejection;

  /// \brief How a new or returning group is loaded.
  struct SlowStart
  {
    Duration ramp = std::chrono::seconds(10);
  } slowStart;

  /// \brief When silence makes a group or a whole failure domain suspect.
  struct Silence
  {
    Duration least = std::chrono::milliseconds(1500);
    double intervals = 3; ///< Missed report intervals.
  } silence;

  /// \brief How many retries may be sent.
  struct Retry
  {
    double fraction = 0.1;       ///< Earned by each first attempt.
    double floorPerSecond = 0.5; ///< Earned by time alone, for entries with little work.
    Duration memory = std::chrono::seconds(30);
    Duration refusalBackoff = std::chrono::milliseconds(250);
    Duration refusalBackoffMost = std::chrono::seconds(4);
  } retry;

  Duration refreshInterval = std::chrono::milliseconds(100);
};

} // namespace gooseberrysail
