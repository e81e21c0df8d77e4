#include "adversary/choices.hpp"

namespace gooseberrysail::adversary {

std::uint32_t Choices::Below(std::uint32_t count)
{
  if (m_isRecording) {
    m_recorded.push_back(static_cast<std::uint32_t>(m_random() % count));
    return m_recorded.back();
  }
  return m_next < m_recorded.size() ? m_recorded[m_next++] % count : 0;
}

int Choices::Draw(Element element)
{
  const std::span<const Row> rows = RowsOf(element);
  unsigned total = 0;
  for (const Row& row : rows) {
    total += row.weight;
  }
  unsigned drawn = Below(total);
  for (const Row& row : rows) {
    if (drawn < row.weight) {
      m_drawn.insert(&row);
      return row.value;
    }
    drawn -= row.weight;
  }
  return rows.front().value;
}

} // namespace gooseberrysail::adversary
