#pragma once

#include "gooseberrysail/control/outside_api.hpp"
#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/placement/planner.hpp"
#include "gooseberrysail/roles/entry_role.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief State of the replicated log at a tick.
struct ReplicationStatus
{
  bool leader = false;
  Term term;
  LogIndex committed;
  LogIndex applied;
  ProcessId leaderHint;           ///< The leader as last known; none when unknown.
  std::vector<ProcessId> members; ///< Of the cluster, as known to this process.
  /// \brief Time up to which a quorum has confirmed the leader: a read of the applied state is
  /// linearizable for requests received before it.
  TimePoint quorumHeardAt{};
};

struct ControlSettings
{
  ProcessId process;
  Incarnation incarnation;
  std::string address;
  FailureDomainId failureDomain;
  std::vector<EntrySettings::Control> controls; ///< Every voter, including this process.
  /// \brief Those that operators may evacuate; any if empty.
  std::vector<FailureDomainId> failureDomains;
  std::string operatorTokenHash; ///< Hex SHA-256 of the operators' bearer token.
  Duration groupLease = std::chrono::seconds(4);
  /// \brief Maximum relative difference of clock rates; the wait for the end of a lease is longer
  /// by this share.
  double clockDrift = 0.01;
  EngineGroupsSettings engineGroups;
  std::size_t routesPerEntry = 32; ///< Routes of one catalogue entry sent to one entry process.
};

struct ControlHooks
{
  RoleHooks role;
  /// \brief Returns the peer address of a control process; unset where the settings name all
  /// control processes.
  std::function<std::string(const ProcessId&)> addressOf;
  /// \brief Proposes a command to the replicated log; false when this process does not lead.
  /// \remarks An accepted command is not yet committed: it takes effect once Apply is called with
  /// it.
  std::function<bool(std::vector<std::uint8_t> command)> propose;
  /// \brief Decides which groups to form and to dissolve; a PlacementPlanner when empty.
  std::function<std::vector<PlannerAction>(TimePoint now, const PlannerInput& input)> plan;
  /// \brief Bytes queued for sending to a peer; unset where nothing is ever queued.
  std::function<std::size_t(const ProcessId&)> queuedBytes = {};
  /// \brief Translates the calls of targets and operators outside the system; unset when there are
  /// none.
  OutsideApi outside;
};

/// \brief Decision logic of a control process: catalogue, members, groups, leases and claims. Does
/// no I/O.
class ControlRole
{
public:
  ControlRole(ControlSettings settings, ControlHooks hooks);
  ~ControlRole();
  ControlRole(const ControlRole&) = delete;
  ControlRole& operator=(const ControlRole&) = delete;

  /// \brief Applies a committed command (wire::Command bytes); same order on every voter.
  void Apply(LogIndex index, Term term, std::span<const std::uint8_t> command);

  /// \brief Serializes the whole applied state for a snapshot of the log.
  [[nodiscard]] std::vector<std::uint8_t> TakeSnapshot() const;

  /// \brief Replaces the state by that of a snapshot.
  [[nodiscard]] Result<void> RestoreSnapshot(std::span<const std::uint8_t> snapshot);

  /// \brief Processes the inputs and appends the outputs to `outbox`.
  void Tick(TimePoint now,
            const ReplicationStatus& replication,
            std::span<const ControlInput> inbox,
            std::vector<ControlOutput>& outbox);

  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
