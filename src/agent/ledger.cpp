#include "gooseberrysail/agent/ledger.hpp"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace gooseberrysail {

namespace {

/// A request id taken apart: the entry's life and the number within it.
struct Origin
{
  std::string_view life;
  std::uint64_t sequence = 0;
};

std::optional<Origin> OriginOf(const RequestId& request)
{
  const std::string_view text = request.Get();
  const auto dot = text.rfind('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  Origin origin{ text.substr(0, dot), 0 };
  const char* end = text.data() + text.size();
  const auto [read, failed] = std::from_chars(text.data() + dot + 1, end, origin.sequence);
  if (failed != std::errc() || read != end) {
    return std::nullopt;
  }
  return origin;
}

} // namespace

RequestLedger::RequestLedger()
  : RequestLedger(Bounds{})
{
}

RequestLedger::RequestLedger(Bounds bounds)
  : m_bounds(bounds)
{
}

void RequestLedger::Note(TimePoint now, const AttemptKey& key, Verdict verdict)
{
  if (!m_lines.emplace(key, verdict).second) {
    return; // The first verdict stands.
  }
  m_order.push_back(Age{ now, key });
  while (m_order.size() > m_bounds.lines) {
    DropOldest();
  }
}

std::optional<Verdict> RequestLedger::Find(const AttemptKey& key) const
{
  const auto line = m_lines.find(key);
  return line == m_lines.end() ? std::nullopt : std::optional(line->second);
}

bool RequestLedger::MayHaveForgotten(const RequestId& request) const
{
  const auto origin = OriginOf(request);
  if (!origin) {
    return m_originsForgotten;
  }
  const auto mark = m_watermarks.find(origin->life);
  if (mark == m_watermarks.end()) {
    return m_originsForgotten;
  }
  return origin->sequence <= mark->second;
}

void RequestLedger::Expire(TimePoint now)
{
  while (!m_order.empty() && now - m_order.front().notedAt > m_bounds.keepFor) {
    DropOldest();
  }
}

void RequestLedger::DropOldest()
{
  const AttemptKey key = m_order.front().key;
  m_order.pop_front();
  m_lines.erase(key);
  const auto origin = OriginOf(key.request);
  if (!origin) {
    m_originsForgotten = true;
    return;
  }
  const auto mark = m_watermarks.find(origin->life);
  if (mark != m_watermarks.end()) {
    mark->second = std::max(mark->second, origin->sequence);
    return;
  }
  if (m_watermarks.size() >= m_bounds.origins) {
    // From here on nothing is claimed about lives without a mark of their own.
    m_originsForgotten = true;
    return;
  }
  m_watermarks.emplace(std::string(origin->life), origin->sequence);
}

} // namespace gooseberrysail
