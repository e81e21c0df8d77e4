#pragma once

#include "adversary/conducts.hpp"

#include <cstdint>
#include <random>
#include <set>
#include <vector>

namespace gooseberrysail::adversary {

/// \brief The numbers by which a schedule is decided: drawn by a seed, or given, to play a recorded
/// or a shortened schedule again.
class Choices
{
public:
  explicit Choices(std::uint64_t seed)
    : m_random(seed)
    , m_isRecording(true)
  {
  }
  explicit Choices(std::vector<std::uint32_t> given)
    : m_recorded(std::move(given))
  {
  }

  /// \returns A number below `count`. Given choices that are used up count as 0, the plainest one.
  std::uint32_t Below(std::uint32_t count);

  /// \brief Draws one of an element's rows by their weights; its first row is the plainest.
  int Draw(Element element);

  [[nodiscard]] const std::vector<std::uint32_t>& Recorded() const noexcept { return m_recorded; }
  [[nodiscard]] const std::set<const Row*>& DrawnRows() const noexcept { return m_drawn; }

private:
  std::mt19937_64 m_random;
  bool m_isRecording = false;
  std::vector<std::uint32_t> m_recorded;
  std::size_t m_next = 0;
  std::set<const Row*> m_drawn;
};

} // namespace gooseberrysail::adversary
