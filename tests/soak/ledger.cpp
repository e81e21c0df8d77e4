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
  const std::optional<std::chrono::steady_clock::time_point>& leftAt = row->second.leftAt;
  if (leftAt && std::chrono::steady_clock::now() - *leftAt > kLatestRunAfterLeaving) {
    m_violations.push_back(id + " ran at " + replica + " long after its caller had left");
  }
  if (++row->second.runs == 1) {
    row->second.firstReplica = replica;
  } else if (!row->second.isRepeatable) {
    m_violations.push_back(id + " ran at " + row->second.firstReplica + " and again at " + replica);
  }
}

void Ledger::OnLeak(const std::string& id, const std::string& what)
{
  OnViolation(id + " reached a replica with " + what);
}

void Ledger::OnReply(const std::string& id, unsigned status, bool isOwn)
{
  const std::scoped_lock lock(m_mutex);
  RequestRecord& row = m_records[id];
  row.status = status;
  row.isOwn = isOwn;
  row.hasReply = true;
  if (status / 100 == 2 && !isOwn) {
    m_violations.push_back(id + " got a success status without its own complete answer");
  }
}

void Ledger::OnCallerLeft(const std::string& id)
{
  const std::scoped_lock lock(m_mutex);
  m_records[id].leftAt = std::chrono::steady_clock::now();
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
    if (row.hasReply && GuaranteesNotRun(row.status) && row.runs > 0 && !row.isRepeatable) {
      violations.push_back(id + " was refused with " + std::to_string(row.status) + " and ran at " +
                           row.firstReplica);
    }
    if (row.hasReply && row.status / 100 == 2 && row.runs == 0) {
      violations.push_back(id + " got a success status and ran nowhere");
    }
  }
  return violations;
}

Ledger::Totals Ledger::Count() const
{
  const std::scoped_lock lock(m_mutex);
  Totals totals;
  for (const auto& [id, row] : m_records) {
    ++totals.asked;
    totals.answered += row.hasReply && row.status / 100 == 2 ? 1 : 0;
    totals.refused += row.hasReply && GuaranteesNotRun(row.status) ? 1 : 0;
  }
  totals.unclear = totals.asked - totals.answered - totals.refused;
  return totals;
}

} // namespace gooseberrysail::soak
