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

void GroupTable::Park(TimePoint now, Slot slot)
{
  scores[slot].listed = false;
  m_parked.push_back({ scores[slot].group, now });
  ErasePastParked(now);
}

void GroupTable::ErasePastParked(TimePoint now)
{
  while (!m_parked.empty() &&
         (m_parked.size() > kMostParked || now - m_parked.front().since > kParkedFor)) {
    // It may have been listed again or even parked a second time since; then a later mark counts.
    const GroupId group = m_parked.front().group;
    m_parked.pop_front();
    const Slot slot = Find(group);
    const bool markedAgain = std::ranges::find(m_parked, group, &Parked::group) != m_parked.end();
    if (slot != kNoSlot && !scores[slot].listed && !markedAgain) {
      Erase(slot);
    }
  }
}

} // namespace gooseberrysail::impl
