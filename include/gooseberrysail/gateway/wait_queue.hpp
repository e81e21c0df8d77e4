#pragma once

#include "gooseberrysail/admission/urgency.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace gooseberrysail {

/// \brief Identifies a set of interchangeable targets: a service, and the model if it has engines.
struct ServedKind
{
  std::string service;
  std::string model; ///< "" for plain services.

  friend auto operator<=>(const ServedKind&, const ServedKind&) = default;
};

/// \brief A request's place in the order of a queue.
struct QueueRank
{
  Urgency urgency = 0;
  /// \brief Set for a caller's retry: how long it may wait, as it is late anyway.
  std::optional<Duration> retryWait = std::nullopt;
};

/// \brief Holds requests for a short time while all targets are full.
/// \remarks Full targets of a model free a slot every few tens of milliseconds. A refused caller
/// retries after its objective has passed, whereas one that waits for the next slot meets it. A
/// request waits only as long as leaves time for an answer within the objective. It is refused at
/// once if the expected wait is longer. The most urgent request is first, of equal urgency a
/// caller's retry, and then the one with the earliest end of its wait.
class WaitQueue
{
public:
  /// \brief A slot came free at a target of this kind.
  void OnSlotFreed(TimePoint now, const ServedKind& kind);

  /// \brief The first event of a request arrived `took` after it was sent.
  void OnFirstEvent(const ServedKind& kind, Duration took);

  /// \brief Expected wait of one more request; none when no slots came free recently.
  [[nodiscard]] std::optional<Duration> ExpectedWait(TimePoint now,
                                                     const ServedKind& kind,
                                                     const QueueRank& rank = {}) const;

  [[nodiscard]] std::size_t CountWaiting(const ServedKind& kind) const;

  /// \brief Queues a request.
  /// \param objective Time within which its first event should arrive.
  /// \param backoffLeft Time until the first backoff of a target ends; none without one.
  /// \returns False when it would not meet the objective.
  bool TryEnqueue(TimePoint now,
                  const ServedKind& kind,
                  ExchangeId exchange,
                  Duration objective,
                  std::optional<Duration> backoffLeft = std::nullopt,
                  const QueueRank& rank = {});

  /// \brief Removes and returns the requests that would no longer be served in time because of more
  /// urgent ones that were queued since.
  [[nodiscard]] std::vector<ExchangeId> TakeDisplaced();

  /// \brief The request that gets the next slot; none when the queue is empty.
  [[nodiscard]] ExchangeId First(const ServedKind& kind) const;

  /// \brief The waiting requests in the order in which they get slots.
  [[nodiscard]] std::vector<ExchangeId> ListInOrder(const ServedKind& kind) const;

  /// \brief Removes a request that gets a slot.
  void Dequeue(ExchangeId exchange);

  void Remove(ExchangeId exchange);

  /// \brief Removes and returns the requests that may not wait any longer.
  [[nodiscard]] std::vector<ExchangeId> TakeExpired(TimePoint now);

  /// \brief The kinds that have queued requests.
  [[nodiscard]] std::vector<ServedKind> ListWaiting() const;

private:
  /// \brief Urgency, whether it is a first attempt, the end of its wait.
  using Place = std::tuple<Urgency, bool, TimePoint, ExchangeId>;

  struct QueuedRequest
  {
    ServedKind kind;
    Place place;
    TimePoint since{};
  };

  struct KindQueue
  {
    std::set<Place> queue;
    std::uint32_t served = 0; ///< Requests that left the queue for a slot.
    double freedSlots = 0;    ///< Decayed count, as of `countedAt`.
    TimePoint countedAt{};
    Duration firstEvent{}; ///< Smoothed time from sending to the first event; zero while unknown.
  };

  [[nodiscard]] static double SlotsFreedPerSecond(TimePoint now, const KindQueue& kind);
  /// \brief Expected wait at a place of the queue.
  [[nodiscard]] static Duration WaitAt(TimePoint now,
                                       const KindQueue& kind,
                                       std::set<Place>::const_iterator place,
                                       Urgency urgency);
  void Displace(TimePoint now, KindQueue& kind, Urgency urgency);

  std::map<ServedKind, KindQueue> m_kinds;
  std::map<ExchangeId, QueuedRequest> m_requests;
  std::vector<ExchangeId> m_displaced;
};

} // namespace gooseberrysail
