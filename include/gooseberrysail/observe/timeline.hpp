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

/// \brief The latest events of a process with their stamps, and the clock for its messages.
/// \code
/// timeline.Receive(WallNow(), *envelope);      // each frame that arrives
/// timeline.Record(WallNow(), event);           // each event
/// timeline.StampOutgoing(WallNow(), *envelope); // each frame that leaves
/// \endcode
class Timeline
{
public:
  /// \param capacity Number of events kept; when it is reached, the oldest is dropped.
  /// \param ownVm The agent's VM: a query for it matches every event of the process.
  Timeline(ProcessId process, std::size_t capacity, VmId ownVm = {});

  /// \brief Adds an event.
  void Record(WallMillis now, const EventOut& event);

  /// \brief Writes a new stamp into an outgoing message.
  void StampOutgoing(WallMillis now, wire::EnvelopeT& envelope);

  /// \brief Advances the clock by the stamp of a received message.
  void Receive(WallMillis now, const wire::EnvelopeT& envelope);

  /// \brief Events dropped since the process started.
  [[nodiscard]] std::uint64_t Dropped() const noexcept { return m_dropped; }
  [[nodiscard]] std::size_t Size() const noexcept { return m_events.size(); }

  /// \brief The latest events that match the filters of the query, oldest first.
  [[nodiscard]] wire::TimelineAnswerT Answer(const wire::TimelineQueryT& query) const;

  /// \brief Maximum number of events in one answer, so that the answer fits in a frame.
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
/// \remarks A request is compared with the field `request`, a group with the field `group`, and a
/// VM with the fields `vm` and `head` and with the names in the lists `members` and `missing`.
[[nodiscard]] bool Matches(const wire::TimelineQueryT& query, const wire::EventT& event);

} // namespace gooseberrysail
