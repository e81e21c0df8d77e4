#include "net/frame_codec.hpp"

#include <cstring>
#include <zstd.h>

namespace gooseberrysail::impl {

namespace {

constexpr std::size_t kAlignment = 8;
constexpr std::size_t kMinFreeBytes = 2 * 1024;
constexpr std::size_t kInitialBytes = 4 * 1024;
constexpr std::size_t kMaxRetainedBytes = 64 * 1024;
// With this offset, the payload of a frame at the front of the buffer is aligned.
constexpr std::size_t kFrontOffset = kAlignment - kFramePrefixBytes;
constexpr std::uint32_t kCompressedBit = 1U << 31U;
/// The fastest level: control compresses a document for each entry at each change.
constexpr int kCompressionLevel = 1;

/// Returns nothing where compression does not make the payload smaller. A payload that exceeds the
/// limit of frames stays as it is, so that the sender notices.
std::vector<std::uint8_t> Compress(std::span<const std::uint8_t> payload)
{
  if (payload.size() < kMinCompressedBytes || payload.size() > kMaxFrameBytes) {
    return {};
  }
  std::vector<std::uint8_t> compressed(ZSTD_compressBound(payload.size()));
  const std::size_t size = ZSTD_compress(
    compressed.data(), compressed.size(), payload.data(), payload.size(), kCompressionLevel);
  if (ZSTD_isError(size) != 0 || size >= payload.size()) {
    return {};
  }
  compressed.resize(size);
  return compressed;
}

} // namespace

std::vector<std::uint8_t> EncodeFrame(const wire::EnvelopeT& envelope)
{
  std::vector<std::uint8_t> payload = EncodeEnvelope(envelope);
  std::vector<std::uint8_t> compressed = Compress(payload);
  std::uint32_t prefix = 0;
  if (!compressed.empty()) {
    payload = std::move(compressed);
    prefix = kCompressedBit;
  }
  prefix |= static_cast<std::uint32_t>(payload.size());
  std::vector<std::uint8_t> frame;
  frame.reserve(kFramePrefixBytes + payload.size());
  for (std::size_t i = 0; i < kFramePrefixBytes; ++i) {
    frame.push_back(static_cast<std::uint8_t>(prefix >> (8 * i)));
  }
  frame.insert(frame.end(), payload.begin(), payload.end());
  return frame;
}

FrameReader::FrameReader(std::size_t maxFrameBytes)
  : m_maxFrameBytes(maxFrameBytes)
  , m_buffer(kInitialBytes)
  , m_begin(kFrontOffset)
  , m_end(kFrontOffset)
{
}

std::span<std::uint8_t> FrameReader::Prepare()
{
  if (Unread() == 0 && m_buffer.size() > kMaxRetainedBytes) {
    // Frees the memory of a large frame, which the connection would otherwise keep until it ends.
    m_buffer = std::vector<std::uint8_t>(kInitialBytes);
    m_begin = kFrontOffset;
    m_end = kFrontOffset;
  }
  if (m_buffer.size() - m_end < kMinFreeBytes) {
    MoveToFront();
  }
  if (m_buffer.size() - m_end < kMinFreeBytes) {
    // Grows with the received bytes, not to the size in the length prefix: otherwise a peer could
    // exhaust the memory by announcing large frames without sending them.
    m_buffer.resize(m_buffer.size() * 2);
  }
  return std::span(m_buffer).subspan(m_end);
}

void FrameReader::Commit(std::size_t size) noexcept
{
  m_end += size;
}

void FrameReader::MoveToFront()
{
  if (m_begin <= kFrontOffset) {
    return;
  }
  const std::size_t unread = Unread();
  std::memmove(m_buffer.data() + kFrontOffset, m_buffer.data() + m_begin, unread);
  m_begin = kFrontOffset;
  m_end = kFrontOffset + unread;
}

std::uint32_t FrameReader::Prefix() const noexcept
{
  std::uint32_t prefix = 0;
  for (std::size_t i = 0; i < kFramePrefixBytes; ++i) {
    prefix |= static_cast<std::uint32_t>(m_buffer[m_begin + i]) << (8 * i);
  }
  return prefix;
}

Result<void> FrameReader::CheckSize(std::size_t size, const std::string& peer) const
{
  if (size == 0) {
    return Error{ ErrorCode::kCorrupt, "read frame", peer, "the frame is empty" };
  }
  if (size > m_maxFrameBytes) {
    return Error{ ErrorCode::kTooLarge,
                  "read frame",
                  peer,
                  "a frame of " + std::to_string(size) + " bytes exceeds the limit of " +
                    std::to_string(m_maxFrameBytes) };
  }
  return outcome::success();
}

// The size in the compressed frame is checked before any memory is taken for it: a few bytes can
// expand to any size.
Result<std::span<const std::uint8_t>> FrameReader::Expand(std::span<const std::uint8_t> compressed,
                                                          const std::string& peer)
{
  const auto size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    return Error{ ErrorCode::kCorrupt, "read frame", peer, "not a compressed frame" };
  }
  BOOST_OUTCOME_TRY(CheckSize(size, peer));
  m_expanded.resize(size);
  const std::size_t expanded =
    ZSTD_decompress(m_expanded.data(), m_expanded.size(), compressed.data(), compressed.size());
  if (ZSTD_isError(expanded) != 0 || expanded != size) {
    return Error{ ErrorCode::kCorrupt, "read frame", peer, "a damaged compressed frame" };
  }
  return std::span<const std::uint8_t>(m_expanded);
}

Result<std::optional<std::span<const std::uint8_t>>> FrameReader::Next(const std::string& peer)
{
  m_expanded = {};
  if (Unread() == 0) {
    m_begin = kFrontOffset;
    m_end = kFrontOffset;
  }
  if (Unread() < kFramePrefixBytes) {
    return std::nullopt;
  }
  const std::uint32_t prefix = Prefix();
  const std::size_t length = prefix & ~kCompressedBit;
  const bool isCompressed = (prefix & kCompressedBit) != 0;
  BOOST_OUTCOME_TRY(CheckSize(length, peer));
  if (Unread() < kFramePrefixBytes + length) {
    return std::nullopt;
  }
  const std::size_t found = m_begin + kFramePrefixBytes;
  m_begin = found + length;
  if (isCompressed) {
    BOOST_OUTCOME_TRY(const auto expanded,
                      Expand(std::span(m_buffer).subspan(found, length), peer));
    return std::optional(expanded);
  }
  // FlatBuffers reads numbers in place, and reading a misaligned number is undefined behaviour. A
  // frame that follows others may be misaligned; it is moved back over bytes already consumed.
  const std::size_t aligned = found / kAlignment * kAlignment;
  if (aligned != found) {
    std::memmove(m_buffer.data() + aligned, m_buffer.data() + found, length);
  }
  return std::optional(std::span<const std::uint8_t>(m_buffer).subspan(aligned, length));
}

} // namespace gooseberrysail::impl
