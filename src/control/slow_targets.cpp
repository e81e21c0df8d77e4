#include "gooseberrysail/control/slow_targets.hpp"

namespace gooseberrysail {

bool SlowTargets::Record(TimePoint now, const InstanceId& target, double pace)
{
  if (pace < kSlowPace) {
    return m_rows.erase(target) != 0;
  }
  const auto [row, fresh] = m_rows.try_emplace(target);
  row->second = { pace, now };
  return fresh;
}

double SlowTargets::PaceOf(const InstanceId& target) const
{
  const auto row = m_rows.find(target);
  return row == m_rows.end() ? 1 : row->second.pace;
}

std::vector<InstanceId> SlowTargets::TakeDue(TimePoint now)
{
  std::vector<InstanceId> due;
  for (auto& [target, row] : m_rows) {
    if (now - row.probedAt >= kSlowProbeInterval) {
      row.probedAt = now;
      due.push_back(target);
    }
  }
  return due;
}

void SlowTargets::Forget(const TargetTable& targets)
{
  std::erase_if(m_rows, [&](const auto& row) {
    const TargetRow* known = targets.Find(row.first);
    return known == nullptr || known->latest.left;
  });
}

} // namespace gooseberrysail
