#include "gooseberrysail/agent/load_reports.hpp"

namespace gooseberrysail {

void LoadReports::OnRequest(TimePoint now, const ProcessId& entry)
{
  m_entries[entry].lastWork = now;
}

void LoadReports::OnDown(const ProcessId& entry)
{
  m_entries.erase(entry);
}

std::vector<ProcessId> LoadReports::ActiveEntries() const
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
  // Changes of the gate are reported at once; until then entries keep sending requests that will be
  // refused.
  const bool gateChanged = row.lastLoad.open != load.open || row.lastLoad.leaving != load.leaving ||
                           row.lastLoad.group != load.group || row.lastLoad.epoch != load.epoch;
  if (gateChanged) {
    return true;
  }
  const bool changed = row.lastLoad.running != load.running || row.lastLoad.queued != load.queued ||
                       row.lastLoad.kvUsedPermille != load.kvUsedPermille;
  return now - *row.lastReport >= (changed ? kInterval : kUnchangedInterval);
}

void LoadReports::Tick(impl::AgentContext& context, const GroupLoad& load)
{
  std::erase_if(m_entries, [&context](const auto& entry) {
    return context.Now() - entry.second.lastWork > kActivityTimeout;
  });
  for (auto& [entry, row] : m_entries) {
    if (!Due(context.Now(), row, load)) {
      continue;
    }
    row.lastReport = context.Now();
    row.lastLoad = load;
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
