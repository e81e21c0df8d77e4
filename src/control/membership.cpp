#include "gooseberrysail/control/membership.hpp"

#include "gooseberrysail/observe/event.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

/// \brief Maximum delay of group timers; observed changes are processed in the next tick.
constexpr Duration kReconcileInterval = std::chrono::milliseconds(250);
constexpr Duration kSweepInterval = std::chrono::seconds(10);
constexpr Duration kRemoveVmAfter = std::chrono::hours(1);
constexpr Duration kReportWaitLimit = std::chrono::seconds(5);
constexpr std::size_t kMaxWaitingReports = 20'000;
constexpr Duration kNoGrace = std::chrono::milliseconds(0);

std::string Key(const char* what, GroupId group)
{
  return std::string(what) + std::to_string(group.Get());
}

bool SameRecord(const wire::VmRecordT& left, const wire::VmRecordT& right)
{
  return left.vm == right.vm && left.process == right.process && left.address == right.address &&
         left.kind == right.kind && left.service == right.service &&
         left.failureDomain == right.failureDomain && left.fabricDomain == right.fabricDomain &&
         left.accelerators == right.accelerators;
}

wire::VmRecordT RecordOf(const ProcessId& peer, const wire::AnnounceT& announce)
{
  wire::VmRecordT record;
  record.vm = announce.vm;
  record.process = peer.Get();
  record.address = announce.address;
  record.kind = announce.kind;
  record.service = announce.service;
  record.failureDomain = announce.failureDomain;
  record.fabricDomain = announce.fabricDomain;
  record.accelerators = announce.accelerators;
  return record;
}

/// \brief Whether the peer is the recorded agent of the VM.
bool IsAgentOf(const ControlContext& context, const ProcessId& peer, const VmId& vm)
{
  const VmRow* row = context.state.GetGroups().FindVm(vm);
  return row != nullptr && row->record.process == peer.Get();
}

/// \returns None when the catalogue doesn't have the entry.
std::optional<Duration> FindDefaultDeadline(const ControlContext& context, const EntryName& entry)
{
  if (const ModelSpec* model = context.catalogue.FindModel(entry)) {
    return model->defaultDeadline;
  }
  if (const ServiceSpec* service = context.catalogue.FindService(entry)) {
    return service->defaultDeadline;
  }
  return std::nullopt;
}

} // namespace

void TargetMembership::OnLeaderStart(const ControlContext&)
{
  // Reports and grants of an earlier term of leadership may be out of date.
  m_groups.clear();
  m_waiting.clear();
}

void TargetMembership::OnPeerDown(const ProcessId& peer)
{
  const auto vm = m_vmOfProcess.find(peer);
  if (vm != m_vmOfProcess.end()) {
    m_vms[vm->second].connected = false;
    ++m_observations;
  }
}

void TargetMembership::OnAnnounce(ControlContext& context,
                                  const ProcessId& peer,
                                  const wire::AnnounceT& announce)
{
  const VmId vm(announce.vm);
  if (vm.IsNone()) {
    return;
  }
  VmRuntimeState& live = m_vms[vm];
  const bool otherAlive =
    !live.process.IsNone() && live.process != peer && live.connected && context.IsUp(live.process);
  if (otherAlive) {
    // Two agents are configured for one VM. Accepting both in turn would assign the VM's group to
    // each of them, so the first one is kept until it disconnects.
    context.outbox.emplace_back(MakeEvent(
      EventNumber::kVmAnnouncedTwice,
      { { "vm", vm.Get() }, { "holder", live.process.Get() }, { "refused", peer.Get() } }));
    return;
  }
  const bool changed =
    !live.connected || live.leaving != announce.leaving || live.loadedModel != announce.loadedModel;
  m_observations += changed ? 1 : 0;
  live.process = peer;
  live.lastHeard = context.now;
  live.connected = true;
  live.leaving = announce.leaving;
  if (live.leaving) {
    m_leaving.insert(vm);
  } else {
    m_leaving.erase(vm);
  }
  live.loadedModel = announce.loadedModel;
  live.reportedGroup = GroupId(announce.group);
  live.reportedEpoch = Epoch(announce.epoch);
  m_vmOfProcess[peer] = vm;
  if (!context.ready) {
    return;
  }

  const VmRow* row = context.state.GetGroups().FindVm(vm);
  wire::VmRecordT record = RecordOf(peer, announce);
  if (row == nullptr || !SameRecord(row->record, record)) {
    wire::UpsertVmT command;
    command.vm = std::make_unique<wire::VmRecordT>(std::move(record));
    context.proposer.ProposeOnce(
      context.now, "upsert " + announce.vm + " " + peer.Get() + announce.address, command);
  }
  if (row == nullptr) {
    return;
  }
  const auto group = m_groups.find(row->group);
  if (live.reportedGroup != row->group && group != m_groups.end()) {
    // The agent has restarted without its group: send the assignment again.
    group->second.accepted.erase(vm);
  }
  const GroupRow* reported = context.state.GetGroups().FindGroup(live.reportedGroup);
  const bool stale = !live.reportedGroup.IsNone() &&
                     (reported == nullptr || !reported->HasMember(vm) || reported->IsFreed(vm));
  if (stale && context.HasFreshQuorum()) {
    wire::ReleaseT release;
    release.group = announce.group;
    release.epoch = announce.epoch;
    context.SendMessage(peer, release);
  }
}

void TargetMembership::OnAssignReply(const ControlContext& context,
                                     const ProcessId& peer,
                                     const wire::AssignReplyT& reply)
{
  const auto found = m_groups.find(GroupId(reply.group));
  if (found != m_groups.end() && reply.accepted && IsAgentOf(context, peer, VmId(reply.vm))) {
    found->second.accepted.insert(VmId(reply.vm));
  }
}

void TargetMembership::OnReleased(const ControlContext& context,
                                  const ProcessId& peer,
                                  const wire::ReleasedT& released)
{
  const auto found = m_groups.find(GroupId(released.group));
  const bool sameEpoch = released.epoch == released.group;
  if (found != m_groups.end() && sameEpoch && IsAgentOf(context, peer, VmId(released.vm))) {
    found->second.released.insert(VmId(released.vm));
    found->second.nextOrders = TimePoint{};
    ++m_observations;
  }
}

void TargetMembership::OnReport(const ControlContext& context,
                                const ProcessId& peer,
                                const wire::GroupReportT& report)
{
  if (m_waiting.size() < kMaxWaitingReports) {
    m_waiting.push_back(WaitingReport{ peer, report, TakeTicket(context) });
  }
  const GroupRow* row = context.state.GetGroups().FindGroup(GroupId(report.group));
  if (row == nullptr || !MayHoldLease(context, peer, report)) {
    return;
  }
  GroupRuntimeState& live = m_groups[row->group];
  const bool changed =
    !live.reported || live.ready != report.ready || live.missing.size() != report.missing.size();
  m_observations += changed ? 1 : 0;
  live.lastReport = context.now;
  live.reported = true;
  live.ready = report.ready;
  live.weightsLoaded = report.weightsLoaded;
  live.running = report.running;
  live.queued = report.queued;
  live.missing.clear();
  for (const std::string& vm : report.missing) {
    live.missing.emplace_back(vm);
  }
  UpdateBrokenSince(context, *row, live);
}

bool TargetMembership::MayHoldLease(const ControlContext& context,
                                    const ProcessId& peer,
                                    const wire::GroupReportT& report)
{
  const GroupRow* row = context.state.GetGroups().FindGroup(GroupId(report.group));
  return row != nullptr && !row->dissolved && report.epoch == row->group.Get() &&
         row->head.Get() == report.vm && IsAgentOf(context, peer, row->head);
}

void TargetMembership::AnswerReports(ControlContext& context)
{
  // A lease granted by a leader that is not aware of being deposed could outlive the time that its
  // successor waits, and a VM would be in two groups. So a grant waits for a quorum: a leader that
  // a quorum confirmed after the report arrived had no successor by then, and the holder measures
  // its lease from before it sent the report.
  while (!m_waiting.empty() && IsConfirmed(context, m_waiting.front().ticket)) {
    const WaitingReport waiting = std::move(m_waiting.front());
    m_waiting.pop_front();
    wire::LeaseGrantT grant;
    grant.nonce = waiting.report.nonce;
    grant.group = waiting.report.group;
    grant.epoch = waiting.report.epoch;
    grant.granted = MayHoldLease(context, waiting.peer, waiting.report);
    grant.configVersion = context.state.GetCatalogue().Version().Get();
    if (grant.granted) {
      grant.leaseMillis = static_cast<std::uint32_t>(ToMillis(context.settings.groupLease));
      m_groups[GroupId(grant.group)].lastGrant = context.now;
    }
    context.SendMessage(waiting.peer, grant);
  }
  while (!m_waiting.empty() && context.now - m_waiting.front().ticket.asked > kReportWaitLimit) {
    m_waiting.pop_front();
  }
}

TimePoint TargetMembership::LeaseEnd(const ControlContext& context, GroupId group) const
{
  // An earlier leader may have granted a lease up to the election of this leader.
  TimePoint latest = context.leaderSince;
  const auto found = m_groups.find(group);
  if (found != m_groups.end()) {
    latest = std::max(latest, found->second.lastGrant);
  }
  const double lease = static_cast<double>(context.settings.groupLease.count());
  return latest + Duration(static_cast<Duration::rep>(lease / (1 - context.settings.clockDrift)));
}

bool TargetMembership::IsServing(const ControlContext& context, const GroupRow& row) const
{
  const GroupRuntimeState* live = FindGroup(row.group);
  return live != nullptr && !row.dissolved && live->reported && live->ready &&
         context.now - live->lastReport < kReportTimeout;
}

bool TargetMembership::IsReachable(const ControlContext& context, const VmRow& row) const
{
  const VmId vm(row.record.vm);
  const VmRuntimeState* live = FindVm(vm);
  if (live != nullptr && live->connected && context.now - live->lastHeard < kAnnounceTimeout) {
    return true;
  }
  const GroupRuntimeState* group = FindGroup(row.group);
  return group != nullptr && group->reported && context.now - group->lastReport < kReportTimeout &&
         std::find(group->missing.begin(), group->missing.end(), vm) == group->missing.end();
}

bool TargetMembership::IsLeaving(const ControlContext& context, const VmId& vm) const
{
  const TargetSpec* target = context.catalogue.FindTarget(vm);
  const VmRuntimeState* live = FindVm(vm);
  return (target != nullptr && target->draining) || (live != nullptr && live->leaving);
}

bool TargetMembership::HasInitialReports(const ControlContext& context) const
{
  if (context.now - context.leaderSince >= kReportTimeout) {
    return true;
  }
  for (const auto& [group, row] : context.state.GetGroups().Groups()) {
    const GroupRuntimeState* live = FindGroup(group);
    if (!row.dissolved && (live == nullptr || !live->reported)) {
      return false;
    }
  }
  return true;
}

const VmRuntimeState* TargetMembership::FindVm(const VmId& vm) const
{
  const auto found = m_vms.find(vm);
  return found == m_vms.end() ? nullptr : &found->second;
}

const GroupRuntimeState* TargetMembership::FindGroup(GroupId group) const
{
  const auto found = m_groups.find(group);
  return found == m_groups.end() ? nullptr : &found->second;
}

void TargetMembership::Tick(ControlContext& context)
{
  AnswerReports(context);
  const GroupTable& table = context.state.GetGroups();
  const bool isChanged =
    table.Revision() != m_reconciledRevision || m_observations != m_reconciledObservations;
  if (!isChanged && context.now < m_nextReconcile) {
    return;
  }
  m_nextReconcile = context.now + kReconcileInterval;
  m_reconciledObservations = m_observations;
  if (table.Revision() != m_reconciledRevision) {
    m_reconciledRevision = table.Revision();
    std::erase_if(m_groups,
                  [&](const auto& item) { return table.FindGroup(item.first) == nullptr; });
  }
  ReconcileGroups(context);
  DrainGroupsOfLeavingVms(context);
  if (context.now >= m_nextSweep) {
    m_nextSweep = context.now + kSweepInterval;
    RemoveSilentVms(context);
    context.proposer.Forget(context.now);
  }
}

void TargetMembership::ReconcileGroups(ControlContext& context)
{
  const bool mayOrder = context.HasFreshQuorum();
  for (const auto& [group, row] : context.state.GetGroups().Groups()) {
    const auto [found, isNew] = m_groups.try_emplace(group);
    GroupRuntimeState& live = found->second;
    if (live.firstSeen == TimePoint{}) {
      live.firstSeen = context.now;
    }
    UpdateBrokenSince(context, row, live);
    // Kept when the entry is removed: its requests still have their deadlines.
    live.drainGrace = FindDefaultDeadline(context, row.entry).value_or(live.drainGrace);
    if (!mayOrder) {
      continue;
    }
    if (row.dissolved) {
      ReconcileDissolved(context, row, live);
    } else if (row.draining) {
      ReconcileDraining(context, row, live);
    } else if (live.accepted.size() < row.members.size() && context.now >= live.nextOrders) {
      live.nextOrders = context.now + kOrderInterval;
      SendAssigns(context, row, live);
    }
  }
}

void TargetMembership::UpdateBrokenSince(const ControlContext& context,
                                         const GroupRow&,
                                         GroupRuntimeState& live) const
{
  const TimePoint heard = std::max({ live.lastReport, live.firstSeen, context.leaderSince });
  const bool silent = context.now - heard >= kReportTimeout;
  if (live.missing.empty() && !silent) {
    live.brokenSince.reset();
  } else if (!live.brokenSince) {
    live.brokenSince = silent ? heard : context.now;
  }
}

void TargetMembership::SendAssigns(ControlContext& context,
                                   const GroupRow& row,
                                   GroupRuntimeState& live) const
{
  wire::AssignT assign;
  assign.group = row.group.Get();
  assign.epoch = row.group.Get();
  assign.entry = row.entry.Get();
  assign.modelVersion = row.modelVersion;
  assign.head = row.head.Get();
  assign.version = context.state.GetCatalogue().Version().Get();
  for (const VmId& vm : row.members) {
    const VmRow* member = context.state.GetGroups().FindVm(vm);
    auto part = std::make_unique<wire::GroupMemberT>();
    part->vm = vm.Get();
    part->process = member->record.process;
    part->address = member->record.address;
    assign.members.push_back(std::move(part));
  }
  const auto envelope = MakeEnvelope(std::move(assign));
  for (const VmId& vm : row.members) {
    const ProcessId agent(context.state.GetGroups().FindVm(vm)->record.process);
    if (!live.accepted.contains(vm) && context.IsUp(agent)) {
      context.Send(agent, envelope);
    }
  }
}

void TargetMembership::SendRelease(ControlContext& context,
                                   const GroupRow& row,
                                   const VmId& vm,
                                   Duration grace) const
{
  const ProcessId agent(context.state.GetGroups().FindVm(vm)->record.process);
  if (!context.IsUp(agent)) {
    return;
  }
  wire::ReleaseT release;
  release.group = row.group.Get();
  release.epoch = row.group.Get();
  release.graceMillis = static_cast<std::uint32_t>(ToMillis(grace));
  context.SendMessage(agent, release);
}

void TargetMembership::ReconcileDraining(ControlContext& context,
                                         const GroupRow& row,
                                         GroupRuntimeState& live)
{
  if (!live.drainSince) {
    live.drainSince = context.now;
    live.nextOrders = TimePoint{};
  }
  const bool headDone = live.released.contains(row.head);
  const bool headLost = context.now >= LeaseEnd(context, row.group) &&
                        !IsReachable(context, *context.state.GetGroups().FindVm(row.head));
  const bool overdue = context.now - *live.drainSince > live.drainGrace + kReportTimeout;
  if (headDone || headLost || overdue) {
    wire::DissolveGroupT command;
    command.group = row.group.Get();
    command.reason = row.reason;
    context.proposer.ProposeOnce(context.now, Key("dissolve ", row.group), command);
    return;
  }
  if (context.now >= live.nextOrders) {
    live.nextOrders = context.now + kOrderInterval;
    SendRelease(context, row, row.head, live.drainGrace);
  }
}

void TargetMembership::ReconcileDissolved(ControlContext& context,
                                          const GroupRow& row,
                                          GroupRuntimeState& live)
{
  const bool leaseEnded = context.now >= LeaseEnd(context, row.group);
  // The head is released first: a member freed while the head may still serve would be in two
  // groups. The head counts a member as present until the member timeout after its last heartbeat.
  const bool headDone = leaseEnded || live.released.contains(row.head);
  const bool sendNow = context.now >= live.nextOrders;
  if (sendNow) {
    live.nextOrders = context.now + kOrderInterval;
  }
  for (const VmId& vm : row.members) {
    if (row.IsFreed(vm)) {
      continue;
    }
    const bool released = live.released.contains(vm);
    if (leaseEnded || (headDone && released)) {
      wire::FreeVmT command;
      command.vm = vm.Get();
      command.group = row.group.Get();
      context.proposer.ProposeOnce(context.now, Key("free ", row.group) + " " + vm.Get(), command);
    }
    if (sendNow && !released && (headDone || vm == row.head)) {
      SendRelease(context, row, vm, kNoGrace);
    }
  }
}

void TargetMembership::DrainGroupsOfLeavingVms(ControlContext& context)
{
  const auto drain = [&](const VmId& vm) {
    const VmRow* row = context.state.GetGroups().FindVm(vm);
    const GroupRow* group =
      row != nullptr ? context.state.GetGroups().FindGroup(row->group) : nullptr;
    if (group == nullptr || group->draining || group->dissolved) {
      return;
    }
    wire::DrainGroupT command;
    command.group = group->group.Get();
    command.reason = "target " + vm.Get() + " is leaving";
    context.proposer.ProposeOnce(context.now, Key("drain ", group->group), command);
  };
  for (const auto& [name, entry] : context.catalogue.All(wire::EntryKind::Target)) {
    if (std::get<TargetSpec>(entry.spec).draining) {
      drain(VmId(name));
    }
  }
  for (const VmId& vm : m_leaving) {
    drain(vm);
  }
}

void TargetMembership::RemoveSilentVms(ControlContext& context)
{
  if (context.now - context.leaderSince < kRemoveVmAfter) {
    return;
  }
  for (const auto& [vm, row] : context.state.GetGroups().Vms()) {
    const VmRuntimeState* live = FindVm(vm);
    const bool silent = live == nullptr || context.now - live->lastHeard >= kRemoveVmAfter;
    if (silent && row.group.IsNone()) {
      wire::RemoveVmT command;
      command.vm = vm.Get();
      context.proposer.ProposeOnce(context.now, "remove " + vm.Get(), command);
    }
  }
  std::erase_if(m_vms, [&](const auto& item) {
    return !item.second.connected && !item.second.leaving &&
           context.now - item.second.lastHeard >= kRemoveVmAfter;
  });
}

} // namespace gooseberrysail
