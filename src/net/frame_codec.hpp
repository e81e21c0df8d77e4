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

/// \brief Bytes of the little-endian length before each frame.
inline constexpr std::size_t kFramePrefixBytes = 4;

/// \brief Encodes an envelope with its length prefix.
[[nodiscard]] std::vector<std::uint8_t> EncodeFrame(const wire::EnvelopeT& envelope);

/// \brief Cuts a stream of bytes into frames.
/// \code
/// auto space = reader.Prepare();
/// reader.Commit(ReadInto(space));
/// while (auto frame = reader.Next(peer)) { ... }
/// \endcode
class FrameReader
{
public:
  explicit FrameReader(std::size_t maxFrameBytes);

  /// \brief From now on accepts frames up to this size.
  void SetLimit(std::size_t maxFrameBytes) noexcept { m_maxFrameBytes = maxFrameBytes; }

  /// \brief Room for the next bytes of the stream.
  [[nodiscard]] std::span<std::uint8_t> Prepare();

  /// \brief Takes in the first `size` bytes of the prepared room.
  void Commit(std::size_t size) noexcept;

  /// \returns The next whole frame, aligned for FlatBuffers and valid until the next call; empty
  /// when more bytes are needed; an error when the stream is not made of acceptable frames.
  [[nodiscard]] Result<std::optional<std::span<const std::uint8_t>>> Next(const std::string& peer);

private:
  [[nodiscard]] std::size_t Unread() const noexcept { return m_end - m_begin; }
  [[nodiscard]] std::size_t FrameLength() const noexcept;
  void MoveToFront();

  std::size_t m_maxFrameBytes;
  std::vector<std::uint8_t> m_buffer;
  std::size_t m_begin;
  std::size_t m_end;
};

} // namespace gooseberrysail::impl
