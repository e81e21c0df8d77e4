#pragma once

#include "gooseberrysail/roles/inputs.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrysail {

/// \brief The part of one answer that its entry has not acknowledged yet.
class HeldOutput
{
public:
  void Begin(unsigned status, std::vector<HttpHeader> headers);
  void Append(std::string_view bytes);
  /// \param cutReason "" when the answer is whole.
  void End(std::string cutReason);
  /// \brief Drops everything from `offset` on, before a cut.
  void TruncateTo(std::uint64_t offset);
  /// \brief Frees what lies before `offset`.
  /// \returns How many bytes became free.
  std::size_t Acknowledge(std::uint64_t offset);

  [[nodiscard]] bool Begun() const noexcept { return m_status.has_value(); }
  [[nodiscard]] bool Ended() const noexcept { return m_ended; }
  [[nodiscard]] unsigned Status() const noexcept { return m_status.value_or(0); }
  [[nodiscard]] const std::vector<HttpHeader>& Headers() const noexcept { return m_headers; }
  [[nodiscard]] const std::string& CutReason() const noexcept { return m_cutReason; }
  [[nodiscard]] std::uint64_t FirstOffset() const noexcept { return m_first; }
  [[nodiscard]] std::uint64_t EndOffset() const noexcept { return m_first + HeldBytes(); }
  [[nodiscard]] std::size_t HeldBytes() const noexcept { return m_bytes.size() - m_freed; }
  /// \param offset Between FirstOffset and EndOffset.
  [[nodiscard]] std::string_view Read(std::uint64_t offset, std::size_t most) const;

private:
  std::optional<unsigned> m_status;
  std::vector<HttpHeader> m_headers;
  std::string m_bytes;
  std::size_t m_freed = 0; ///< Acknowledged bytes at the front of m_bytes, not moved out yet.
  std::uint64_t m_first = 0;
  bool m_ended = false;
  std::string m_cutReason;
};

} // namespace gooseberrysail
