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

/// \brief What an agent knows of itself and its target VM from its settings.
struct AgentSettings
{
  ProcessId process;
  Incarnation incarnation;
  std::string address; ///< Where it listens for peers, "ip:port".
  VmId vm;
  FailureDomainId failureDomain;
  FabricDomainId fabricDomain;
  wire::TargetKind kind = wire::TargetKind::Engine;
  EntryName service; ///< Plain services: the catalogue entry served.
  std::uint32_t accelerators = 0;
  std::vector<EntrySettings::Control> controls;
  std::size_t maxHeldOutputBytes =
    16 * 1024 * 1024; ///< Unacknowledged answers, all requests together.
};

/// \brief The agent's decisions: membership, the gate before the target, what truly happened to a
/// request. No I/O inside.
class AgentRole
{
public:
  AgentRole(AgentSettings settings, RoleHooks hooks);
  ~AgentRole();
  AgentRole(const AgentRole&) = delete;
  AgentRole& operator=(const AgentRole&) = delete;

  /// \brief Takes in what arrived and appends what must go out.
  /// \param now BootClock time; never goes back.
  /// \remarks Call it at once when something arrives and at least every kTickInterval.
  void Tick(TimePoint now, std::span<const AgentInput> inbox, std::vector<AgentOutput>& outbox);

  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
