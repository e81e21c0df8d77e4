#include "gooseberrysail/serving/prompt_suspects.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace gooseberrysail {

namespace {

/// Bounds a row of a part that crashes targets faster than this becomes known.
constexpr std::size_t kMaxCrashes = 16;
/// Trials beyond these change nothing: their interval has reached its limit.
constexpr std::size_t kMaxTrials = 8;
constexpr Duration kExpiryInterval = std::chrono::seconds(1);

std::uint32_t MillisSince(TimePoint now, TimePoint then)
{
  return static_cast<std::uint32_t>(std::max<std::int64_t>(ToMillis(now - then), 0));
}

std::size_t CountTrials(const PromptSuspects::Row& row)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(row.crashes, [](const auto& crash) { return crash.second.isTrial; }));
}

wire::PromptSuspectT ToWire(TimePoint now,
                            const RequestFingerprint& part,
                            const PromptSuspects::Row& row)
{
  wire::PromptSuspectT message;
  message.partHigh = part.high;
  message.partLow = part.low;
  message.proven = row.provenAt != TimePoint{};
  message.provenAgoMillis = message.proven ? MillisSince(now, row.provenAt) : 0;
  for (const auto& [target, crash] : row.crashes) {
    auto told = std::make_unique<wire::PartCrashT>();
    told->instance = target.instance.Get();
    told->born = target.born.Get();
    told->sentAgoMillis = MillisSince(now, crash.sentAt);
    told->crashedAgoMillis = MillisSince(now, crash.crashedAt);
    told->trial = crash.isTrial;
    message.crashes.push_back(std::move(told));
  }
  return message;
}

} // namespace

RequestFingerprint FingerprintOf(const wire::PromptSuspectT& row) noexcept
{
  return { row.partHigh, row.partLow };
}

bool PromptSuspects::RecordCrash(const RequestFingerprint& part,
                                 const TargetIncarnation& target,
                                 const Crash& crash)
{
  Row& row = FindOrAdd(part);
  if (!AddCrash(row, target, crash)) {
    return false;
  }
  OnChanged(crash.crashedAt, row);
  return true;
}

bool PromptSuspects::AddCrash(Row& row, const TargetIncarnation& target, const Crash& crash)
{
  const std::size_t limit = crash.isTrial ? kMaxCrashes + kMaxTrials : kMaxCrashes;
  const bool isOld = row.provenAt != TimePoint{} && crash.crashedAt <= row.provenAt;
  if (isOld || row.crashes.size() >= limit || !row.crashes.emplace(target, crash).second) {
    return false;
  }
  row.mostCrashes = std::max(row.mostCrashes, row.crashes.size());
  return true;
}

bool PromptSuspects::RecordProof(TimePoint now, const RequestFingerprint& part, TimePoint begunAt)
{
  const auto found = m_rows.find(part);
  if (found == m_rows.end()) {
    return false;
  }
  Row& row = found->second;
  row.provenAt = std::max(row.provenAt, begunAt);
  if (!DropProvenCrashes(row)) {
    return false;
  }
  OnChanged(now, row);
  return true;
}

bool PromptSuspects::DropProvenCrashes(Row& row)
{
  return std::erase_if(row.crashes, [&](const auto& crash) {
           return crash.second.crashedAt <= row.provenAt;
         }) > 0;
}

bool PromptSuspects::Merge(TimePoint now, const wire::PromptSuspectT& message)
{
  Row& row = FindOrAdd(FingerprintOf(message));
  if (message.proven) {
    row.provenAt = std::max(row.provenAt, now - std::chrono::milliseconds(message.provenAgoMillis));
  }
  bool hasChanged = DropProvenCrashes(row);
  for (const auto& crash : message.crashes) {
    const Crash told{ now - std::chrono::milliseconds(crash->sentAgoMillis),
                      now - std::chrono::milliseconds(crash->crashedAgoMillis),
                      crash->trial };
    const TargetIncarnation target{ InstanceId(crash->instance), Incarnation(crash->born) };
    hasChanged = AddCrash(row, target, told) || hasChanged;
  }
  if (hasChanged) {
    OnChanged(now, row);
  }
  return hasChanged;
}

const PromptSuspects::Row* PromptSuspects::Find(const RequestFingerprint& part) const
{
  const auto found = m_rows.find(part);
  return found == m_rows.end() ? nullptr : &found->second;
}

PromptSuspects::Row& PromptSuspects::FindOrAdd(const RequestFingerprint& part)
{
  const auto found = m_rows.find(part);
  if (found != m_rows.end()) {
    return found->second;
  }
  if (m_rows.size() >= kMaxRows) {
    MakeRoom();
  }
  return m_rows[part];
}

// Ids of parts are callers' data, so one caller can fill the table; the parts with the fewest
// crashes go first.
void PromptSuspects::MakeRoom()
{
  const auto least = std::ranges::min_element(m_rows, {}, [](const auto& row) {
    return std::pair(row.second.crashes.size(), row.second.changedAt);
  });
  m_held.erase(least->first);
  m_rows.erase(least);
}

void PromptSuspects::OnChanged(TimePoint now, Row& row)
{
  row.changedAt = std::max(row.changedAt, now);
  row.changedIn = ++m_sequence;
  UpdateHeld();
}

// Attempts that overlap in time may have ended by one other cause: a lost failure domain, or a
// reset of all connections. Those sent after the one before had crashed did not.
std::size_t PromptSuspects::CountSuccessive(std::vector<Crash> crashes)
{
  std::ranges::sort(crashes, {}, &Crash::crashedAt);
  std::size_t count = 0;
  TimePoint latest{};
  for (const Crash& crash : crashes) {
    if (count == 0 || crash.sentAt >= latest) {
      ++count;
      latest = crash.crashedAt;
    }
  }
  return count;
}

// A target that crashes takes all of its requests along, but one part is the cause. It is in flight
// at every crash, so that a part with fewer crashes was a bystander of those that both share.
std::vector<PromptSuspects::Crash> PromptSuspects::ListUnexplained(
  const Row& row,
  std::span<const Row* const> candidates)
{
  const auto isExplained = [&](const TargetIncarnation& target) {
    return std::ranges::any_of(candidates, [&](const Row* other) {
      return other->crashes.size() > row.crashes.size() && other->crashes.contains(target);
    });
  };
  std::vector<Crash> unexplained;
  for (const auto& [target, crash] : row.crashes) {
    if (!isExplained(target)) {
      unexplained.push_back(crash);
    }
  }
  return unexplained;
}

void PromptSuspects::UpdateHeld()
{
  std::vector<const Row*> candidates;
  for (const auto& [part, row] : m_rows) {
    if (row.crashes.size() >= kHoldAfter) {
      candidates.push_back(&row);
    }
  }
  m_held.clear();
  for (const auto& [part, row] : m_rows) {
    if (row.crashes.size() < kHoldAfter) {
      continue;
    }
    const std::vector<Crash> unexplained = ListUnexplained(row, candidates);
    const std::size_t successive = CountSuccessive(unexplained);
    const bool areMany = successive > 1 && unexplained.size() >= kHoldAfterMany;
    if (successive >= kHoldAfter || areMany) {
      m_held.insert(part);
    }
  }
}

TimePoint PromptSuspects::TrialDueAt(const RequestFingerprint& part) const
{
  const Row& row = m_rows.at(part);
  TimePoint latest{};
  for (const auto& [target, crash] : row.crashes) {
    latest = std::max(latest, crash.crashedAt);
  }
  Duration interval = kFirstTrialAfter;
  for (std::size_t trial = 0; trial < CountTrials(row); ++trial) {
    interval = std::min<Duration>(interval * kTrialFactor, kMaxTrialInterval);
  }
  return latest + interval;
}

void PromptSuspects::RemoveExpired(TimePoint now)
{
  if (now < m_nextExpiry) {
    return;
  }
  m_nextExpiry = now + kExpiryInterval;
  std::erase_if(m_rows, [&](const auto& row) {
    const Duration retention = m_held.contains(row.first) ? kHeldRetention : kRetention;
    return now - row.second.changedAt >= retention;
  });
  UpdateHeld();
}

std::uint64_t PromptSuspects::SequenceOf(std::size_t minCrashes) const
{
  std::uint64_t sequence = 0;
  for (const auto& [part, row] : m_rows) {
    if (row.mostCrashes >= minCrashes) {
      sequence = std::max(sequence, row.changedIn);
    }
  }
  return sequence;
}

std::vector<wire::PromptSuspectT> PromptSuspects::ListChanged(TimePoint now,
                                                              std::uint64_t sequence,
                                                              std::size_t minCrashes) const
{
  std::vector<wire::PromptSuspectT> rows;
  for (const auto& [part, row] : m_rows) {
    if (row.changedIn > sequence && row.mostCrashes >= minCrashes) {
      rows.push_back(ToWire(now, part, row));
    }
  }
  return rows;
}

} // namespace gooseberrysail
