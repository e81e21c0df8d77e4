#include "routing/group_table.hpp"

#include <algorithm>

namespace gooseberrysail::impl {

Slot GroupTable::Insert(const RouteCandidate& candidate)
{
  Slot slot = kNoSlot;
  if (!free.empty()) {
    slot = free.back();
    free.pop_back();
    scores[slot] = {};
    health[slot] = {};
    histories[slot] = {};
    candidates[slot] = candidate;
  } else {
    slot = static_cast<Slot>(scores.size());
    scores.emplace_back();
    health.emplace_back();
    histories.emplace_back();
    feeds.emplace_back();
    candidates.push_back(candidate);
  }
  scores[slot].group = candidate.group;
  slots[candidate.group] = slot;
  return slot;
}

void GroupTable::Erase(Slot slot)
{
  slots.erase(scores[slot].group);
  scores[slot] = {};
  scores[slot].open = false;
  candidates[slot] = {};
  free.push_back(slot);
}

void GroupTable::Unlist(TimePoint now, Slot slot)
{
  scores[slot].listed = false;
  m_unlisted.push_back({ scores[slot].group, now });
  EraseExpired(now);
}

void GroupTable::EraseExpired(TimePoint now)
{
  while (!m_unlisted.empty() && (m_unlisted.size() > kMaxUnlisted ||
                                 now - m_unlisted.front().since > kUnlistedRetention)) {
    // The group may have been listed again since, or unlisted again; then the later record counts.
    const GroupId group = m_unlisted.front().group;
    m_unlisted.pop_front();
    const Slot slot = Find(group);
    const bool unlistedAgain =
      std::ranges::find(m_unlisted, group, &Unlisted::group) != m_unlisted.end();
    if (slot != kNoSlot && !scores[slot].listed && !unlistedAgain) {
      Erase(slot);
    }
  }
}

} // namespace gooseberrysail::impl
