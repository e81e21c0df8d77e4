#pragma once

#include "support/child_process.hpp"
#include "support/http_call.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrysail::test {

inline constexpr std::string_view kWorkspaceToken = "workspace-token";
inline constexpr std::string_view kOperatorToken = "operator-token";
inline constexpr std::chrono::milliseconds kReadyTimeout{ 30'000 };

/// \brief Real daemons on loopback: as many controls and entries as asked for, and targets with
/// their agents. Everything started is killed when this goes away.
/// \code
/// TestCluster cluster({ .controls = 3, .entries = 2 });
/// cluster.AddReplica("hire-assist", 4);
/// cluster.Apply(cluster.DefaultCatalogue());
/// ASSERT_TRUE(cluster.WaitServing("hire-assist"));
/// \endcode
class TestCluster
{
public:
  struct Shape
  {
    std::size_t controls = 1;
    std::size_t entries = 1;
  };

  explicit TestCluster(Shape shape);

  /// \brief Starts the engines and agents of `count` VMs named `prefix-1`, `prefix-2`, ...
  void AddEngineVms(const std::string& prefix, std::size_t count, const std::string& fabricDomain);
  /// \brief Starts one engine VM whose agent listens at `listen` and tells its peers `announce`.
  void AddForwardedEngineVm(const std::string& vm,
                            const std::string& listen,
                            const std::string& announce);
  /// \brief Starts a plain service's target and agent on the VM `vm`.
  void AddServiceVm(const std::string& vm, const std::string& service);

  /// \brief Writes catalogue entries (a JSON array of entries) through the admin API.
  /// \remarks Tries every control until one takes it. A change id of its own each time.
  [[nodiscard]] HttpReply Apply(const std::string& entriesJson);
  /// \brief A model of four VMs, a plain service with non-repeatable bookings, a workspace.
  [[nodiscard]] static std::string DefaultCatalogue(std::size_t replicas = 1);

  /// \brief A call to the admin API of the control that leads.
  [[nodiscard]] HttpReply Admin(const std::string& method,
                                const std::string& target,
                                const std::string& body = "");
  [[nodiscard]] HttpReply CallEntry(std::size_t entry,
                                    const std::string& method,
                                    const std::string& target,
                                    const std::string& body = "",
                                    Headers headers = {}) const;
  [[nodiscard]] HttpReply Chat(std::size_t entry,
                               const std::string& prompt,
                               bool stream = false) const;
  [[nodiscard]] HttpReply CallTarget(const std::string& vm,
                                     const std::string& method,
                                     const std::string& target,
                                     const std::string& body = "") const;

  /// \brief Waits until a chat completion through every entry is answered by the model.
  [[nodiscard]] bool WaitServing();
  /// \brief Waits until GET on a service's path answers 200 through every entry.
  [[nodiscard]] bool WaitService(const std::string& path);

  [[nodiscard]] ChildProcess& Process(const std::string& name);
  [[nodiscard]] std::string EntryAddress(std::size_t entry) const;
  [[nodiscard]] std::string TargetAddress(const std::string& vm) const { return m_targets.at(vm); }
  [[nodiscard]] std::string ControlAddress(std::size_t control) const;
  [[nodiscard]] std::string DataFolder(std::size_t control) const;
  /// \brief Starts a daemon again with the settings it had.
  void Restart(const std::string& name);
  /// \brief What every process printed, for a failed test.
  [[nodiscard]] std::string Outputs() const;

private:
  void StartDaemon(const std::string& name, const std::string& settings);
  void StartTarget(const std::string& vm);
  void StartAgent(const std::string& vm,
                  const std::string& extra,
                  const std::string& listen = FreeAddress());
  [[nodiscard]] std::string CommonSettings(const std::string& role,
                                           const std::string& name,
                                           const std::string& listen,
                                           const std::string& http) const;

  TemporaryFolder m_folder;
  std::vector<std::string> m_controlPeers;
  std::vector<std::string> m_controlHttp;
  std::vector<std::string> m_entryHttp;
  std::map<std::string, std::string> m_targets; ///< VM to its target's address.
  std::map<std::string, std::unique_ptr<ChildProcess>> m_processes;
  std::uint64_t m_changes = 0;
};

/// \brief The hex SHA-256 of a token, as the catalogue and the settings hold it.
[[nodiscard]] std::string HashToken(std::string_view token);

} // namespace gooseberrysail::test
