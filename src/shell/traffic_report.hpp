#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/net/peer_mesh.hpp"
#include "gooseberrysail/observe/metrics.hpp"

#include <vector>

namespace gooseberrysail::impl {

/// \brief Tells what passed between a process and its peers, by kind of message.
class TrafficReport
{
public:
  /// \brief The event for what was counted since the last call.
  [[nodiscard]] EventOut Take(TimePoint now,
                              const PeerMeshCounters& counters,
                              std::size_t mostQueued);

private:
  FrameCounts m_sent{};
  FrameCounts m_received{};
  TimePoint m_at{};
};

/// \brief Totals by kind of message, of those that were sent or received.
[[nodiscard]] std::vector<KindTraffic> ListKinds(const PeerMeshCounters& counters);

} // namespace gooseberrysail::impl
