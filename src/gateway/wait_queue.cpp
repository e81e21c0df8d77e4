#include "gooseberrysail/gateway/wait_queue.hpp"

#include "gooseberrysail/core/smoothing.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace gooseberrysail {

namespace {

/// Time constant of the count of freed slots. A model of three groups frees about 20 slots at one
/// of four entries in this time, and it is short enough to react to a lost group before the queue
/// grows long.
constexpr double kMemorySeconds = 1;
/// With fewer freed slots than this, the time of the next one cannot be estimated.
constexpr double kMinFreedSlots = 1;
/// Weight of the latest first event: the mean follows a change of load within about ten of them.
constexpr double kLatestWeight = 0.1;

} // namespace

double WaitQueue::SlotsFreedPerSecond(TimePoint now, const KindQueue& kind)
{
  const double age = std::chrono::duration<double>(now - kind.countedAt).count();
  return kind.freedSlots * std::exp(-age / kMemorySeconds) / kMemorySeconds;
}

void WaitQueue::OnSlotFreed(TimePoint now, const ServedKind& kind)
{
  KindQueue& state = m_kinds[kind];
  state.freedSlots = SlotsFreedPerSecond(now, state) * kMemorySeconds + 1;
  state.countedAt = now;
}

void WaitQueue::OnFirstEvent(const ServedKind& kind, Duration took)
{
  Duration& known = m_kinds[kind].firstEvent;
  known = Smooth(known, took, kLatestWeight);
}

std::size_t WaitQueue::CountWaiting(const ServedKind& kind) const
{
  const auto found = m_kinds.find(kind);
  return found == m_kinds.end() ? 0 : found->second.queue.size();
}

std::optional<Duration> WaitQueue::ExpectedWait(TimePoint now,
                                                const ServedKind& kind,
                                                const QueueRank& rank) const
{
  const auto found = m_kinds.find(kind);
  if (found == m_kinds.end() ||
      SlotsFreedPerSecond(now, found->second) * kMemorySeconds < kMinFreedSlots) {
    return std::nullopt;
  }
  const KindQueue& state = found->second;
  const auto behind =
    state.queue.upper_bound(Place{ rank.urgency, !rank.retryWait, TimePoint::max(), ExchangeId() });
  return WaitAt(now, state, behind, rank.urgency);
}

// A less urgent request waits for its turn among the less urgent, if not for fewer more urgent
// ones.
Duration WaitQueue::WaitAt(TimePoint now,
                           const KindQueue& kind,
                           std::set<Place>::const_iterator place,
                           Urgency urgency)
{
  auto ahead = std::distance(kind.queue.begin(), place);
  if (!kind.queue.empty() && urgency > std::get<Urgency>(*kind.queue.begin())) {
    const auto lessUrgent = kind.queue.upper_bound(
      Place{ std::get<Urgency>(*kind.queue.begin()), true, TimePoint::max(), ExchangeId() });
    const auto lessUrgentAhead = ahead - std::distance(kind.queue.begin(), lessUrgent);
    const auto turns = (lessUrgentAhead + 1) * std::ptrdiff_t{ kSlotsPerLessUrgentTurn } - 1;
    ahead = std::min(ahead, turns);
  }
  const std::chrono::duration<double> wait((static_cast<double>(ahead) + 1) /
                                           SlotsFreedPerSecond(now, kind));
  return std::chrono::duration_cast<Duration>(wait);
}

bool WaitQueue::TryEnqueue(TimePoint now,
                           const ServedKind& kind,
                           ExchangeId exchange,
                           Duration objective,
                           std::optional<Duration> backoffLeft,
                           const QueueRank& rank)
{
  std::optional<Duration> wait = ExpectedWait(now, kind, rank);
  if (backoffLeft) {
    wait = std::min(wait.value_or(*backoffLeft), *backoffLeft);
  }
  if (!wait) {
    return false;
  }
  KindQueue& state = m_kinds[kind];
  const Duration maxWait =
    std::max(objective - state.firstEvent, rank.retryWait.value_or(Duration::min()));
  if (*wait > maxWait) {
    return false;
  }
  const Place place{ rank.urgency, !rank.retryWait, now + maxWait, exchange };
  state.queue.insert(place);
  m_requests.emplace(exchange, QueuedRequest{ kind, place, now });
  Displace(now, state, rank.urgency);
  return true;
}

// Refused at once, their callers can still go elsewhere.
void WaitQueue::Displace(TimePoint now, KindQueue& kind, Urgency urgency)
{
  if (SlotsFreedPerSecond(now, kind) * kMemorySeconds < kMinFreedSlots) {
    return;
  }
  auto place = kind.queue.upper_bound(Place{ urgency, true, TimePoint::max(), ExchangeId() });
  while (place != kind.queue.end()) {
    const auto [ownUrgency, isFirstAttempt, until, exchange] = *place;
    const bool isInTime = now + WaitAt(now, kind, place, ownUrgency) <= until;
    ++place;
    if (!isInTime) {
      m_displaced.push_back(exchange);
      Remove(exchange);
    }
  }
}

std::vector<ExchangeId> WaitQueue::TakeDisplaced()
{
  return std::exchange(m_displaced, {});
}

ExchangeId WaitQueue::First(const ServedKind& kind) const
{
  const std::vector<ExchangeId> waiting = ListInOrder(kind);
  return waiting.empty() ? ExchangeId() : waiting.front();
}

std::vector<ExchangeId> WaitQueue::ListInOrder(const ServedKind& kind) const
{
  std::vector<ExchangeId> waiting;
  const auto found = m_kinds.find(kind);
  if (found == m_kinds.end() || found->second.queue.empty()) {
    return waiting;
  }
  const std::set<Place>& queue = found->second.queue;
  for (const Place& place : queue) {
    waiting.push_back(std::get<ExchangeId>(place));
  }
  const bool isLessUrgentTurn =
    found->second.served % kSlotsPerLessUrgentTurn == kSlotsPerLessUrgentTurn - 1;
  const auto lessUrgent = queue.upper_bound(
    Place{ std::get<Urgency>(*queue.begin()), true, TimePoint::max(), ExchangeId() });
  if (isLessUrgentTurn && lessUrgent != queue.end()) {
    const auto first = waiting.begin() + std::distance(queue.begin(), lessUrgent);
    const auto longest = std::min_element(first, waiting.end(), [&](ExchangeId a, ExchangeId b) {
      return m_requests.at(a).since < m_requests.at(b).since;
    });
    std::rotate(waiting.begin(), longest, longest + 1);
  }
  return waiting;
}

void WaitQueue::Dequeue(ExchangeId exchange)
{
  if (const auto request = m_requests.find(exchange); request != m_requests.end()) {
    ++m_kinds[request->second.kind].served;
  }
  Remove(exchange);
}

void WaitQueue::Remove(ExchangeId exchange)
{
  const auto request = m_requests.find(exchange);
  if (request == m_requests.end()) {
    return;
  }
  m_kinds[request->second.kind].queue.erase(request->second.place);
  m_requests.erase(request);
}

std::vector<ExchangeId> WaitQueue::TakeExpired(TimePoint now)
{
  std::vector<ExchangeId> expired;
  for (const auto& [exchange, request] : m_requests) {
    if (std::get<TimePoint>(request.place) <= now) {
      expired.push_back(exchange);
    }
  }
  for (const ExchangeId exchange : expired) {
    Remove(exchange);
  }
  return expired;
}

std::vector<ServedKind> WaitQueue::ListWaiting() const
{
  std::vector<ServedKind> kinds;
  for (const auto& [kind, state] : m_kinds) {
    if (!state.queue.empty()) {
      kinds.push_back(kind);
    }
  }
  return kinds;
}

} // namespace gooseberrysail
