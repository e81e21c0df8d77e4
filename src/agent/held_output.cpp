#include "gooseberrysail/agent/held_output.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail {

void HeldOutput::Begin(unsigned status, std::vector<HttpHeader> headers)
{
  m_status = status;
  m_headers = std::move(headers);
}

void HeldOutput::Append(std::string_view bytes)
{
  m_bytes += bytes;
}

void HeldOutput::End(std::string cutReason)
{
  m_ended = true;
  m_cutReason = std::move(cutReason);
}

void HeldOutput::TruncateTo(std::uint64_t offset)
{
  if (offset < m_first) {
    offset = m_first;
  }
  if (offset < EndOffset()) {
    m_bytes.resize(m_freed + static_cast<std::size_t>(offset - m_first));
  }
}

std::size_t HeldOutput::Acknowledge(std::uint64_t offset)
{
  const std::uint64_t last = std::min(offset, EndOffset());
  if (last <= m_first) {
    return 0;
  }
  const auto freed = static_cast<std::size_t>(last - m_first);
  m_freed += freed;
  m_first = last;
  // Moving the rest up on each acknowledgement would cost time in the square of the answer.
  if (m_freed * 2 >= m_bytes.size()) {
    m_bytes.erase(0, m_freed);
    m_freed = 0;
    if (m_bytes.empty()) {
      m_bytes.shrink_to_fit();
    }
  }
  return freed;
}

std::string_view HeldOutput::Read(std::uint64_t offset, std::size_t most) const
{
  if (offset < m_first || offset > EndOffset()) {
    return {};
  }
  const auto from = m_freed + static_cast<std::size_t>(offset - m_first);
  return std::string_view(m_bytes).substr(from, most);
}

} // namespace gooseberrysail
