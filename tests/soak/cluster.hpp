#pragma once

#include "support/child_process.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrysail::soak {

/// \brief The real daemons as separate processes on loopback: three control processes, some
/// entries.
class Cluster
{
public:
  /// \param daemon Path of the daemon's program.
  Cluster(std::string daemon, std::size_t entries);

  [[nodiscard]] const std::vector<std::string>& Controls() const { return m_controls; }
  [[nodiscard]] const std::vector<std::string>& Entries() const { return m_entries; }
  /// \brief "control-1", ..., "entry-1", ...
  [[nodiscard]] std::vector<std::string> Names(const std::string& prefix) const;

  void Signal(const std::string& name, int signal);
  /// \brief SIGKILL, and up again.
  void KillAndRestart(const std::string& name);
  /// \brief SIGTERM, and up again once it ended.
  /// \returns Whether it ended by itself, with success, within the grace.
  [[nodiscard]] bool StopAndRestart(const std::string& name);

  /// \brief Sends a configuration of this version to the control processes in turn, once.
  /// \returns Whether it was acknowledged.
  [[nodiscard]] bool PutConfig(std::uint64_t version, std::size_t first) const;
  /// \brief The version that a control process answers with; 0 for no answer.
  [[nodiscard]] std::uint64_t ReadVersion(std::size_t control) const;

  [[nodiscard]] std::string Outputs() const;

private:
  void Start(const std::string& name);
  void WriteControl(std::size_t number);
  void WriteEntry(std::size_t number);
  [[nodiscard]] std::string Common(const std::string& ip) const;

  std::string m_daemon;
  test::TemporaryFolder m_folder;
  std::string m_peerPort;
  std::vector<std::string> m_controls; ///< Where operators and replicas reach them.
  std::vector<std::string> m_entries;  ///< Where callers reach them.
  std::map<std::string, std::unique_ptr<test::ChildProcess>> m_processes;
};

} // namespace gooseberrysail::soak
