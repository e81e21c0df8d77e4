#pragma once

#include "gooseberrysail/admission/first_event_forecast.hpp"
#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/roles/inputs.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <map>
#include <optional>

namespace gooseberrysail {

/// \brief Predicts the first events of requests at heads from what this entry knows of them.
/// \remarks The requests of other entries are estimated from this entry's own and its share of a
/// head. The observed pace corrects the estimate.
class HeadForecasts
{
public:
  /// \brief A request to predict.
  struct Prompt
  {
    const EngineSpec& engine;
    double modelPace = 1;
    double tokens = 0;
  };

  /// \param share This entry's fraction of the head's slots.
  /// \param inFlight This entry's requests at the head.
  [[nodiscard]] EventForecast Forecast(TimePoint now,
                                       const TargetIncarnation& head,
                                       double share,
                                       std::uint32_t inFlight,
                                       const Prompt& prompt) const;

  /// \brief A request was sent for which this was predicted.
  void OnSent(TimePoint now,
              ExchangeId exchange,
              const TargetIncarnation& head,
              double promptTokens,
              const EventForecast& forecast);

  /// \brief The first event of a request arrived.
  /// \returns What was predicted; none for a request that isn't known.
  std::optional<Duration> OnFirstEvent(TimePoint now, ExchangeId exchange);

  /// \brief The call has ended.
  void OnEnded(ExchangeId exchange);

  /// \brief Forgets heads that have no requests and were not used for a while.
  void RemoveUnused(TimePoint now);

private:
  struct Head
  {
    double unreadTokens = 0;     ///< Of this entry's requests without a first event.
    double meanUnreadTokens = 0; ///< Smoothed, as of `changedAt`.
    TimePoint changedAt{};
    ObservedPace pace;
  };
  struct Sent
  {
    TargetIncarnation head;
    TimePoint at{};
    double promptTokens = 0;
    Duration predicted{};
    double pace = 1; ///< By which the prediction was multiplied.
  };

  [[nodiscard]] static double MeanUnread(TimePoint now, const Head& head);
  static void ChangeUnread(TimePoint now, Head& head, double tokens);

  std::map<TargetIncarnation, Head> m_heads;
  std::map<ExchangeId, Sent> m_sent; ///< Requests without a first event.
};

} // namespace gooseberrysail
