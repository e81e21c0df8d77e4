#include "gooseberrysail/control/serving_control.hpp"

#include "gooseberrysail/core/join.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// Interval of reconciling the groups, which is also done at once when a target's state changes.
constexpr Duration kReconcileInterval = 200ms;
constexpr Duration kForgetInterval = 5s;
/// Targets answer orders and probes with a few hundred bytes.
constexpr std::uint64_t kMaxOrderAnswerBytes = std::uint64_t{ 64 } * 1024;
/// Bytes of a refused caller's name that are logged.
constexpr std::size_t kMaxReportedName = 256;
/// How long entries are sent a former head after it stopped leading a group. Its answers in
/// progress can last about as long as callers wait at most.
constexpr Duration kFormerHeadRetention = 15s;

const char* ToString(OrderOutcome outcome)
{
  switch (outcome) {
    case OrderOutcome::kBegun:
      return "begun";
    case OrderOutcome::kDone:
      return "done";
    case OrderOutcome::kRefused:
      return "refused";
    case OrderOutcome::kNoTarget:
      return "no-target";
    case OrderOutcome::kReplaced:
      return "replaced";
    case OrderOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

const char* StateName(const TargetAnnouncement& target)
{
  if (target.left) {
    return "left";
  }
  return target.draining ? "draining" : "ready";
}

} // namespace

ServingControl::ServingControl(OutsideApi api, EngineGroupsSettings groups)
  : m_api(std::move(api))
  , m_documents(m_api.isSameDocument)
  , m_groups(groups)
  , m_discoveryTime(groups.DiscoveryTime())
{
}

bool ServingControl::OnRequest(ControlContext& context, const HttpRequestIn& request)
{
  if (!m_api.IsSet()) {
    return false;
  }
  const std::optional<OutsideCall> call = m_api.decode(request);
  if (!call) {
    return false;
  }
  std::visit([&](const auto& value) { Handle(context, request, value); }, *call);
  return true;
}

void ServingControl::Handle(ControlContext& context,
                            const HttpRequestIn& request,
                            const PutDocumentCall& call)
{
  if (IsForLeader(context, request, OutsideStatus::kUnconfirmed)) {
    m_documents.OnPut(context, request.exchange, call.text, m_api.readDocument, Responder(context));
  }
}

void ServingControl::Handle(ControlContext& context,
                            const HttpRequestIn& request,
                            const GetDocumentCall&)
{
  if (IsForLeader(context, request, OutsideStatus::kUnavailable)) {
    m_documents.OnGet(context, request.exchange, Responder(context));
  }
}

// A positive response to a leaving target means that it will soon receive no more work. Only the
// leader sends the state of targets to the entries, so that a process that has recorded no leader
// refuses announcements.
void ServingControl::Handle(ControlContext& context,
                            const HttpRequestIn& request,
                            const AnnounceCall& call)
{
  if (!context.ready && context.replication.leaderHint.IsNone()) {
    Respond(
      context, request.exchange, { OutsideStatus::kUnavailable, {}, "no leader is known", {}, {} });
    return;
  }
  const InstanceId& instance = call.announcement.instance;
  if (!IsServiceKnown(call.announcement)) {
    // Only a confirmed leader certainly has the newest document.
    const std::string reason = "no document names its service";
    const OutsideStatus status =
      context.HasFreshQuorum() ? OutsideStatus::kInvalid : OutsideStatus::kUnavailable;
    m_refused.Note(instance.Get(), reason);
    Respond(context, request.exchange, { status, {}, reason, {}, {} });
    return;
  }
  const TargetTable::Change change = m_targets.Update(context.now, call.announcement);
  if (RefuseUnrecorded(context, request, instance, change)) {
    return;
  }
  const bool stateChanged = change == TargetTable::Change::kState;
  if (change != TargetTable::Change::kNone) {
    m_relay.Enqueue(context, instance, stateChanged);
  }
  if (stateChanged) {
    ReportTargetChange(context, instance);
  }
  if (call.announcement.draining) {
    AnswerTarget(context, request, instance);
  } else {
    Respond(context, request.exchange, {});
  }
}

// An announcement with a wrong service under a target's name would remove the target from its
// service. Announcements are always accepted before the first document, and for a known target
// whose service is no longer in the document.
bool ServingControl::IsServiceKnown(const TargetAnnouncement& announcement) const
{
  const TargetRow* row = m_targets.Find(announcement.instance);
  if (row != nullptr && row->latest.service == announcement.service) {
    return true;
  }
  return !m_document ||
         std::ranges::find(m_document->services, announcement.service, &ServiceDefinition::name) !=
           m_document->services.end();
}

void ServingControl::Handle(ControlContext& context,
                            const HttpRequestIn& request,
                            const LeaveCall& call)
{
  if (!context.ready && context.replication.leaderHint.IsNone()) {
    Respond(
      context, request.exchange, { OutsideStatus::kUnavailable, {}, "no leader is known", {}, {} });
    return;
  }
  const TargetTable::Change change = m_targets.MarkLeft(context.now, call.instance);
  if (RefuseUnrecorded(context, request, call.instance, change)) {
    return;
  }
  if (change == TargetTable::Change::kState) {
    ReportTargetChange(context, call.instance);
  }
  m_relay.Enqueue(context, call.instance, true);
  AnswerTarget(context, request, call.instance);
}

// A late message may contradict the table: then it states nothing that must be kept.
void ServingControl::AnswerTarget(ControlContext& context,
                                  const HttpRequestIn& request,
                                  const InstanceId& instance)
{
  if (const std::optional<Departure> departure = m_targets.DepartureOf(instance)) {
    m_departures.OnCall(context, request.exchange, *departure, Responder(context));
  } else {
    Respond(context, request.exchange, {});
  }
}

bool ServingControl::RefuseUnrecorded(ControlContext& context,
                                      const HttpRequestIn& request,
                                      const InstanceId& instance,
                                      TargetTable::Change change)
{
  const bool isTooLong = change == TargetTable::Change::kTooLong;
  if (!isTooLong && change != TargetTable::Change::kFull) {
    return false;
  }
  const std::string reason =
    isTooLong ? "its name exceeds " + std::to_string(TargetTable::kMaxInstanceBytes) +
                  " bytes, or all its names " + std::to_string(TargetTable::kMaxNameBytes)
              : "no room: " + std::to_string(TargetTable::kMaxTargets) + " targets are known";
  m_refused.Note(instance.Get().substr(0, kMaxReportedName), reason);
  Respond(
    context,
    request.exchange,
    { isTooLong ? OutsideStatus::kInvalid : OutsideStatus::kUnavailable, {}, reason, {}, {} });
  return true;
}

void ServingControl::Handle(ControlContext& context,
                            const HttpRequestIn& request,
                            const EvacuateCall& call)
{
  if (IsForLeader(context, request, OutsideStatus::kUnconfirmed)) {
    m_evacuations.OnOrder(context, request.exchange, call, Responder(context));
  }
}

void ServingControl::Handle(ControlContext& context,
                            const HttpRequestIn& request,
                            const MalformedCall& call)
{
  m_refused.Note(call.caller, call.reason);
  Respond(context, request.exchange, { OutsideStatus::kInvalid, {}, call.reason, {}, {} });
}

bool ServingControl::IsForLeader(ControlContext& context,
                                 const HttpRequestIn& request,
                                 OutsideStatus withoutLeader)
{
  if (context.ready) {
    return true;
  }
  OutsideAnswer answer{ withoutLeader, {}, "no leader is known", {}, {} };
  for (const EntrySettings::Control& control : context.controls) {
    const bool leads = control.process == context.replication.leaderHint;
    if (leads && control.process != context.settings.process) {
      answer = {
        OutsideStatus::kNotLeader, {}, "another process leads", control.address, request.target
      };
    }
  }
  Respond(context, request.exchange, answer);
  return false;
}

void ServingControl::Respond(ControlContext& context,
                             ExchangeId exchange,
                             const OutsideAnswer& answer)
{
  context.outbox.emplace_back(m_api.encode(exchange, answer));
}

DocumentService::Respond ServingControl::Responder(ControlContext& context)
{
  return [this, &context](ExchangeId exchange, const OutsideAnswer& answer) {
    Respond(context, exchange, answer);
  };
}

void ServingControl::ReportTargetChange(ControlContext& context, const InstanceId& instance)
{
  m_nextReconcile = context.now;
  m_departures.OnChange(instance);
  const TargetAnnouncement& target = m_targets.Find(instance)->latest;
  context.outbox.emplace_back(
    MakeEvent(EventNumber::kTargetChanged,
              { { "target", instance.Get() },
                { "service", target.service },
                { "address", target.address },
                { "state", StateName(target) },
                { "group", target.membership.group },
                { "epoch", std::to_string(target.membership.epoch.Get()) },
                { "member", wire::EnumNameMemberState(target.membership.state) },
                { "born", std::to_string(target.born.Get()) },
                { "sequence", std::to_string(target.sequence) },
                { "loaded", target.loadedModel },
                { "staged", Join(target.stagedModels, ",") } }));
}

void ServingControl::OnTargetReport(ControlContext& context, const wire::TargetHeardT& report)
{
  const TargetTable::Change change =
    report.left
      ? m_targets.MarkLeft(context.now, InstanceId(report.instance), Incarnation(report.born))
      : m_targets.Update(context.now, FromWire(report));
  if (change == TargetTable::Change::kState) {
    m_nextReconcile = context.now;
    m_departures.OnChange(InstanceId(report.instance));
  }
}

void ServingControl::OnTargetsHeard(ControlContext& context,
                                    const ProcessId& peer,
                                    const wire::TargetsHeardT& targets)
{
  for (const auto& heard : targets.heard) {
    OnTargetReport(context, *heard);
  }
  for (const auto& alive : targets.alive) {
    if (m_targets.Update(context.now, *alive) == TargetTable::Refresh::kUnknownState) {
      m_relay.Request(peer, InstanceId(alive->instance));
    }
  }
  for (const std::string& wanted : targets.wanted) {
    m_relay.OnRequest(context, peer, InstanceId(wanted));
  }
}

void ServingControl::OnFrame(ControlContext& context,
                             const ProcessId& peer,
                             const wire::BodyUnion& body)
{
  if (const wire::TargetsHeardT* targets = body.AsTargetsHeard()) {
    OnTargetsHeard(context, peer, *targets);
    return;
  }
  const wire::ServingQueryT* query = body.AsServingQuery();
  if (query == nullptr) {
    return;
  }
  if (context.ready && context.HasFreshQuorum()) {
    m_feed.OnQuery(context, peer, *query);
    const bool reportsFailure =
      std::ranges::any_of(query->heads, [](const auto& head) { return head->failing; });
    m_nextReconcile = reportsFailure ? context.now : m_nextReconcile;
  } else {
    m_controlLists.OnQuery(context, peer);
  }
}

void ServingControl::OnPeerUp(const ControlContext& context, const ProcessId& peer)
{
  m_relay.OnPeerUp(context, peer, m_targets);
}

void ServingControl::OnPeerDown(const ProcessId& peer)
{
  m_feed.OnPeerDown(peer);
  m_controlLists.OnPeerDown(peer);
  m_relay.OnPeerDown(peer);
}

void ServingControl::OnCallerGone(ExchangeId exchange)
{
  m_documents.OnCallerGone(exchange);
  m_evacuations.OnCallerGone(exchange);
  m_departures.OnCallerGone(exchange);
}

void ServingControl::OnLeaderStart()
{
  m_groups.OnLeaderStart();
  m_feed.OnLeaderStart();
  m_departures.OnLeaderStart();
  m_nextReconcile = TimePoint{};
}

void ServingControl::OnLeadershipLost(ControlContext& context)
{
  m_documents.OnLeadershipLost(Responder(context));
  m_evacuations.OnLeadershipLost(Responder(context));
  m_departures.OnLeadershipLost(Responder(context));
}

void ServingControl::Tick(ControlContext& context)
{
  if (!m_api.IsSet()) {
    return;
  }
  if (m_startedAt == TimePoint{}) {
    m_startedAt = context.now;
  }
  if (context.now >= m_nextForget) {
    m_nextForget = context.now + kForgetInterval;
    m_targets.RemoveExpired(context.now);
  }
  if (std::optional<EventOut> report = m_refused.TakeReport(context.now)) {
    context.outbox.emplace_back(std::move(*report));
  }
  m_departures.ApplyCommitted(context, m_targets);
  m_relay.Tick(context, m_targets);
  ApplyStoredDocument(context);
  FollowEvacuations(context);
  m_departures.Tick(context, m_targets, Responder(context));
  if (!context.ready) {
    return;
  }
  m_documents.Tick(context, Responder(context));
  m_evacuations.Tick(context, Responder(context));
  // A deposed leader that has not detected it yet must send neither orders nor state to entries.
  if (!context.HasFreshQuorum()) {
    return;
  }
  if (context.now >= m_nextReconcile) {
    m_nextReconcile = context.now + kReconcileInterval;
    ReconcileGroups(context);
    m_feed.SetTargets(ListTargets(context));
  }
  m_feed.SetTargetsComplete(HaveAllTargetsReported(context.now));
  m_feed.Tick(context);
}

void ServingControl::ApplyStoredDocument(ControlContext& context)
{
  const StoredDocument& stored = context.state.GetDocument();
  if (stored.version == m_documentVersion) {
    return;
  }
  m_documentVersion = stored.version;
  Result<ServingDocument> document = m_api.readDocument(stored.text);
  if (!document) {
    context.outbox.emplace_back(MakeEvent(
      EventNumber::kDocumentRefused,
      { { "version", std::to_string(stored.version) }, { "reason", ToString(document.error()) } }));
    return;
  }
  m_document = std::move(document).value();
  context.outbox.emplace_back(
    MakeEvent(EventNumber::kDocumentAccepted,
              { { "version", std::to_string(stored.version) },
                { "routes", std::to_string(m_document->routes.size()) },
                { "services", std::to_string(m_document->services.size()) },
                { "workspaces", std::to_string(m_document->workspaces.size()) },
                { "bytes", std::to_string(stored.text.size()) } }));
}

void ServingControl::FollowEvacuations(const ControlContext& context)
{
  const std::set<FailureDomainId>& evacuated = context.state.Evacuated();
  if (evacuated == m_evacuated) {
    return;
  }
  for (const FailureDomainId& domain : m_evacuated) {
    if (!evacuated.contains(domain)) {
      m_withdrawnAt[domain] = context.now;
    }
  }
  m_evacuated = evacuated;
  m_nextReconcile = context.now;
}

void ServingControl::ReconcileGroups(ControlContext& context)
{
  if (!m_document) {
    return;
  }
  std::vector<GroupOrder> orders;
  std::vector<EventOut> events;
  const std::set<InstanceId> answering = m_feed.AnsweringHeads(context.now);
  const std::set<InstanceId> failing = m_feed.FailingHeads(context.now);
  const std::map<std::string, ModelDemand> demand = m_feed.Demand();
  const std::map<InstanceId, Duration> steps = m_feed.HeadSteps(context.now);
  m_groups.Tick({ context.now,
                  context.replication.term,
                  m_targets,
                  *m_document,
                  HaveAllTargetsReported(context.now),
                  m_feed.HasTraffic(),
                  answering,
                  failing,
                  demand,
                  steps,
                  context.state.Evacuated() },
                orders,
                events);
  for (EventOut& event : events) {
    context.outbox.emplace_back(std::move(event));
  }
  for (GroupOrder& order : orders) {
    const ExchangeId exchange(++m_lastOrder);
    TargetCallOut call = m_api.encodeOrder(exchange, order);
    call.totalTimeout = call.timeout;
    call.maxAnswerBytes = kMaxOrderAnswerBytes;
    context.outbox.emplace_back(std::move(call));
    m_pendingOrders.emplace(exchange, PendingOrder{ std::move(order), context.now, 0, {} });
  }
}

void ServingControl::OnOrderAnswer(ControlContext& context, const TargetAnswerIn& answer)
{
  const auto found = m_pendingOrders.find(answer.exchange);
  if (found == m_pendingOrders.end()) {
    return;
  }
  PendingOrder& pending = found->second;
  pending.status = answer.status.value_or(pending.status);
  // Only the answer to a probe has a body that is needed.
  if (pending.order.kind == GroupOrderKind::kProbe) {
    pending.body += answer.bytes;
    if (!answer.end) {
      return;
    }
    HandleReport(context, pending);
  }
  CompleteOrder(
    context, answer.exchange, m_api.decodeOrderStatus(pending.status), pending.status, "");
}

void ServingControl::HandleReport(ControlContext& context, const PendingOrder& pending)
{
  const bool isAnswer = m_api.decodeOrderStatus(pending.status) == OrderOutcome::kDone;
  const TargetRow* row = m_targets.Find(pending.order.target);
  if (isAnswer && row != nullptr && row->latest.born == pending.order.born) {
    m_groups.OnReport(context.now, pending.order, m_api.decodeReport(pending.body));
  }
}

void ServingControl::OnOrderFailed(ControlContext& context, const TargetFailedIn& failed)
{
  const bool nobodyThere = failed.neverSent && failed.error.code == ErrorCode::kUnavailable;
  CompleteOrder(context,
                failed.exchange,
                nobodyThere ? OrderOutcome::kNoTarget : OrderOutcome::kUnknown,
                0,
                ToString(failed.error));
}

void ServingControl::CompleteOrder(ControlContext& context,
                                   ExchangeId exchange,
                                   OrderOutcome outcome,
                                   unsigned status,
                                   const std::string& error)
{
  const auto found = m_pendingOrders.find(exchange);
  if (found == m_pendingOrders.end()) {
    return;
  }
  const PendingOrder pending = std::move(found->second);
  m_pendingOrders.erase(found);
  context.outbox.emplace_back(
    MakeEvent(EventNumber::kGroupOrderEnded,
              { { "target", pending.order.target.Get() },
                { "order", gooseberrysail::ToString(pending.order.kind) },
                { "group", pending.order.group },
                { "outcome", ToString(outcome) },
                { "status", std::to_string(status) },
                { "millis", std::to_string(ToMillis(context.now - pending.since)) },
                { "error", error } }));
  // The outcome for a former incarnation of a target is irrelevant for the current one.
  const TargetRow* row = m_targets.Find(pending.order.target);
  if (row == nullptr || row->latest.born == pending.order.born) {
    m_groups.OnOrderOutcome(context.now, pending.order, outcome);
  }
  m_nextReconcile = context.now; // The next step may follow immediately.
}

// Engines that lead no group take no requests, and they are the majority of the targets: with all
// of them entries would receive six rows for each one that they use. Recent heads are included,
// because entries may have requests in progress there.
bool ServingControl::TakesRequests(const TargetAnnouncement& target) const
{
  const bool hasEngine = m_document && FindEngine(*m_document, target.service) != nullptr;
  return !hasEngine || m_lastLedAt.contains(target.instance);
}

std::vector<ServedTarget> ServingControl::ListTargets(const ControlContext& context)
{
  const std::map<InstanceId, std::string> heads = m_groups.ServingHeads();
  for (const auto& [head, model] : heads) {
    m_lastLedAt[head] = context.now;
  }
  std::erase_if(m_lastLedAt,
                [&](const auto& head) { return context.now - head.second > kFormerHeadRetention; });
  std::vector<ServedTarget> targets;
  for (const auto& [instance, row] : m_targets.Rows()) {
    const TargetAnnouncement& latest = row.latest;
    if (latest.address.empty() || context.now - row.lastSeenAt > TargetTable::kDepartedRetention ||
        !TakesRequests(latest)) {
      continue;
    }
    ServedTarget target{
      instance, latest.service, latest.address, latest.failureDomain, latest.slots, false,
      {},       latest.born
    };
    target.leaving =
      latest.left || latest.draining || context.state.Evacuated().contains(latest.failureDomain);
    if (const auto head = heads.find(instance); head != heads.end()) {
      target.servedModel = head->second;
    }
    SetCold(row, target);
    targets.push_back(std::move(target));
  }
  return targets;
}

// The targets of a domain may have become cold during its evacuation; their heartbeats say so only
// after up to a heartbeat interval.
void ServingControl::SetCold(const TargetRow& row, ServedTarget& target) const
{
  if (!m_document) {
    return;
  }
  const auto service =
    std::ranges::find(m_document->services, target.service, &ServiceDefinition::name);
  if (service == m_document->services.end() || service->coldPerSecond == 0) {
    return;
  }
  target.coldPerSecond = service->coldPerSecond;
  target.coldUntil = row.coldUntil;
  const auto withdrawn = m_withdrawnAt.find(target.failureDomain);
  if (withdrawn != m_withdrawnAt.end()) {
    target.coldUntil = std::max(target.coldUntil, withdrawn->second + service->coldStart);
  }
}

} // namespace gooseberrysail
