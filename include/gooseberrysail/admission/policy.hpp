#pragma once

#include "gooseberrysail/core/time.hpp"

namespace gooseberrysail {

/// \brief Weights and limits of an Admission.
/// \remarks bench/routing.cpp compares the defaults with common baselines.
struct AdmissionPolicy
{
  /// Longest wait for a slot, as a fraction of the mean service time; a longer one only delays
  /// answers.
  double maxWaitFraction = 0.1;
  double standardWaitFraction = 0.6; ///< Of the wait that interactive work is allowed.
  double batchHeadroom = 0.1;        ///< Fraction of the slots that batch work leaves free.
  double minFairFraction = 0.1;   ///< Least part of the wait, for a workspace far above the mean.
  double burstSeconds = 1;        ///< Burst of an idle workspace, in seconds of its rate.
  double retryRateFraction = 0.5; ///< Fraction of the drain rate offered to retries.
  double retryJitter = 0.25;      ///< Largest fraction added to the Retry-After.
  Duration minRetryAfter = std::chrono::milliseconds(100);
  Duration maxRetryAfter = std::chrono::seconds(60);
};

} // namespace gooseberrysail
