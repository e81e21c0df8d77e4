#include "soak/ledger.hpp"

namespace gooseberrysail::soak {

namespace {

/// Half a second for the entry, and as much for what is on its way to a delayed replica.
constexpr std::chrono::milliseconds kLatestRunAfterLeaving{ 1000 };

} // namespace

bool GuaranteesNotRun(unsigned status) noexcept
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

void Ledger::OnRequestSent(const std::string& id, bool isRepeatable)
{
  const std::scoped_lock lock(m_mutex);
  m_records[id].isRepeatable = isRepeatable;
}

void Ledger::OnRun(const std::string& id, const std::string& replica)
{
  const std::scoped_lock lock(m_mutex);
  const auto row = m_records.find(id);
  if (row == m_records.end()) {
    m_violations.push_back(replica + " ran " + id + ", which no caller sent");
    return;
  }
  const std::optional<Clock::time_point>& leftAt = row->second.leftAt;
  if (leftAt && Clock::now() - *leftAt > kLatestRunAfterLeaving) {
    const auto delay =
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - *leftAt);
    m_violations.push_back(id + " ran at " + replica + " " + std::to_string(delay.count()) +
                           " ms after its caller had left");
  }
  std::vector<Run>& runs = row->second.runs;
  runs.push_back({ replica, Clock::now() });
  if (runs.size() > 1 && !row->second.isRepeatable) {
    m_violations.push_back(id + " ran at " + runs.front().instance + " and again at " + replica);
  }
}

void Ledger::OnLeak(const std::string& id, const std::string& what)
{
  OnViolation(id + " reached a replica with " + what);
}

void Ledger::OnReply(const std::string& id, unsigned status, bool isOwn, const std::string& seen)
{
  const std::scoped_lock lock(m_mutex);
  RequestRecord& row = m_records[id];
  row.status = status;
  row.isOwn = isOwn;
  row.hasReply = true;
  if (status / 100 == 2 && !isOwn) {
    m_violations.push_back(id + " got a success status without its own complete answer" +
                           (seen.empty() ? "" : ": " + seen));
  }
}

void Ledger::OnReplicaBrokeOff(const std::string& id)
{
  const std::scoped_lock lock(m_mutex);
  std::optional<Clock::time_point>& brokeOffAt = m_records[id].brokeOffAt;
  brokeOffAt = brokeOffAt.value_or(Clock::now());
}

void Ledger::OnRequestEnd(const std::string& id, RequestEnd end)
{
  const std::scoped_lock lock(m_mutex);
  m_records[id].end = std::move(end);
}

void Ledger::OnCallerLeft(const std::string& id)
{
  const std::scoped_lock lock(m_mutex);
  std::optional<Clock::time_point>& leftAt = m_records[id].leftAt;
  leftAt = leftAt.value_or(Clock::now());
}

void Ledger::OnViolation(const std::string& what)
{
  const std::scoped_lock lock(m_mutex);
  m_violations.push_back(what);
}

// Checked at the end, since a request that was refused may still reach a replica later.
std::vector<std::string> Ledger::Violations()
{
  const std::scoped_lock lock(m_mutex);
  std::vector<std::string> violations = m_violations;
  for (const auto& [id, row] : m_records) {
    if (row.hasReply && GuaranteesNotRun(row.status) && !row.runs.empty()) {
      violations.push_back(id + " was refused with " + std::to_string(row.status) + " and ran at " +
                           row.runs.front().instance);
    }
    if (row.hasReply && row.status / 100 == 2 && row.runs.empty()) {
      violations.push_back(id + " got a success status and ran nowhere");
    }
  }
  return violations;
}

std::vector<UnansweredRequest> Ledger::Unanswered() const
{
  const std::scoped_lock lock(m_mutex);
  std::vector<UnansweredRequest> unanswered;
  for (const auto& [id, row] : m_records) {
    if (row.end && row.end->end != ReplyEnd::kWhole) {
      unanswered.push_back({ id, *row.end, row.runs, row.brokeOffAt });
    }
  }
  return unanswered;
}

Ledger::Totals Ledger::Count() const
{
  const std::scoped_lock lock(m_mutex);
  Totals totals;
  for (const auto& [id, row] : m_records) {
    ++totals.asked;
    const bool isWhole = !row.end || row.end->end == ReplyEnd::kWhole;
    const bool isAnswered = row.hasReply && isWhole && row.status / 100 == 2;
    totals.answered += isAnswered ? 1 : 0;
    const bool isLong = row.end && row.end->timeLimit > row.end->timeLimit.zero();
    totals.longStreams += isAnswered && isLong ? 1 : 0;
    totals.refused += row.hasReply && GuaranteesNotRun(row.status) ? 1 : 0;
  }
  totals.unclear = totals.asked - totals.answered - totals.refused;
  return totals;
}

} // namespace gooseberrysail::soak
