#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/observe/hybrid_clock.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief A process's newest events with their stamps, and the clock that stamps its messages.
/// \code
/// timeline.Receive(WallNow(), *envelope);      // each frame that arrives
/// timeline.Record(WallNow(), event);           // each event
/// timeline.StampOutgoing(WallNow(), *envelope); // each frame that leaves
/// \endcode
class Timeline
{
public:
  /// \param capacity Events kept; the oldest is dropped for a new one.
  /// \param ownVm Agents: a query for this VM matches every event of the process.
  Timeline(ProcessId process, std::size_t capacity, VmId ownVm = {});

  /// \brief Keeps an event.
  void Record(WallMillis now, const EventOut& event);

  /// \brief Writes the stamp into a message about to leave.
  void StampOutgoing(WallMillis now, wire::EnvelopeT& envelope);

  /// \brief Moves the clock on by the stamp of a message that arrived.
  void Receive(WallMillis now, const wire::EnvelopeT& envelope);

  /// \brief Events dropped since the process started.
  [[nodiscard]] std::uint64_t Dropped() const noexcept { return m_dropped; }
  [[nodiscard]] std::size_t Size() const noexcept { return m_events.size(); }

  /// \brief The newest events that match the query's filters, oldest first.
  [[nodiscard]] wire::TimelineAnswerT Answer(const wire::TimelineQueryT& query) const;

  /// \brief Most events in one answer, so that it fits a frame.
  static constexpr std::size_t kMaxAnswerEvents = 10'000;

private:
  ProcessId m_process;
  VmId m_ownVm;
  std::size_t m_capacity;
  HybridClock m_clock;
  std::deque<wire::EventT> m_events;
  std::uint64_t m_dropped = 0;
};

/// \brief Whether an event passes the filters of a query.
/// \remarks A request matches the field `request`; a group the field `group`; a VM the fields `vm`
/// and `head`, or a name in the list `members` or `missing`.
[[nodiscard]] bool Matches(const wire::TimelineQueryT& query, const wire::EventT& event);

} // namespace gooseberrysail
