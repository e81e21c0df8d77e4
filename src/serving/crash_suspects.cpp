#include "gooseberrysail/serving/crash_suspects.hpp"

#include <algorithm>
#include <memory>

namespace gooseberrysail {

namespace {

/// Bounds a row of a request that is repeated faster than the crashes become known.
constexpr std::size_t kMaxCrashed = 16;
constexpr Duration kExpiryInterval = std::chrono::seconds(1);

wire::CrashSuspectT ToWire(TimePoint now,
                           const RequestFingerprint& fingerprint,
                           const CrashSuspects::Row& row)
{
  wire::CrashSuspectT message;
  message.fingerprintHigh = fingerprint.high;
  message.fingerprintLow = fingerprint.low;
  message.cleared = row.isCleared;
  message.ageMillis = static_cast<std::uint32_t>(ToMillis(now - row.changedAt));
  for (const TargetIncarnation& target : row.crashed) {
    auto crashed = std::make_unique<wire::CrashedTargetT>();
    crashed->instance = target.instance.Get();
    crashed->born = target.born.Get();
    message.crashed.push_back(std::move(crashed));
  }
  return message;
}

} // namespace

RequestFingerprint FingerprintOf(const wire::CrashSuspectT& row) noexcept
{
  return { row.fingerprintHigh, row.fingerprintLow };
}

bool CrashSuspects::RecordCrash(TimePoint now,
                                const RequestFingerprint& fingerprint,
                                const TargetIncarnation& target)
{
  Row& row = FindOrAdd(fingerprint);
  if (row.isCleared || row.crashed.size() >= kMaxCrashed || !row.crashed.insert(target).second) {
    return false;
  }
  OnChanged(now, fingerprint, row);
  return true;
}

bool CrashSuspects::Clear(TimePoint now, const RequestFingerprint& fingerprint)
{
  const auto found = m_rows.find(fingerprint);
  if (found == m_rows.end() || found->second.isCleared) {
    return false;
  }
  found->second.isCleared = true;
  OnChanged(now, fingerprint, found->second);
  return true;
}

bool CrashSuspects::Merge(TimePoint now, const wire::CrashSuspectT& message)
{
  const RequestFingerprint fingerprint = FingerprintOf(message);
  Row& row = FindOrAdd(fingerprint);
  bool hasChanged = message.cleared && !row.isCleared;
  row.isCleared = row.isCleared || message.cleared;
  for (const auto& crashed : message.crashed) {
    hasChanged =
      (row.crashed.size() < kMaxCrashed &&
       row.crashed.insert({ InstanceId(crashed->instance), Incarnation(crashed->born) }).second) ||
      hasChanged;
  }
  if (hasChanged) {
    const Duration age = std::chrono::milliseconds(message.ageMillis);
    OnChanged(std::max(row.changedAt, now - age), fingerprint, row);
  }
  return hasChanged;
}

const CrashSuspects::Row* CrashSuspects::Find(const RequestFingerprint& fingerprint) const
{
  const auto found = m_rows.find(fingerprint);
  return found == m_rows.end() ? nullptr : &found->second;
}

CrashSuspects::Row& CrashSuspects::FindOrAdd(const RequestFingerprint& fingerprint)
{
  const auto found = m_rows.find(fingerprint);
  if (found != m_rows.end()) {
    return found->second;
  }
  if (m_rows.size() >= kMaxRows) {
    MakeRoom();
  }
  return m_rows[fingerprint];
}

void CrashSuspects::MakeRoom()
{
  const auto value = [&](const auto& row) {
    const std::size_t crashed = row.second.isCleared ? 0 : row.second.crashed.size();
    return std::pair(crashed, row.second.changedAt);
  };
  const auto least = std::ranges::min_element(m_rows, {}, value);
  m_quarantined.erase(least->first);
  Remove(least);
}

void CrashSuspects::OnChanged(TimePoint changedAt, const RequestFingerprint& fingerprint, Row& row)
{
  row.changedAt = changedAt;
  row.changedIn = ++m_sequence;
  if (row.crashed.size() < kQuarantineAfter) {
    return;
  }
  if (row.isCleared) {
    m_candidates.erase(fingerprint);
  } else {
    m_candidates.insert(fingerprint);
  }
  UpdateQuarantined();
}

// A target that crashes takes all of its requests along, but only one of them is the cause. The
// cause is in flight at every crash, so a request that was in flight at some of another's crashes
// is a bystander of these.
bool CrashSuspects::IsExplained(const TargetIncarnation& target, std::size_t crashed) const
{
  return std::ranges::any_of(m_candidates, [&](const RequestFingerprint& candidate) {
    const Row& other = m_rows.at(candidate);
    return other.crashed.size() > crashed && other.crashed.contains(target);
  });
}

void CrashSuspects::UpdateQuarantined()
{
  m_quarantined.clear();
  for (const RequestFingerprint& candidate : m_candidates) {
    const Row& row = m_rows.at(candidate);
    const auto unexplained = std::ranges::count_if(
      row.crashed, [&](const auto& target) { return !IsExplained(target, row.crashed.size()); });
    if (static_cast<std::size_t>(unexplained) >= kQuarantineAfter) {
      m_quarantined.insert(candidate);
    }
  }
}

void CrashSuspects::Remove(Rows::iterator row)
{
  m_candidates.erase(row->first);
  m_rows.erase(row);
}

void CrashSuspects::RemoveExpired(TimePoint now)
{
  if (now < m_nextExpiry) {
    return;
  }
  m_nextExpiry = now + kExpiryInterval;
  for (auto next = m_rows.begin(); next != m_rows.end();) {
    const auto row = next++;
    if (now - row->second.changedAt < kRetention) {
      continue;
    }
    if (!m_quarantined.contains(row->first)) {
      Remove(row);
      continue;
    }
    // One more crash quarantines it again.
    std::set<TargetIncarnation>& crashed = row->second.crashed;
    crashed.erase(std::next(crashed.begin(), kQuarantineAfter - 1), crashed.end());
    row->second.changedAt = now;
    m_candidates.erase(row->first);
  }
  UpdateQuarantined();
}

std::uint64_t CrashSuspects::SequenceOf(std::size_t minCrashed) const
{
  std::uint64_t sequence = 0;
  for (const auto& [fingerprint, row] : m_rows) {
    if (row.crashed.size() >= minCrashed) {
      sequence = std::max(sequence, row.changedIn);
    }
  }
  return sequence;
}

std::vector<wire::CrashSuspectT> CrashSuspects::ListChanged(TimePoint now,
                                                            std::uint64_t sequence,
                                                            std::size_t minCrashed) const
{
  std::vector<wire::CrashSuspectT> rows;
  for (const auto& [fingerprint, row] : m_rows) {
    if (row.changedIn > sequence && row.crashed.size() >= minCrashed) {
      rows.push_back(ToWire(now, fingerprint, row));
    }
  }
  return rows;
}

} // namespace gooseberrysail
