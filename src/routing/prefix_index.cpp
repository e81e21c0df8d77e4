#include "routing/prefix_index.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace gooseberrysail::impl {

namespace {

/// For records of prompts that this sender sent and no event confirmed: the engine may have refused
/// or evicted them since.
constexpr float kPredictionTrust = 0.9F;
constexpr float kMinConfidence = 0.05F;

std::uint32_t Ticks(Duration duration)
{
  return static_cast<std::uint32_t>(std::max<std::int64_t>(duration / kPrefixTick, 0));
}

std::uint32_t Ticks(TimePoint time)
{
  return Ticks(time.time_since_epoch());
}

} // namespace

PrefixIndex::PrefixIndex(const RouterPolicy& policy)
  : m_maxBlocks(policy.scan.prefixBlocks)
  , m_lagTicks(Ticks(policy.aging.eventLag))
  , m_predictionTicks(static_cast<float>(Ticks(policy.aging.cachePrediction)))
  , m_confirmationTicks(static_cast<float>(Ticks(policy.aging.cacheConfirmation)))
  , m_afterGap(static_cast<float>(policy.aging.afterGap))
  , m_rows(std::bit_ceil(std::max(policy.scan.prefixRows, kWays)))
{
}

const PrefixIndex::Row* PrefixIndex::Lookup(std::uint64_t hash) const
{
  const std::size_t sets = m_rows.size() / kWays;
  const Row* first = &m_rows[(hash & (sets - 1)) * kWays];
  const Row* found =
    std::find_if(first, first + kWays, [hash](const Row& row) { return row.hash == hash; });
  return found == first + kWays ? nullptr : found;
}

PrefixIndex::Row* PrefixIndex::Lookup(std::uint64_t hash)
{
  return const_cast<Row*>(std::as_const(*this).Lookup(hash));
}

PrefixIndex::Row& PrefixIndex::FindOrInsert(std::uint64_t hash)
{
  if (Row* row = Lookup(hash)) {
    return *row;
  }
  // The memory is fixed, and the least recently used block of the set is replaced. Callers choose
  // the prompts, so with a growing table one of them could exhaust the entry's memory.
  const std::size_t sets = m_rows.size() / kWays;
  Row* first = &m_rows[(hash & (sets - 1)) * kWays];
  const auto newest = [](const Row& row) {
    std::uint32_t latest = 0;
    for (const Holder& holder : row.holders) {
      latest = std::max(latest, holder.slot == kNoSlot ? 0 : holder.seenAt);
    }
    return latest;
  };
  Row* oldest = std::min_element(
    first, first + kWays, [&](const Row& a, const Row& b) { return newest(a) < newest(b); });
  *oldest = Row{};
  oldest->hash = hash;
  return *oldest;
}

void PrefixIndex::Add(Row& row, Slot slot, std::uint32_t tick, bool confirmed)
{
  Holder* place = std::ranges::find(row.holders, slot, &Holder::slot);
  if (place == row.holders.end()) {
    place = std::ranges::min_element(row.holders, {}, [](const Holder& holder) {
      return holder.slot == kNoSlot ? 0 : holder.seenAt;
    });
    *place = Holder{ slot, confirmed, tick };
    return;
  }
  place->seenAt = std::max(place->seenAt, tick);
  place->confirmed = place->confirmed || confirmed;
}

void PrefixIndex::Remove(std::uint64_t hash, Slot slot, std::uint32_t before)
{
  Row* row = Lookup(hash);
  if (row == nullptr) {
    return;
  }
  Holder* holder = std::ranges::find(row->holders, slot, &Holder::slot);
  if (holder != row->holders.end() && holder->seenAt <= before) {
    *holder = Holder{};
  }
}

void PrefixIndex::OnSent(TimePoint now, Slot slot, std::span<const std::uint64_t> hashes)
{
  for (const std::uint64_t hash : hashes.first(std::min(hashes.size(), m_maxBlocks))) {
    Add(FindOrInsert(hash), slot, Ticks(now), false);
  }
}

void PrefixIndex::OnReport(TimePoint now,
                           Slot slot,
                           CacheFeed& feed,
                           std::uint64_t sequence,
                           std::span<const std::uint64_t> added,
                           std::span<const std::uint64_t> removed,
                           bool reset)
{
  const bool late = sequence <= feed.sequence && !reset;
  const bool gap = feed.sequence != 0 && sequence > feed.sequence + 1 && !reset;
  if (reset) {
    feed.validSince = now;
  }
  // After a gap, a record may refer to a block whose removal was in the lost events, and prompts
  // would go to a group for a prefix that it no longer holds. So records from before the gap get
  // less weight.
  if (gap) {
    feed.gapAt = now;
  }
  if (!late) {
    feed.sequence = sequence;
  }
  // Events arrive late, after this sender has sent further requests. A removal therefore applies
  // only to records older than the time it describes; one that arrives out of order describes a
  // time before the gap it left.
  const std::uint32_t lagged = Ticks(now) - std::min(Ticks(now), m_lagTicks);
  const std::uint32_t beforeGap = std::max(Ticks(feed.gapAt), 1U) - 1;
  const std::uint32_t removedBefore = late ? std::min(lagged, beforeGap) : lagged;
  for (const std::uint64_t hash : removed) {
    Remove(hash, slot, removedBefore);
  }
  const std::uint32_t addedAt = late ? lagged : Ticks(now);
  for (const std::uint64_t hash : added) {
    Add(FindOrInsert(hash), slot, addedAt, !late);
  }
}

float PrefixIndex::Confidence(const Holder& holder, const CacheFeed& feed, std::uint32_t tick) const
{
  if (holder.seenAt < Ticks(feed.validSince)) {
    return 0;
  }
  const float age = static_cast<float>(tick - std::min(tick, holder.seenAt));
  const float trust = holder.confirmed ? 1 : kPredictionTrust;
  const float horizon = holder.confirmed ? m_confirmationTicks : m_predictionTicks;
  const float afterGap = holder.seenAt < Ticks(feed.gapAt) ? m_afterGap : 1;
  return trust * afterGap * horizon / (horizon + age);
}

std::size_t PrefixIndex::Find(TimePoint now,
                              std::span<const std::uint64_t> hashes,
                              std::span<const CacheFeed> feeds,
                              Matches& matches) const
{
  const std::uint32_t tick = Ticks(now);
  std::size_t count = 0;
  const auto collect = [&](std::size_t index) {
    const Row* row = Lookup(hashes[index]);
    bool any = false;
    for (const Holder& holder : row ? std::span(row->holders) : std::span<const Holder>()) {
      if (holder.slot >= feeds.size() || count == kMaxMatches) {
        continue;
      }
      const float confidence = Confidence(holder, feeds[holder.slot], tick);
      if (confidence < kMinConfidence) {
        continue;
      }
      matches[count++] = { holder.slot, static_cast<std::uint32_t>(index + 1), confidence };
      any = true;
    }
    return any;
  };
  std::size_t end = std::min(hashes.size(), m_maxBlocks);
  if (end == 0 || !collect(0)) {
    return count;
  }
  // Engines evict the deepest blocks first, so "known" is monotone in depth and a bisection finds
  // the deepest known block. The shallower blocks visited also give groups with shorter matches.
  std::size_t known = 0;
  while (end - known > 1) {
    const std::size_t middle = known + (end - known) / 2;
    (collect(middle) ? known : end) = middle;
  }
  return count;
}

} // namespace gooseberrysail::impl
