#pragma once

#include "gooseberrysail/consensus/log_types.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace gooseberrysail::impl {

/// \brief The log entries in memory. Entries up to a base index are replaced by a snapshot.
class RaftLog
{
public:
  /// \brief Empties the log; the next entry follows `base`.
  void Reset(std::uint64_t base, std::uint64_t baseTerm);

  [[nodiscard]] std::uint64_t Base() const noexcept { return m_base; }
  [[nodiscard]] std::uint64_t LastIndex() const noexcept { return m_base + m_entries.size(); }
  [[nodiscard]] std::uint64_t LastTerm() const noexcept;

  /// \returns None if the entry was compacted away or does not exist yet.
  [[nodiscard]] std::optional<std::uint64_t> TermAt(std::uint64_t index) const noexcept;

  [[nodiscard]] const LogRecord& At(std::uint64_t index) const;

  /// \brief Entries from `first` to `last` inclusive; both must be in memory.
  [[nodiscard]] std::span<const LogRecord> Slice(std::uint64_t first, std::uint64_t last) const;
  [[nodiscard]] std::span<const LogRecord> All() const noexcept { return m_entries; }

  void Append(LogRecord entry);

  /// \brief Drops the entry at `index` and all after it.
  void TruncateFrom(std::uint64_t index);

  /// \brief Drops entries up to `index` from memory.
  void CompactTo(std::uint64_t index);

  /// \brief Payload bytes of the entries after `index`.
  [[nodiscard]] std::size_t BytesAfter(std::uint64_t index) const noexcept;

  /// \brief Payload bytes of the entries after `first` up to `last`, as far as they are in memory.
  [[nodiscard]] std::size_t BytesBetween(std::uint64_t first, std::uint64_t last) const noexcept
  {
    return BytesAfter(first) - BytesAfter(std::max(first, last));
  }

private:
  std::uint64_t m_base = 0;
  std::uint64_t m_baseTerm = 0;
  std::vector<LogRecord> m_entries;
  std::vector<std::uint64_t> m_cumulativeBytes; ///< Payload bytes up to and including each entry.
  std::uint64_t m_bytesBefore = 0;              ///< The same sum at the base.
};

} // namespace gooseberrysail::impl
