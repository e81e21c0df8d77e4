#pragma once

#include "gooseberrysail/consensus/log_types.hpp"
#include "storage/data_folder.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gooseberrysail::impl {

/// \brief The result of reading the log files.
struct RecoveredSegments
{
  std::vector<LogRecord> entries; ///< The entries after the snapshot.
  std::string tornFile;           ///< Empty if the log has no torn tail.
  std::uint64_t tornOffset = 0;
  std::uint64_t tornBytes = 0;
};

/// \brief The log, stored in append-only files `log-<sequence>`.
/// \remarks An entry replaces all entries at or after its index in earlier frames, so that nothing
/// is overwritten in place.
class Segments
{
public:
  Segments(std::string folder, FileSystem files, std::uint64_t segmentBytes);

  /// \brief Reads the log files and removes those before `first`.
  /// \param first The first valid file.
  /// \param snapshotIndex Entries up to this index are not needed.
  [[nodiscard]] Result<RecoveredSegments> Read(std::uint64_t first,
                                               std::uint64_t snapshotIndex,
                                               const std::vector<std::string>& names);

  /// \brief Writes the entries and syncs the file.
  [[nodiscard]] Result<void> Append(std::span<const LogRecord> entries);

  /// \brief Starts the next file, unless the current one is empty.
  [[nodiscard]] Result<void> Roll();

  /// \returns The first file that holds entries after `index`.
  [[nodiscard]] std::uint64_t FirstNeeded(std::uint64_t index) const noexcept;
  [[nodiscard]] std::uint64_t Current() const noexcept { return m_current; }

  /// \brief Removes the files before `first`.
  void RemoveBefore(std::uint64_t first);

  [[nodiscard]] std::uint64_t Bytes() const noexcept;

private:
  struct Segment
  {
    std::uint64_t bytes = 0;
    std::uint64_t highest = 0; ///< Highest index in the file.
  };

  [[nodiscard]] Result<void> StartSegment(std::uint64_t sequence);
  [[nodiscard]] Result<void> ReadSegment(std::uint64_t sequence,
                                         std::uint64_t snapshotIndex,
                                         bool last,
                                         RecoveredSegments& read);
  [[nodiscard]] std::string PathOf(std::uint64_t sequence) const;

  std::string m_folder;
  FileSystem m_files;
  std::uint64_t m_segmentBytes;
  std::map<std::uint64_t, Segment> m_segments;
  std::uint64_t m_current = 0;
  FileHandle m_file;
};

} // namespace gooseberrysail::impl
