#pragma once

#include "gooseberrysail/observe/metrics.hpp"

namespace gooseberrysail::impl {

/// \brief Index of a metric in AllMetrics().
enum class MetricId : std::size_t
{
  kBuildInfo,
  kCpuSeconds,
  kResidentBytes,
  kEvents,
  kTickDuration,
  kLoopRound,
  kConfigVersion,
  kPeerFramesSent,
  kPeerFramesReceived,
  kPeerBytesSent,
  kPeerBytesReceived,
  kPeerKindFramesSent,
  kPeerKindBytesSent,
  kPeerKindBytesReceived,
  kPeerQueuedBytes,
  kHttpRequests,
  kHttpRejected,
  kHttpInFlight,
  kHttpConnections,
  kHttpUnreadWait,
  kCallerMemory,
  kCallerMemoryShed,
  kHttpClosed,
  kHttpCallersGone,
  kHttpCut,
  kHttpEnded,
  kTimelineDropped,
  kRequests,
  kRequestAnswers,
  kRequestAttempts,
  kRequestDuration,
  kRefusedByUrgency,
  kCallerRetries,
  kFirstEventError,
  kAnswerBound,
  kFirstByte,
  kGateOpen,
  kOutsideCallsRefused,
  kRaftLeader,
  kRaftTerm,
  kRaftCommitted,
  kRaftApplied,
};

} // namespace gooseberrysail::impl
