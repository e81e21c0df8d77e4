#pragma once

#include "gooseberrysail/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace gooseberrysail {

/// \brief Connections whose requests have arrived and wait to be read.
/// \remarks The newest is read first: when more arrive than can be served, the callers that have
/// waited longest are the first to leave (adaptive LIFO). One that waits for too long is closed
/// unread, so that its caller can try another entry while there is time.
class UnreadQueue
{
public:
  using Id = std::uint64_t; ///< Rises with each connection.

  void Add(Id id, TimePoint since);

  /// \brief Removes and returns the newest; none if nothing waits.
  [[nodiscard]] std::optional<Id> TakeNewest();

  /// \brief Removes and returns the oldest; none if nothing waits.
  [[nodiscard]] std::optional<Id> TakeOldest();

  /// \brief Removes and returns all that have waited since before `since`.
  [[nodiscard]] std::vector<Id> TakeOlderThan(TimePoint since);

  [[nodiscard]] bool IsEmpty() const noexcept { return m_waiting.empty(); }
  [[nodiscard]] std::size_t Size() const noexcept { return m_waiting.size(); }
  /// \brief How long the oldest has waited; zero if nothing waits.
  [[nodiscard]] Duration LongestWait(TimePoint now) const;

private:
  std::set<std::pair<TimePoint, Id>> m_waiting;
};

} // namespace gooseberrysail
