#pragma once

#include "support/child_process.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace gooseberrysail::soak {

/// \brief Runs three control processes and some entries as separate daemons on loopback.
class Cluster
{
public:
  /// \param daemon Path of the daemon's executable.
  Cluster(std::string daemon, std::size_t entries);

  [[nodiscard]] const std::vector<std::string>& Controls() const { return m_controls; }
  [[nodiscard]] const std::vector<std::string>& Entries() const { return m_entries; }
  /// \brief The names of the processes that start with `prefix`, such as "control-1".
  [[nodiscard]] std::vector<std::string> Names(const std::string& prefix) const;

  void Signal(const std::string& name, int signal);
  /// \brief Sends SIGKILL and starts the process again.
  void KillAndRestart(const std::string& name);
  /// \brief Sends SIGTERM; RestartEnded starts the process again once it has ended.
  void BeginStop(const std::string& name);
  /// \brief Sends SIGHUP at this interval until the process is gone.
  /// \param repeatsTerm Whether each other signal is SIGTERM.
  void BeginSignalSeries(const std::string& name,
                         std::chrono::microseconds interval,
                         bool repeatsTerm);
  /// \brief Starts processes that have ended, and kills those that still run kStopGrace after
  /// SIGTERM.
  /// \returns How those ended that did not exit with status 0 after SIGTERM.
  [[nodiscard]] std::vector<std::string> RestartEnded();
  /// \brief Records the resident memory of the control processes.
  void MeasureControls();
  /// \brief The largest recorded resident memory by the names of the control processes.
  [[nodiscard]] const std::map<std::string, std::size_t>& ControlBytes() const
  {
    return m_controlBytes;
  }
  /// \brief Whether SIGTERM may reach the process before it can handle it.
  [[nodiscard]] bool HasJustStarted(const std::string& name) const;
  [[nodiscard]] bool IsStopping(const std::string& name) const { return m_stops.contains(name); }
  [[nodiscard]] bool IsAnyStopping() const { return !m_stops.empty(); }

  /// \brief Sends a configuration of this version to one control process after another, starting
  /// with `first`, until one acknowledges it or all were tried once.
  /// \returns Whether it was acknowledged.
  /// \param variant Draws the routes, keys and limits of the pool; 0 for all of them.
  [[nodiscard]] bool PutConfig(std::uint64_t version,
                               std::size_t first,
                               std::uint64_t variant = 0) const;
  /// \brief The version that a control process returns; 0 without a successful answer.
  [[nodiscard]] std::uint64_t ReadVersion(std::size_t control) const;

  [[nodiscard]] std::string Outputs() const;

private:
  void Start(const std::string& name);
  void WriteControl(std::size_t number);
  void WriteEntry(std::size_t number);
  [[nodiscard]] std::string CommonSettings(const std::string& ip) const;

  std::string m_daemon;
  test::TemporaryFolder m_folder;
  std::string m_peerPort;
  std::vector<std::string> m_controls; ///< HTTP addresses, for operators and replicas.
  std::vector<std::string> m_entries;  ///< HTTP addresses, for callers.
  std::map<std::string, std::unique_ptr<test::ChildProcess>> m_processes;
  std::map<std::string, std::chrono::steady_clock::time_point> m_startedAt;
  std::map<std::string, std::chrono::steady_clock::time_point> m_stops; ///< Times of SIGTERM.
  std::map<std::string, std::size_t> m_controlBytes;
  std::map<std::string, std::jthread> m_signalSeries; ///< By the name of the process.
};

} // namespace gooseberrysail::soak
