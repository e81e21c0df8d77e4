#include "storage/log_frames.hpp"

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <xxhash.h>

namespace gooseberrysail::impl {

namespace {

constexpr std::uint32_t kMagic = 0x676c6773; // "sglg"
struct FrameHeader
{
  std::uint32_t magic = 0;
  std::uint32_t length = 0;
  std::uint64_t payloadHash = 0;
  /// Over the rest of the header: without it a damaged length of the last frame, which then points
  /// past the end of the file, would look like an unfinished write.
  std::uint64_t headerHash = 0;
};
static_assert(sizeof(FrameHeader) == kFrameHeaderBytes);

std::uint64_t HashOf(std::span<const std::uint8_t> bytes)
{
  return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t HeaderHash(const FrameHeader& header)
{
  return XXH3_64bits(&header, offsetof(FrameHeader, headerHash));
}

bool IsIntact(const FrameHeader& header)
{
  return header.magic == kMagic && HeaderHash(header) == header.headerHash;
}

FrameHeader ReadHeader(std::span<const std::uint8_t> bytes)
{
  FrameHeader header;
  std::memcpy(&header, bytes.data(), sizeof header);
  return header;
}

bool IsWholeFrame(std::span<const std::uint8_t> bytes)
{
  if (bytes.size() < kFrameHeaderBytes) {
    return false;
  }
  const FrameHeader header = ReadHeader(bytes);
  if (!IsIntact(header) || header.length > bytes.size() - kFrameHeaderBytes) {
    return false;
  }
  return HashOf(bytes.subspan(kFrameHeaderBytes, header.length)) == header.payloadHash;
}

bool HasWholeFrameAfter(std::span<const std::uint8_t> file, std::size_t offset)
{
  for (std::size_t at = offset + 1; at + kFrameHeaderBytes <= file.size(); ++at) {
    if (IsWholeFrame(file.subspan(at))) {
      return true;
    }
  }
  return false;
}

// A file can have grown to its new size before its sectors were written; those then read as zeros.
bool HasUnwrittenSector(std::span<const std::uint8_t> file, std::size_t offset)
{
  for (std::size_t start = offset; start < file.size();) {
    const std::size_t end = std::min(file.size(), (start / kSectorBytes + 1) * kSectorBytes);
    const auto sector = file.subspan(start, end - start);
    if (std::all_of(sector.begin(), sector.end(), [](std::uint8_t byte) { return byte == 0; })) {
      return true;
    }
    start = end;
  }
  return false;
}

// Only one frame can be unfinished, for each is synced before the next one is written: so nothing
// whole may follow it, and it is either too short or lacks whole sectors. Anything else was synced
// and was damaged later. Cutting that off would silently take back acknowledged changes.
bool LooksTorn(std::span<const std::uint8_t> file, std::size_t offset)
{
  if (HasWholeFrameAfter(file, offset)) {
    return false;
  }
  const auto rest = file.subspan(offset);
  if (rest.size() < kFrameHeaderBytes) {
    return true;
  }
  const FrameHeader header = ReadHeader(rest);
  const bool tooShort = IsIntact(header) && header.length > rest.size() - kFrameHeaderBytes;
  return tooShort || HasUnwrittenSector(file, offset);
}

} // namespace

std::vector<std::uint8_t> EncodeFrame(std::span<const std::uint8_t> payload)
{
  const auto length = static_cast<std::uint32_t>(payload.size());
  FrameHeader header{ kMagic, length, HashOf(payload), 0 };
  header.headerHash = HeaderHash(header);
  std::vector<std::uint8_t> frame(kFrameHeaderBytes + payload.size());
  std::memcpy(frame.data(), &header, sizeof header);
  std::copy(payload.begin(), payload.end(), frame.begin() + kFrameHeaderBytes);
  return frame;
}

Result<FrameScan> ScanFrames(std::span<const std::uint8_t> file,
                             const std::string& path,
                             bool mayBeTorn)
{
  FrameScan scan;
  while (scan.wholeBytes < file.size()) {
    const auto rest = file.subspan(scan.wholeBytes);
    if (IsWholeFrame(rest)) {
      const std::uint32_t length = ReadHeader(rest).length;
      scan.payloads.push_back(rest.subspan(kFrameHeaderBytes, length));
      scan.wholeBytes += kFrameHeaderBytes + length;
      continue;
    }
    if (mayBeTorn && LooksTorn(file, scan.wholeBytes)) {
      scan.torn = true;
      return scan;
    }
    return Error{ ErrorCode::kCorrupt,
                  "read data folder",
                  path + " offset " + std::to_string(scan.wholeBytes),
                  "a record that had been synced is damaged; restore this disk or let the process "
                  "join anew with an empty data folder" };
  }
  return scan;
}

} // namespace gooseberrysail::impl
