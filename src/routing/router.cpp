#include "gooseberrysail/routing/router.hpp"

#include <algorithm>
#include <unordered_map>

namespace gooseberrysail {

namespace {

constexpr double kRetryFraction = 0.1;
constexpr double kRetryFloor = 3;

struct GroupRow
{
  RouteCandidate candidate;
  std::uint32_t inFlight = 0;
  bool open = true;
};

} // namespace

struct Router::Impl
{
  FailureDomainId ownDomain;
  std::function<std::uint64_t()> random;
  std::unordered_map<GroupId, GroupRow> groups;
  std::unordered_map<EntryName, std::vector<GroupId>> byEntry;
  double retryTokens = kRetryFloor;

  GroupRow* Row(GroupId group)
  {
    const auto found = groups.find(group);
    return found == groups.end() ? nullptr : &found->second;
  }
};

Router::Router(FailureDomainId ownDomain, std::function<std::uint64_t()> random)
  : m_impl(std::make_unique<Impl>())
{
  m_impl->ownDomain = std::move(ownDomain);
  m_impl->random = std::move(random);
}

Router::~Router() = default;
Router::Router(Router&&) noexcept = default;

void Router::Upsert(const RouteCandidate& candidate)
{
  if (GroupRow* row = m_impl->Row(candidate.group);
      row && row->candidate.entry == candidate.entry) {
    row->candidate = candidate;
    return;
  }
  Remove(candidate.group);
  m_impl->groups[candidate.group].candidate = candidate;
  m_impl->byEntry[candidate.entry].push_back(candidate.group);
}

void Router::Remove(GroupId group)
{
  const auto found = m_impl->groups.find(group);
  if (found == m_impl->groups.end()) {
    return;
  }
  const auto list = m_impl->byEntry.find(found->second.candidate.entry);
  std::erase(list->second, group);
  if (list->second.empty()) {
    m_impl->byEntry.erase(list);
  }
  m_impl->groups.erase(found);
}

const RouteCandidate* Router::Find(GroupId group) const
{
  const GroupRow* row = m_impl->Row(group);
  return row ? &row->candidate : nullptr;
}

std::size_t Router::CandidateCount(const EntryName& entry) const
{
  const auto found = m_impl->byEntry.find(entry);
  return found == m_impl->byEntry.end() ? 0 : found->second.size();
}

std::optional<GroupId> Router::Choose(TimePoint, const RouteQuery& query)
{
  const auto found = m_impl->byEntry.find(query.entry);
  if (found == m_impl->byEntry.end()) {
    return std::nullopt;
  }
  std::optional<GroupId> best;
  std::pair<std::uint32_t, bool> bestKey;
  std::uint64_t ties = 0;
  for (const GroupId group : found->second) {
    const GroupRow& row = *m_impl->Row(group);
    const bool tried = std::ranges::find(query.tried, group) != query.tried.end();
    if (!row.open || tried) {
      continue;
    }
    const std::pair key(row.inFlight, row.candidate.failureDomain != m_impl->ownDomain);
    ties = best && key == bestKey ? ties + 1 : 0;
    const bool wins =
      !best || key < bestKey || (key == bestKey && m_impl->random() % (ties + 1) == 0);
    if (wins) {
      best = group;
      bestKey = key;
    }
  }
  return best;
}

void Router::OnSent(TimePoint, GroupId group, const RouteQuery& query)
{
  if (GroupRow* row = m_impl->Row(group)) {
    ++row->inFlight;
  }
  if (query.tried.empty()) {
    m_impl->retryTokens = std::min(m_impl->retryTokens + kRetryFraction, kRetryFloor * 10);
  }
}

void Router::OnFirstByte(TimePoint, GroupId, Duration) {}

void Router::OnFinished(TimePoint, GroupId group, AttemptResult, Duration)
{
  if (GroupRow* row = m_impl->Row(group); row && row->inFlight > 0) {
    --row->inFlight;
  }
}

void Router::OnLoad(TimePoint, GroupId group, const LoadObservation& load)
{
  if (GroupRow* row = m_impl->Row(group)) {
    row->open = load.open && !load.leaving;
  }
}

void Router::OnCacheReport(TimePoint,
                           GroupId,
                           std::uint64_t,
                           std::span<const std::uint64_t>,
                           std::span<const std::uint64_t>,
                           bool)
{
}

bool Router::TakeRetry(TimePoint)
{
  if (m_impl->retryTokens < 1) {
    return false;
  }
  m_impl->retryTokens -= 1;
  return true;
}

} // namespace gooseberrysail
