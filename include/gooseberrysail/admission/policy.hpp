#pragma once

#include "gooseberrysail/core/time.hpp"

namespace gooseberrysail {

/// \brief Weights and limits of an Admission; the defaults come from bench/routing.cpp.
struct AdmissionPolicy
{
  /// Longest wait for a slot, as a part of the mean service time: more only makes answers late.
  double mostWaitPart = 0.1;
  double standardPart = 0.6;  ///< Of the wait that interactive work may take.
  double batchHeadroom = 0.1; ///< Part of the slots that batch work leaves free.
  double leastFairPart = 0.1; ///< Of the wait, for a workspace far above the mean of all.
  double burstSeconds = 1;    ///< What an idle workspace may use at once.
  double returnPart = 0.5;    ///< Of the drain rate, promised to callers told to come back.
  double returnJitter = 0.25; ///< Added to what they are told.
  Duration leastRetryAfter = std::chrono::milliseconds(100);
  Duration mostRetryAfter = std::chrono::seconds(60);
};

} // namespace gooseberrysail
