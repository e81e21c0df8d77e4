#pragma once

#include "admission/retry_schedule.hpp"
#include "gooseberrysail/core/time.hpp"

#include <cstddef>
#include <optional>

namespace gooseberrysail {

/// \brief Tells refused callers when to come back, so that each finds a free slot.
/// \remarks Callers who are told the same time come back together, and most are refused again.
class RetryPlaces
{
public:
  /// \brief A target began to answer a request.
  void OnFirstEvent(TimePoint now);

  /// \brief Whether enough requests have begun lately for places to be told.
  [[nodiscard]] bool IsKnown(TimePoint now) const { return BegunPerSecond(now) >= kMinPerSecond; }

  /// \brief The time after which the next refused caller should come back.
  /// \param waiting Requests in the queue, which are served before.
  /// \param timeLeft Until the caller's deadline.
  /// \returns The longest time that the caller would wait if all places before it are taken; none
  /// if its deadline is too close for another attempt.
  [[nodiscard]] std::optional<Duration> Next(TimePoint now, std::size_t waiting, Duration timeLeft);

private:
  static constexpr double kMinPerSecond = 1;

  [[nodiscard]] double BegunPerSecond(TimePoint now) const;

  double m_begun = 0; ///< Decayed count, as of `m_countedAt`.
  TimePoint m_countedAt{};
  TimePoint m_next{}; ///< The next place.
};

} // namespace gooseberrysail
