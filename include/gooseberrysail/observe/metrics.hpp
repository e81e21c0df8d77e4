#pragma once

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

/// \brief One metric; docs/METRICS.md is written from these.
struct MetricInfo
{
  std::string_view name;
  MetricType type;
  std::string_view label; ///< The name of its one label; "": none.
  std::string_view roles; ///< `every role`, or the one role that has it.
  std::string_view help;
};

/// \brief Every metric, in the order of the docs.
[[nodiscard]] std::span<const MetricInfo> AllMetrics() noexcept;

/// \brief Whether a process of this role has the metric.
[[nodiscard]] bool HasMetric(ProcessRole role, const MetricInfo& metric) noexcept;

/// \brief Frames of one kind of message between processes.
struct KindTraffic
{
  std::string kind;
  std::uint64_t framesSent = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
};

/// \brief Totals that others count, read when the metrics are asked for.
struct MetricsSample
{
  double cpuSeconds = 0;
  std::uint64_t residentBytes = 0;
  std::uint64_t peerFramesSent = 0;
  std::uint64_t peerFramesReceived = 0;
  std::uint64_t peerBytesSent = 0;
  std::uint64_t peerBytesReceived = 0;
  std::uint64_t peerQueuedBytes = 0; ///< Of the peer for which most waits.
  std::vector<KindTraffic> peerKinds;
  std::uint64_t httpRequests = 0;
  std::uint64_t httpRejected = 0;
  std::uint64_t httpInFlight = 0;
  std::uint64_t timelineDropped = 0;
};

/// \brief A process's metrics. Watches what passes between shell and role; the role knows nothing
/// of it.
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

  /// \brief Counts the event, and what it tells of requests, gate and configuration.
  void OnEvent(const EventOut& event);

  /// \brief The time one tick of the role took.
  void OnTick(Duration spent);

  /// \brief A caller's request arrived; entries only.
  void OnRequest(TimePoint now, const HttpRequestIn& request);
  /// \brief Part of an answer left; the first one ends the wait for the first byte.
  void OnAnswer(TimePoint now, const HttpAnswerOut& answer);
  void OnCallerGone(const HttpCallerGone& gone);

  /// \brief The state of the replicated log; control only.
  void OnReplication(const ReplicationStatus& status);

  /// \brief The catalogue version that this process works by.
  void OnConfigVersion(LogIndex version);

  void Sample(const MetricsSample& sample);

  /// \brief The text format of Prometheus, content type kContentType.
  [[nodiscard]] std::string Text() const;

  static constexpr std::string_view kContentType = "text/plain; version=0.0.4; charset=utf-8";

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// \brief docs/METRICS.md.
[[nodiscard]] std::string MetricsReference();

} // namespace gooseberrysail
