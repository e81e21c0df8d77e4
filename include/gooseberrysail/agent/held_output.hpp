#pragma once

#include "gooseberrysail/roles/inputs.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrysail {

/// \brief Buffers the part of an answer that the entry has not acknowledged yet.
class HeldOutput
{
public:
  void Begin(unsigned status, std::vector<HttpHeader> headers);
  void Append(std::string_view bytes);
  /// \param cutReason "" when the answer is complete.
  void End(std::string cutReason);
  /// \brief Discards all bytes from `offset` on.
  void TruncateTo(std::uint64_t offset);
  /// \brief Frees the bytes before `offset`.
  /// \returns The number of bytes freed.
  std::size_t Acknowledge(std::uint64_t offset);

  [[nodiscard]] bool Begun() const noexcept { return m_status.has_value(); }
  [[nodiscard]] bool Ended() const noexcept { return m_ended; }
  [[nodiscard]] unsigned Status() const noexcept { return m_status.value_or(0); }
  [[nodiscard]] const std::vector<HttpHeader>& Headers() const noexcept { return m_headers; }
  [[nodiscard]] const std::string& CutReason() const noexcept { return m_cutReason; }
  [[nodiscard]] std::uint64_t FirstOffset() const noexcept { return m_firstOffset; }
  [[nodiscard]] std::uint64_t EndOffset() const noexcept { return m_firstOffset + HeldBytes(); }
  [[nodiscard]] std::size_t HeldBytes() const noexcept
  {
    return m_bytes.size() - m_acknowledgedBytes;
  }
  /// \param offset Between FirstOffset and EndOffset.
  [[nodiscard]] std::string_view Read(std::uint64_t offset, std::size_t maxBytes) const;

private:
  std::optional<unsigned> m_status;
  std::vector<HttpHeader> m_headers;
  std::string m_bytes;
  std::size_t m_acknowledgedBytes =
    0; ///< Acknowledged bytes at the front of m_bytes, not erased yet.
  std::uint64_t m_firstOffset = 0;
  bool m_ended = false;
  std::string m_cutReason;
};

} // namespace gooseberrysail
