#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace gooseberrysail::impl {

/// \brief Writes lines to a descriptor without ever waiting for whoever reads them.
/// \remarks Lines that can't be written yet are kept up to a limit; beyond it whole lines are
/// dropped. The descriptor may be shared with other processes, so that it stays a blocking one; a
/// write waits only if another writer takes the room between. SIGPIPE must be ignored.
class LineOutput
{
public:
  explicit LineOutput(int descriptor, std::size_t maxPendingBytes = kMaxPendingBytes);
  LineOutput(const LineOutput&) = delete;
  LineOutput& operator=(const LineOutput&) = delete;
  /// \brief Writes what is pending as far as there is room.
  ~LineOutput();

  /// \param line With its line end.
  void Write(std::string_view line);

  /// \brief Writes what is pending as far as there is room.
  void Flush();

  /// \returns The number of lines dropped since the last call; 0 while there is little room for
  /// more.
  [[nodiscard]] std::uint64_t TakeDropped();

private:
  static constexpr std::size_t kMaxPendingBytes = 64UL * 1024;

  [[nodiscard]] bool HasRoom() const;

  int m_descriptor;
  bool m_mayBlock;
  std::size_t m_maxPendingBytes;
  std::string m_pending;
  std::uint64_t m_dropped = 0;
};

} // namespace gooseberrysail::impl
