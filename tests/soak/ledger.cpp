#include "soak/ledger.hpp"

namespace gooseberrysail::soak {

bool IsPromise(unsigned status) noexcept
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

void Ledger::OnAsked(const std::string& id, bool isRepeatable)
{
  const std::scoped_lock lock(m_mutex);
  m_rows[id].isRepeatable = isRepeatable;
}

void Ledger::OnRun(const std::string& id, const std::string& replica)
{
  const std::scoped_lock lock(m_mutex);
  const auto row = m_rows.find(id);
  if (row == m_rows.end()) {
    m_violations.push_back(replica + " ran " + id + ", which nobody asked");
    return;
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

void Ledger::OnTold(const std::string& id, unsigned status, bool isOwn)
{
  const std::scoped_lock lock(m_mutex);
  Row& row = m_rows[id];
  row.status = status;
  row.isOwn = isOwn;
  row.isTold = true;
  if (status / 100 == 2 && !isOwn) {
    m_violations.push_back(id + " was answered with a success that is not its own whole answer");
  }
}

void Ledger::OnViolation(const std::string& what)
{
  const std::scoped_lock lock(m_mutex);
  m_violations.push_back(what);
}

// "Not run" must stay true: a request that was refused may still be on its way to a replica.
std::vector<std::string> Ledger::Violations()
{
  const std::scoped_lock lock(m_mutex);
  std::vector<std::string> violations = m_violations;
  for (const auto& [id, row] : m_rows) {
    if (row.isTold && IsPromise(row.status) && row.runs > 0 && !row.isRepeatable) {
      violations.push_back(id + " was refused with " + std::to_string(row.status) + " and ran at " +
                           row.firstReplica);
    }
    if (row.isTold && row.status / 100 == 2 && row.runs == 0) {
      violations.push_back(id + " was answered and ran nowhere");
    }
  }
  return violations;
}

Ledger::Totals Ledger::Count() const
{
  const std::scoped_lock lock(m_mutex);
  Totals totals;
  for (const auto& [id, row] : m_rows) {
    ++totals.asked;
    totals.answered += row.isTold && row.status / 100 == 2 ? 1 : 0;
    totals.refused += row.isTold && IsPromise(row.status) ? 1 : 0;
  }
  totals.unclear = totals.asked - totals.answered - totals.refused;
  return totals;
}

} // namespace gooseberrysail::soak
