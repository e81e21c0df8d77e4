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
  if (offset < m_firstOffset) {
    offset = m_firstOffset;
  }
  if (offset < EndOffset()) {
    m_bytes.resize(m_acknowledgedBytes + static_cast<std::size_t>(offset - m_firstOffset));
  }
}

std::size_t HeldOutput::Acknowledge(std::uint64_t offset)
{
  const std::uint64_t last = std::min(offset, EndOffset());
  if (last <= m_firstOffset) {
    return 0;
  }
  const auto freed = static_cast<std::size_t>(last - m_firstOffset);
  m_acknowledgedBytes += freed;
  m_firstOffset = last;
  // Erasing on each acknowledgement would take time quadratic in the length of the answer.
  if (m_acknowledgedBytes * 2 >= m_bytes.size()) {
    m_bytes.erase(0, m_acknowledgedBytes);
    m_acknowledgedBytes = 0;
    if (m_bytes.empty()) {
      m_bytes.shrink_to_fit();
    }
  }
  return freed;
}

std::string_view HeldOutput::Read(std::uint64_t offset, std::size_t maxBytes) const
{
  if (offset < m_firstOffset || offset > EndOffset()) {
    return {};
  }
  const auto from = m_acknowledgedBytes + static_cast<std::size_t>(offset - m_firstOffset);
  return std::string_view(m_bytes).substr(from, maxBytes);
}

} // namespace gooseberrysail
