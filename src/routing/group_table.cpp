#include "routing/group_table.hpp"

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

} // namespace gooseberrysail::impl
