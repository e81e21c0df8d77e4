#pragma once

#include "gooseberrysail/control/context.hpp"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace gooseberrysail {

/// \brief The latest announcement of a VM's agent; not replicated.
struct VmRuntimeState
{
  ProcessId process;
  TimePoint lastHeard{};
  bool connected = false;
  bool leaving = false;
  std::string loadedModel;
  GroupId reportedGroup;
  Epoch reportedEpoch;
};

/// \brief A group's latest report and the progress of the orders to its members; not replicated.
struct GroupRuntimeState
{
  TimePoint firstSeen{};
  TimePoint lastReport{};
  bool reported = false;
  bool ready = false;
  bool weightsLoaded = false;
  std::vector<VmId> missing;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  TimePoint lastGrant{}; ///< Time of the latest lease; zero when this leader granted none.
  std::optional<TimePoint> brokenSince;
  std::unordered_set<VmId> accepted;
  std::unordered_set<VmId> released;
  TimePoint nextOrders{};
  std::optional<TimePoint> drainSince;
  /// \brief Time limit for the remaining work of the group once it is draining.
  Duration drainGrace = ModelSpec{}.defaultDeadline;
};

/// \brief Tracks agents and their groups, grants leases, sends orders and frees VMs.
class TargetMembership
{
public:
  void OnLeaderStart(const ControlContext& context);
  void OnPeerDown(const ProcessId& peer);
  void OnAnnounce(ControlContext& context, const ProcessId& peer, const wire::AnnounceT& announce);
  void OnAssignReply(const ControlContext& context,
                     const ProcessId& peer,
                     const wire::AssignReplyT& reply);
  void OnReleased(const ControlContext& context,
                  const ProcessId& peer,
                  const wire::ReleasedT& released);
  void OnReport(const ControlContext& context,
                const ProcessId& peer,
                const wire::GroupReportT& report);

  void Tick(ControlContext& context);

  [[nodiscard]] const VmRuntimeState* FindVm(const VmId& vm) const;
  [[nodiscard]] const GroupRuntimeState* FindGroup(GroupId group) const;

  /// \brief The time on this leader's clock from which no head can hold a lease of the group.
  [[nodiscard]] TimePoint LeaseEnd(const ControlContext& context, GroupId group) const;

  /// \brief Whether the group may get work: its head reported it ready within kReportTimeout.
  [[nodiscard]] bool IsServing(const ControlContext& context, const GroupRow& row) const;

  /// \brief Whether the VM's agent announced itself, or its head reported it present, recently.
  [[nodiscard]] bool IsReachable(const ControlContext& context, const VmRow& row) const;

  /// \brief Whether the VM must not get further work.
  [[nodiscard]] bool IsLeaving(const ControlContext& context, const VmId& vm) const;

  /// \brief Whether a missing report means that a group is gone: every group has reported to this
  /// leader, or kReportTimeout has passed since its election.
  [[nodiscard]] bool HasInitialReports(const ControlContext& context) const;

  /// \brief Number of observed changes: of connections, of readiness, of missing members.
  [[nodiscard]] std::uint64_t Observations() const noexcept { return m_observations; }

  static constexpr Duration kReportTimeout = std::chrono::seconds(3);
  static constexpr Duration kAnnounceTimeout = std::chrono::seconds(10);
  static constexpr Duration kOrderInterval = std::chrono::seconds(1);

private:
  struct WaitingReport
  {
    ProcessId peer;
    wire::GroupReportT report;
    ReadTicket ticket;
  };

  void AnswerReports(ControlContext& context);
  [[nodiscard]] static bool MayHoldLease(const ControlContext& context,
                                         const ProcessId& peer,
                                         const wire::GroupReportT& report);
  void ReconcileGroups(ControlContext& context);
  void UpdateBrokenSince(const ControlContext& context,
                         const GroupRow& row,
                         GroupRuntimeState& live) const;
  void SendAssigns(ControlContext& context, const GroupRow& row, GroupRuntimeState& live) const;
  void SendRelease(ControlContext& context,
                   const GroupRow& row,
                   const VmId& vm,
                   Duration grace) const;
  void ReconcileDraining(ControlContext& context, const GroupRow& row, GroupRuntimeState& live);
  void ReconcileDissolved(ControlContext& context, const GroupRow& row, GroupRuntimeState& live);
  void DrainGroupsOfLeavingVms(ControlContext& context);
  void RemoveSilentVms(ControlContext& context);

  std::unordered_map<VmId, VmRuntimeState> m_vms;
  std::unordered_map<ProcessId, VmId> m_vmOfProcess;
  std::unordered_map<GroupId, GroupRuntimeState> m_groups;
  std::unordered_set<VmId> m_leaving; ///< VMs whose agents announced that they are leaving.
  std::uint64_t m_reconciledRevision = 0;
  std::uint64_t m_observations = 0;
  std::uint64_t m_reconciledObservations = 0;
  std::deque<WaitingReport> m_waiting;
  TimePoint m_nextReconcile{};
  TimePoint m_nextSweep{};
};

} // namespace gooseberrysail
