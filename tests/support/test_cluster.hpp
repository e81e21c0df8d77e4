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

/// \brief Runs real daemons on loopback: control processes, entries, and targets with their agents.
/// \remarks The destructor kills all of them.
/// \code
/// TestCluster cluster({ .controls = 3, .entries = 2 });
/// cluster.AddEngineVms("vm", 4, "fabric-a");
/// ASSERT_EQ(cluster.Apply(TestCluster::DefaultCatalogue()).status, 200U);
/// ASSERT_TRUE(cluster.WaitServing());
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
  /// \brief Starts one engine VM whose agent listens at `listen` and announces `announce` to peers.
  void AddForwardedEngineVm(const std::string& vm,
                            const std::string& listen,
                            const std::string& announce);
  /// \brief Starts a plain service's target and agent on the VM `vm`.
  void AddServiceVm(const std::string& vm, const std::string& service);

  /// \brief Writes catalogue entries (a JSON array of entries) through the admin API.
  /// \remarks Tries each control process until one accepts it. Each call uses a new change id.
  [[nodiscard]] HttpReply Apply(const std::string& entriesJson);
  /// \brief A model with four VMs per replica, a plain service with a non-repeatable path, and a
  /// workspace.
  [[nodiscard]] static std::string DefaultCatalogue(std::size_t replicas = 1);

  /// \brief Calls the admin API of the leading control process.
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
  /// \brief Kills a daemon if it runs, and starts it again with its former settings.
  void Restart(const std::string& name);
  /// \brief The output of all processes, for the message of a failed check.
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

/// \brief The hexadecimal SHA-256 of a token, as used in the catalogue and the settings.
[[nodiscard]] std::string HashToken(std::string_view token);

} // namespace gooseberrysail::test
