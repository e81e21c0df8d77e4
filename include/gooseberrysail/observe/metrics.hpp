#pragma once

#include "gooseberrysail/admission/caller_memory.hpp"
#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/control_role.hpp"
#include "gooseberrysail/roles/inputs.hpp"
#include "gooseberrysail/settings/settings.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrysail {

enum class MetricType
{
  kCounter,
  kGauge,
  kHistogram,
};

/// \brief One metric; docs/METRICS.md is generated from these entries.
struct MetricInfo
{
  std::string_view name;
  MetricType type;
  std::string_view label; ///< Name of the only label; "" if there is none.
  std::string_view roles; ///< `every role`, or the only role that has the metric.
  std::string_view help;
};

/// \brief All metrics, in the order of docs/METRICS.md.
[[nodiscard]] std::span<const MetricInfo> AllMetrics() noexcept;

/// \brief Whether processes of this role have the metric.
[[nodiscard]] bool HasMetric(ProcessRole role, const MetricInfo& metric) noexcept;

/// \brief Traffic counters for one kind of message between processes.
struct KindTraffic
{
  std::string kind;
  std::uint64_t framesSent = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
};

/// \brief Responses that were cut, or connections that ended, for one cause.
struct CauseCount
{
  std::string_view cause;
  std::uint64_t count = 0;
};

/// \brief Values that are counted outside Metrics and read on each scrape.
struct MetricsSample
{
  double cpuSeconds = 0;
  std::uint64_t residentBytes = 0;
  std::uint64_t peerFramesSent = 0;
  std::uint64_t peerFramesReceived = 0;
  std::uint64_t peerBytesSent = 0;
  std::uint64_t peerBytesReceived = 0;
  std::uint64_t peerQueuedBytes = 0; ///< Of the peer with the longest send queue.
  std::vector<KindTraffic> peerKinds;
  std::uint64_t httpRequests = 0;
  std::uint64_t httpRejected = 0;
  std::uint64_t httpInFlight = 0;
  std::uint64_t httpConnections = 0;
  std::uint64_t callerMemoryBytes = 0;
  CallerMemoryCounters callerMemory;
  std::uint64_t httpClosedUnread = 0;
  std::uint64_t httpClosedAtLimit = 0;
  std::uint64_t httpCallersGone = 0; ///< While their requests were served.
  std::uint64_t httpCallersGoneUnread = 0;
  std::vector<CauseCount> httpCuts;
  std::vector<CauseCount> httpEnded;
  std::uint64_t timelineDropped = 0;
};

/// \brief The metrics of a process, derived from the inputs and outputs of its role.
/// \remarks The role itself has no metrics code.
/// \code
/// Metrics metrics(ProcessRole::kEntry);
/// metrics.OnEvent(event);
/// metrics.Sample({ .cpuSeconds = usage.cpuSeconds });
/// answer.bytes = metrics.Text();
/// \endcode
class Metrics
{
public:
  explicit Metrics(ProcessRole role);
  ~Metrics();
  Metrics(Metrics&&) noexcept;

  /// \brief Counts the event and updates the metrics derived from it: requests, gate, calls.
  void OnEvent(const EventOut& event);

  /// \brief Records the duration of one tick of the role, and of the latest round of its loop.
  void OnTick(Duration spent, Duration round);

  /// \brief Records how long a request waited to be read, and starts the wait for the first byte
  /// of its answer; the latter for entries only.
  void OnRequest(TimePoint now, const HttpRequestIn& request);
  /// \brief Handles a part of an answer; the first part ends the wait for the first byte.
  void OnAnswer(TimePoint now, const HttpAnswerOut& answer);
  void OnCallerGone(const HttpCallerGone& gone);

  /// \brief Records the state of the replicated log; control only.
  void OnReplication(const ReplicationStatus& status);

  /// \brief Records the catalogue version in use.
  void OnConfigVersion(LogIndex version);

  void Sample(const MetricsSample& sample);

  /// \brief All metrics in the Prometheus text format, content type kContentType.
  [[nodiscard]] std::string Text() const;

  static constexpr std::string_view kContentType = "text/plain; version=0.0.4; charset=utf-8";

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// \brief The text of docs/METRICS.md, generated from AllMetrics().
[[nodiscard]] std::string MetricsReference();

} // namespace gooseberrysail
