#pragma once

#include "gooseberrysail/control/context.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrysail::tests {

/// \brief Fixture with a ControlContext of one tick: an empty state, a log that accepts every
/// command, and no peers except those that a test adds.
class ControlWorld
{
public:
  ControlContext Context()
  {
    return { now,   0,          settings, controls, replication, m_state,     m_catalogue,
             peers, m_proposer, {},       ready,    outbox,      &queuedBytes };
  }

  /// \brief Empties the outbox and returns its frames.
  std::vector<FrameOut> TakeFrames()
  {
    std::vector<FrameOut> frames;
    for (ControlOutput& output : std::exchange(outbox, {})) {
      if (FrameOut* frame = std::get_if<FrameOut>(&output)) {
        frames.push_back(std::move(*frame));
      }
    }
    return frames;
  }

  TimePoint now{ std::chrono::hours(1) };
  std::vector<ControlOutput> outbox;
  ReplicationStatus replication;
  ControlSettings settings;
  std::vector<EntrySettings::Control> controls;
  PeerTable peers;
  bool ready = true;
  std::function<std::size_t(const ProcessId&)> queuedBytes; ///< Unset when nothing is ever queued.

private:
  ControlState m_state;
  Catalogue m_catalogue;
  Proposer m_proposer{ [](std::vector<std::uint8_t>) { return true; } };
};

} // namespace gooseberrysail::tests
