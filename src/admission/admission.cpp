#include "gooseberrysail/admission/admission.hpp"

#include <algorithm>
#include <unordered_map>

namespace gooseberrysail {

namespace {

constexpr double kBurstSeconds = 1;
constexpr Duration kConcurrencyRetry = std::chrono::seconds(1);

double Seconds(Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// A rate limit. It may go into debt: what an answer costs is known only at its end.
struct TokenBucket
{
  double rate = 0; ///< 0: no limit.
  double level = 0;
  TimePoint filledAt{};

  void SetRate(double newRate)
  {
    const bool fresh = rate <= 0;
    rate = newRate;
    level = fresh ? Capacity() : std::min(level, Capacity());
  }
  [[nodiscard]] double Capacity() const { return std::max(rate * kBurstSeconds, 1.0); }
  void Refill(TimePoint now)
  {
    if (now > filledAt) {
      level = std::min(level + Seconds(now - filledAt) * rate, Capacity());
      filledAt = now;
    }
  }
  [[nodiscard]] Duration Wait(double amount) const
  {
    const double missing = std::min(amount, Capacity()) - level;
    return rate <= 0 || missing <= 0 ? Duration{} : FromSeconds(missing / rate);
  }
};

struct WorkspaceRow
{
  TokenBucket requests;
  TokenBucket tokens;
  std::uint32_t maxConcurrent = 0;
  std::uint32_t running = 0;
  std::uint64_t admitted = 0;
  std::uint64_t used = 0;
};

} // namespace

struct Admission::Impl
{
  std::unordered_map<WorkspaceId, WorkspaceRow> workspaces;
};

Admission::Admission()
  : m_impl(std::make_unique<Impl>())
{
}

Admission::~Admission() = default;
Admission::Admission(Admission&&) noexcept = default;

void Admission::SetLimits(const WorkspaceId& workspace, const WorkspaceSpec& limits)
{
  WorkspaceRow& row = m_impl->workspaces[workspace];
  row.requests.SetRate(limits.requestsPerSecond);
  row.tokens.SetRate(limits.tokensPerSecond);
  row.maxConcurrent = limits.maxConcurrent;
}

void Admission::RemoveWorkspace(const WorkspaceId& workspace)
{
  m_impl->workspaces.erase(workspace);
}

void Admission::SetShare(TimePoint,
                         const WorkspaceId& workspace,
                         double requestsPerSecond,
                         double tokensPerSecond,
                         std::uint32_t concurrent)
{
  const auto found = m_impl->workspaces.find(workspace);
  if (found == m_impl->workspaces.end()) {
    return;
  }
  found->second.requests.SetRate(requestsPerSecond);
  found->second.tokens.SetRate(tokensPerSecond);
  found->second.maxConcurrent = concurrent;
}

void Admission::SetCapacity(const EntryName&, std::uint32_t) {}

AdmissionDecision Admission::Decide(TimePoint now, const AdmissionQuery& query)
{
  WorkspaceRow& row = m_impl->workspaces[query.workspace];
  row.requests.Refill(now);
  row.tokens.Refill(now);
  const Duration wait = std::max(row.requests.Wait(1), row.tokens.Wait(query.expectedTokens));
  if (wait > Duration{}) {
    return { RefusalReason::kWorkspaceRate, wait };
  }
  if (row.maxConcurrent != 0 && row.running >= row.maxConcurrent) {
    return { RefusalReason::kWorkspaceConcurrency, kConcurrencyRetry };
  }
  row.requests.level -= row.requests.rate > 0 ? 1 : 0;
  ++row.running;
  ++row.admitted;
  return {};
}

void Admission::OnFinished(TimePoint now,
                           const WorkspaceId& workspace,
                           const EntryName&,
                           Duration,
                           std::uint32_t tokens)
{
  const auto found = m_impl->workspaces.find(workspace);
  if (found == m_impl->workspaces.end()) {
    return;
  }
  WorkspaceRow& row = found->second;
  row.tokens.Refill(now);
  row.tokens.level -= row.tokens.rate > 0 ? tokens : 0;
  row.used += tokens;
  row.running -= row.running > 0 ? 1 : 0;
}

std::vector<Admission::Usage> Admission::CurrentUsage(TimePoint) const
{
  std::vector<Usage> all;
  for (const auto& [workspace, row] : m_impl->workspaces) {
    all.push_back({ workspace, row.admitted, row.used, 0 });
  }
  return all;
}

} // namespace gooseberrysail
