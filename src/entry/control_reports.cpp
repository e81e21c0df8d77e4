#include "gooseberrysail/entry/control_reports.hpp"

namespace gooseberrysail::impl {

namespace {

constexpr Duration kInForceInterval = std::chrono::seconds(5);
constexpr Duration kUsageInterval = std::chrono::seconds(1);

} // namespace

void ControlReports::Tick(EntryContext& context)
{
  const bool versionChanged = m_reported != context.catalogue.Version();
  if (versionChanged || context.now >= m_nextInForce) {
    SendInForce(context);
  }
  if (context.now >= m_nextUsage) {
    SendUsage(context);
  }
}

void ControlReports::SendInForce(EntryContext& context)
{
  m_reported = context.catalogue.Version();
  m_nextInForce = context.now + kInForceInterval;
  if (m_reported.IsNone()) {
    return;
  }
  wire::InForceT report;
  report.version = m_reported.Get();
  report.failureDomain = context.settings.failureDomain.Get();
  context.SendToControl(std::move(report));
}

void ControlReports::SendUsage(EntryContext& context)
{
  m_nextUsage = context.now + kUsageInterval;
  wire::UsageReportT report;
  for (const Admission::Usage& usage : context.admission.CurrentUsage(context.now)) {
    auto line = std::make_unique<wire::WorkspaceUsageT>();
    line->workspace = usage.workspace.Get();
    line->requests = usage.requests;
    line->tokens = usage.tokens;
    line->demandPerSecond = usage.demandPerSecond;
    report.usage.push_back(std::move(line));
  }
  if (!report.usage.empty()) {
    context.SendToControl(std::move(report));
  }
}

} // namespace gooseberrysail::impl
