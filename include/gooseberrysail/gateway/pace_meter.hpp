#pragma once

#include "gooseberrysail/core/time.hpp"

namespace gooseberrysail {

/// \brief The time that one target takes for a step, as its callers see it.
/// \remarks A head writes an event of each of its streams at every step, so the pause between two
/// bursts of events is the time of a step, whoever the streams belong to: it shows the load of all
/// entries, and a member that is slow. For plain services a step is a whole answer.
class PaceMeter
{
public:
  /// \brief The target has work again after it had none.
  void OnBusy(TimePoint now) { m_lastAt = now; }

  /// \brief Some bytes of some answer came.
  void OnBytes(TimePoint now);

  /// \brief A whole answer of a plain service came `took` after it was asked for.
  void OnAnswer(TimePoint now, Duration took) { Note(now, took); }

  /// \brief The smoothed time of a step; zero while nothing is known.
  /// \remarks Halves with each second without news, so that a target that was slow is tried again.
  [[nodiscard]] Duration Step(TimePoint now) const;

private:
  void Note(TimePoint now, Duration step);

  Duration m_step{};
  TimePoint m_lastAt{};  ///< Of the latest bytes.
  TimePoint m_notedAt{}; ///< Of the latest full step.
};

} // namespace gooseberrysail
