#include "shell/traffic_report.hpp"

#include "gooseberrysail/observe/event.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace gooseberrysail::impl {

namespace {

/// A report lists only the largest kinds; the metrics contain all.
constexpr std::size_t kMaxListedKinds = 6;

struct KindCount
{
  std::string kind;
  FrameCount count;
};

std::string KindName(std::size_t kind)
{
  return wire::EnumNameBody(static_cast<wire::Body>(kind));
}

std::string Describe(const FrameCounts& now, const FrameCounts& previous)
{
  std::vector<KindCount> kinds;
  for (std::size_t kind = 0; kind < now.size(); ++kind) {
    const FrameCount count{ now[kind].frames - previous[kind].frames,
                            now[kind].bytes - previous[kind].bytes };
    if (count.frames != 0) {
      kinds.push_back({ KindName(kind), count });
    }
  }
  std::ranges::sort(
    kinds, std::ranges::greater{}, [](const auto& kind) { return kind.count.bytes; });
  kinds.resize(std::min(kinds.size(), kMaxListedKinds));
  std::string text;
  for (const KindCount& kind : kinds) {
    text += text.empty() ? "" : ",";
    text +=
      kind.kind + ":" + std::to_string(kind.count.frames) + "/" + std::to_string(kind.count.bytes);
  }
  return text;
}

} // namespace

EventOut TrafficReport::MakeReport(TimePoint now,
                                   const PeerMeshCounters& counters,
                                   std::size_t mostQueued)
{
  const Duration since = m_at == TimePoint{} ? Duration::zero() : now - m_at;
  EventOut event =
    MakeEvent(EventNumber::kPeerTraffic,
              { { "seconds",
                  std::to_string(std::chrono::duration_cast<std::chrono::seconds>(since).count()) },
                { "sent", Describe(counters.sentByKind, m_sent) },
                { "received", Describe(counters.receivedByKind, m_received) },
                { "queuedMost", std::to_string(mostQueued) } });
  m_at = now;
  m_sent = counters.sentByKind;
  m_received = counters.receivedByKind;
  return event;
}

std::optional<EventOut> CallerReport::MakeReport(TimePoint now,
                                                 const HttpServerCounters& counters,
                                                 std::size_t connections,
                                                 const LoopTimes& loop)
{
  const HttpServerCounters before = std::exchange(m_counters, counters);
  const Duration since = m_at == TimePoint{} ? Duration::zero() : now - m_at;
  m_at = now;
  const std::uint64_t requests = counters.requests - before.requests;
  const std::uint64_t goneUnread = counters.callersGoneUnread - before.callersGoneUnread;
  const std::uint64_t closedUnread = counters.closedUnread - before.closedUnread;
  const std::uint64_t closedAtLimit = counters.closedAtLimit - before.closedAtLimit;
  if (requests + goneUnread + closedUnread + closedAtLimit == 0) {
    return std::nullopt;
  }
  return MakeEvent(
    EventNumber::kHttpTraffic,
    { { "seconds",
        std::to_string(std::chrono::duration_cast<std::chrono::seconds>(since).count()) },
      { "connections", std::to_string(connections) },
      { "accepted", std::to_string(counters.connections - before.connections) },
      { "read", std::to_string(requests) },
      { "goneUnread", std::to_string(goneUnread) },
      { "gone", std::to_string(counters.callersGone - before.callersGone) },
      { "closedUnread", std::to_string(closedUnread) },
      { "closedAtLimit", std::to_string(closedAtLimit) },
      { "longestRoundMillis", std::to_string(ToMillis(loop.longestRound)) },
      { "longestRoundCpuMillis", std::to_string(ToMillis(loop.longestRoundCpu)) } });
}

std::vector<KindTraffic> TotalsByKind(const PeerMeshCounters& counters)
{
  std::vector<KindTraffic> kinds;
  for (std::size_t kind = 0; kind < counters.sentByKind.size(); ++kind) {
    const FrameCount& sent = counters.sentByKind[kind];
    const FrameCount& received = counters.receivedByKind[kind];
    if (sent.frames + received.frames != 0) {
      kinds.push_back({ KindName(kind), sent.frames, sent.bytes, received.bytes });
    }
  }
  return kinds;
}

} // namespace gooseberrysail::impl
