#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/http/http_server.hpp"
#include "gooseberrysail/net/peer_mesh.hpp"
#include "gooseberrysail/observe/metrics.hpp"

#include <optional>
#include <vector>

namespace gooseberrysail::impl {

/// \brief Reports the traffic between a process and its peers by message type.
class TrafficReport
{
public:
  /// \brief Returns an event with the traffic since the previous call.
  [[nodiscard]] EventOut MakeReport(TimePoint now,
                                    const PeerMeshCounters& counters,
                                    std::size_t mostQueued);

private:
  FrameCounts m_sent{};
  FrameCounts m_received{};
  TimePoint m_at{};
};

/// \brief Reports the connections and requests of callers.
class CallerReport
{
public:
  /// \brief Returns an event with the changes since the previous call; none without any.
  [[nodiscard]] std::optional<EventOut> MakeReport(TimePoint now,
                                                   const HttpServerCounters& counters,
                                                   std::size_t connections,
                                                   const LoopTimes& loop);

private:
  HttpServerCounters m_counters;
  TimePoint m_at{};
};

/// \brief Totals of all message types that were sent or received.
[[nodiscard]] std::vector<KindTraffic> TotalsByKind(const PeerMeshCounters& counters);

} // namespace gooseberrysail::impl
