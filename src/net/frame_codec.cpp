#include "net/frame_codec.hpp"

#include <cstring>

namespace gooseberrysail::impl {

namespace {

constexpr std::size_t kAlignment = 8;
constexpr std::size_t kMinFreeBytes = 2 * 1024;
constexpr std::size_t kInitialBytes = 4 * 1024;
constexpr std::size_t kMaxRetainedBytes = 64 * 1024;
// With this offset, the payload of a frame at the front of the buffer is aligned.
constexpr std::size_t kFrontOffset = kAlignment - kFramePrefixBytes;

} // namespace

std::vector<std::uint8_t> EncodeFrame(const wire::EnvelopeT& envelope)
{
  const std::vector<std::uint8_t> payload = EncodeEnvelope(envelope);
  std::vector<std::uint8_t> frame;
  frame.reserve(kFramePrefixBytes + payload.size());
  for (std::size_t i = 0; i < kFramePrefixBytes; ++i) {
    frame.push_back(static_cast<std::uint8_t>(payload.size() >> (8 * i)));
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

std::size_t FrameReader::FrameLength() const noexcept
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFramePrefixBytes; ++i) {
    length |= static_cast<std::size_t>(m_buffer[m_begin + i]) << (8 * i);
  }
  return length;
}

Result<std::optional<std::span<const std::uint8_t>>> FrameReader::Next(const std::string& peer)
{
  if (Unread() == 0) {
    m_begin = kFrontOffset;
    m_end = kFrontOffset;
  }
  if (Unread() < kFramePrefixBytes) {
    return std::nullopt;
  }
  const std::size_t length = FrameLength();
  if (length == 0) {
    return Error{ ErrorCode::kCorrupt, "read frame", peer, "the frame is empty" };
  }
  if (length > m_maxFrameBytes) {
    return Error{ ErrorCode::kTooLarge,
                  "read frame",
                  peer,
                  "a frame of " + std::to_string(length) + " bytes exceeds the limit of " +
                    std::to_string(m_maxFrameBytes) };
  }
  if (Unread() < kFramePrefixBytes + length) {
    return std::nullopt;
  }
  const std::size_t found = m_begin + kFramePrefixBytes;
  m_begin = found + length;
  // FlatBuffers reads numbers in place, and reading a misaligned number is undefined behaviour. A
  // frame that follows others may be misaligned; it is moved back over bytes already consumed.
  const std::size_t aligned = found / kAlignment * kAlignment;
  if (aligned != found) {
    std::memmove(m_buffer.data() + aligned, m_buffer.data() + found, length);
  }
  return std::optional(std::span<const std::uint8_t>(m_buffer).subspan(aligned, length));
}

} // namespace gooseberrysail::impl
