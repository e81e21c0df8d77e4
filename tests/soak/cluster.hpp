#pragma once

#include "support/child_process.hpp"

#include <map>
#include <memory>
#include <string>
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
  /// \brief Sends SIGTERM and starts the process again once it ended.
  /// \returns Whether it exited by itself, with status 0, within the timeout.
  [[nodiscard]] bool StopAndRestart(const std::string& name);

  /// \brief Sends a configuration of this version to one control process after another, starting
  /// with `first`, until one acknowledges it or all were tried once.
  /// \returns Whether it was acknowledged.
  [[nodiscard]] bool PutConfig(std::uint64_t version, std::size_t first) const;
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
};

} // namespace gooseberrysail::soak
