#pragma once

#include "gooseberrysail/core/time.hpp"

namespace gooseberrysail {

/// \brief Estimates the time of one target's step from the arrival of its answers.
/// \remarks A head writes an event to each of its streams at every step, so the pause between two
/// bursts of events is the time of a step. The steps are shared by the streams of all entries, so
/// the estimate reflects the load of all entries, and a slow member. For plain services a step is
/// a whole answer.
class StepTimeEstimator
{
public:
  /// \brief A request was sent to the idle target. Idle time is not counted.
  void OnBusy(TimePoint now) { m_lastBytesAt = now; }

  /// \brief Bytes of any answer arrived.
  void OnBytes(TimePoint now);

  /// \brief A whole answer of a plain service arrived `took` after its request was sent.
  void OnAnswer(TimePoint now, Duration took) { AddSample(now, took); }

  /// \brief The smoothed time of a step; zero while there are no samples.
  /// \remarks Halves with each second without a sample, so that a target that was slow is tried
  /// again.
  [[nodiscard]] Duration Estimate(TimePoint now) const;

private:
  void AddSample(TimePoint now, Duration step);

  Duration m_step{};
  TimePoint m_lastBytesAt{}; ///< Or when the target last became busy.
  TimePoint m_sampledAt{};   ///< Time of the latest sample.
};

} // namespace gooseberrysail
