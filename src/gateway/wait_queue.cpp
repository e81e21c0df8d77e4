#include "gooseberrysail/gateway/wait_queue.hpp"

#include "gooseberrysail/core/smoothing.hpp"

#include <algorithm>
#include <cmath>

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

std::optional<Duration> WaitQueue::ExpectedWait(TimePoint now, const ServedKind& kind) const
{
  const auto found = m_kinds.find(kind);
  if (found == m_kinds.end() ||
      SlotsFreedPerSecond(now, found->second) * kMemorySeconds < kMinFreedSlots) {
    return std::nullopt;
  }
  const double ahead = static_cast<double>(found->second.queue.size()) + 1;
  const std::chrono::duration<double> wait(ahead / SlotsFreedPerSecond(now, found->second));
  return std::chrono::duration_cast<Duration>(wait);
}

bool WaitQueue::TryEnqueue(TimePoint now,
                           const ServedKind& kind,
                           ExchangeId exchange,
                           Duration objective,
                           std::optional<Duration> backoffLeft)
{
  std::optional<Duration> wait = ExpectedWait(now, kind);
  if (backoffLeft) {
    wait = std::min(wait.value_or(*backoffLeft), *backoffLeft);
  }
  if (!wait) {
    return false;
  }
  KindQueue& state = m_kinds[kind];
  const Duration maxWait = objective - state.firstEvent;
  if (*wait > maxWait) {
    return false;
  }
  const TimePoint until = now + maxWait;
  state.queue.emplace(until, exchange);
  m_requests.emplace(exchange, QueuedRequest{ kind, until });
  return true;
}

ExchangeId WaitQueue::First(const ServedKind& kind) const
{
  const auto found = m_kinds.find(kind);
  const bool isEmpty = found == m_kinds.end() || found->second.queue.empty();
  return isEmpty ? ExchangeId() : found->second.queue.begin()->second;
}

void WaitQueue::Remove(ExchangeId exchange)
{
  const auto request = m_requests.find(exchange);
  if (request == m_requests.end()) {
    return;
  }
  m_kinds[request->second.kind].queue.erase({ request->second.until, exchange });
  m_requests.erase(request);
}

std::vector<ExchangeId> WaitQueue::TakeExpired(TimePoint now)
{
  std::vector<ExchangeId> expired;
  for (const auto& [exchange, request] : m_requests) {
    if (request.until <= now) {
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
