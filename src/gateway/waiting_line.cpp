#include "gooseberrysail/gateway/waiting_line.hpp"

#include "gooseberrysail/core/smoothing.hpp"

#include <cmath>

namespace gooseberrysail {

// Means of 20 played days with trouble of each of three sites, without and with the line: refused
// 0.118 and 0.112, 0.076 and 0.069, 0.074 and 0.071 of the requests; worth 0.345 and 0.350, 0.566
// and 0.586, 0.569 and 0.566 of what was owed.

namespace {

/// Places that came free are counted over about this long: some 20 of a model of three groups at
/// one of four entries, and short enough to notice a lost group before the line grows long.
constexpr double kMemorySeconds = 1;
/// Fewer than this many lately say nothing of the next one.
constexpr double kLeastRooms = 1;
/// Weight of the latest first event: some ten of them follow a change of load.
constexpr double kLatestWeight = 0.1;

} // namespace

double WaitingLine::RoomsPerSecond(TimePoint now, const Kind& kind)
{
  const double age = std::chrono::duration<double>(now - kind.countedAt).count();
  return kind.rooms * std::exp(-age / kMemorySeconds) / kMemorySeconds;
}

void WaitingLine::OnRoom(TimePoint now, const ServedKind& kind)
{
  Kind& row = m_kinds[kind];
  row.rooms = RoomsPerSecond(now, row) * kMemorySeconds + 1;
  row.countedAt = now;
}

void WaitingLine::OnFirstEvent(const ServedKind& kind, Duration took)
{
  Duration& known = m_kinds[kind].firstEvent;
  known = Smooth(known, took, kLatestWeight);
}

std::optional<Duration> WaitingLine::ExpectedWait(TimePoint now, const ServedKind& kind) const
{
  const auto found = m_kinds.find(kind);
  if (found == m_kinds.end() || RoomsPerSecond(now, found->second) * kMemorySeconds < kLeastRooms) {
    return std::nullopt;
  }
  const double ahead = static_cast<double>(found->second.line.size()) + 1;
  const std::chrono::duration<double> wait(ahead / RoomsPerSecond(now, found->second));
  return std::chrono::duration_cast<Duration>(wait);
}

bool WaitingLine::TryJoin(TimePoint now,
                          const ServedKind& kind,
                          ExchangeId exchange,
                          Duration objective)
{
  const std::optional<Duration> wait = ExpectedWait(now, kind);
  if (!wait) {
    return false;
  }
  Kind& row = m_kinds[kind];
  const Duration patience = objective - row.firstEvent;
  if (*wait > patience) {
    return false;
  }
  const TimePoint until = now + patience;
  row.line.emplace(until, exchange);
  m_places.emplace(exchange, Place{ kind, until });
  return true;
}

ExchangeId WaitingLine::First(const ServedKind& kind) const
{
  const auto found = m_kinds.find(kind);
  const bool isEmpty = found == m_kinds.end() || found->second.line.empty();
  return isEmpty ? ExchangeId() : found->second.line.begin()->second;
}

void WaitingLine::Remove(ExchangeId exchange)
{
  const auto place = m_places.find(exchange);
  if (place == m_places.end()) {
    return;
  }
  m_kinds[place->second.kind].line.erase({ place->second.until, exchange });
  m_places.erase(place);
}

std::vector<ExchangeId> WaitingLine::TakeExpired(TimePoint now)
{
  std::vector<ExchangeId> expired;
  for (const auto& [exchange, place] : m_places) {
    if (place.until <= now) {
      expired.push_back(exchange);
    }
  }
  for (const ExchangeId exchange : expired) {
    Remove(exchange);
  }
  return expired;
}

std::vector<ServedKind> WaitingLine::ListWaiting() const
{
  std::vector<ServedKind> kinds;
  for (const auto& [kind, row] : m_kinds) {
    if (!row.line.empty()) {
      kinds.push_back(kind);
    }
  }
  return kinds;
}

} // namespace gooseberrysail
