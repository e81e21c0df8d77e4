#include "consensus/raft_log.hpp"

#include <cassert>

namespace gooseberrysail::impl {

void RaftLog::Reset(std::uint64_t base, std::uint64_t baseTerm)
{
  m_base = base;
  m_baseTerm = baseTerm;
  m_entries.clear();
  m_cumulativeBytes.clear();
  m_bytesBefore = 0;
}

std::uint64_t RaftLog::LastTerm() const noexcept
{
  return m_entries.empty() ? m_baseTerm : m_entries.back().term.Get();
}

std::optional<std::uint64_t> RaftLog::TermAt(std::uint64_t index) const noexcept
{
  if (index == m_base) {
    return m_baseTerm;
  }
  if (index < m_base || index > LastIndex()) {
    return std::nullopt;
  }
  return m_entries[index - m_base - 1].term.Get();
}

const LogRecord& RaftLog::At(std::uint64_t index) const
{
  assert(index > m_base && index <= LastIndex());
  return m_entries[index - m_base - 1];
}

std::span<const LogRecord> RaftLog::Slice(std::uint64_t first, std::uint64_t last) const
{
  if (first > last) {
    return {};
  }
  assert(first > m_base && last <= LastIndex());
  return std::span(m_entries).subspan(first - m_base - 1, last - first + 1);
}

void RaftLog::Append(LogRecord entry)
{
  assert(entry.index.Get() == LastIndex() + 1);
  const std::uint64_t before = m_cumulativeBytes.empty() ? m_bytesBefore : m_cumulativeBytes.back();
  m_cumulativeBytes.push_back(before + entry.payload.size());
  m_entries.push_back(std::move(entry));
}

void RaftLog::TruncateFrom(std::uint64_t index)
{
  assert(index > m_base);
  if (index <= LastIndex()) {
    m_entries.resize(index - m_base - 1);
    m_cumulativeBytes.resize(m_entries.size());
  }
}

void RaftLog::CompactTo(std::uint64_t index)
{
  if (index <= m_base) {
    return;
  }
  assert(index <= LastIndex());
  m_baseTerm = *TermAt(index);
  m_bytesBefore = m_cumulativeBytes[index - m_base - 1];
  m_cumulativeBytes.erase(m_cumulativeBytes.begin(),
                          m_cumulativeBytes.begin() + static_cast<std::ptrdiff_t>(index - m_base));
  m_entries.erase(m_entries.begin(),
                  m_entries.begin() + static_cast<std::ptrdiff_t>(index - m_base));
  m_base = index;
}

std::size_t RaftLog::BytesAfter(std::uint64_t index) const noexcept
{
  if (m_entries.empty() || index >= LastIndex()) {
    return 0;
  }
  const std::uint64_t through =
    index <= m_base ? m_bytesBefore : m_cumulativeBytes[index - m_base - 1];
  return m_cumulativeBytes.back() - through;
}

} // namespace gooseberrysail::impl
