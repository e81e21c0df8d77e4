#pragma once

#include "gooseberrysail/observe/metrics.hpp"
#include "gooseberrysail/observe/timeline.hpp"
#include "gooseberrysail/roles/inputs.hpp"
#include "gooseberrysail/settings/settings.hpp"

#include <functional>
#include <optional>

namespace gooseberrysail {

/// \brief What the observer may not reach for by itself.
struct ObserverHooks
{
  std::function<WallMillis()> wallMillis;
  std::function<MetricsSample()> sample; ///< Totals at the moment of asking.
};

/// \brief Time line and metrics of one process, kept by its shell from what passes through.
/// \code
/// observer.OnEvent(event);
/// if (auto looped = observer.OnFrameOut(frame)) { Post(std::move(*looped)); return; }
/// if (auto answer = observer.OnFrameIn(frame)) { Send(std::move(*answer)); return; }
/// if (auto page = observer.OnRequest(BootNow(), request)) { Send(std::move(*page)); return; }
/// \endcode
class ProcessObserver
{
public:
  ProcessObserver(const ProcessSettings& settings, Incarnation incarnation, ObserverHooks hooks);

  /// \brief Keeps and counts an event.
  void OnEvent(const EventOut& event);

  /// \brief Stamps a frame about to leave.
  /// \returns For a question about the process's own time line, asked by its own role: the answer,
  /// to be handed to the role in place of sending the frame.
  [[nodiscard]] std::optional<FrameIn> OnFrameOut(const FrameOut& frame);

  /// \brief Moves the clock on.
  /// \returns For a question about the time line: the answer to send; the role need not see it.
  [[nodiscard]] std::optional<FrameOut> OnFrameIn(const FrameIn& frame);

  /// \brief Notes a request.
  /// \returns The page, for a request of /metrics.
  [[nodiscard]] std::optional<HttpAnswerOut> OnRequest(TimePoint now, const HttpRequestIn& request);

  /// \brief Notes a request where /metrics is served apart.
  void OnCallerRequest(TimePoint now, const HttpRequestIn& request)
  {
    m_metrics.OnRequest(now, request);
  }

  void OnAnswer(TimePoint now, const HttpAnswerOut& answer) { m_metrics.OnAnswer(now, answer); }
  void OnCallerGone(const HttpCallerGone& gone) { m_metrics.OnCallerGone(gone); }
  void OnTick(Duration spent) { m_metrics.OnTick(spent); }
  void OnReplication(const ReplicationStatus& status) { m_metrics.OnReplication(status); }

private:
  ProcessId m_process;
  Incarnation m_incarnation;
  ObserverHooks m_hooks;
  Timeline m_timeline;
  Metrics m_metrics;
};

} // namespace gooseberrysail
