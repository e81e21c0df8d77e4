#include "gooseberrysail/agent/group_system.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace gooseberrysail {

namespace {

/// Clock rates of two VMs may differ. A process that waits for another one's timeout to expire
/// waits longer by this fraction.
constexpr double kMaxClockDrift = 0.01;
constexpr Duration kHeadTimeout = std::chrono::seconds(3);

Assignment FromWire(const wire::AssignT& assign)
{
  Assignment assignment{ GroupId(assign.group), Epoch(assign.epoch), EntryName(assign.entry),
                         assign.modelVersion,   VmId(assign.head),   {} };
  for (const auto& member : assign.members) {
    if (member) {
      assignment.members.push_back(
        AssignedMember{ VmId(member->vm), ProcessId(member->process), member->address });
    }
  }
  return assignment;
}

bool HasMember(const Assignment& assignment, const VmId& vm)
{
  return std::any_of(assignment.members.begin(),
                     assignment.members.end(),
                     [&vm](const AssignedMember& member) { return member.vm == vm; });
}

} // namespace

GroupSystem::GroupSystem(const AgentSettings& settings,
                         Dependencies dependencies,
                         std::function<std::uint64_t()> random)
  : m_settings(settings)
  , m_dependencies(dependencies)
  , m_random(std::move(random))
  , m_membership(settings.vm)
{
}

void GroupSystem::OnAssign(impl::AgentContext& context,
                           RequestSystem& requests,
                           const FrameIn& frame,
                           const wire::AssignT& assign)
{
  const Assignment assignment = FromWire(assign);
  const bool isValid =
    HasMember(assignment, m_settings.vm) && HasMember(assignment, assignment.head);
  const auto result =
    isValid ? m_membership.Accept(assignment) : VmMembership::AcceptResult::kRefused;
  wire::AssignReplyT reply;
  reply.vm = m_settings.vm.Get();
  reply.group = assign.group;
  reply.epoch = assign.epoch;
  reply.accepted = result != VmMembership::AcceptResult::kRefused;
  reply.heldEpoch = m_membership.HighestEpoch().Get();
  context.Send(frame.peer, "", reply);
  if (result == VmMembership::AcceptResult::kRefused) {
    context.Emit(EventNumber::kAgentAssignRefused,
                 { { "group", std::to_string(assign.group) },
                   { "epoch", std::to_string(assign.epoch) },
                   { "heldEpoch", std::to_string(reply.heldEpoch) },
                   { "peer", frame.peer.Get() } });
    return;
  }
  m_dependencies.link.OnAnswer(context.Now(), frame.peer);
  m_dependencies.config.OnVersionSeen(LogIndex(assign.version));
  if (result == VmMembership::AcceptResult::kRepeated) {
    return;
  }
  requests.EndAll(context, "group epoch superseded");
  // The head of the former epoch may rely on this VM's last reply for a member timeout. Replies to
  // the new head in that time would let two heads serve with this VM at once.
  m_noReplyUntil =
    m_lastHeartbeatReply ? *m_lastHeartbeatReply + MemberTimeoutWithDrift() : TimePoint{};
  m_lease.Clear();
  m_heartbeats.Begin(assignment);
  m_reportedReady = false;
  if (m_settings.kind == wire::TargetKind::Engine) {
    m_dependencies.orders.SetDesired(
      assignment.entry.Get(), assignment.modelVersion, assignment.epoch);
  }
  context.Emit(EventNumber::kAgentAssigned,
               { { "group", std::to_string(assign.group) },
                 { "epoch", std::to_string(assign.epoch) },
                 { "entry", assign.entry },
                 { "head", assign.head },
                 { "members", std::to_string(assignment.members.size()) } });
}

void GroupSystem::OnRelease(impl::AgentContext& context,
                            const FrameIn& frame,
                            const wire::ReleaseT& release)
{
  m_dependencies.link.OnAnswer(context.Now(), frame.peer);
  const TimePoint graceUntil = context.Now() + std::chrono::milliseconds(release.graceMillis);
  const auto result =
    m_membership.StartRelease(GroupId(release.group), Epoch(release.epoch), graceUntil);
  if (result == VmMembership::ReleaseResult::kNotHeld) {
    // No answer while a former head may still rely on this VM; control repeats the release.
    if (context.Now() >= m_noReplyUntil) {
      SendReleased(context, frame.peer, GroupId(release.group), Epoch(release.epoch));
    }
    return;
  }
  m_releasedBy = frame.peer;
  if (result == VmMembership::ReleaseResult::kStarted) {
    context.Emit(EventNumber::kAgentReleaseStarted,
                 { { "group", std::to_string(release.group) },
                   { "epoch", std::to_string(release.epoch) },
                   { "graceMillis", std::to_string(release.graceMillis) } });
  }
}

void GroupSystem::OnGrant(impl::AgentContext& context,
                          const FrameIn& frame,
                          const wire::LeaseGrantT& grant)
{
  if (!m_membership.Holds(GroupId(grant.group), Epoch(grant.epoch))) {
    return;
  }
  const auto sentAt = m_lease.SentAt(grant.nonce);
  if (!sentAt) {
    return;
  }
  m_dependencies.link.OnAnswer(context.Now(), frame.peer);
  // Control answers a report only after a quorum has confirmed its leadership since the report
  // arrived, so that the answer confirms the configuration as the answer to a query does.
  m_dependencies.config.OnConfirmed(*sentAt, LogIndex(grant.configVersion));
  if (grant.granted) {
    m_lease.Extend(*sentAt + std::chrono::milliseconds(grant.leaseMillis));
  }
}

void GroupSystem::OnBeatRequest(impl::AgentContext& context,
                                const FrameIn& frame,
                                const wire::BeatRequestT& request)
{
  m_dependencies.config.OnVersionSeen(LogIndex(request.configVersion));
  const TimePoint now = context.Now();
  if (!m_membership.Holds(GroupId(request.group), Epoch(request.epoch)) || now < m_noReplyUntil) {
    return;
  }
  if (m_membership.Releasing() && now >= m_membership.GraceUntil()) {
    return;
  }
  const bool alive = m_dependencies.probe.Alive(now);
  wire::BeatReplyT reply;
  reply.group = request.group;
  reply.epoch = request.epoch;
  reply.nonce = request.nonce;
  reply.vm = m_settings.vm.Get();
  reply.engineAlive = alive;
  reply.weightsLoaded = WeightsLoaded();
  reply.leaving = m_leaving;
  context.Send(frame.peer, "", reply);
  m_lastHeartbeatReply = now;
}

void GroupSystem::OnBeatReply(const wire::BeatReplyT& reply)
{
  if (!m_membership.Holds(GroupId(reply.group), Epoch(reply.epoch)) || !m_membership.IsHead()) {
    return;
  }
  m_heartbeats.OnReply(
    VmId(reply.vm), reply.nonce, reply.engineAlive, reply.weightsLoaded, reply.leaving);
}

bool GroupSystem::AnsweredHeadRecently(TimePoint now) const noexcept
{
  return m_lastHeartbeatReply && now - *m_lastHeartbeatReply < kHeadTimeout;
}

bool GroupSystem::WeightsLoaded() const noexcept
{
  return m_settings.kind == wire::TargetKind::Service ||
         m_dependencies.orders.Loaded(m_dependencies.probe.Status());
}

Duration GroupSystem::MemberTimeout() const
{
  return m_dependencies.config.LocalCatalogue().Policy().memberTimeout;
}

Duration GroupSystem::MemberTimeoutWithDrift() const
{
  const double nanos = static_cast<double>(MemberTimeout().count()) * (1 + kMaxClockDrift);
  return Duration(static_cast<Duration::rep>(nanos));
}

std::optional<VmId> GroupSystem::DrainingMember() const
{
  for (const AssignedMember& member : m_membership.Current()->members) {
    const TargetSpec* target = m_dependencies.config.LocalCatalogue().FindTarget(member.vm);
    if (target != nullptr && target->draining) {
      return member.vm;
    }
  }
  return std::nullopt;
}

RequestLimits GroupSystem::Limits() const
{
  const auto& assignment = m_membership.Current();
  if (!assignment) {
    return {};
  }
  const Catalogue& catalogue = m_dependencies.config.LocalCatalogue();
  if (const ModelSpec* model = catalogue.FindModel(assignment->entry)) {
    return { model->maxConcurrent, model->maxQueued };
  }
  if (const ServiceSpec* service = catalogue.FindService(assignment->entry)) {
    return { service->maxConcurrent, service->maxQueued };
  }
  return {};
}

GateInputs GroupSystem::CollectGateInputs() const
{
  const auto& assignment = m_membership.Current();
  const PolicySpec& policy = m_dependencies.config.LocalCatalogue().Policy();
  GateInputs inputs;
  inputs.hasGroup = assignment.has_value();
  inputs.isHead = m_membership.IsHead();
  inputs.leaving = m_leaving;
  inputs.releasing = m_membership.Releasing();
  inputs.lease = &m_lease;
  inputs.heartbeats = m_heartbeats.Rows();
  inputs.memberTimeout = policy.memberTimeout;
  inputs.confirmedAt = m_dependencies.config.ConfirmedAt();
  inputs.confirmationLimit = policy.confirmationLimit;
  inputs.serveUnconfirmed = policy.serveUnconfirmed;
  return inputs;
}

GateState GroupSystem::GroupIntact(TimePoint now) const
{
  return CheckGroupIntact(now, CollectGateInputs());
}

GateState GroupSystem::Gate(TimePoint now) const
{
  GateInputs inputs = CollectGateInputs();
  if (inputs.hasGroup) {
    inputs.drainingMember = DrainingMember();
    inputs.entryKnown = Limits().maxConcurrent > 0;
  }
  return CheckGate(now, inputs);
}

void GroupSystem::Tick(impl::AgentContext& context, RequestSystem& requests)
{
  const TargetStatus& status = m_dependencies.probe.Status();
  if (status.aliveAsOf) {
    m_heartbeats.OnOwnTarget(m_settings.vm, *status.aliveAsOf, WeightsLoaded());
  }
  AdvanceRelease(context, requests);
  if (m_membership.IsHead()) {
    SendHeartbeatRequests(context);
    SendReport(context, requests);
  }
  EmitGateChange(context);
}

void GroupSystem::SendHeartbeatRequests(impl::AgentContext& context)
{
  const TimePoint now = context.Now();
  if (!m_heartbeats.Due(now)) {
    return;
  }
  const auto confirmedAt = m_dependencies.config.ConfirmedAt();
  wire::BeatRequestT request;
  request.group = m_membership.Current()->group.Get();
  request.epoch = m_membership.Current()->epoch.Get();
  request.nonce = m_random();
  request.configVersion = m_dependencies.config.Version().Get();
  request.confirmationAgeMillis = confirmedAt
                                    ? static_cast<std::uint32_t>(ToMillis(now - *confirmedAt))
                                    : std::numeric_limits<std::uint32_t>::max();
  m_heartbeats.OnRequestSent(now, request.nonce);
  for (const AssignedMember& member : m_membership.Current()->members) {
    if (member.vm != m_settings.vm) {
      context.Send(member.process, member.address, request);
    }
  }
}

void GroupSystem::SendReport(impl::AgentContext& context, const RequestSystem& requests)
{
  const TimePoint now = context.Now();
  const bool ready = Gate(now).Open();
  if (ready == m_reportedReady && !m_lease.ReportDue(now)) {
    return;
  }
  m_reportedReady = ready;
  wire::GroupReportT report;
  report.nonce = m_random();
  report.group = m_membership.Current()->group.Get();
  report.epoch = m_membership.Current()->epoch.Get();
  report.vm = m_settings.vm.Get();
  report.ready = ready;
  report.running = requests.Running();
  report.queued = requests.Queued();
  report.weightsLoaded = true;
  for (const MemberHeartbeat& heartbeat : m_heartbeats.Rows()) {
    if (!heartbeat.aliveAsOf || now - *heartbeat.aliveAsOf >= MemberTimeout()) {
      report.missing.push_back(heartbeat.vm.Get());
    }
    report.weightsLoaded = report.weightsLoaded && heartbeat.weightsLoaded;
  }
  m_lease.OnReportSent(now, report.nonce);
  for (const auto& control : m_dependencies.link.Recipients(now)) {
    context.Send(control.process, control.address, report);
  }
}

void GroupSystem::AdvanceRelease(impl::AgentContext& context, RequestSystem& requests)
{
  const TimePoint now = context.Now();
  if (!m_membership.Releasing()) {
    return;
  }
  if (now >= m_membership.GraceUntil()) {
    requests.EndAll(context, "group dissolved");
  }
  if (requests.Running() > 0 || requests.Queued() > 0) {
    return;
  }
  // The head may rely on this VM's last reply for a member timeout. If the VM moved to another
  // group before that, the former group would serve without it.
  if (m_lastHeartbeatReply && now - *m_lastHeartbeatReply < MemberTimeoutWithDrift()) {
    return;
  }
  const GroupId group = m_membership.Current()->group;
  const Epoch epoch = m_membership.Current()->epoch;
  requests.EndAll(context, "group dissolved");
  m_membership.Leave();
  m_heartbeats.Clear();
  m_lease.Clear();
  m_dependencies.orders.ClearDesired();
  SendReleased(context, m_releasedBy, group, epoch);
  context.Emit(
    EventNumber::kAgentReleased,
    { { "group", std::to_string(group.Get()) }, { "epoch", std::to_string(epoch.Get()) } });
}

void GroupSystem::SendReleased(impl::AgentContext& context,
                               const ProcessId& to,
                               GroupId group,
                               Epoch epoch)
{
  wire::ReleasedT released;
  released.vm = m_settings.vm.Get();
  released.group = group.Get();
  released.epoch = epoch.Get();
  context.Send(to, "", released);
}

void GroupSystem::EmitGateChange(impl::AgentContext& context)
{
  const auto& assignment = m_membership.Current();
  if (!assignment || !m_membership.IsHead()) {
    m_emittedGateReason = GateReason::kNoGroup;
    return;
  }
  const GateState gate = Gate(context.Now());
  if (gate.reason == m_emittedGateReason && gate.member == m_emittedGateMember) {
    return;
  }
  m_emittedGateReason = gate.reason;
  m_emittedGateMember = gate.member;
  const std::string group = std::to_string(assignment->group.Get());
  const std::string epoch = std::to_string(assignment->epoch.Get());
  if (gate.Open()) {
    context.Emit(EventNumber::kGateOpened, { { "group", group }, { "epoch", epoch } });
  } else {
    context.Emit(EventNumber::kGateClosed,
                 { { "group", group }, { "epoch", epoch }, { "reason", ToString(gate) } });
  }
}

} // namespace gooseberrysail
