#include "gooseberrysail/agent/ledger.hpp"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace gooseberrysail {

namespace {

/// Parts of a request id: the entry's process incarnation and the sequence number within it.
struct Origin
{
  std::string_view entryIncarnation;
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

void RequestLedger::Record(TimePoint now, const AttemptKey& key, AttemptOutcome outcome)
{
  if (!m_records.emplace(key, outcome).second) {
    return; // The first outcome is final.
  }
  m_recordedKeys.push_back(RecordedKey{ now, key });
  while (m_recordedKeys.size() > m_bounds.maxRecords) {
    DropOldest();
  }
}

std::optional<AttemptOutcome> RequestLedger::Find(const AttemptKey& key) const
{
  const auto record = m_records.find(key);
  return record == m_records.end() ? std::nullopt : std::optional(record->second);
}

bool RequestLedger::MayHaveEvicted(const RequestId& request) const
{
  const auto origin = OriginOf(request);
  if (!origin) {
    return m_unknownOriginsEvicted;
  }
  const auto watermark = m_watermarks.find(origin->entryIncarnation);
  if (watermark == m_watermarks.end()) {
    return m_unknownOriginsEvicted;
  }
  return origin->sequence <= watermark->second;
}

void RequestLedger::Expire(TimePoint now)
{
  while (!m_recordedKeys.empty() && now - m_recordedKeys.front().recordedAt > m_bounds.retention) {
    DropOldest();
  }
}

void RequestLedger::DropOldest()
{
  const AttemptKey key = m_recordedKeys.front().key;
  m_recordedKeys.pop_front();
  m_records.erase(key);
  const auto origin = OriginOf(key.request);
  if (!origin) {
    m_unknownOriginsEvicted = true;
    return;
  }
  const auto watermark = m_watermarks.find(origin->entryIncarnation);
  if (watermark != m_watermarks.end()) {
    watermark->second = std::max(watermark->second, origin->sequence);
    return;
  }
  if (m_watermarks.size() >= m_bounds.maxOrigins) {
    // From now on every request of an incarnation without a watermark may have been evicted.
    m_unknownOriginsEvicted = true;
    return;
  }
  m_watermarks.emplace(std::string(origin->entryIncarnation), origin->sequence);
}

} // namespace gooseberrysail
