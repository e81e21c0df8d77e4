#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/entry_role.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief Settings of an agent and of its target VM.
struct AgentSettings
{
  ProcessId process;
  Incarnation incarnation;
  std::string address; ///< Listening address for peers, "ip:port".
  VmId vm;
  FailureDomainId failureDomain;
  FabricDomainId fabricDomain;
  wire::TargetKind kind = wire::TargetKind::Engine;
  EntryName service; ///< For plain services: the catalogue entry served.
  std::uint32_t accelerators = 0;
  std::vector<EntrySettings::Control> controls;
  std::size_t maxHeldOutputBytes =
    16 * 1024 * 1024; ///< Unacknowledged output of all requests together.
};

/// \brief The agent's logic: group membership, the gate in front of the target, and the outcome of
/// each request. Performs no I/O.
class AgentRole
{
public:
  AgentRole(AgentSettings settings, RoleHooks hooks);
  ~AgentRole();
  AgentRole(const AgentRole&) = delete;
  AgentRole& operator=(const AgentRole&) = delete;

  /// \brief Processes the inputs received and appends the outputs to send.
  /// \param now BootClock time; must not decrease.
  /// \remarks Call it whenever an input arrives, and at least every kTickInterval.
  void Tick(TimePoint now, std::span<const AgentInput> inbox, std::vector<AgentOutput>& outbox);

  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
