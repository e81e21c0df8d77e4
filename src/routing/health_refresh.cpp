#include "routing/group_table.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrysail::impl {

namespace {

/// Number of groups in a median. More are not needed, and the cost of the medians stays bounded in
/// a large fleet.
constexpr std::size_t kMaxPeers = 64;
constexpr double kMinCompleted = 2;
/// The mean of answer times covers about this many answers of a group, within these bounds in
/// seconds.
constexpr double kRememberedAnswers = 12;
constexpr double kMinMemory = 4;
constexpr double kMaxMemory = 30;
/// Ratios up to this are due to varying lengths of prompts and answers.
constexpr double kSlownessNoise = 1.25;
constexpr float kMaxSlowness = 20;
constexpr std::size_t kMinPeers = 3;
constexpr Duration kFailureMemory = std::chrono::seconds(3);
/// The count of ejections restarts this long after the end of the latest one.
constexpr Duration kEjectionMemory = std::chrono::minutes(5);

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
  if (now - health.ejectedUntil > kEjectionMemory) {
    health.ejections = 0;
  }
  const auto doublings = std::min<std::uint32_t>(health.ejections, 10);
  const Duration length =
    std::min(policy.ejection.first * (std::int64_t{ 1 } << doublings), policy.ejection.longest);
  ++health.ejections;
  health.ejectedUntil = now + length;
  health.failures = 0;
  health.whole.Reset(now);
  health.first.Reset(now);
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
  MarkDownDomains(now, entry);
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
    const double weight = horizon / (horizon + Seconds(now - health.reportObservedAt));
    weights += weight;
    reported += weight * health.reportedOthers;
  }
  entry.meanOthers = weights > 0 ? reported / weights : 0;
  entry.meanOwn = entry.slots.empty() ? 0 : own / static_cast<double>(entry.slots.size());
  for (const Slot slot : entry.slots) {
    const GroupHealth& health = m_groups.health[slot];
    // The weight of a report decreases with age in favour of the mean of the peers. Otherwise an
    // old report of an idle group would keep attracting all requests.
    const double age = Seconds(now - health.reportObservedAt);
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
  const std::size_t peers = std::min(entry.slots.size(), kMaxPeers);
  for (std::size_t i = 0; i < entry.slots.size(); ++i) {
    const Slot slot = entry.slots[i];
    GroupHealth& health = m_groups.health[slot];
    health.whole.Advance(now, m_groups.scores[slot].own);
    health.first.Advance(now, health.awaitingFirst);
    perSecond += health.whole.PerSecond() / static_cast<double>(entry.slots.size());
    if (i < peers && health.whole.Completed() >= kMinCompleted) {
      whole.push_back(health.whole.Raw());
    }
    if (i < peers && health.first.Completed() >= kMinCompleted) {
      first.push_back(health.first.Raw());
    }
  }
  const bool enough = whole.size() >= kMinPeers;
  entry.medianWhole = enough ? Median(whole) : 0;
  entry.medianFirst = first.size() >= kMinPeers ? Median(first) : 0;
  const double memory =
    std::clamp(kRememberedAnswers / std::max(perSecond, 1e-3), kMinMemory, kMaxMemory);
  for (const Slot slot : entry.slots) {
    GroupHealth& health = m_groups.health[slot];
    health.whole.SetMemory(memory);
    health.first.SetMemory(memory);
    const double ratio =
      entry.medianWhole > 0 ? health.whole.Mean(entry.medianWhole) / entry.medianWhole : 1;
    m_groups.scores[slot].slowness =
      std::clamp(static_cast<float>(ratio / kSlownessNoise), 1.0F, kMaxSlowness);
  }
}

void HealthRefresh::EjectSlowest(TimePoint now, const EntryTable& entry)
{
  if (entry.slots.size() < kMinPeers) {
    return;
  }
  // If many groups are slow, the cause is load or the network, and ejecting them would only
  // overload the rest. So only a fraction of the groups may be ejected at once.
  const auto maxEjected = std::max<std::size_t>(
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
  if (worst != kNoSlot && ejected < maxEjected) {
    Eject(now, m_policy, m_groups.health[worst]);
  }
  for (const Slot slot : entry.slots) {
    const bool isEjected = m_groups.health[slot].ejectedUntil > now;
    m_groups.scores[slot].penalty = isEjected ? kEjectedPenalty : 0;
  }
}

bool HealthRefresh::IsSilent(TimePoint now, TimePoint latestSignal, Slot slot) const
{
  const GroupHealth& health = m_groups.health[slot];
  if (health.reportInterval <= Duration{}) {
    return false;
  }
  const auto missed = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(Seconds(health.reportInterval) * m_policy.silence.intervals));
  const Duration limit = std::max(m_policy.silence.least, missed);
  // If no group sent anything, this process was disconnected or paused.
  const bool othersSignalled = now - latestSignal < limit;
  return othersSignalled && now - health.lastSignalAt > limit;
}

void HealthRefresh::MarkSilent(TimePoint now, const EntryTable& entry)
{
  TimePoint latestSignal{};
  for (const Slot slot : entry.slots) {
    latestSignal = std::max(latestSignal, m_groups.health[slot].lastSignalAt);
  }
  std::ranges::fill(m_domainCount, 0);
  std::ranges::fill(m_domainDown, 0);
  for (const Slot slot : entry.slots) {
    const GroupHealth& health = m_groups.health[slot];
    const bool silent = IsSilent(now, latestSignal, slot);
    const bool failing = health.failures > 0 && now - health.failedAt < kFailureMemory;
    const DomainIndex domain = m_groups.scores[slot].domain;
    ++m_domainCount[domain];
    m_domainDown[domain] += silent || failing ? 1 : 0;
    // Without own requests there is no penalty, so that one request at a time probes the group.
    // Otherwise an idle silent group would never be used again.
    if (silent && m_groups.scores[slot].own > 0) {
      m_groups.scores[slot].penalty += kSilentPenalty;
    }
  }
}

void HealthRefresh::MarkDownDomains(TimePoint now, const EntryTable& entry)
{
  // A failure domain fails as a whole, but its groups are detected as silent one by one, each at
  // the cost of a request. When half of a domain is down, the rest is treated as down too.
  for (const Slot slot : entry.slots) {
    const DomainIndex domain = m_groups.scores[slot].domain;
    const bool isDown =
      m_domainDown[domain] >= 2 && m_domainDown[domain] * 2 >= m_domainCount[domain];
    const bool hasRecentSignal =
      now - m_groups.health[slot].lastSignalAt < m_policy.silence.least / 3;
    if (isDown && !hasRecentSignal) {
      m_groups.scores[slot].penalty += kSilentPenalty;
    }
  }
}

void HealthRefresh::Ramp(TimePoint now, const EntryTable& entry)
{
  for (const Slot slot : entry.slots) {
    GroupHealth& health = m_groups.health[slot];
    GroupScore& score = m_groups.scores[slot];
    score.ownLimit = UINT32_MAX;
    if (!health.ramping || now < health.rampFrom) {
      continue;
    }
    const double done = Seconds(now - health.rampFrom) / Seconds(m_policy.slowStart.ramp);
    if (done >= 1) {
      health.ramping = false;
      continue;
    }
    // A returning group has the least load and a cold cache, and would get every new request at
    // once. Its limit grows linearly up to the mean of its peers.
    score.ownLimit = 1 + static_cast<std::uint32_t>(std::ceil(done * entry.meanOwn));
  }
}

} // namespace gooseberrysail::impl
