#include "gooseberrysail/admission/unread_queue.hpp"

#include <iterator>

namespace gooseberrysail {

void UnreadQueue::Add(Id id, TimePoint since)
{
  m_waiting.emplace(since, id);
}

std::optional<UnreadQueue::Id> UnreadQueue::TakeNewest()
{
  if (m_waiting.empty()) {
    return std::nullopt;
  }
  const auto newest = std::prev(m_waiting.end());
  const Id id = newest->second;
  m_waiting.erase(newest);
  return id;
}

std::optional<UnreadQueue::Id> UnreadQueue::TakeOldest()
{
  if (m_waiting.empty()) {
    return std::nullopt;
  }
  const Id id = m_waiting.begin()->second;
  m_waiting.erase(m_waiting.begin());
  return id;
}

std::vector<UnreadQueue::Id> UnreadQueue::TakeOlderThan(TimePoint since)
{
  std::vector<Id> old;
  while (!m_waiting.empty() && m_waiting.begin()->first < since) {
    old.push_back(m_waiting.begin()->second);
    m_waiting.erase(m_waiting.begin());
  }
  return old;
}

Duration UnreadQueue::LongestWait(TimePoint now) const
{
  return m_waiting.empty() ? Duration::zero() : now - m_waiting.begin()->first;
}

} // namespace gooseberrysail
