#include "gooseberrysail/roles/agent_role.hpp"

#include "gooseberrysail/agent/announcer.hpp"
#include "gooseberrysail/agent/cache_feed.hpp"
#include "gooseberrysail/agent/config_client.hpp"
#include "gooseberrysail/agent/control_link.hpp"
#include "gooseberrysail/agent/engine_orders.hpp"
#include "gooseberrysail/agent/group_system.hpp"
#include "gooseberrysail/agent/load_reports.hpp"
#include "gooseberrysail/agent/request_system.hpp"
#include "gooseberrysail/agent/target_probe.hpp"

#include <utility>

namespace gooseberrysail {

namespace {

/// How long a stopping agent without requests waits for control to release its group.
constexpr Duration kReleaseTimeout = std::chrono::seconds(30);
/// The same for a member whose head still sends heartbeat requests; the head may be streaming a
/// long answer.
constexpr Duration kReleaseTimeoutWithActiveHead = std::chrono::minutes(15);

} // namespace

struct AgentRole::Impl
{
  Impl(AgentSettings initialSettings, RoleHooks initialHooks)
    : settings(std::move(initialSettings))
    , hooks(std::move(initialHooks))
    , link(settings.controls)
    , config(hooks.random)
    , group(settings, GroupSystem::Dependencies{ link, config, probe, orders }, hooks.random)
    , requests(settings.incarnation,
               settings.maxHeldOutputBytes,
               RequestHooks{
                 [this](TimePoint now) { return group.Gate(now); },
                 [this](TimePoint now) { return group.GroupIntact(now); },
                 [this](GroupId id, Epoch epoch) { return group.Membership().Holds(id, epoch); },
                 [this] { return group.Limits(); } })
  {
  }

  void Handle(impl::AgentContext& context, const PeerUp& up);
  void Handle(impl::AgentContext& context, const PeerDown& down);
  void Handle(impl::AgentContext& context, const FrameIn& frame);
  void Handle(impl::AgentContext& context, const TargetAnswerIn& answer);
  void Handle(impl::AgentContext& context, const TargetFailedIn& failure);
  void Handle(impl::AgentContext& context, const StopRequested&);
  void HandleGroupFrame(impl::AgentContext& context, const FrameIn& frame);
  void HandleRequestFrame(impl::AgentContext& context, const FrameIn& frame);
  void RunSystems(impl::AgentContext& context);
  void ReportLoad(impl::AgentContext& context);
  void AdvanceStop(impl::AgentContext& context);
  [[nodiscard]] Duration ConfigRenewAfter(TimePoint now) const;
  [[nodiscard]] std::string LoadedModel() const;

  AgentSettings settings;
  RoleHooks hooks;
  ControlLink link;
  ConfigClient config;
  TargetProbe probe;
  EngineOrders orders;
  GroupSystem group;
  RequestSystem requests;
  Announcer announcer;
  LoadReports loadReports;
  CacheFeed cacheFeed;
  std::uint64_t lastExchange = 0;
  GroupId lastGroup;
  Epoch lastEpoch;
  bool leaving = false;
  bool stopped = false;
  std::optional<TimePoint> idleSince;
};

void AgentRole::Impl::Handle(impl::AgentContext& context, const PeerUp& up)
{
  requests.OnPeerUp(context, up.peer, up.incarnation);
}

void AgentRole::Impl::Handle(impl::AgentContext& context, const PeerDown& down)
{
  requests.OnPeerDown(context, down.peer);
  loadReports.OnDown(down.peer);
  link.OnDown(down.peer);
}

void AgentRole::Impl::Handle(impl::AgentContext& context, const FrameIn& frame)
{
  if (!frame.envelope) {
    return;
  }
  config.OnVersionSeen(LogIndex(frame.envelope->version));
  HandleGroupFrame(context, frame);
  HandleRequestFrame(context, frame);
}

void AgentRole::Impl::HandleGroupFrame(impl::AgentContext& context, const FrameIn& frame)
{
  const auto& body = frame.envelope->body;
  if (const auto* beatRequest = body.AsBeatRequest()) {
    group.OnBeatRequest(context, frame, *beatRequest);
  } else if (const auto* beatReply = body.AsBeatReply()) {
    group.OnBeatReply(*beatReply);
  } else if (!link.IsControl(frame.peer)) {
    return; // The remaining messages are accepted only from configured control processes.
  } else if (const auto* state = body.AsConfigState()) {
    config.OnState(context, link, frame.peer, *state);
  } else if (const auto* assign = body.AsAssign()) {
    group.OnAssign(context, requests, frame, *assign);
  } else if (const auto* release = body.AsRelease()) {
    group.OnRelease(context, frame, *release);
  } else if (const auto* grant = body.AsLeaseGrant()) {
    group.OnGrant(context, frame, *grant);
  }
}

void AgentRole::Impl::HandleRequestFrame(impl::AgentContext& context, const FrameIn& frame)
{
  const auto& body = frame.envelope->body;
  if (const auto* start = body.AsStart()) {
    loadReports.OnRequest(context.Now(), frame.peer);
    requests.OnStart(context, frame, *start);
  } else if (const auto* seal = body.AsSeal()) {
    requests.OnSeal(context, frame, *seal);
  } else if (const auto* resume = body.AsResume()) {
    loadReports.OnRequest(context.Now(), frame.peer);
    requests.OnResume(context, frame, *resume);
  } else if (const auto* cancel = body.AsCancel()) {
    requests.OnCancel(context, frame, *cancel);
  } else if (const auto* ack = body.AsAck()) {
    requests.OnAck(context, frame, *ack);
  }
}

void AgentRole::Impl::Handle(impl::AgentContext& context, const TargetAnswerIn& answer)
{
  if (probe.OnAnswer(answer) || orders.OnAnswer(context, answer, probe)) {
    return;
  }
  if (!cacheFeed.OnAnswer(context, answer, lastGroup, loadReports.ActiveEntries())) {
    requests.OnAnswer(context, answer);
  }
}

void AgentRole::Impl::Handle(impl::AgentContext& context, const TargetFailedIn& failure)
{
  if (!probe.OnFailed(failure) && !orders.OnFailed(context, failure) &&
      !cacheFeed.OnFailed(failure)) {
    requests.OnFailed(context, failure);
  }
}

void AgentRole::Impl::Handle(impl::AgentContext& context, const StopRequested&)
{
  if (std::exchange(leaving, true)) {
    return;
  }
  // Close the gate first: peers informed of the shutdown may rely on it.
  group.SetLeaving();
  context.Emit(EventNumber::kAgentLeaving,
               { { "inFlight", std::to_string(requests.Running() + requests.Queued()) } });
}

Duration AgentRole::Impl::ConfigRenewAfter(TimePoint now) const
{
  const bool relayed =
    group.Membership().Current() && !group.Membership().IsHead() && group.AnsweredHeadRecently(now);
  return relayed ? ConfigClient::kRelayedRenewAfter : ConfigClient::kRenewAfter;
}

std::string AgentRole::Impl::LoadedModel() const
{
  const TargetStatus& status = probe.Status();
  if (settings.kind == wire::TargetKind::Service || status.model.empty()) {
    return "";
  }
  return status.model + "@" + status.version;
}

void AgentRole::Impl::RunSystems(impl::AgentContext& context)
{
  probe.Tick(context);
  config.Tick(context, link, ConfigRenewAfter(context.Now()));
  orders.Tick(context, probe);
  group.Tick(context, requests);
  requests.Tick(context);
  announcer.Tick(context, link, group.Membership().Current(), LoadedModel(), leaving);
  ReportLoad(context);
  const bool feeding = settings.kind == wire::TargetKind::Engine && group.Membership().IsHead();
  cacheFeed.Tick(context, feeding && !loadReports.ActiveEntries().empty());
  AdvanceStop(context);
}

void AgentRole::Impl::ReportLoad(impl::AgentContext& context)
{
  if (const auto& assignment = group.Membership().Current()) {
    if (lastGroup != assignment->group) {
      cacheFeed.Reset();
    }
    lastGroup = assignment->group;
    lastEpoch = assignment->epoch;
  }
  const GateState gate = group.Gate(context.Now());
  const TargetStatus& status = probe.Status();
  GroupLoad load{ lastGroup, lastEpoch };
  load.running = requests.Running();
  load.queued = requests.Queued();
  load.kvUsedPermille = status.kvUsedPermille;
  load.tokensPerSecond = status.tokensPerSecond;
  load.open = gate.Open();
  load.leaving = gate.reason == GateReason::kLeaving || gate.reason == GateReason::kReleasing ||
                 gate.reason == GateReason::kDraining || gate.reason == GateReason::kNoGroup;
  load.age = status.aliveAsOf ? context.Now() - *status.aliveAsOf : Duration{};
  loadReports.Tick(context, load);
}

void AgentRole::Impl::AdvanceStop(impl::AgentContext& context)
{
  if (!leaving || stopped) {
    return;
  }
  if (!requests.Idle()) {
    idleSince.reset();
    return;
  }
  idleSince = idleSince.value_or(context.Now());
  const bool released = !group.Membership().Current().has_value();
  // If a member left while its head still streams an answer, that answer would be cut.
  const bool neededByHead =
    !group.Membership().IsHead() && group.AnsweredHeadRecently(context.Now());
  const Duration timeout = neededByHead ? kReleaseTimeoutWithActiveHead : kReleaseTimeout;
  if (!released && context.Now() - *idleSince < timeout) {
    return;
  }
  if (!released) {
    context.Emit(EventNumber::kAgentStopPatienceEnded, {});
  }
  stopped = true;
  context.Stopped();
}

AgentRole::AgentRole(AgentSettings settings, RoleHooks hooks)
  : m_impl(std::make_unique<Impl>(std::move(settings), std::move(hooks)))
{
}

AgentRole::~AgentRole() = default;

void AgentRole::Tick(TimePoint now,
                     std::span<const AgentInput> inbox,
                     std::vector<AgentOutput>& outbox)
{
  impl::AgentContext context(
    now, m_impl->settings, outbox, m_impl->lastExchange, m_impl->config.Version());
  for (const AgentInput& input : inbox) {
    std::visit([this, &context](const auto& each) { m_impl->Handle(context, each); }, input);
  }
  m_impl->RunSystems(context);
}

} // namespace gooseberrysail
