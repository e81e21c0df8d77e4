#include "gooseberrysail/agent/group_system.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace gooseberrysail {

namespace {

/// Clock rates of two VMs may differ; whoever waits for the other's timeout waits this much longer.
constexpr double kClockDrift = 0.01;
constexpr Duration kHeadSilence = std::chrono::seconds(3);

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

bool Names(const Assignment& assignment, const VmId& vm)
{
  return std::any_of(assignment.members.begin(),
                     assignment.members.end(),
                     [&vm](const AssignedMember& member) { return member.vm == vm; });
}

} // namespace

GroupSystem::GroupSystem(const AgentSettings& settings,
                         Parts parts,
                         std::function<std::uint64_t()> random)
  : m_settings(settings)
  , m_parts(parts)
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
  const bool fits = Names(assignment, m_settings.vm) && Names(assignment, assignment.head);
  const auto verdict = fits ? m_membership.Accept(assignment) : GroupMembership::Verdict::kRefused;
  wire::AssignReplyT reply;
  reply.vm = m_settings.vm.Get();
  reply.group = assign.group;
  reply.epoch = assign.epoch;
  reply.accepted = verdict != GroupMembership::Verdict::kRefused;
  reply.heldEpoch = m_membership.HighestEpoch().Get();
  context.Send(frame.peer, "", reply);
  if (verdict == GroupMembership::Verdict::kRefused) {
    context.Emit(EventNumber::kAgentAssignRefused,
                 { { "group", std::to_string(assign.group) },
                   { "epoch", std::to_string(assign.epoch) },
                   { "heldEpoch", std::to_string(reply.heldEpoch) },
                   { "peer", frame.peer.Get() } });
    return;
  }
  m_parts.link.OnAnswer(context.Now(), frame.peer);
  m_parts.config.OnVersionSeen(LogIndex(assign.version));
  if (verdict == GroupMembership::Verdict::kRepeated) {
    return;
  }
  requests.EndAll(context, "group epoch superseded");
  // The head of the former epoch may count on our last answer for a member timeout. Vouching for
  // the new head meanwhile would make two heads serve with this VM at once.
  m_quietUntil = m_lastVouched ? *m_lastVouched + QuietTime() : TimePoint{};
  m_lease.Clear();
  m_beats.Begin(assignment);
  m_reportedReady = false;
  if (m_settings.kind == wire::TargetKind::Engine) {
    m_parts.orders.Want(assignment.entry.Get(), assignment.modelVersion, assignment.epoch);
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
  m_parts.link.OnAnswer(context.Now(), frame.peer);
  const TimePoint graceUntil = context.Now() + std::chrono::milliseconds(release.graceMillis);
  const auto verdict =
    m_membership.StartRelease(GroupId(release.group), Epoch(release.epoch), graceUntil);
  if (verdict == GroupMembership::ReleaseVerdict::kNotHeld) {
    // While a former head may count on us, stay silent: control asks again.
    if (context.Now() >= m_quietUntil) {
      SendReleased(context, frame.peer, GroupId(release.group), Epoch(release.epoch));
    }
    return;
  }
  m_releasedBy = frame.peer;
  if (verdict == GroupMembership::ReleaseVerdict::kStarted) {
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
  m_parts.link.OnAnswer(context.Now(), frame.peer);
  // Control answers reports only once a quorum confirmed it after they came in: the answer proves
  // as much about the configuration as that to a query.
  m_parts.config.OnConfirmed(*sentAt, LogIndex(grant.configVersion));
  if (grant.granted) {
    m_lease.Extend(*sentAt + std::chrono::milliseconds(grant.leaseMillis));
  }
}

void GroupSystem::OnBeatRequest(impl::AgentContext& context,
                                const FrameIn& frame,
                                const wire::BeatRequestT& request)
{
  m_parts.config.OnVersionSeen(LogIndex(request.configVersion));
  const TimePoint now = context.Now();
  if (!m_membership.Holds(GroupId(request.group), Epoch(request.epoch)) || now < m_quietUntil) {
    return;
  }
  if (m_membership.Releasing() && now >= m_membership.GraceUntil()) {
    return;
  }
  const bool alive = m_parts.probe.Alive(now);
  wire::BeatReplyT reply;
  reply.group = request.group;
  reply.epoch = request.epoch;
  reply.nonce = request.nonce;
  reply.vm = m_settings.vm.Get();
  reply.engineAlive = alive;
  reply.weightsLoaded = WeightsLoaded();
  reply.leaving = m_leaving;
  context.Send(frame.peer, "", reply);
  m_lastVouched = now;
}

void GroupSystem::OnBeatReply(const wire::BeatReplyT& reply)
{
  if (!m_membership.Holds(GroupId(reply.group), Epoch(reply.epoch)) || !m_membership.IsHead()) {
    return;
  }
  m_beats.OnReply(
    VmId(reply.vm), reply.nonce, reply.engineAlive, reply.weightsLoaded, reply.leaving);
}

bool GroupSystem::HearsHead(TimePoint now) const noexcept
{
  return m_lastVouched && now - *m_lastVouched < kHeadSilence;
}

bool GroupSystem::WeightsLoaded() const noexcept
{
  return m_settings.kind == wire::TargetKind::Service ||
         m_parts.orders.Loaded(m_parts.probe.Status());
}

Duration GroupSystem::MemberTimeout() const
{
  return m_parts.config.Copy().Policy().memberTimeout;
}

Duration GroupSystem::QuietTime() const
{
  const double nanos = static_cast<double>(MemberTimeout().count()) * (1 + kClockDrift);
  return Duration(static_cast<Duration::rep>(nanos));
}

std::optional<VmId> GroupSystem::DrainingMember() const
{
  for (const AssignedMember& member : m_membership.Current()->members) {
    const TargetSpec* target = m_parts.config.Copy().FindTarget(member.vm);
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
  const Catalogue& copy = m_parts.config.Copy();
  if (const ModelSpec* model = copy.FindModel(assignment->entry)) {
    return { model->maxConcurrent, model->maxQueued };
  }
  if (const ServiceSpec* service = copy.FindService(assignment->entry)) {
    return { service->maxConcurrent, service->maxQueued };
  }
  return {};
}

GateFacts GroupSystem::Facts() const
{
  const auto& assignment = m_membership.Current();
  const PolicySpec& policy = m_parts.config.Copy().Policy();
  GateFacts facts;
  facts.grouped = assignment.has_value();
  facts.head = m_membership.IsHead();
  facts.leaving = m_leaving;
  facts.releasing = m_membership.Releasing();
  facts.lease = &m_lease;
  facts.beats = m_beats.Rows();
  facts.memberTimeout = policy.memberTimeout;
  facts.confirmedAt = m_parts.config.ConfirmedAt();
  facts.confirmationLimit = policy.confirmationLimit;
  facts.serveUnconfirmed = policy.serveUnconfirmed;
  return facts;
}

GateState GroupSystem::Whole(TimePoint now) const
{
  return CheckWhole(now, Facts());
}

GateState GroupSystem::Gate(TimePoint now) const
{
  GateFacts facts = Facts();
  if (facts.grouped) {
    facts.drainingMember = DrainingMember();
    facts.entryKnown = Limits().maxConcurrent > 0;
  }
  return CheckGate(now, facts);
}

void GroupSystem::Tick(impl::AgentContext& context, RequestSystem& requests)
{
  const TargetStatus& status = m_parts.probe.Status();
  if (status.aliveAskedAt) {
    m_beats.OnOwnTarget(m_settings.vm, *status.aliveAskedAt, WeightsLoaded());
  }
  AdvanceRelease(context, requests);
  if (m_membership.IsHead()) {
    AskBeats(context);
    Report(context, requests);
  }
  NoteGate(context);
}

void GroupSystem::AskBeats(impl::AgentContext& context)
{
  const TimePoint now = context.Now();
  if (!m_beats.Due(now)) {
    return;
  }
  const auto confirmedAt = m_parts.config.ConfirmedAt();
  wire::BeatRequestT request;
  request.group = m_membership.Current()->group.Get();
  request.epoch = m_membership.Current()->epoch.Get();
  request.nonce = m_random();
  request.configVersion = m_parts.config.Version().Get();
  request.confirmationAgeMillis = confirmedAt
                                    ? static_cast<std::uint32_t>(ToMillis(now - *confirmedAt))
                                    : std::numeric_limits<std::uint32_t>::max();
  m_beats.OnAsked(now, request.nonce);
  for (const AssignedMember& member : m_membership.Current()->members) {
    if (member.vm != m_settings.vm) {
      context.Send(member.process, member.address, request);
    }
  }
}

void GroupSystem::Report(impl::AgentContext& context, const RequestSystem& requests)
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
  for (const MemberBeat& beat : m_beats.Rows()) {
    if (!beat.askedAt || now - *beat.askedAt >= MemberTimeout()) {
      report.missing.push_back(beat.vm.Get());
    }
    report.weightsLoaded = report.weightsLoaded && beat.weightsLoaded;
  }
  m_lease.OnReportSent(now, report.nonce);
  for (const auto& control : m_parts.link.Targets(now)) {
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
  // The head may count on our last answer for a member timeout; a VM that moved to another group
  // before then would be missing from a group that still serves.
  if (m_lastVouched && now - *m_lastVouched < QuietTime()) {
    return;
  }
  const GroupId group = m_membership.Current()->group;
  const Epoch epoch = m_membership.Current()->epoch;
  requests.EndAll(context, "group dissolved");
  m_membership.Leave();
  m_beats.Clear();
  m_lease.Clear();
  m_parts.orders.WantNothing();
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

void GroupSystem::NoteGate(impl::AgentContext& context)
{
  const auto& assignment = m_membership.Current();
  if (!assignment || !m_membership.IsHead()) {
    m_notedGate = GateReason::kNoGroup;
    return;
  }
  const GateState gate = Gate(context.Now());
  if (gate.reason == m_notedGate && gate.member == m_notedMember) {
    return;
  }
  m_notedGate = gate.reason;
  m_notedMember = gate.member;
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
