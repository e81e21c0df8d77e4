#include "gooseberrysail/agent/start_queue.hpp"

namespace gooseberrysail {

void StartQueue::Push(std::uint8_t priority, const AttemptKey& key)
{
  const Place place{ priority, ++m_arrivals };
  m_waiting.emplace(place, key);
  m_places.emplace(key, place);
}

bool StartQueue::Remove(const AttemptKey& key)
{
  const auto place = m_places.find(key);
  if (place == m_places.end()) {
    return false;
  }
  m_waiting.erase(place->second);
  m_places.erase(place);
  return true;
}

std::optional<AttemptKey> StartQueue::Front() const
{
  return m_waiting.empty() ? std::nullopt : std::optional(m_waiting.begin()->second);
}

std::optional<AttemptKey> StartQueue::Displaceable(std::uint8_t priority) const
{
  if (m_waiting.empty() || m_waiting.rbegin()->first.first <= priority) {
    return std::nullopt;
  }
  return m_waiting.rbegin()->second;
}

} // namespace gooseberrysail
