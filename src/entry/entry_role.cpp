#include "gooseberrysail/roles/entry_role.hpp"

#include "gooseberrysail/entry/attempt_flow.hpp"
#include "gooseberrysail/entry/attempt_recovery.hpp"
#include "gooseberrysail/entry/claim_flow.hpp"
#include "gooseberrysail/entry/configuration_flow.hpp"
#include "gooseberrysail/entry/control_reports.hpp"
#include "gooseberrysail/entry/entry_context.hpp"
#include "gooseberrysail/entry/intake.hpp"
#include "gooseberrysail/entry/request_end.hpp"
#include "gooseberrysail/entry/request_lookups.hpp"
#include "gooseberrysail/gateway/stop_times.hpp"

namespace gooseberrysail {

struct EntryRole::Impl
{
  Impl(EntrySettings settings, RoleHooks hooks)
    : context(std::move(settings), std::move(hooks))
    , stopTimes(StopTimesFor(context.settings.stopTimeout))
  {
  }

  void On(const PeerUp& up)
  {
    context.peers.OnUp(up);
    context.routes.OnPeerUp(up.peer, context.router);
    impl::UpdateCapacity(context);
    impl::ResumeAttempts(context, up);
    if (context.config.IsControl(up.peer)) {
      context.config.QueryNow();
    }
  }

  void On(const PeerDown& down)
  {
    if (!context.peers.OnDown(down)) {
      return;
    }
    context.routes.OnPeerDown(down.peer, context.router);
    impl::UpdateCapacity(context);
    impl::SuspendAttempts(context, down);
    context.config.OnPeerDown(down.peer);
  }

  void On(const HttpRequestIn& http) { impl::OnHttpRequest(context, lookups, http); }

  void On(const HttpCallerGone& gone)
  {
    impl::OnCallerGone(context, gone.exchange);
    lookups.OnCallerGone(gone.exchange);
  }

  void On(const StopRequested&)
  {
    if (!context.stopping) {
      context.stopping = true;
      stoppingSince = context.now;
      context.Emit(EventNumber::kProcessStopping,
                   { { "inFlight", std::to_string(context.requests.Size()) } });
    }
  }

  void On(const FrameIn& frame)
  {
    if (frame.envelope->version > context.catalogue.Version().Get()) {
      context.config.QueryNow();
    }
    if (context.config.IsControl(frame.peer)) {
      OnControlFrame(frame.peer, frame.envelope->body);
    } else {
      OnAgentFrame(frame.peer, frame.envelope->body);
    }
    if (const auto* query = frame.envelope->body.AsRequestQuery()) {
      impl::RequestLookups::OnQuery(context, frame.peer, *query);
    } else if (const auto* answer = frame.envelope->body.AsRequestAnswer()) {
      lookups.OnAnswer(context, *answer);
    }
  }

  void OnControlFrame(const ProcessId& from, const wire::BodyUnion& body)
  {
    if (const auto* state = body.AsConfigState()) {
      impl::ConfigurationFlow::OnState(context, from, *state);
    } else if (const auto* routes = body.AsRoutesUpdate()) {
      impl::ConfigurationFlow::OnRoutes(context, from, *routes);
    } else if (const auto* claim = body.AsClaimReply()) {
      impl::OnClaimReply(context, *claim);
    } else if (const auto* ack = body.AsClaimOutcomeAck()) {
      context.claims.OnOutcomeAck(ack->request);
    } else if (const auto* shares = body.AsShareUpdate()) {
      impl::ConfigurationFlow::OnShares(context, *shares);
    }
  }

  void OnAgentFrame(const ProcessId& from, const wire::BodyUnion& body)
  {
    if (const auto* output = body.AsOutput()) {
      impl::OnOutput(context, from, *output);
    } else if (const auto* refused = body.AsRefused()) {
      impl::OnRefused(context, from, *refused);
    } else if (const auto* sealed = body.AsSealReply()) {
      impl::OnSealReply(context, from, *sealed);
    } else if (const auto* unknown = body.AsUnknownRequest()) {
      impl::OnUnknownRequest(context, from, *unknown);
    } else if (const auto* load = body.AsLoadReport()) {
      OnLoad(from, *load);
    } else if (const auto* cache = body.AsCacheReport()) {
      context.router.OnCacheReport(context.now,
                                   GroupId(cache->group),
                                   cache->sequence,
                                   cache->added,
                                   cache->removed,
                                   cache->reset);
    }
  }

  void OnLoad(const ProcessId& from, const wire::LoadReportT& report)
  {
    const RouteCandidate* route = context.routes.Find(GroupId(report.group));
    if (route == nullptr || route->head != from || route->epoch.Get() != report.epoch) {
      return;
    }
    LoadObservation load;
    load.running = report.running;
    load.queued = report.queued;
    load.kvUsedPermille = report.kvUsedPermille;
    load.open = report.open;
    load.leaving = report.leaving;
    load.age = std::chrono::milliseconds(report.ageMillis);
    context.router.OnLoad(context.now, GroupId(report.group), load);
  }

  void RunTimers()
  {
    if (context.now >= nextSweep) {
      nextSweep = context.now + EntryRole::kTickInterval;
      impl::SweepRequests(context);
      impl::UpdateOccupancy(context);
      context.records.Expire(context.now);
      lookups.Tick(context);
    }
    configuration.Tick(context);
    context.routes.Tick(
      context.now, context.peers, [this](const ProcessId& peer, const std::string& address) {
        context.Send(peer, address, wire::PingT{});
      });
    context.claims.Tick(
      context.now,
      { [this](wire::ClaimRequestT claim) { context.SendToControl(std::move(claim)); },
        [this](wire::ClaimOutcomeT outcome) { context.SendToControl(std::move(outcome)); } });
    reports.Tick(context);
  }

  /// Answers the callers before the supervisor kills the process, and then reports the claims of
  /// the requests whose outcome has not become known.
  void EndRequestsInTime()
  {
    if (!context.stopping) {
      return;
    }
    const Duration passed = context.now - stoppingSince;
    if (passed >= stopTimes.endRequests) {
      impl::AnswerAll(context, reason::kShuttingDown);
      lookups.EndAll(context);
    }
    if (passed >= stopTimes.close) {
      impl::CutKeyed(context, reason::kShuttingDown);
    }
  }

  /// A stop before a claim's outcome is acknowledged would leave the state of its key "unknown" for
  /// good. An unkeyed request whose caller was answered delays nothing: only its record is left to
  /// update, and that is lost with this process.
  [[nodiscard]] bool IsDrained() const
  {
    const auto blocksShutdown = [](const Request& request) {
      return request.caller.waiting || !request.key.empty();
    };
    return context.claims.Unreported() == 0 && lookups.Empty() &&
           context.requests.IdsWhere(blocksShutdown).empty();
  }

  void StopWhenDone()
  {
    if (!context.stopping || stopped || !IsDrained()) {
      return;
    }
    stopped = true;
    context.outbox->emplace_back(StoppedOut{});
  }

  impl::EntryContext context;
  impl::RequestLookups lookups;
  impl::ConfigurationFlow configuration;
  impl::ControlReports reports;
  StopTimes stopTimes;
  TimePoint stoppingSince{};
  TimePoint nextSweep{};
  bool stopped = false;
};

EntryRole::EntryRole(EntrySettings settings, RoleHooks hooks)
  : m_impl(std::make_unique<Impl>(std::move(settings), std::move(hooks)))
{
}

EntryRole::~EntryRole() = default;

void EntryRole::Tick(TimePoint now,
                     std::span<const EntryInput> inbox,
                     std::vector<EntryOutput>& outbox)
{
  m_impl->context.now = now;
  m_impl->context.outbox = &outbox;
  for (const EntryInput& input : inbox) {
    std::visit([this](const auto& each) { m_impl->On(each); }, input);
  }
  m_impl->EndRequestsInTime();
  m_impl->RunTimers();
  impl::FlushAcks(m_impl->context);
  m_impl->StopWhenDone();
  m_impl->context.outbox = nullptr;
}

} // namespace gooseberrysail
