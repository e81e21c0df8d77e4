#include "routing/group_table.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrysail::impl {

namespace {

/// Peers compared; a median needs no more, and a refresh must not grow with the whole fleet.
constexpr std::size_t kPeers = 64;
constexpr double kLeastCompleted = 2;
/// Answers of a group that a judgement looks back on, within these times.
constexpr double kRemembered = 12;
constexpr double kLeastMemory = 4;
constexpr double kMostMemory = 30;
/// Differences up to this are noise of prompt and answer lengths.
constexpr double kSlownessNoise = 1.25;
constexpr float kMostSlowness = 20;
constexpr std::size_t kLeastPeers = 3;
constexpr Duration kFailureMemory = std::chrono::seconds(3);
/// An ejection this far back is forgiven.
constexpr Duration kForgive = std::chrono::minutes(5);

double Seconds(Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

double Median(std::vector<double>& values)
{
  if (values.empty()) {
    return 0;
  }
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::ranges::nth_element(values, middle);
  return *middle;
}

} // namespace

void Eject(TimePoint now, const RouterPolicy& policy, GroupHealth& health)
{
  if (now - health.ejectedUntil > kForgive) {
    health.ejections = 0;
  }
  const auto doublings = std::min<std::uint32_t>(health.ejections, 10);
  const Duration length =
    std::min(policy.ejection.first * (std::int64_t{ 1 } << doublings), policy.ejection.longest);
  ++health.ejections;
  health.ejectedUntil = now + length;
  health.failures = 0;
  health.whole.Forget(now);
  health.first.Forget(now);
  health.rampFrom = health.ejectedUntil;
  health.ramping = true;
}

HealthRefresh::HealthRefresh(const RouterPolicy& policy, GroupTable& groups, std::size_t domains)
  : m_policy(policy)
  , m_groups(groups)
  , m_domainCount(domains)
  , m_domainDown(domains)
{
}

void HealthRefresh::Run(TimePoint now, EntryTable& entry)
{
  entry.refreshedAt = now;
  AgeLoads(now, entry);
  CompareTimes(now, entry);
  EjectSlowest(now, entry);
  MarkSilent(now, entry);
  MarkDarkDomains(now, entry);
  Ramp(now, entry);
}

void HealthRefresh::AgeLoads(TimePoint now, EntryTable& entry)
{
  const double horizon = Seconds(m_policy.aging.loadReport);
  double weights = 0;
  double reported = 0;
  double own = 0;
  for (const Slot slot : entry.slots) {
    const GroupHealth& health = m_groups.health[slot];
    own += m_groups.scores[slot].own;
    if (health.reportArrived == TimePoint{}) {
      continue;
    }
    const double weight = horizon / (horizon + Seconds(now - health.reportedFor));
    weights += weight;
    reported += weight * health.reportedOthers;
  }
  entry.meanOthers = weights > 0 ? reported / weights : 0;
  entry.meanOwn = entry.slots.empty() ? 0 : own / static_cast<double>(entry.slots.size());
  for (const Slot slot : entry.slots) {
    const GroupHealth& health = m_groups.health[slot];
    // An old report says less than what the peers show by now: an idle moment long past must not
    // go on drawing all work to one group.
    const double age = Seconds(now - health.reportedFor);
    const double trust = health.reportArrived == TimePoint{} ? 0 : horizon / (horizon + age);
    m_groups.scores[slot].others =
      static_cast<float>(trust * health.reportedOthers + (1 - trust) * entry.meanOthers);
  }
}

void HealthRefresh::CompareTimes(TimePoint now, EntryTable& entry)
{
  std::vector<double> whole;
  std::vector<double> first;
  double perSecond = 0;
  const std::size_t peers = std::min(entry.slots.size(), kPeers);
  for (std::size_t i = 0; i < entry.slots.size(); ++i) {
    const Slot slot = entry.slots[i];
    GroupHealth& health = m_groups.health[slot];
    health.whole.Advance(now, m_groups.scores[slot].own);
    health.first.Advance(now, health.awaitingFirst);
    perSecond += health.whole.PerSecond() / static_cast<double>(entry.slots.size());
    if (i < peers && health.whole.Completed() >= kLeastCompleted) {
      whole.push_back(health.whole.Raw());
    }
    if (i < peers && health.first.Completed() >= kLeastCompleted) {
      first.push_back(health.first.Raw());
    }
  }
  const bool enough = whole.size() >= kLeastPeers;
  entry.medianWhole = enough ? Median(whole) : 0;
  entry.medianFirst = first.size() >= kLeastPeers ? Median(first) : 0;
  const double memory =
    std::clamp(kRemembered / std::max(perSecond, 1e-3), kLeastMemory, kMostMemory);
  for (const Slot slot : entry.slots) {
    GroupHealth& health = m_groups.health[slot];
    health.whole.SetMemory(memory);
    health.first.SetMemory(memory);
    const double ratio =
      entry.medianWhole > 0 ? health.whole.Mean(entry.medianWhole) / entry.medianWhole : 1;
    m_groups.scores[slot].slowness =
      std::clamp(static_cast<float>(ratio / kSlownessNoise), 1.0F, kMostSlowness);
  }
}

void HealthRefresh::EjectSlowest(TimePoint now, const EntryTable& entry)
{
  if (entry.slots.size() < kLeastPeers) {
    return;
  }
  // When much of the fleet looks slow the cause is load or the network, and leaving groups out
  // would only press the rest: never more than a share of them at once.
  const auto most = std::max<std::size_t>(
    1,
    static_cast<std::size_t>(m_policy.ejection.maxShare * static_cast<double>(entry.slots.size())));
  std::size_t ejected = 0;
  Slot worst = kNoSlot;
  double worstExcess = 1;
  for (const Slot slot : entry.slots) {
    const GroupHealth& health = m_groups.health[slot];
    if (health.ejectedUntil > now) {
      ++ejected;
      continue;
    }
    const auto excess = [&](const Sojourn& time, double median, double limit) {
      const bool judged = median > 0 && time.Evidence(median) >= m_policy.ejection.evidence;
      return judged ? time.Mean(median) / median / limit : 0.0;
    };
    const double slow =
      std::max(excess(health.whole, entry.medianWhole, m_policy.ejection.ratio),
               excess(health.first, entry.medianFirst, m_policy.ejection.firstRatio));
    const double failing = health.failures >= m_policy.ejection.failures ? health.failures : 0.0;
    if (std::max(slow, failing) > worstExcess) {
      worstExcess = std::max(slow, failing);
      worst = slot;
    }
  }
  if (worst != kNoSlot && ejected < most) {
    Eject(now, m_policy, m_groups.health[worst]);
  }
  for (const Slot slot : entry.slots) {
    const bool isEjected = m_groups.health[slot].ejectedUntil > now;
    m_groups.scores[slot].penalty = isEjected ? kEjectedPenalty : 0;
  }
}

bool HealthRefresh::IsSilent(TimePoint now, TimePoint latestHeard, Slot slot) const
{
  const GroupHealth& health = m_groups.health[slot];
  if (health.reportInterval <= Duration{}) {
    return false;
  }
  const auto missed = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(Seconds(health.reportInterval) * m_policy.silence.intervals));
  const Duration limit = std::max(m_policy.silence.least, missed);
  // When nobody is heard of, this process is the one cut off or it was paused.
  const bool othersHeard = now - latestHeard < limit;
  return othersHeard && now - health.heardAt > limit;
}

void HealthRefresh::MarkSilent(TimePoint now, const EntryTable& entry)
{
  TimePoint latestHeard{};
  for (const Slot slot : entry.slots) {
    latestHeard = std::max(latestHeard, m_groups.health[slot].heardAt);
  }
  std::ranges::fill(m_domainCount, 0);
  std::ranges::fill(m_domainDown, 0);
  for (const Slot slot : entry.slots) {
    const GroupHealth& health = m_groups.health[slot];
    const bool silent = IsSilent(now, latestHeard, slot);
    const bool failing = health.failures > 0 && now - health.failedAt < kFailureMemory;
    const DomainIndex domain = m_groups.scores[slot].domain;
    ++m_domainCount[domain];
    m_domainDown[domain] += silent || failing ? 1 : 0;
    // Work may still be tried there one at a time, or silence of an idle group would keep it idle.
    if (silent && m_groups.scores[slot].own > 0) {
      m_groups.scores[slot].penalty += kSilentPenalty;
    }
  }
}

void HealthRefresh::MarkDarkDomains(TimePoint now, const EntryTable& entry)
{
  // A failure domain goes dark as a whole, but its groups are found silent one by one, each at the
  // price of a request. When half of a domain is down, the rest is taken to be down too.
  for (const Slot slot : entry.slots) {
    const DomainIndex domain = m_groups.scores[slot].domain;
    const bool dark =
      m_domainDown[domain] >= 2 && m_domainDown[domain] * 2 >= m_domainCount[domain];
    const bool heard = now - m_groups.health[slot].heardAt < m_policy.silence.least / 3;
    if (dark && !heard) {
      m_groups.scores[slot].penalty += kSilentPenalty;
    }
  }
}

void HealthRefresh::Ramp(TimePoint now, const EntryTable& entry)
{
  for (const Slot slot : entry.slots) {
    GroupHealth& health = m_groups.health[slot];
    GroupScore& score = m_groups.scores[slot];
    score.ownMost = UINT32_MAX;
    if (!health.ramping || now < health.rampFrom) {
      continue;
    }
    const double done = Seconds(now - health.rampFrom) / Seconds(m_policy.slowStart.ramp);
    if (done >= 1) {
      health.ramping = false;
      continue;
    }
    // Being the emptiest, a group that comes back would get every new request at once, with a cold
    // cache. Its bound grows to what its peers hold.
    score.ownMost = 1 + static_cast<std::uint32_t>(std::ceil(done * entry.meanOwn));
  }
}

} // namespace gooseberrysail::impl
