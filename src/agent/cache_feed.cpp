#include "gooseberrysail/agent/cache_feed.hpp"

#include <boost/json.hpp>

namespace gooseberrysail {

namespace {

constexpr unsigned kHttpOk = 200;
constexpr std::size_t kMaxBodyBytes = 1024 * 1024;

std::optional<std::uint64_t> Number(const boost::json::object& object, const char* name)
{
  const auto* field = object.if_contains(name);
  if (field == nullptr || !field->is_number()) {
    return std::nullopt;
  }
  boost::system::error_code failed;
  const auto value = field->to_number<std::uint64_t>(failed);
  return failed ? std::nullopt : std::optional(value);
}

} // namespace

void CacheFeed::Reset()
{
  m_resetDue = true;
}

void CacheFeed::Tick(impl::AgentContext& context, bool enabled)
{
  if (!enabled || m_exchange || context.Now() < m_nextPollAt) {
    return;
  }
  m_exchange = context.Call("GET",
                            "/cache_events?after=" + std::to_string(m_latestSequence),
                            {},
                            "",
                            kTimeout,
                            kMaxBodyBytes);
  m_nextPollAt = context.Now() + kInterval;
  m_status = 0;
  m_body.clear();
}

bool CacheFeed::OnAnswer(impl::AgentContext& context,
                         const TargetAnswerIn& answer,
                         GroupId group,
                         const std::vector<ProcessId>& entries)
{
  if (!m_exchange || answer.exchange != *m_exchange) {
    return false;
  }
  m_status = answer.status.value_or(m_status);
  m_body += answer.bytes;
  if (!answer.end) {
    return true;
  }
  m_exchange.reset();
  if (m_status == kHttpOk) {
    ParseEvents(context, group, entries);
  } else {
    m_nextPollAt = context.Now() + kUnsupportedInterval;
  }
  return true;
}

bool CacheFeed::OnFailed(const TargetFailedIn& failure)
{
  if (!m_exchange || failure.exchange != *m_exchange) {
    return false;
  }
  m_exchange.reset();
  return true;
}

void CacheFeed::ParseEvents(impl::AgentContext& context,
                            GroupId group,
                            const std::vector<ProcessId>& entries)
{
  boost::system::error_code failed;
  const boost::json::value parsed = boost::json::parse(m_body, failed);
  const auto* object = failed ? nullptr : parsed.if_object();
  const auto* events = object != nullptr ? object->if_contains("events") : nullptr;
  if (events == nullptr || !events->is_array()) {
    return;
  }
  const std::uint64_t latest = Number(*object, "latest").value_or(m_latestSequence);
  // A lower sequence number means that the engine restarted with an empty cache.
  if (latest < m_latestSequence) {
    m_latestSequence = 0;
    m_resetDue = true;
    return;
  }
  wire::CacheReportT report;
  report.group = group.Get();
  report.reset = m_resetDue;
  bool gap = false;
  for (const boost::json::value& each : events->get_array()) {
    const auto* event = each.if_object();
    const auto sequence = event != nullptr ? Number(*event, "sequence") : std::nullopt;
    const auto block = event != nullptr ? Number(*event, "block") : std::nullopt;
    if (!sequence || !block || *sequence <= m_latestSequence) {
      continue;
    }
    gap = gap || *sequence > m_latestSequence + 1;
    m_latestSequence = *sequence;
    const auto* kind = event->if_contains("kind");
    const bool removed = kind != nullptr && *kind == "removed";
    (removed ? report.removed : report.added).push_back(*block);
  }
  if (report.added.empty() && report.removed.empty() && !report.reset) {
    return;
  }
  // A skipped number shows entries the gap: lost events may have been removals, so that they
  // rely less on older records.
  m_reportSequence += gap ? 2 : 1;
  report.sequence = m_reportSequence;
  m_resetDue = false;
  for (const ProcessId& entry : entries) {
    context.Send(entry, "", report);
  }
}

} // namespace gooseberrysail
