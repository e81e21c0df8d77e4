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
  /// Hash of the other header fields. Without it a corrupted length that points past the end of the
  /// file would look like an incomplete write.
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

bool IsValidHeader(const FrameHeader& header)
{
  return header.magic == kMagic && HeaderHash(header) == header.headerHash;
}

FrameHeader ReadHeader(std::span<const std::uint8_t> bytes)
{
  FrameHeader header;
  std::memcpy(&header, bytes.data(), sizeof header);
  return header;
}

bool IsValidFrame(std::span<const std::uint8_t> bytes)
{
  if (bytes.size() < kFrameHeaderBytes) {
    return false;
  }
  const FrameHeader header = ReadHeader(bytes);
  if (!IsValidHeader(header) || header.length > bytes.size() - kFrameHeaderBytes) {
    return false;
  }
  return HashOf(bytes.subspan(kFrameHeaderBytes, header.length)) == header.payloadHash;
}

bool HasValidFrameAfter(std::span<const std::uint8_t> file, std::size_t offset)
{
  for (std::size_t at = offset + 1; at + kFrameHeaderBytes <= file.size(); ++at) {
    if (IsValidFrame(file.subspan(at))) {
      return true;
    }
  }
  return false;
}

// After a crash a file can have its new size while some sectors were not written and read as zeros.
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

// Each frame is synced before the next one is written, so only the last one can be incomplete: no
// valid frame follows it, and it is either too short or has unwritten sectors. Any other invalid
// frame was synced and damaged later; truncating it would silently lose acknowledged changes.
bool IsTornTail(std::span<const std::uint8_t> file, std::size_t offset)
{
  if (HasValidFrameAfter(file, offset)) {
    return false;
  }
  const auto rest = file.subspan(offset);
  if (rest.size() < kFrameHeaderBytes) {
    return true;
  }
  const FrameHeader header = ReadHeader(rest);
  const bool tooShort = IsValidHeader(header) && header.length > rest.size() - kFrameHeaderBytes;
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
  while (scan.validBytes < file.size()) {
    const auto rest = file.subspan(scan.validBytes);
    if (IsValidFrame(rest)) {
      const std::uint32_t length = ReadHeader(rest).length;
      scan.payloads.push_back(rest.subspan(kFrameHeaderBytes, length));
      scan.validBytes += kFrameHeaderBytes + length;
      continue;
    }
    if (mayBeTorn && IsTornTail(file, scan.validBytes)) {
      scan.torn = true;
      return scan;
    }
    return Error{ ErrorCode::kCorrupt,
                  "read data folder",
                  path + " offset " + std::to_string(scan.validBytes),
                  "a synced record is damaged; restore this disk or let the process join again "
                  "with an empty data folder" };
  }
  return scan;
}

} // namespace gooseberrysail::impl
