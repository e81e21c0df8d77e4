#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrysail {

/// \brief Identifies a set of interchangeable targets: a service, and the model if it has engines.
struct ServedKind
{
  std::string service;
  std::string model; ///< "" for plain services.

  friend auto operator<=>(const ServedKind&, const ServedKind&) = default;
};

/// \brief Holds requests for a short time while all targets are full.
/// \remarks Full targets of a model free a slot every few tens of milliseconds. A refused caller
/// retries after its objective has passed, whereas one that waits for the next slot meets it. A
/// request waits only as long as leaves time for an answer within the objective. It is refused at
/// once if the expected wait is longer.
class WaitQueue
{
public:
  /// \brief A slot came free at a target of this kind.
  void OnSlotFreed(TimePoint now, const ServedKind& kind);

  /// \brief The first event of a request arrived `took` after it was sent.
  void OnFirstEvent(const ServedKind& kind, Duration took);

  /// \brief Expected wait of one more request; none when no slots came free recently.
  [[nodiscard]] std::optional<Duration> ExpectedWait(TimePoint now, const ServedKind& kind) const;

  /// \brief Queues a request.
  /// \param objective Time within which its first event should arrive.
  /// \param backoffLeft Time until the first backoff of a target ends; none without one.
  /// \returns False when it would not meet the objective.
  bool TryEnqueue(TimePoint now,
                  const ServedKind& kind,
                  ExchangeId exchange,
                  Duration objective,
                  std::optional<Duration> backoffLeft = std::nullopt);

  /// \brief The request with the earliest end of its wait; none when the queue is empty.
  [[nodiscard]] ExchangeId First(const ServedKind& kind) const;

  void Remove(ExchangeId exchange);

  /// \brief Removes and returns the requests that may not wait any longer.
  [[nodiscard]] std::vector<ExchangeId> TakeExpired(TimePoint now);

  /// \brief The kinds that have queued requests.
  [[nodiscard]] std::vector<ServedKind> ListWaiting() const;

private:
  struct QueuedRequest
  {
    ServedKind kind;
    TimePoint until{};
  };

  struct KindQueue
  {
    std::set<std::pair<TimePoint, ExchangeId>> queue; ///< By the end of their wait.
    double freedSlots = 0;                            ///< Decayed count, as of `countedAt`.
    TimePoint countedAt{};
    Duration firstEvent{}; ///< Smoothed time from sending to the first event; zero while unknown.
  };

  [[nodiscard]] static double SlotsFreedPerSecond(TimePoint now, const KindQueue& kind);

  std::map<ServedKind, KindQueue> m_kinds;
  std::map<ExchangeId, QueuedRequest> m_requests;
};

} // namespace gooseberrysail
