#include "storage/log_frames.hpp"

#include <algorithm>
#include <cstring>
#include <xxhash.h>

namespace gooseberrysail::impl {

namespace {

constexpr std::uint32_t kMagic = 0x676c6773; // "sglg"
constexpr std::size_t kHashOffset = 8;

struct FrameHeader
{
  std::uint32_t magic = 0;
  std::uint32_t length = 0;
  std::uint64_t hash = 0;
};
static_assert(sizeof(FrameHeader) == kFrameHeaderBytes);

// The hash covers the length too, so that a damaged length shows.
std::uint64_t HashOf(std::uint32_t length, std::span<const std::uint8_t> payload)
{
  return XXH3_64bits_withSeed(payload.data(), payload.size(), length);
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
  if (header.magic != kMagic || header.length > bytes.size() - kFrameHeaderBytes) {
    return false;
  }
  return HashOf(header.length, bytes.subspan(kFrameHeaderBytes, header.length)) == header.hash;
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
  const bool tooShort = header.magic == kMagic && header.length > rest.size() - kFrameHeaderBytes;
  return tooShort || HasUnwrittenSector(file, offset);
}

} // namespace

std::vector<std::uint8_t> EncodeFrame(std::span<const std::uint8_t> payload)
{
  const auto length = static_cast<std::uint32_t>(payload.size());
  const FrameHeader header{ kMagic, length, HashOf(length, payload) };
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
