#include "gooseberrysail/roles/control_role.hpp"

#include "gooseberrysail/control/admin_api.hpp"
#include "gooseberrysail/control/claim_service.hpp"
#include "gooseberrysail/control/config_service.hpp"
#include "gooseberrysail/control/group_planning.hpp"
#include "gooseberrysail/control/membership.hpp"
#include "gooseberrysail/control/request_relay.hpp"
#include "gooseberrysail/control/route_distribution.hpp"
#include "gooseberrysail/control/serving_control.hpp"
#include "gooseberrysail/control/usage_shares.hpp"
#include "gooseberrysail/observe/event.hpp"

namespace gooseberrysail {

namespace {

PlanHook MakeDefaultPlanner()
{
  const auto planner = std::make_shared<PlacementPlanner>();
  return [planner](TimePoint now, const PlannerInput& input) { return planner->Plan(now, input); };
}

} // namespace

struct ControlRole::Impl
{
  Impl(ControlSettings controlSettings, ControlHooks controlHooks)
    : settings(std::move(controlSettings))
    , hooks(std::move(controlHooks))
    , proposer(hooks.propose)
    , planning(hooks.plan ? hooks.plan : MakeDefaultPlanner())
    , serving(hooks.outside, settings.engineGroups)
  {
  }

  void Apply(LogIndex index, std::span<const std::uint8_t> command);
  void RecordApplied(LogIndex index, const ControlState::Applied& applied);
  void RecordCatalogueChange(LogIndex index);
  void Tick(TimePoint now,
            const ReplicationStatus& replication,
            std::span<const ControlInput> inbox,
            std::vector<ControlOutput>& outbox);

  void UpdateLeadership(ControlContext& context);
  void UpdateCatalogue();
  void UpdateControls(const ReplicationStatus& replication);
  void RunSystems(ControlContext& context);
  void FinishStopping(ControlContext& context);

  void Handle(ControlContext& context, const PeerUp& input);
  void Handle(ControlContext& context, const PeerDown& input);
  void Handle(ControlContext& context, const FrameIn& input);
  void Handle(ControlContext& context, const HttpRequestIn& input);
  void Handle(ControlContext& context, const HttpCallerGone& input);
  void Handle(ControlContext& context, const TargetAnswerIn& input);
  void Handle(ControlContext& context, const TargetFailedIn& input);
  void Handle(ControlContext& context, const StopRequested& input);
  void HandleAsLeader(ControlContext& context, const ProcessId& peer, const wire::BodyUnion& body);

  [[nodiscard]] AdminSources Sources() const { return { membership, config, routes }; }

  ControlSettings settings;
  std::vector<EntrySettings::Control> controls; ///< See ControlContext::controls.
  ControlHooks hooks;
  ControlState state;
  Catalogue catalogue; ///< Typed copy of the committed catalogue.
  PeerTable peers;
  Proposer proposer;

  ConfigService config;
  TargetMembership membership;
  GroupPlanning planning;
  RouteDistribution routes;
  ClaimService claims;
  UsageShares shares;
  RequestRelay relay;
  ServingControl serving;
  AdminApi admin;

  std::vector<EventOut> events; ///< Of commands applied since the last tick.
  Term leadingTerm;             ///< None while another process leads.
  TimePoint leaderSince{};
  TimePoint startProposedAt{};
  bool announcedReady = false;
  std::optional<TimePoint> stopSince;
  bool stopped = false;
};

void ControlRole::Impl::Apply(LogIndex index, std::span<const std::uint8_t> command)
{
  const ControlState::Applied applied = state.Apply(index, command);
  RecordApplied(index, applied);
}

void ControlRole::Impl::RecordApplied(LogIndex index, const ControlState::Applied& applied)
{
  const std::string at = std::to_string(index.Get());
  if (!applied.refusal.empty()) {
    events.push_back(MakeEvent(EventNumber::kCommandWithoutEffect,
                               { { "command", wire::EnumNameCommandBody(applied.kind) },
                                 { "index", at },
                                 { "reason", applied.refusal } }));
    return;
  }
  const std::string group = std::to_string(applied.group.Get());
  switch (applied.kind) {
    case wire::CommandBody::ChangeCatalogue:
      RecordCatalogueChange(index);
      break;
    case wire::CommandBody::FormGroup: {
      const GroupRow& row = *state.GetGroups().FindGroup(applied.group);
      events.push_back(MakeEvent(EventNumber::kGroupFormed,
                                 { { "group", group },
                                   { "entry", row.entry.Get() },
                                   { "head", row.head.Get() },
                                   { "members", std::to_string(row.members.size()) } }));
      break;
    }
    case wire::CommandBody::DrainGroup:
      events.push_back(MakeEvent(EventNumber::kGroupDraining,
                                 { { "group", group }, { "reason", applied.reason } }));
      break;
    case wire::CommandBody::DissolveGroup:
      events.push_back(MakeEvent(EventNumber::kGroupDissolved,
                                 { { "group", group }, { "reason", applied.reason } }));
      break;
    case wire::CommandBody::FreeVm:
      events.push_back(
        MakeEvent(EventNumber::kVmFreed, { { "vm", applied.vm.Get() }, { "group", group } }));
      break;
    case wire::CommandBody::SetEvacuation: {
      const bool isEvacuated = state.Evacuated().contains(applied.failureDomain);
      events.push_back(MakeEvent(EventNumber::kEvacuationChanged,
                                 { { "failureDomain", applied.failureDomain.Get() },
                                   { "state", isEvacuated ? "evacuated" : "withdrawn" },
                                   { "index", at } }));
      break;
    }
    case wire::CommandBody::RecordDepartures:
      events.push_back(MakeEvent(EventNumber::kDeparturesRecorded,
                                 { { "recorded", std::to_string(applied.recorded) },
                                   { "forgotten", std::to_string(applied.forgotten) },
                                   { "index", at } }));
      break;
    default:
      break;
  }
}

void ControlRole::Impl::RecordCatalogueChange(LogIndex index)
{
  const auto& changes = state.GetCatalogue().Changes();
  if (changes.empty() || changes.back().index != index.Get()) {
    return; // A repeated change.
  }
  const wire::ChangeRecordT& change = changes.back();
  const EventNumber number =
    change.ok ? EventNumber::kCatalogueChanged : EventNumber::kCatalogueRefused;
  EventOut event = MakeEvent(number,
                             { { "changeId", change.changeId },
                               { "operator", change.operatorName },
                               { "index", std::to_string(index.Get()) } });
  if (!change.ok) {
    event.fields.emplace_back("reason", change.detail);
  }
  events.push_back(std::move(event));
}

void ControlRole::Impl::UpdateCatalogue()
{
  if (catalogue.Version() == state.GetCatalogue().Version()) {
    return;
  }
  if (catalogue.Version() > state.GetCatalogue().Version()) {
    catalogue = Catalogue(); // An older snapshot was restored, which only tests do.
  }
  const Result<bool> applied =
    catalogue.Apply(state.GetCatalogue().StateSince(catalogue.Version()));
  if (!applied) {
    events.push_back(
      MakeEvent(EventNumber::kSnapshotRefused, { { "reason", ToString(applied.error()) } }));
  }
}

void ControlRole::Impl::UpdateControls(const ReplicationStatus& replication)
{
  if (!hooks.addressOf || replication.members.empty()) {
    controls = settings.controls;
    return;
  }
  controls.clear();
  for (const ProcessId& member : replication.members) {
    controls.push_back({ member, hooks.addressOf(member) });
  }
}

void ControlRole::Impl::Tick(TimePoint now,
                             const ReplicationStatus& replication,
                             std::span<const ControlInput> inbox,
                             std::vector<ControlOutput>& outbox)
{
  UpdateCatalogue();
  UpdateControls(replication);
  for (EventOut& event : events) {
    outbox.emplace_back(std::move(event));
  }
  events.clear();

  ControlContext context{ .now = now,
                          .wallMillis = hooks.role.wallMillis(),
                          .settings = settings,
                          .controls = controls,
                          .replication = replication,
                          .state = state,
                          .catalogue = catalogue,
                          .peers = peers,
                          .proposer = proposer,
                          .leaderSince = leaderSince,
                          .ready = false,
                          .outbox = outbox,
                          .queuedBytes = &hooks.queuedBytes };
  UpdateLeadership(context);
  for (const ControlInput& input : inbox) {
    std::visit([&](const auto& value) { Handle(context, value); }, input);
  }
  if (context.ready) {
    RunSystems(context);
  }
  serving.Tick(context);
  FinishStopping(context);
}

void ControlRole::Impl::RunSystems(ControlContext& context)
{
  config.Tick(context);
  membership.Tick(context);
  planning.Tick(context, membership);
  routes.Tick(context, membership, config);
  claims.Tick(context);
  relay.Tick(context);
  shares.Tick(context);
  admin.Tick(context, Sources());
}

void ControlRole::Impl::UpdateLeadership(ControlContext& context)
{
  const ReplicationStatus& replication = context.replication;
  const Term leads = replication.leader ? replication.term : Term();
  if (leads != leadingTerm) {
    if (!leadingTerm.IsNone()) {
      admin.OnLeadershipLost(context);
      serving.OnLeadershipLost(context);
      context.outbox.emplace_back(MakeEvent(EventNumber::kLeadershipLost,
                                            { { "term", std::to_string(leadingTerm.Get()) },
                                              { "leader", replication.leaderHint.Get() } }));
    }
    leadingTerm = leads;
    leaderSince = context.now;
    startProposedAt = TimePoint{};
    announcedReady = false;
    proposer.Clear();
    config.OnLeaderStart(context);
    membership.OnLeaderStart(context);
    routes.OnLeaderStart(context);
    claims.OnLeaderStart();
    shares.OnLeaderStart();
    serving.OnLeaderStart();
  }
  context.leaderSince = leaderSince;
  if (leadingTerm.IsNone()) {
    return;
  }
  // Until its LeaderStart command is applied, a new leader may not have applied everything that was
  // committed before.
  context.ready = state.StartedTerm() == leadingTerm;
  const bool due =
    startProposedAt == TimePoint{} || context.now - startProposedAt >= Proposer::kRetryAfter;
  if (!context.ready && due) {
    startProposedAt = context.now;
    wire::LeaderStartT start;
    start.process = settings.process.Get();
    start.term = leadingTerm.Get();
    proposer.Propose(std::move(start));
  }
  if (context.ready && !announcedReady) {
    announcedReady = true;
    context.outbox.emplace_back(MakeEvent(EventNumber::kLeadershipTaken,
                                          { { "term", std::to_string(leadingTerm.Get()) },
                                            { "applied", std::to_string(state.Index().Get()) } }));
  }
}

void ControlRole::Impl::Handle(ControlContext& context, const PeerUp& input)
{
  peers[input.peer] = PeerRow{ input.role, input.incarnation, input.address, true, context.now };
  if (input.role == "entry") {
    routes.OnPeerUp(input.peer, input.incarnation);
  }
  serving.OnPeerUp(context, input.peer);
}

void ControlRole::Impl::Handle(ControlContext& context, const PeerDown& input)
{
  const auto found = peers.find(input.peer);
  if (found == peers.end() || found->second.incarnation != input.incarnation) {
    return; // A connection of an earlier incarnation of the process.
  }
  found->second.up = false;
  found->second.since = context.now;
  routes.OnPeerDown(input.peer);
  membership.OnPeerDown(input.peer);
  serving.OnPeerDown(input.peer);
}

void ControlRole::Impl::Handle(ControlContext& context, const FrameIn& input)
{
  const wire::BodyUnion& body = input.envelope->body;
  if (body.type == wire::Body::Announce) {
    // Followers record announcements too, so that a new leader has the list of connected agents.
    membership.OnAnnounce(context, input.peer, *body.AsAnnounce());
  } else if (body.type == wire::Body::InForce) {
    config.OnInForce(context, input.peer, *body.AsInForce());
  } else if (body.type == wire::Body::TargetsHeard || body.type == wire::Body::ServingQuery) {
    serving.OnFrame(context, input.peer, body);
  } else if (context.ready) {
    HandleAsLeader(context, input.peer, body);
  }
}

void ControlRole::Impl::HandleAsLeader(ControlContext& context,
                                       const ProcessId& peer,
                                       const wire::BodyUnion& body)
{
  switch (body.type) {
    case wire::Body::ConfigQuery:
      config.OnQuery(context, peer, *body.AsConfigQuery());
      break;
    case wire::Body::AssignReply:
      membership.OnAssignReply(context, peer, *body.AsAssignReply());
      break;
    case wire::Body::Released:
      membership.OnReleased(context, peer, *body.AsReleased());
      break;
    case wire::Body::GroupReport:
      membership.OnReport(context, peer, *body.AsGroupReport());
      break;
    case wire::Body::RoutesAck:
      routes.OnAck(peer, *body.AsRoutesAck());
      break;
    case wire::Body::ClaimRequest:
      claims.OnRequest(context, peer, *body.AsClaimRequest());
      break;
    case wire::Body::ClaimOutcome:
      claims.OnOutcome(context, peer, *body.AsClaimOutcome());
      break;
    case wire::Body::UsageReport:
      shares.OnReport(context, peer, *body.AsUsageReport());
      break;
    case wire::Body::RequestQuery:
      relay.OnQuery(context, peer, *body.AsRequestQuery());
      break;
    case wire::Body::RequestAnswer:
      if (!relay.OnAnswer(context, peer, *body.AsRequestAnswer())) {
        admin.OnRequestAnswer(context, peer, *body.AsRequestAnswer());
      }
      break;
    case wire::Body::TimelineAnswer:
      admin.OnTimelineAnswer(context, peer, *body.AsTimelineAnswer());
      break;
    default:
      break; // Not for this role; the shell forwards all frames.
  }
}

void ControlRole::Impl::Handle(ControlContext& context, const HttpRequestIn& input)
{
  if (!serving.OnRequest(context, input)) {
    admin.OnRequest(context, input, Sources());
  }
}

void ControlRole::Impl::Handle(ControlContext&, const HttpCallerGone& input)
{
  admin.OnCallerGone(input.exchange);
  serving.OnCallerGone(input.exchange);
}

void ControlRole::Impl::Handle(ControlContext& context, const TargetAnswerIn& input)
{
  serving.OnOrderAnswer(context, input);
}

void ControlRole::Impl::Handle(ControlContext& context, const TargetFailedIn& input)
{
  serving.OnOrderFailed(context, input);
}

void ControlRole::Impl::Handle(ControlContext& context, const StopRequested&)
{
  if (!stopSince) {
    stopSince = context.now;
    admin.StopAccepting();
    context.outbox.emplace_back(MakeEvent(EventNumber::kProcessStopping,
                                          { { "inFlight", std::to_string(admin.OpenCalls()) } }));
  }
}

void ControlRole::Impl::FinishStopping(ControlContext& context)
{
  constexpr Duration kStopLimit = std::chrono::seconds(5);
  const std::size_t open = admin.OpenCalls() + serving.OpenCalls();
  const bool over = stopSince && (open == 0 || context.now - *stopSince >= kStopLimit);
  if (!over || stopped) {
    return;
  }
  stopped = true;
  admin.OnLeadershipLost(context);
  serving.OnLeadershipLost(context);
  context.outbox.emplace_back(StoppedOut{});
}

ControlRole::ControlRole(ControlSettings settings, ControlHooks hooks)
  : m_impl(std::make_unique<Impl>(std::move(settings), std::move(hooks)))
{
}

ControlRole::~ControlRole() = default;

void ControlRole::Apply(LogIndex index, Term, std::span<const std::uint8_t> command)
{
  m_impl->Apply(index, command);
}

std::vector<std::uint8_t> ControlRole::TakeSnapshot() const
{
  return m_impl->state.TakeSnapshot();
}

Result<void> ControlRole::RestoreSnapshot(std::span<const std::uint8_t> snapshot)
{
  return m_impl->state.RestoreSnapshot(snapshot);
}

void ControlRole::Tick(TimePoint now,
                       const ReplicationStatus& replication,
                       std::span<const ControlInput> inbox,
                       std::vector<ControlOutput>& outbox)
{
  m_impl->Tick(now, replication, inbox, outbox);
}

} // namespace gooseberrysail
