#pragma once

#include "gooseberrysail/admission/caller_memory.hpp"
#include "gooseberrysail/http/http_server.hpp"
#include "gooseberrysail/logging/logger.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"
#include "gooseberrysail/net/peer_mesh.hpp"
#include "gooseberrysail/observe/process_observer.hpp"
#include "gooseberrysail/roles/entry_role.hpp"
#include "gooseberrysail/serving/document.hpp"
#include "gooseberrysail/settings/settings.hpp"
#include "gooseberrysail/shell/clock.hpp"
#include "shell/traffic_report.hpp"

#include <functional>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace gooseberrysail::impl {

/// \brief Callbacks for network input, signals and settings changes of one process.
struct ShellHooks
{
  std::function<void(PeerUp)> onUp;
  std::function<void(PeerDown)> onDown;
  std::function<void(FrameIn)> onFrame;
  std::function<void(HttpRequestIn)> onRequest;
  std::function<void(HttpCallerGone)> onCallerGone;
  std::function<void()> onStop; ///< First SIGTERM or SIGINT.
  /// \brief Called with the new settings after a valid reload; may be empty.
  std::function<void(const ProcessSettings&)> onReload = {};
};

/// \brief The environment of a role: fibers, peers, HTTP listener, events and random numbers.
class ProcessShell
{
public:
  explicit ProcessShell(const ProcessSettings& settings);

  /// \brief Opens the listeners and starts the signal handling and periodic tasks.
  [[nodiscard]] Result<void> Start(ShellHooks hooks);

  /// \brief Stops accepting and calls `drained` after the last response or a timeout.
  /// \param closeAfter The end of the timeout, after the signal to stop; zero for a fixed timeout.
  /// \remarks The role's loop must keep running to answer requests that have already arrived.
  void DrainCallers(std::function<void()> drained, Duration closeAfter = Duration::zero());

  /// \brief Runs the fibers until Finish was called and all of them have ended, so that none of the
  /// hooks is called afterwards.
  void Run();

  /// \brief Flushes the queues of peers, closes all connections and ends Run.
  void Finish();

  /// \brief Logs why the process can't start, and closes what has been started. No hook is called
  /// afterwards.
  void Abandon(const Error& error);

  /// \brief Logs an event and passes it to the observer.
  void Record(const EventOut& event);

  /// \brief Logs a failure that ends the process or this run of its role.
  void RecordFailure(const Error& error);

  void Send(const FrameOut& frame);
  void Send(HttpAnswerOut answer);

  /// \brief Whether the caller of an exchange is connected; if not, onCallerGone is called.
  [[nodiscard]] bool IsCallerConnected(ExchangeId exchange);
  /// \brief Settings of a server for probes and scrapes, which shares the memory for callers and is
  /// served while descriptors are short.
  [[nodiscard]] HttpServerSettings ProbeSettings(std::string address) const;
  void SetLimits(const CallerLimits& limits);
  /// \brief See HttpServer::SetHeldBytes.
  void SetHeldBytes(ExchangeId exchange, std::size_t bytes);

  /// \brief Number of unsent bytes queued for the peer.
  [[nodiscard]] std::size_t QueuedBytes(const ProcessId& peer) const;

  /// \brief Runs one tick of the role and records its duration.
  template<class Tick>
  void RunTick(Tick&& tick)
  {
    const TimePoint before = BootNow();
    std::forward<Tick>(tick)();
    m_observer.OnTick(BootNow() - before, m_runtime.Times().latestRound);
  }

  /// \brief Updates the replication metrics; control processes only.
  void OnReplication(const ReplicationStatus& status) { m_observer.OnReplication(status); }

  /// \brief Whether a signal to stop was received.
  [[nodiscard]] bool IsStopping() const noexcept { return m_stopping; }
  [[nodiscard]] IoRuntime& Runtime() noexcept { return m_runtime; }
  [[nodiscard]] Incarnation OwnIncarnation() const noexcept { return m_incarnation; }
  [[nodiscard]] std::string PeerAddress() const { return m_mesh->ListenAddress(); }
  [[nodiscard]] RoleHooks MakeRoleHooks();
  [[nodiscard]] std::uint64_t Random() { return m_random(); }

private:
  void CloseServers();
  void OnSignal(int number);
  void RunPeriodicTasks();
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
  std::shared_ptr<CallerMemory> m_memory;
  CallerLimits m_callerLimits; ///< In force.
  ProcessObserver m_observer;
  IoRuntime m_runtime;
  ShellHooks m_hooks;
  std::unique_ptr<PeerMesh> m_mesh;
  std::unique_ptr<HttpServer> m_http;
  std::unique_ptr<HttpServer> m_metricsHttp; ///< Null if m_http serves the metrics.
  bool m_stopping = false;
  TimePoint m_stoppingSince{};
  bool m_finished = false;
  Signal m_finishing;         ///< Wakes the periodic tasks.
  std::string m_settingsText; ///< As last read.
  TrafficReport m_traffic;
  CallerReport m_callers;
  TimePoint m_nextTraffic{};
};

/// \brief Converts the control processes of the settings for the roles.
[[nodiscard]] std::vector<EntrySettings::Control> ControlsOf(const ProcessSettings& settings);

/// \brief Answers the health check; 404 for any other path.
[[nodiscard]] HttpAnswerOut AnswerHealth(const HttpRequestIn& request);

/// \brief The address at which peers reach this process.
[[nodiscard]] std::string AnnouncedAddress(const ProcessSettings& settings);

/// \brief Combines handlers into one visitor for std::visit.
template<class... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};

/// C++20 deduces this implicitly, but Clang 14 does not, and a linter built on it fails without the
/// guide.
template<class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace gooseberrysail::impl
