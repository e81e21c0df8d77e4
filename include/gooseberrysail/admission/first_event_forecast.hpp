#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/serving/document.hpp"

#include <optional>

namespace gooseberrysail {

/// \brief What a head has to do, for the requests of all entries.
struct HeadWork
{
  double unreadTokens = 0; ///< Of the prompts of requests without a first event.
  double running = 0;      ///< Requests in its slots.
};

/// \brief When a request that is sent now is answered.
struct EventForecast
{
  Duration firstEvent{}; ///< From sending.
  Duration upperBound{}; ///< The observed mean and two mean deviations.
  Duration pause{};      ///< Between two events, while its prompt is read.
};

/// \brief Predicts the first event of a request at a head.
/// \remarks A head works in passes: each reads a limited number of prompt tokens, in the order of
/// the requests, and makes an event of each request that has been read. So a request waits for the
/// passes that read what is ahead of it and its own prompt, and for the one that makes its event;
/// it arrives in the midst of a pass. \param modelPace Factor on the usual times.
[[nodiscard]] EventForecast ForecastFirstEvent(const EngineSpec& engine,
                                               const HeadWork& work,
                                               double promptTokens,
                                               double modelPace);

/// \brief The factor by which a head's first events take longer than predicted, and its spread.
/// \remarks Smoothed as the round trip times of TCP (RFC 6298).
class ObservedPace
{
public:
  /// \brief Records a first event. Ratios that are no finite number above 0, or above kMaxRatio,
  /// are ignored.
  void Observe(TimePoint now, Duration predicted, Duration took);

  /// \brief The difference from 1 halves with each kHalfLife without an observation, so that a head
  /// that was slow is tried again.
  [[nodiscard]] double At(TimePoint now) const;

  /// \brief Few observations exceed it.
  [[nodiscard]] double UpperBoundAt(TimePoint now) const;

  static constexpr Duration kHalfLife = std::chrono::seconds(2);
  /// A longer time is not that of the head: this process or the connection stood still.
  static constexpr double kMaxRatio = 10;

private:
  [[nodiscard]] double Kept(TimePoint now) const;

  double m_pace = 1;
  double m_deviation = 0; ///< Mean difference of an observation from the pace.
  std::optional<TimePoint> m_observedAt;
};

} // namespace gooseberrysail
