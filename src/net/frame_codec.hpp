#pragma once

#include "gooseberrysail/core/result.hpp"
#include "gooseberrysail/wire/envelope.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace gooseberrysail::impl {

/// \brief Size of the little-endian length prefix of each frame.
inline constexpr std::size_t kFramePrefixBytes = 4;

/// \brief Frames from this size on are compressed where that makes them smaller. A compressed one
/// has the top bit of its length prefix set.
inline constexpr std::size_t kMinCompressedBytes = 4 * 1024;

/// \brief Encodes an envelope with its length prefix.
[[nodiscard]] std::vector<std::uint8_t> EncodeFrame(const wire::EnvelopeT& envelope);

/// \brief Splits a byte stream into frames.
/// \code
/// auto space = reader.Prepare();
/// reader.Commit(ReadInto(space));
/// while (auto frame = reader.Next(peer)) { ... }
/// \endcode
class FrameReader
{
public:
  explicit FrameReader(std::size_t maxFrameBytes);

  /// \brief Sets the maximum size of the following frames.
  void SetLimit(std::size_t maxFrameBytes) noexcept { m_maxFrameBytes = maxFrameBytes; }

  /// \brief Returns free buffer space for the next bytes of the stream.
  [[nodiscard]] std::span<std::uint8_t> Prepare();

  /// \brief Appends the first `size` bytes of the prepared space to the stream.
  void Commit(std::size_t size) noexcept;

  /// \returns The next complete frame, expanded if it was compressed, aligned for FlatBuffers and
  /// valid until the next call; empty if more bytes are needed; an error if the frame is empty or
  /// damaged, or if its expanded size exceeds the limit.
  [[nodiscard]] Result<std::optional<std::span<const std::uint8_t>>> Next(const std::string& peer);

private:
  [[nodiscard]] std::size_t Unread() const noexcept { return m_end - m_begin; }
  [[nodiscard]] std::uint32_t Prefix() const noexcept;
  void MoveToFront();
  /// \brief Whether a frame may have this size, as received or expanded.
  [[nodiscard]] Result<void> CheckSize(std::size_t size, const std::string& peer) const;
  [[nodiscard]] Result<std::span<const std::uint8_t>> Expand(
    std::span<const std::uint8_t> compressed,
    const std::string& peer);

  std::size_t m_maxFrameBytes;
  std::vector<std::uint8_t> m_buffer;
  std::size_t m_begin;
  std::size_t m_end;
  std::vector<std::uint8_t> m_expanded; ///< The latest frame that was compressed.
};

} // namespace gooseberrysail::impl
