#include "gooseberrysail/agent/load_reports.hpp"

namespace gooseberrysail {

void LoadReports::OnWork(TimePoint now, const ProcessId& entry)
{
  m_entries[entry].lastWork = now;
}

void LoadReports::OnDown(const ProcessId& entry)
{
  m_entries.erase(entry);
}

std::vector<ProcessId> LoadReports::Interested() const
{
  std::vector<ProcessId> entries;
  entries.reserve(m_entries.size());
  for (const auto& [entry, row] : m_entries) {
    entries.push_back(entry);
  }
  return entries;
}

bool LoadReports::Due(TimePoint now, const Row& row, const GroupLoad& load)
{
  if (!row.lastReport) {
    return true;
  }
  // Gate changes are told at once: until then entries go on sending work that is refused.
  const bool gateChanged = row.told.open != load.open || row.told.leaving != load.leaving ||
                           row.told.group != load.group || row.told.epoch != load.epoch;
  if (gateChanged) {
    return true;
  }
  const bool changed = row.told.running != load.running || row.told.queued != load.queued ||
                       row.told.kvUsedPermille != load.kvUsedPermille;
  return now - *row.lastReport >= (changed ? kInterval : kUnchangedInterval);
}

void LoadReports::Tick(impl::AgentContext& context, const GroupLoad& load)
{
  std::erase_if(m_entries, [&context](const auto& entry) {
    return context.Now() - entry.second.lastWork > kInterest;
  });
  for (auto& [entry, row] : m_entries) {
    if (!Due(context.Now(), row, load)) {
      continue;
    }
    row.lastReport = context.Now();
    row.told = load;
    wire::LoadReportT report;
    report.group = load.group.Get();
    report.epoch = load.epoch.Get();
    report.running = load.running;
    report.queued = load.queued;
    report.kvUsedPermille = load.kvUsedPermille;
    report.open = load.open;
    report.leaving = load.leaving;
    report.tokensPerSecond = load.tokensPerSecond;
    report.ageMillis = static_cast<std::uint32_t>(ToMillis(load.age));
    context.Send(entry, "", report);
  }
}

} // namespace gooseberrysail
