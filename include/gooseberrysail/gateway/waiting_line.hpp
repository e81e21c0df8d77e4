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

/// \brief What is served by one set of targets: a service, and a model where it has engines.
struct ServedKind
{
  std::string service;
  std::string model; ///< "" for plain services.

  friend auto operator<=>(const ServedKind&, const ServedKind&) = default;
};

/// \brief Requests that wait at an entry for a moment because all targets are full.
/// \remarks The targets of a model are full at this entry while some of them end a request each few
/// ten milliseconds. A caller who is refused comes back after the objective has passed; one who
/// waits for the next place is in time. Nobody waits for longer than that leaves time for an answer
/// within the objective, and nobody joins a line that would take longer: those are refused at once.
class WaitingLine
{
public:
  /// \brief A target of this kind has room for one more.
  void OnRoom(TimePoint now, const ServedKind& kind);

  /// \brief The first event of a request came `took` after it was sent.
  void OnFirstEvent(const ServedKind& kind, Duration took);

  /// \brief How long one more would likely wait; none where no place came free lately.
  [[nodiscard]] std::optional<Duration> ExpectedWait(TimePoint now, const ServedKind& kind) const;

  /// \brief Puts a request in line.
  /// \param objective Within which its first event should come.
  /// \returns False where it would not be in time.
  bool TryJoin(TimePoint now, const ServedKind& kind, ExchangeId exchange, Duration objective);

  /// \brief The request that must be served soonest; none where nobody waits.
  [[nodiscard]] ExchangeId First(const ServedKind& kind) const;

  void Remove(ExchangeId exchange);

  /// \brief Takes out those whose time for waiting is over.
  [[nodiscard]] std::vector<ExchangeId> TakeExpired(TimePoint now);

  /// \brief The kinds of which somebody waits.
  [[nodiscard]] std::vector<ServedKind> ListWaiting() const;

private:
  struct Place
  {
    ServedKind kind;
    TimePoint until{};
  };

  struct Kind
  {
    std::set<std::pair<TimePoint, ExchangeId>> line; ///< By the end of their time for waiting.
    double rooms = 0;                                ///< That came free lately, at `countedAt`.
    TimePoint countedAt{};
    Duration firstEvent{}; ///< Smoothed time from sending to the first event; zero: not known.
  };

  [[nodiscard]] static double RoomsPerSecond(TimePoint now, const Kind& kind);

  std::map<ServedKind, Kind> m_kinds;
  std::map<ExchangeId, Place> m_places;
};

} // namespace gooseberrysail
