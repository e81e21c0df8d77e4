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

/// \brief What the role needs to know of the replicated log at a tick.
struct ReplicationStatus
{
  bool leader = false;
  Term term;
  LogIndex committed;
  LogIndex applied;
  ProcessId leaderHint;           ///< Whom to ask instead; none when unknown.
  std::vector<ProcessId> members; ///< Of the cluster, as far as this process knows.
  /// \brief The leader heard a quorum for everything asked up to this moment: a read of the applied
  /// state is linearizable for requests received before it.
  TimePoint quorumHeardAt{};
};

struct ControlSettings
{
  ProcessId process;
  Incarnation incarnation;
  std::string address;
  FailureDomainId failureDomain;
  std::vector<EntrySettings::Control> controls; ///< Every voter, this one among them.
  std::string operatorTokenHash;                ///< Hex SHA-256 of the operators' bearer token.
  Duration groupLease = std::chrono::seconds(4);
  /// \brief Clock rates may differ by this share; leases are waited out that much longer.
  double clockDrift = 0.01;
  EngineGroupsSettings engineGroups;
  std::size_t routesPerEntry = 32; ///< Candidates of one catalogue entry that one entry is told of.
};

struct ControlHooks
{
  RoleHooks role;
  /// \brief The peer address of a control process that the settings do not name; unset where they
  /// name all.
  std::function<std::string(const ProcessId&)> addressOf;
  /// \brief Hands a command to the replicated log; false when this process does not lead.
  /// \remarks Accepted is not committed: the command counts once Apply is called with it.
  std::function<bool(std::vector<std::uint8_t> command)> propose;
  /// \brief Decides which groups to form and give up; a PlacementPlanner when empty.
  std::function<std::vector<PlannerAction>(TimePoint now, const PlannerInput& input)> plan;
  /// \brief How much waits to be sent to a peer, in bytes; unset where nothing ever waits.
  std::function<std::size_t(const ProcessId&)> queuedBytes = {};
  /// \brief Translates the calls of targets and operators outside the system; unset when there are
  /// none.
  OutsideApi outside;
};

/// \brief The control process's decisions: catalogue, members, groups, leases, claims. No I/O.
class ControlRole
{
public:
  ControlRole(ControlSettings settings, ControlHooks hooks);
  ~ControlRole();
  ControlRole(const ControlRole&) = delete;
  ControlRole& operator=(const ControlRole&) = delete;

  /// \brief Applies a committed command (wire::Command bytes); same order on every voter.
  void Apply(LogIndex index, Term term, std::span<const std::uint8_t> command);

  /// \brief The whole applied state, for the log's snapshots.
  [[nodiscard]] std::vector<std::uint8_t> TakeSnapshot() const;

  /// \brief Replaces the state by a snapshot's.
  [[nodiscard]] Result<void> RestoreSnapshot(std::span<const std::uint8_t> snapshot);

  /// \brief Takes in what arrived and appends what must go out.
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
