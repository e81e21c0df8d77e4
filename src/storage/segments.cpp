#include "storage/segments.hpp"

#include "storage/log_frames.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>

namespace gooseberrysail::impl {

namespace {

constexpr const char* kPrefix = "log-";
constexpr std::size_t kPrefixLength = 4;

std::string NameOf(std::uint64_t sequence)
{
  const std::string digits = std::to_string(sequence);
  return kPrefix + std::string(20 - digits.size(), '0') + digits;
}

std::optional<std::uint64_t> SequenceOf(const std::string& name)
{
  if (!name.starts_with(kPrefix)) {
    return std::nullopt;
  }
  std::uint64_t sequence = 0;
  const char* end = name.data() + name.size();
  const auto parsed = std::from_chars(name.data() + kPrefixLength, end, sequence);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return sequence;
}

Error CorruptLog(const std::string& path, const std::string& what)
{
  return Error{ ErrorCode::kCorrupt, "read data folder", path, what };
}

/// Adds an entry and drops those at or after its index.
/// \returns False if entries before it are missing.
bool InsertEntry(std::vector<LogRecord>& entries, std::uint64_t snapshotIndex, LogRecord entry)
{
  const std::uint64_t index = entry.index.Get();
  if (index <= snapshotIndex) {
    entries.clear();
    return true;
  }
  const std::uint64_t offset = index - snapshotIndex - 1;
  if (offset > entries.size()) {
    return false;
  }
  entries.resize(offset);
  entries.push_back(std::move(entry));
  return true;
}

} // namespace

Segments::Segments(std::string folder, FileSystem files, std::uint64_t segmentBytes)
  : m_folder(std::move(folder))
  , m_files(std::move(files))
  , m_segmentBytes(segmentBytes)
{
}

std::string Segments::PathOf(std::uint64_t sequence) const
{
  return m_folder + "/" + NameOf(sequence);
}

Result<RecoveredSegments> Segments::Read(std::uint64_t first,
                                         std::uint64_t snapshotIndex,
                                         const std::vector<std::string>& names)
{
  std::vector<std::uint64_t> sequences;
  std::vector<std::string> stale;
  for (const std::string& name : names) {
    const auto sequence = SequenceOf(name);
    if (sequence && *sequence >= first) {
      sequences.push_back(*sequence);
    } else if (sequence) {
      stale.push_back(name);
    }
  }
  RemoveFiles(m_folder, stale);
  RecoveredSegments read;
  std::uint64_t expected = first;
  for (const std::uint64_t sequence : sequences) {
    if (sequence != expected) {
      return CorruptLog(PathOf(expected), "this log file is missing, but later ones exist");
    }
    ++expected;
    BOOST_OUTCOME_TRY(ReadSegment(sequence, snapshotIndex, sequence == sequences.back(), read));
  }
  if (sequences.empty()) {
    BOOST_OUTCOME_TRY(StartSegment(first));
    return read;
  }
  m_current = sequences.back();
  BOOST_OUTCOME_TRY(m_file, OpenForAppend(PathOf(m_current), false));
  return read;
}

Result<void> Segments::ReadSegment(std::uint64_t sequence,
                                   std::uint64_t snapshotIndex,
                                   bool last,
                                   RecoveredSegments& read)
{
  const std::string path = PathOf(sequence);
  BOOST_OUTCOME_TRY(const auto bytes, ReadFile(path));
  BOOST_OUTCOME_TRY(const FrameScan scan, ScanFrames(bytes, path, last));
  Segment& segment = m_segments[sequence];
  segment.bytes = scan.validBytes;
  for (const auto payload : scan.payloads) {
    const std::string place =
      path + " offset " + std::to_string(payload.data() - bytes.data() - kFrameHeaderBytes);
    Result<std::vector<LogRecord>> batch = DecodeLogBatch(payload);
    if (!batch) {
      return CorruptLog(place, "a log record cannot be decoded");
    }
    for (LogRecord& entry : batch.value()) {
      segment.highest = std::max(segment.highest, entry.index.Get());
      const std::string index = std::to_string(entry.index.Get());
      if (!InsertEntry(read.entries, snapshotIndex, std::move(entry))) {
        return CorruptLog(place, "entries before index " + index + " are missing");
      }
    }
  }
  if (scan.torn) {
    read.tornFile = path;
    read.tornOffset = scan.validBytes;
    read.tornBytes = bytes.size() - scan.validBytes;
  }
  if (last) {
    // Rewritten instead of truncated: the contents may exist only in the page cache if an earlier
    // process ended before its sync or its sync failed. Another sync of the same pages could then
    // succeed without having written them.
    const auto valid = std::span(bytes).first(scan.validBytes);
    return ReplaceFile(m_folder, NameOf(sequence), valid, m_files);
  }
  return outcome::success();
}

Result<void> Segments::StartSegment(std::uint64_t sequence)
{
  BOOST_OUTCOME_TRY(m_file, OpenForAppend(PathOf(sequence), true));
  m_segments[sequence] = {};
  m_current = sequence;
  // Otherwise the directory entry could be lost in a crash although the contents were synced.
  if (const int error = m_files.syncFolder(m_folder); error != 0) {
    return IoError("sync folder", m_folder, error);
  }
  return outcome::success();
}

Result<void> Segments::Roll()
{
  if (m_segments[m_current].bytes == 0) {
    return outcome::success();
  }
  return StartSegment(m_current + 1);
}

Result<void> Segments::Append(std::span<const LogRecord> entries)
{
  if (m_segments[m_current].bytes >= m_segmentBytes) {
    BOOST_OUTCOME_TRY(Roll());
  }
  const std::vector<std::uint8_t> frame = EncodeFrame(EncodeLogBatch(entries));
  if (const int error = m_files.write(m_file.Get(), frame); error != 0) {
    return IoError("write log file", PathOf(m_current), error);
  }
  if (const int error = m_files.sync(m_file.Get()); error != 0) {
    return IoError("sync log file", PathOf(m_current), error);
  }
  Segment& segment = m_segments[m_current];
  segment.bytes += frame.size();
  segment.highest = std::max(segment.highest, entries.back().index.Get());
  return outcome::success();
}

std::uint64_t Segments::FirstNeeded(std::uint64_t index) const noexcept
{
  for (const auto& [sequence, segment] : m_segments) {
    if (segment.highest > index) {
      return sequence;
    }
  }
  return m_current;
}

void Segments::RemoveBefore(std::uint64_t first)
{
  std::vector<std::string> names;
  while (!m_segments.empty() && m_segments.begin()->first < first) {
    names.push_back(NameOf(m_segments.begin()->first));
    m_segments.erase(m_segments.begin());
  }
  RemoveFiles(m_folder, names);
}

std::uint64_t Segments::Bytes() const noexcept
{
  std::uint64_t bytes = 0;
  for (const auto& [sequence, segment] : m_segments) {
    bytes += segment.bytes;
  }
  return bytes;
}

} // namespace gooseberrysail::impl
