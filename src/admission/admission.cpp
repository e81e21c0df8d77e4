#include "gooseberrysail/admission/admission.hpp"

#include "admission/meter.hpp"
#include "admission/retry_schedule.hpp"
#include "admission/token_bucket.hpp"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace gooseberrysail {

namespace {

using impl::FromSeconds;
using impl::Seconds;

/// Assumed service time until the first answer has ended.
constexpr double kInitialServiceSeconds = 1;
constexpr double kMinServiceSeconds = 1e-4;

/// This entry's share of the limits, as fractions, so that it follows changes of the limits while
/// no new shares arrive.
struct Share
{
  bool known = false;
  double requests = 1;
  double tokens = 1;
  double concurrent = 1;
};

struct WorkspaceRow
{
  WorkspaceSpec limits;
  Share share;
  impl::TokenBucket requests;
  impl::TokenBucket tokens;
  std::uint32_t maxConcurrent = 0; ///< This entry's limit, if the workspace has one.
  std::uint32_t running = 0;
  double reserved = 0; ///< Tokens charged for running requests whose cost isn't known yet.
  impl::Mean tokensPerRequest;
  impl::Mean serviceSeconds;
  impl::RateMeter offered;
  std::uint64_t admitted = 0;
  std::uint64_t used = 0;
  impl::RetrySchedule retrySchedule;
};

struct EntryRow
{
  std::uint32_t slots = 0; ///< 0 when unknown.
  double occupancy = 0;
  std::uint32_t running = 0;
  std::uint32_t runningAtOccupancy = 0;
  impl::Mean serviceSeconds;
  std::unordered_map<WorkspaceId, std::uint32_t> byWorkspace; ///< Running requests; no zero counts.
  impl::RetrySchedule retrySchedule;

  [[nodiscard]] double InFlight() const
  {
    const double change = static_cast<double>(running) - runningAtOccupancy;
    return std::max(occupancy + change, static_cast<double>(running));
  }
  [[nodiscard]] double ExpectedServiceSeconds() const
  {
    const double known = serviceSeconds.Known() ? serviceSeconds.Value() : kInitialServiceSeconds;
    return std::max(known, kMinServiceSeconds);
  }
  /// Requests that end per second over all entries, by Little's law.
  [[nodiscard]] double DrainRate() const
  {
    return std::max(InFlight(), 1.0) / ExpectedServiceSeconds();
  }
  [[nodiscard]] double OwnDrainRate() const
  {
    return std::max<double>(running, 1) / ExpectedServiceSeconds();
  }
};

double Fraction(double share, double limit)
{
  return limit > 0 ? std::clamp(share / limit, 0.0, 1.0) : 1;
}

} // namespace

struct Admission::Impl
{
  AdmissionPolicy policy;
  std::unordered_map<WorkspaceId, WorkspaceRow> workspaces;
  std::unordered_map<EntryName, EntryRow> entries;

  void ApplyLimits(WorkspaceRow& row) const
  {
    const WorkspaceSpec& limits = row.limits;
    row.requests.SetRate(limits.requestsPerSecond > 0,
                         limits.requestsPerSecond * row.share.requests,
                         policy.burstSeconds);
    row.tokens.SetRate(
      limits.tokensPerSecond > 0, limits.tokensPerSecond * row.share.tokens, policy.burstSeconds);
    row.maxConcurrent =
      static_cast<std::uint32_t>(std::lround(limits.maxConcurrent * row.share.concurrent));
  }

  [[nodiscard]] impl::RetrySchedule::Bounds Bounds(double least) const
  {
    return { std::max(least, Seconds(policy.minRetryAfter)),
             Seconds(policy.maxRetryAfter),
             policy.retryJitter };
  }

  [[nodiscard]] static double ExpectedTokens(const WorkspaceRow& row, const AdmissionQuery& query)
  {
    if (!row.tokensPerRequest.Known()) {
      return query.expectedTokens;
    }
    // Callers state an upper bound that is often far above what they use; charging it in full would
    // refuse work that the limit allows.
    const double usual = row.tokensPerRequest.Value();
    return query.expectedTokens == 0 ? usual : std::min<double>(query.expectedTokens, usual);
  }

  [[nodiscard]] AdmissionDecision CheckWorkspace(TimePoint now,
                                                 WorkspaceRow& row,
                                                 double expectedTokens) const;
  [[nodiscard]] AdmissionDecision CheckLoad(TimePoint now,
                                            EntryRow& entry,
                                            const AdmissionQuery& query) const;
  [[nodiscard]] double AllowedWait(const EntryRow& entry, const AdmissionQuery& query) const;
  [[nodiscard]] double FairFraction(const EntryRow& entry, const WorkspaceId& workspace) const;
};

Admission::Admission(const AdmissionPolicy& policy)
  : m_impl(std::make_unique<Impl>())
{
  m_impl->policy = policy;
}

Admission::~Admission() = default;
Admission::Admission(Admission&&) noexcept = default;

void Admission::SetLimits(const WorkspaceId& workspace, const WorkspaceSpec& limits)
{
  WorkspaceRow& row = m_impl->workspaces[workspace];
  row.limits = limits;
  m_impl->ApplyLimits(row);
}

void Admission::RemoveWorkspace(const WorkspaceId& workspace)
{
  m_impl->workspaces.erase(workspace);
}

void Admission::SetShare(TimePoint now,
                         const WorkspaceId& workspace,
                         double requestsPerSecond,
                         double tokensPerSecond,
                         std::uint32_t concurrent)
{
  const auto found = m_impl->workspaces.find(workspace);
  if (found == m_impl->workspaces.end()) {
    return;
  }
  WorkspaceRow& row = found->second;
  // The time until now is refilled at the previous rate.
  row.requests.Refill(now);
  row.tokens.Refill(now);
  row.share = { true,
                Fraction(requestsPerSecond, row.limits.requestsPerSecond),
                Fraction(tokensPerSecond, row.limits.tokensPerSecond),
                Fraction(concurrent, row.limits.maxConcurrent) };
  m_impl->ApplyLimits(row);
}

void Admission::SetCapacity(const EntryName& entry, std::uint32_t slots)
{
  m_impl->entries[entry].slots = slots;
}

void Admission::SetOccupancy(const EntryName& entry, double inFlight)
{
  EntryRow& row = m_impl->entries[entry];
  row.occupancy = inFlight;
  row.runningAtOccupancy = row.running;
}

AdmissionDecision Admission::Impl::CheckWorkspace(TimePoint now,
                                                  WorkspaceRow& row,
                                                  double expectedTokens) const
{
  const double requestWait = row.requests.Wait(1);
  const double tokenWait = row.tokens.Wait(expectedTokens);
  if (requestWait > 0 || tokenWait > 0) {
    const double byTokens = row.tokens.Rate() / std::max(expectedTokens, 1.0);
    const double rate = requestWait >= tokenWait ? row.requests.Rate() : byTokens;
    return { RefusalReason::kWorkspaceRate,
             row.retrySchedule.Next(now, rate, Bounds(std::max(requestWait, tokenWait))) };
  }
  if (row.limits.maxConcurrent > 0 && row.running >= row.maxConcurrent) {
    const double service =
      row.serviceSeconds.Known() ? row.serviceSeconds.Value() : kInitialServiceSeconds;
    const double ends = std::max<double>(row.running, 1) / std::max(service, 1e-3);
    return { RefusalReason::kWorkspaceConcurrency,
             row.retrySchedule.Next(now, ends, Bounds(1 / ends)) };
  }
  return {};
}

double Admission::Impl::FairFraction(const EntryRow& entry, const WorkspaceId& workspace) const
{
  const auto found = entry.byWorkspace.find(workspace);
  if (found == entry.byWorkspace.end()) {
    return 1;
  }
  const double mean =
    static_cast<double>(entry.running) / static_cast<double>(entry.byWorkspace.size());
  return std::clamp(mean / found->second, policy.minFairFraction, 1.0);
}

double Admission::Impl::AllowedWait(const EntryRow& entry, const AdmissionQuery& query) const
{
  const double service = entry.ExpectedServiceSeconds();
  if (query.priorityClass == PriorityClass::kBatch) {
    return -policy.batchHeadroom * service;
  }
  const double spare = query.deadline > Duration{} ? Seconds(query.deadline) - service
                                                   : policy.maxWaitFraction * service;
  const double most = std::clamp(spare, 0.0, policy.maxWaitFraction * service);
  const double part =
    query.priorityClass == PriorityClass::kStandard ? policy.standardWaitFraction : 1;
  // Under contention a workspace with many requests in flight is refused first: otherwise the
  // workspace that sends most takes every free slot.
  return most * part * FairFraction(entry, query.workspace);
}

AdmissionDecision Admission::Impl::CheckLoad(TimePoint now,
                                             EntryRow& entry,
                                             const AdmissionQuery& query) const
{
  if (entry.slots == 0) {
    return {};
  }
  const double drain = entry.DrainRate();
  const double excess = entry.InFlight() + 1 - entry.slots;
  const double wait = excess / drain;
  const double allowed = AllowedWait(entry, query);
  if (wait <= allowed || (wait <= 0 && allowed >= 0)) {
    return {};
  }
  const double rate = entry.OwnDrainRate() * policy.retryRateFraction;
  return { RefusalReason::kOverload, entry.retrySchedule.Next(now, rate, Bounds(wait - allowed)) };
}

AdmissionDecision Admission::Decide(TimePoint now, const AdmissionQuery& query)
{
  WorkspaceRow& row = m_impl->workspaces[query.workspace];
  row.offered.Add(now);
  row.requests.Refill(now);
  row.tokens.Refill(now);
  const double expectedTokens = Impl::ExpectedTokens(row, query);
  AdmissionDecision decision = m_impl->CheckWorkspace(now, row, expectedTokens);
  if (!decision.Admitted()) {
    return decision;
  }
  EntryRow& entry = m_impl->entries[query.entry];
  decision = m_impl->CheckLoad(now, entry, query);
  if (!decision.Admitted()) {
    return decision;
  }
  row.requests.Take(1);
  row.tokens.Take(expectedTokens);
  row.reserved += expectedTokens;
  ++row.running;
  ++row.admitted;
  ++entry.running;
  ++entry.byWorkspace[query.workspace];
  return decision;
}

Duration Admission::RetryAfter(TimePoint now, const EntryName& entryName)
{
  EntryRow& entry = m_impl->entries[entryName];
  const double meanEndInterval = 1 / entry.OwnDrainRate();
  return entry.retrySchedule.Next(
    now, entry.OwnDrainRate() * m_impl->policy.retryRateFraction, m_impl->Bounds(meanEndInterval));
}

void Admission::OnFinished(TimePoint now,
                           const WorkspaceId& workspace,
                           const EntryName& entryName,
                           Duration serviceTime,
                           std::uint32_t tokens)
{
  EntryRow& entry = m_impl->entries[entryName];
  entry.running -= entry.running > 0 ? 1 : 0;
  if (const auto count = entry.byWorkspace.find(workspace);
      count != entry.byWorkspace.end() && --count->second == 0) {
    entry.byWorkspace.erase(count);
  }
  const bool ran = serviceTime > Duration{};
  if (ran) {
    entry.serviceSeconds.Add(Seconds(serviceTime));
  }
  const auto found = m_impl->workspaces.find(workspace);
  if (found == m_impl->workspaces.end() || found->second.running == 0) {
    return;
  }
  WorkspaceRow& row = found->second;
  const double reserved = row.reserved / row.running;
  row.tokens.Refill(now);
  row.tokens.Take(tokens - reserved);
  row.reserved -= reserved;
  --row.running;
  row.used += tokens;
  if (ran) {
    row.tokensPerRequest.Add(tokens);
    row.serviceSeconds.Add(Seconds(serviceTime));
  }
}

std::vector<Admission::Usage> Admission::CurrentUsage(TimePoint now) const
{
  std::vector<Usage> all;
  all.reserve(m_impl->workspaces.size());
  for (const auto& [workspace, row] : m_impl->workspaces) {
    all.push_back({ workspace, row.admitted, row.used, row.offered.PerSecond(now) });
  }
  return all;
}

} // namespace gooseberrysail
