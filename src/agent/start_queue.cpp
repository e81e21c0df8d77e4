#include "gooseberrysail/agent/start_queue.hpp"

namespace gooseberrysail {

void StartQueue::Push(std::uint8_t priority, const AttemptKey& key)
{
  const Position position{ priority, ++m_arrivals };
  m_waiting.emplace(position, key);
  m_positions.emplace(key, position);
}

bool StartQueue::Remove(const AttemptKey& key)
{
  const auto position = m_positions.find(key);
  if (position == m_positions.end()) {
    return false;
  }
  m_waiting.erase(position->second);
  m_positions.erase(position);
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
