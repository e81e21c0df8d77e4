#pragma once

#include "gooseberrysail/http/http_server.hpp"
#include "gooseberrysail/logging/logger.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"
#include "gooseberrysail/net/peer_mesh.hpp"
#include "gooseberrysail/observe/process_observer.hpp"
#include "gooseberrysail/roles/entry_role.hpp"
#include "gooseberrysail/settings/settings.hpp"
#include "gooseberrysail/shell/clock.hpp"
#include "shell/traffic_report.hpp"

#include <functional>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace gooseberrysail::impl {

/// \brief What one process does with what its sockets deliver.
struct ShellHooks
{
  std::function<void(PeerUp)> onUp;
  std::function<void(PeerDown)> onDown;
  std::function<void(FrameIn)> onFrame;
  std::function<void(HttpRequestIn)> onRequest;
  std::function<void(HttpCallerGone)> onCallerGone;
  std::function<void()> onStop; ///< The first SIGTERM or SIGINT; a second one ends the process.
  /// \brief The settings file changed and is good; may be empty.
  std::function<void(const ProcessSettings&)> onReload = {};
};

/// \brief What every role has around it: fibers, peers, an HTTP listener, events, random numbers.
class ProcessShell
{
public:
  explicit ProcessShell(const ProcessSettings& settings);

  /// \brief Opens both listeners.
  [[nodiscard]] Result<void> Start(ShellHooks hooks);

  /// \brief Takes no more connections and calls `drained` once every caller has its answer.
  /// \remarks The role's loop must go on meanwhile: it answers requests that had already arrived.
  void DrainCallers(std::function<void()> drained);

  /// \brief Lets peers take what is queued, then ends Run.
  void Finish();

  /// \brief Logs an event and keeps it for the time line.
  void Record(const EventOut& event);

  /// \brief Logs a failure that ends the process.
  void RecordFailure(const Error& error);

  void Send(const FrameOut& frame);
  void Send(HttpAnswerOut answer);

  /// \brief What waits to be sent to the peer, in bytes.
  [[nodiscard]] std::size_t QueuedBytes(const ProcessId& peer) const;

  /// \brief Runs one tick of the role and counts the time it took.
  template<class Tick>
  void RunTick(Tick&& tick)
  {
    const TimePoint before = BootNow();
    std::forward<Tick>(tick)();
    m_observer.OnTick(BootNow() - before);
  }

  /// \brief For the metrics; control only.
  void OnReplication(const ReplicationStatus& status) { m_observer.OnReplication(status); }

  [[nodiscard]] IoRuntime& Runtime() noexcept { return m_runtime; }
  [[nodiscard]] Incarnation OwnIncarnation() const noexcept { return m_incarnation; }
  [[nodiscard]] std::string PeerAddress() const { return m_mesh->ListenAddress(); }
  [[nodiscard]] RoleHooks MakeRoleHooks();
  [[nodiscard]] std::uint64_t Random() { return m_random(); }

private:
  void OnSignal(int number);
  void RunSlowWork();
  void WatchSettings();
  void ReportTraffic();
  void Reload(const char* cause);
  [[nodiscard]] Result<void> StartMetrics();
  void OnRequest(HttpRequestIn request);
  void OnMetricsRequest(const HttpRequestIn& request);
  void OnCallerGone(HttpCallerGone gone);
  void OnFrame(FrameIn frame);
  [[nodiscard]] MetricsSample SampleMetrics() const;

  const ProcessSettings& m_settings;
  std::mt19937_64 m_random;
  Incarnation m_incarnation;
  Logger m_logger;
  ProcessObserver m_observer;
  IoRuntime m_runtime;
  ShellHooks m_hooks;
  std::unique_ptr<PeerMesh> m_mesh;
  std::unique_ptr<HttpServer> m_http;
  std::unique_ptr<HttpServer> m_metricsHttp; ///< Null where metrics are served at m_http.
  bool m_stopping = false;
  bool m_finished = false;
  std::string m_settingsText; ///< As last read.
  TrafficReport m_traffic;
  TimePoint m_nextTraffic{};
};

/// \brief The control processes of the settings, as the roles take them.
[[nodiscard]] std::vector<EntrySettings::Control> ControlsOf(const ProcessSettings& settings);

/// \brief The page that tells that the process lives; 404 for any other path.
[[nodiscard]] HttpAnswerOut AnswerHealth(const HttpRequestIn& request);

/// \brief Where peers reach this process.
[[nodiscard]] std::string AnnouncedAddress(const ProcessSettings& settings);

/// \brief Calls the handler made for the alternative that `value` holds.
template<class... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};

/// C++20 deduces this for an aggregate by itself, but older Clang (seen with 14) does not, and the
/// linter is built on it: without the guide it stops at the first use.
template<class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace gooseberrysail::impl
