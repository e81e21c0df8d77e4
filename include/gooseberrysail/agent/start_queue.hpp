#pragma once

#include "gooseberrysail/agent/ledger.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace gooseberrysail {

/// \brief Requests that wait for a slot, ordered by priority class and arrival.
class StartQueue
{
public:
  void Push(std::uint8_t priority, const AttemptKey& key);
  bool Remove(const AttemptKey& key);
  [[nodiscard]] std::optional<AttemptKey> Front() const;
  /// \brief The latest request of the least urgent class, if that is less urgent than `priority`.
  [[nodiscard]] std::optional<AttemptKey> Displaceable(std::uint8_t priority) const;
  [[nodiscard]] std::size_t Size() const noexcept { return m_waiting.size(); }

private:
  using Position = std::pair<std::uint8_t, std::uint64_t>;
  std::map<Position, AttemptKey> m_waiting;
  std::map<AttemptKey, Position> m_positions;
  std::uint64_t m_arrivals = 0;
};

} // namespace gooseberrysail
