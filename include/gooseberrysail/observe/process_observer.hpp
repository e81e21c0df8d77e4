#pragma once

#include "gooseberrysail/observe/metrics.hpp"
#include "gooseberrysail/observe/timeline.hpp"
#include "gooseberrysail/roles/inputs.hpp"
#include "gooseberrysail/settings/settings.hpp"

#include <functional>
#include <optional>

namespace gooseberrysail {

/// \brief External inputs of the observer, replaceable in tests.
struct ObserverHooks
{
  std::function<WallMillis()> wallMillis;
  std::function<MetricsSample()> sample; ///< Current values.
};

/// \brief Timeline and metrics of one process; the shell passes it all inputs and outputs.
/// \code
/// observer.OnEvent(event);
/// if (auto own = observer.OnFrameOut(frame)) { PassToRole(std::move(*own)); return; }
/// if (auto answer = observer.OnFrameIn(frame)) { Send(std::move(*answer)); return; }
/// if (auto page = observer.OnRequest(BootNow(), request)) { Send(std::move(*page)); return; }
/// \endcode
class ProcessObserver
{
public:
  ProcessObserver(const ProcessSettings& settings, Incarnation incarnation, ObserverHooks hooks);

  /// \brief Adds an event to the timeline and the metrics.
  void OnEvent(const EventOut& event);

  /// \brief Stamps an outgoing frame.
  /// \returns If the frame is a timeline query from the role to its own process: the answer, which
  /// the shell passes to the role instead of sending the frame.
  [[nodiscard]] std::optional<FrameIn> OnFrameOut(const FrameOut& frame);

  /// \brief Advances the clock by the stamp of a received frame.
  /// \returns If the frame is a timeline query: the answer to send. The shell does not pass such a
  /// frame to the role.
  [[nodiscard]] std::optional<FrameOut> OnFrameIn(const FrameIn& frame);

  /// \brief Records a request.
  /// \returns The answer if the request is for /metrics.
  [[nodiscard]] std::optional<HttpAnswerOut> OnRequest(TimePoint now, const HttpRequestIn& request);

  /// \brief Records a caller's request if /metrics is served at an address of its own.
  void OnCallerRequest(TimePoint now, const HttpRequestIn& request)
  {
    m_metrics.OnRequest(now, request);
  }

  void OnAnswer(TimePoint now, const HttpAnswerOut& answer) { m_metrics.OnAnswer(now, answer); }
  void OnCallerGone(const HttpCallerGone& gone) { m_metrics.OnCallerGone(gone); }
  void OnTick(Duration spent, Duration round) { m_metrics.OnTick(spent, round); }
  void OnReplication(const ReplicationStatus& status) { m_metrics.OnReplication(status); }

private:
  ProcessId m_process;
  Incarnation m_incarnation;
  ObserverHooks m_hooks;
  Timeline m_timeline;
  Metrics m_metrics;
};

} // namespace gooseberrysail
