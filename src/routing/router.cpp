#include "gooseberrysail/routing/router.hpp"

#include "routing/group_table.hpp"
#include "routing/retry_budget.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

using impl::kNoSlot;
using impl::Slot;

constexpr float kSameDomainAgainPenalty = 100;
constexpr double kBytesPerKilobyte = 1024;
constexpr double kMinTypicalLoad = 2;
/// A group that appears later than this after the first use of its entry gets a slow start. Before,
/// all groups are new.
constexpr Duration kInitialPeriod = std::chrono::seconds(5);
constexpr double kIntervalGain = 0.2;

} // namespace

struct Router::Impl
{
  RouterPolicy policy;
  std::function<std::uint64_t()> random;
  impl::GroupTable groups;
  std::unordered_map<EntryName, impl::EntryTable> entries;
  std::unordered_map<FailureDomainId, impl::DomainIndex> domains;
  impl::DomainIndex ownDomain = 0;
  impl::PrefixIndex prefixes;
  impl::RetryBudget retries;
  TimePoint latest{};
  std::vector<float> hits; ///< Scratch, by slot: cached fraction of the prompt; zero between calls.

  Impl(const FailureDomainId& domain,
       std::function<std::uint64_t()> randomHook,
       const RouterPolicy& routerPolicy)
    : policy(routerPolicy)
    , random(std::move(randomHook))
    , prefixes(policy)
    , retries(policy.retry)
  {
    ownDomain = Domain(domain);
  }

  impl::DomainIndex Domain(const FailureDomainId& name)
  {
    return domains.try_emplace(name, static_cast<impl::DomainIndex>(domains.size())).first->second;
  }

  void Refresh(TimePoint now, impl::EntryTable& entry)
  {
    if (!entry.used) {
      entry.used = true;
      entry.firstUsed = now;
    }
    if (now - entry.refreshedAt >= policy.refreshInterval) {
      impl::HealthRefresh(policy, groups, domains.size()).Run(now, entry);
    }
  }

  void CountOwn(TimePoint now, Slot slot, std::int32_t change)
  {
    impl::GroupScore& score = groups.scores[slot];
    impl::GroupHealth& health = groups.health[slot];
    health.whole.Advance(now, score.own);
    score.own = change < 0 && score.own == 0 ? 0 : score.own + static_cast<std::uint32_t>(change);
    groups.histories[slot].Set(now, score.own);
  }

  /// \param change Change in the number of requests that wait for their first byte.
  void CountAwaiting(TimePoint now, Slot slot, double change)
  {
    impl::GroupHealth& health = groups.health[slot];
    health.first.Advance(now, health.awaitingFirst);
    const auto most = static_cast<double>(groups.scores[slot].own);
    health.awaitingFirst = std::clamp(health.awaitingFirst + change, 0.0, most);
    groups.scores[slot].awaitingFirst =
      static_cast<float>(health.awaitingFirst * policy.cost.awaitingFirst);
  }

  /// It is unknown whether a failed or cancelled attempt had received its first byte, so the
  /// average per own request is subtracted. Otherwise it would count as waiting forever, and a
  /// group whose callers disconnect would appear to hang.
  void CountAbandoned(TimePoint now, Slot slot)
  {
    const double own = std::max<double>(groups.scores[slot].own, 1);
    CountAwaiting(now, slot, -groups.health[slot].awaitingFirst / own);
  }

  Slot Insert(const RouteCandidate& candidate)
  {
    const Slot slot = groups.Insert(candidate);
    groups.scores[slot].listed = false;
    // The slot may have belonged to another group, whose cache records must not apply to this one.
    groups.feeds[slot] = {};
    groups.feeds[slot].validSince = latest + impl::kPrefixTick;
    hits.resize(groups.scores.size());
    return slot;
  }

  void List(Slot slot)
  {
    impl::EntryTable& entry = entries[groups.candidates[slot].entry];
    entry.slots.push_back(slot);
    groups.scores[slot].listed = true;
    groups.health[slot].lastSignalAt = latest;
    if (entry.used && latest - entry.firstUsed > kInitialPeriod) {
      BeginRamp(slot);
      groups.scores[slot].others = static_cast<float>(entry.meanOthers);
    }
  }

  void BeginRamp(Slot slot)
  {
    groups.health[slot].ramping = true;
    groups.health[slot].rampFrom = latest;
    groups.scores[slot].ownLimit = 1;
  }

  void FillHits(TimePoint now, const RouteQuery& query);
  void ClearHits();
  [[nodiscard]] double Score(TimePoint now, Slot slot, double missCost) const;
  [[nodiscard]] double MissCost(const RouteQuery& query, const impl::EntryTable& entry) const;
  [[nodiscard]] impl::DomainIndex LastTriedDomain(const RouteQuery& query) const;

  impl::PrefixIndex::Matches matches{};
  std::size_t matchCount = 0;
  impl::DomainIndex avoidDomain = 0;
};

namespace {

constexpr impl::DomainIndex kNoDomain = 0xFFFF;

} // namespace

Router::Router(const FailureDomainId& ownDomain,
               std::function<std::uint64_t()> random,
               const RouterPolicy& policy)
  : m_impl(std::make_unique<Impl>(ownDomain, std::move(random), policy))
{
}

Router::~Router() = default;
Router::Router(Router&&) noexcept = default;

void Router::Upsert(const RouteCandidate& candidate)
{
  impl::GroupTable& groups = m_impl->groups;
  Slot slot = groups.Find(candidate.group);
  const bool same = slot != kNoSlot && groups.candidates[slot].entry == candidate.entry &&
                    groups.candidates[slot].epoch == candidate.epoch;
  if (slot != kNoSlot && !same) {
    Remove(candidate.group);
    groups.Erase(slot);
  }
  if (!same) {
    slot = m_impl->Insert(candidate);
  }
  groups.candidates[slot] = candidate;
  groups.scores[slot].domain = m_impl->Domain(candidate.failureDomain);
  if (!groups.scores[slot].listed) {
    m_impl->List(slot);
  }
}

void Router::Remove(GroupId group)
{
  impl::GroupTable& groups = m_impl->groups;
  const Slot slot = groups.Find(group);
  if (slot == kNoSlot || !groups.scores[slot].listed) {
    return;
  }
  const auto entry = m_impl->entries.find(groups.candidates[slot].entry);
  std::erase(entry->second.slots, slot);
  groups.Unlist(m_impl->latest, slot);
}

const RouteCandidate* Router::Find(GroupId group) const
{
  const Slot slot = m_impl->groups.Find(group);
  const bool listed = slot != kNoSlot && m_impl->groups.scores[slot].listed;
  return listed ? &m_impl->groups.candidates[slot] : nullptr;
}

std::size_t Router::CandidateCount(const EntryName& entry) const
{
  const auto found = m_impl->entries.find(entry);
  return found == m_impl->entries.end() ? 0 : found->second.slots.size();
}

double Router::Impl::MissCost(const RouteQuery& query, const impl::EntryTable& entry) const
{
  const double kilobytes = static_cast<double>(query.promptBytes) / kBytesPerKilobyte;
  // A prompt that everyone sends would attract all requests to the few groups that have it in their
  // cache. So the weight of a cached prefix is bounded by the typical load.
  const double typicalLoad = entry.meanOwn + entry.meanOthers + kMinTypicalLoad;
  return std::min({ kilobytes * policy.cost.missedKilobyte,
                    policy.cost.maxMissed,
                    typicalLoad * policy.cost.hotSpot });
}

void Router::Impl::FillHits(TimePoint now, const RouteQuery& query)
{
  matchCount = prefixes.Find(now, query.prefixHashes, groups.feeds, matches);
  const auto blocks =
    static_cast<float>(std::min(query.prefixHashes.size(), policy.scan.prefixBlocks));
  for (std::size_t i = 0; i < matchCount; ++i) {
    const impl::PrefixMatch& match = matches[i];
    const float hit = static_cast<float>(match.blocks) / blocks * match.confidence;
    hits[match.slot] = std::max(hits[match.slot], hit);
  }
}

void Router::Impl::ClearHits()
{
  for (std::size_t i = 0; i < matchCount; ++i) {
    hits[matches[i].slot] = 0;
  }
  matchCount = 0;
}

impl::DomainIndex Router::Impl::LastTriedDomain(const RouteQuery& query) const
{
  if (query.tried.empty()) {
    return kNoDomain;
  }
  const Slot slot = groups.Find(query.tried.back());
  return slot == kNoSlot ? kNoDomain : groups.scores[slot].domain;
}

double Router::Impl::Score(TimePoint now, Slot slot, double missCost) const
{
  const impl::GroupScore& row = groups.scores[slot];
  const double load = row.own + row.others + row.awaitingFirst + 1;
  double score = (load + missCost * (1 - hits[slot])) * row.slowness + row.penalty;
  score += row.domain == ownDomain ? 0 : policy.cost.otherDomain;
  score += row.domain == avoidDomain ? kSameDomainAgainPenalty : 0;
  score += row.own >= row.ownLimit ? impl::kSlowStartPenalty : 0;
  score += row.backoffUntil > now ? impl::kBackoffPenalty : 0;
  return score;
}

std::optional<GroupId> Router::Choose(TimePoint now, const RouteQuery& query)
{
  m_impl->latest = std::max(m_impl->latest, now);
  const auto found = m_impl->entries.find(query.entry);
  if (found == m_impl->entries.end() || found->second.slots.empty()) {
    return std::nullopt;
  }
  impl::EntryTable& entry = found->second;
  m_impl->Refresh(now, entry);
  m_impl->FillHits(now, query);
  m_impl->avoidDomain = m_impl->LastTriedDomain(query);

  const double missCost = m_impl->MissCost(query, entry);
  const std::size_t count = entry.slots.size();
  const std::size_t scan = std::min(count, m_impl->policy.scan.candidates);
  std::uint64_t noise = m_impl->random();
  std::size_t at = noise % count;
  Slot best = kNoSlot;
  double bestScore = 0;
  const auto consider = [&](Slot slot) {
    const impl::GroupScore& row = m_impl->groups.scores[slot];
    if (!row.open || std::ranges::find(query.tried, row.group) != query.tried.end()) {
      return;
    }
    noise = noise * 6364136223846793005U + 1442695040888963407U;
    const double part = static_cast<double>(noise >> 40U) / static_cast<double>(1U << 24U);
    const double score = m_impl->Score(now, slot, missCost) + part * m_impl->policy.cost.noise;
    if (best == kNoSlot || score < bestScore) {
      best = slot;
      bestScore = score;
    }
  };
  // With more groups than the scan limit, a random window and the holders of the prefix are scored.
  // Closed groups do not count towards the limit, since a window of closed groups only would give
  // no result although others are open.
  std::size_t usable = 0;
  for (std::size_t step = 0; step < count && usable < scan; ++step) {
    usable += m_impl->groups.scores[entry.slots[at]].open ? 1 : 0;
    consider(entry.slots[at]);
    at = at + 1 == count ? 0 : at + 1;
  }
  for (std::size_t i = 0; scan < count && i < m_impl->matchCount; ++i) {
    const Slot slot = m_impl->matches[i].slot;
    const bool listed = m_impl->groups.scores[slot].listed;
    if (listed && m_impl->groups.candidates[slot].entry == query.entry) {
      consider(slot);
    }
  }
  m_impl->ClearHits();
  return best == kNoSlot ? std::nullopt : std::optional(m_impl->groups.scores[best].group);
}

void Router::OnSent(TimePoint now, GroupId group, const RouteQuery& query)
{
  m_impl->latest = std::max(m_impl->latest, now);
  if (query.tried.empty()) {
    m_impl->retries.OnFirstAttempt(now);
  }
  const Slot slot = m_impl->groups.Find(group);
  if (slot == kNoSlot) {
    return;
  }
  m_impl->CountOwn(now, slot, 1);
  m_impl->CountAwaiting(now, slot, 1);
  m_impl->prefixes.OnSent(now, slot, query.prefixHashes);
}

void Router::OnFirstByte(TimePoint now, GroupId group, Duration)
{
  const Slot slot = m_impl->groups.Find(group);
  if (slot == kNoSlot) {
    return;
  }
  m_impl->CountAwaiting(now, slot, -1);
  m_impl->groups.health[slot].first.Complete();
  m_impl->groups.health[slot].lastSignalAt = now;
}

void Router::OnFinished(TimePoint now, GroupId group, AttemptResult result, Duration)
{
  const Slot slot = m_impl->groups.Find(group);
  if (slot == kNoSlot) {
    return;
  }
  impl::GroupHealth& health = m_impl->groups.health[slot];
  switch (result) {
    case AttemptResult::kCompleted:
      health.whole.Complete();
      health.lastSignalAt = now;
      health.failures = 0;
      health.refusals = 0;
      break;
    case AttemptResult::kRefused: {
      m_impl->CountAwaiting(now, slot, -1);
      health.lastSignalAt = now;
      const auto doublings = std::min<std::uint32_t>(health.refusals++, 8);
      const Duration backoff =
        m_impl->policy.retry.refusalBackoff * (std::int64_t{ 1 } << doublings);
      m_impl->groups.scores[slot].backoffUntil =
        now + std::min(backoff, m_impl->policy.retry.refusalBackoffMax);
      break;
    }
    case AttemptResult::kFailed:
      m_impl->CountAbandoned(now, slot);
      ++health.failures;
      health.failedAt = now;
      break;
    case AttemptResult::kCancelled:
      m_impl->CountAbandoned(now, slot);
      break;
  }
  m_impl->CountOwn(now, slot, -1);
  m_impl->CountAwaiting(now, slot, 0);
}

void Router::OnLoad(TimePoint now, GroupId group, const LoadObservation& load)
{
  m_impl->latest = std::max(m_impl->latest, now);
  const Slot slot = m_impl->groups.Find(group);
  if (slot == kNoSlot) {
    return;
  }
  impl::GroupScore& score = m_impl->groups.scores[slot];
  impl::GroupHealth& health = m_impl->groups.health[slot];
  const TimePoint observedAt = now - load.age;
  if (observedAt < health.reportObservedAt) {
    return;
  }
  const bool opened = !score.open && load.open && !load.leaving;
  score.open = load.open && !load.leaving;
  if (opened) {
    m_impl->BeginRamp(slot);
  }
  const double total = load.running + load.queued;
  const double own = m_impl->groups.histories[slot].At(observedAt);
  const double others = std::max(0.0, total - own);
  const double gain = health.reportArrived == TimePoint{} ? 1 : m_impl->policy.aging.loadGain;
  health.reportedOthers += gain * (others - health.reportedOthers);
  health.reportObservedAt = observedAt;
  if (health.reportArrived != TimePoint{}) {
    const Duration gap = now - health.reportArrived;
    const auto intervalGain = health.reportInterval == Duration{} ? 1 : kIntervalGain;
    health.reportInterval +=
      std::chrono::duration_cast<Duration>((gap - health.reportInterval) * intervalGain);
  }
  health.reportArrived = now;
  health.lastSignalAt = now;
}

void Router::OnCacheReport(TimePoint now,
                           GroupId group,
                           std::uint64_t sequence,
                           std::span<const std::uint64_t> added,
                           std::span<const std::uint64_t> removed,
                           bool reset)
{
  m_impl->latest = std::max(m_impl->latest, now);
  const Slot slot = m_impl->groups.Find(group);
  if (slot != kNoSlot) {
    m_impl->prefixes.OnReport(
      now, slot, m_impl->groups.feeds[slot], sequence, added, removed, reset);
  }
}

bool Router::TakeRetry(TimePoint now)
{
  return m_impl->retries.Take(now);
}

EntryLoad Router::Load(const EntryName& entry) const
{
  EntryLoad load;
  const auto found = m_impl->entries.find(entry);
  if (found == m_impl->entries.end()) {
    return load;
  }
  for (const Slot slot : found->second.slots) {
    const impl::GroupScore& row = m_impl->groups.scores[slot];
    load.open += row.open ? 1 : 0;
    load.inFlight += row.open ? row.own + row.others : 0;
    load.ejected += m_impl->groups.health[slot].ejectedUntil > m_impl->latest ? 1 : 0;
  }
  return load;
}

bool Router::IsEjected(TimePoint now, GroupId group) const
{
  const Slot slot = m_impl->groups.Find(group);
  return slot != kNoSlot && m_impl->groups.health[slot].ejectedUntil > now;
}

} // namespace gooseberrysail
