#include "gooseberrysail/roles/gateway_role.hpp"

#include "gooseberrysail/gateway/dispatcher.hpp"
#include "gooseberrysail/gateway/feed_client.hpp"
#include "gooseberrysail/gateway/stop_times.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <optional>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

constexpr const char* kStopping = "this entry stops";
/// The caller can retry soon, since its next connection reaches another entry.
constexpr Duration kStoppingRetry = 50ms;

} // namespace

struct GatewayRole::Impl
{
  Impl(GatewaySettings settings, const RoleHooks& hooks, const GatewayApi& api)
    : dispatcher(api, settings.retries, settings.failureDomain, hooks.random)
    , feed(std::move(settings.controls), settings.failureDomain, api.readDocument)
    , stopTimes(StopTimesFor(settings.stopTimeout))
  {
    dispatcher.Selector().SetDrainTime(settings.targetDrainTime);
    dispatcher.SetAnswerLimits(settings.answerLimits);
    dispatcher.SetForecasts(settings.predictFirstEvent);
    dispatcher.SetRetryPlaces(settings.retryPlaces);
  }

  using Outbox = std::vector<GatewayOutput>;

  void Handle(TimePoint, const PeerUp&, Outbox&) { feed.OnPeerUp(); }
  void Handle(TimePoint, const PeerDown& input, Outbox&) { feed.OnPeerDown(input.peer); }
  void Handle(TimePoint now, const FrameIn& input, Outbox& outbox)
  {
    if (const wire::ServingStateT* state = input.envelope->body.AsServingState()) {
      feed.OnState(now, input.peer, *state, dispatcher, outbox);
    }
  }
  void Handle(TimePoint now, const HttpRequestIn& input, Outbox& outbox)
  {
    // A request accepted now might not finish before the process is killed.
    if (stopped) {
      dispatcher.Refuse(now, input, kStopping, kStoppingRetry, outbox);
      return;
    }
    dispatcher.OnRequest(now, input, feed.Snapshot(), outbox);
  }
  void Handle(TimePoint now, const HttpCallerGone& input, Outbox& outbox)
  {
    dispatcher.OnCallerGone(now, input.exchange, outbox);
  }
  void Handle(TimePoint now, const TargetAnswerIn& input, Outbox& outbox)
  {
    dispatcher.OnAnswer(now, input, outbox);
  }
  void Handle(TimePoint now, const TargetFailedIn& input, Outbox& outbox)
  {
    dispatcher.OnFailed(now, input, outbox);
  }
  void Handle(TimePoint now, const StopRequested&, Outbox& outbox)
  {
    stopSince = now;
    dispatcher.EndBy(now + stopTimes.endRequests, kStoppingRetry);
    outbox.emplace_back(MakeEvent(EventNumber::kProcessStopping,
                                  { { "inFlight", std::to_string(dispatcher.InFlight()) } }));
  }

  void ReportReadiness(Outbox& outbox)
  {
    const bool ready = IsReady();
    if (ready == reportedReady) {
      return;
    }
    reportedReady = ready;
    const char* reason = stopSince ? "stopping" : "document and targets are known";
    outbox.emplace_back(MakeEvent(EventNumber::kGatewayReadiness,
                                  { { "ready", ready ? "yes" : "no" }, { "reason", reason } }));
  }

  void FinishStopping(TimePoint now, Outbox& outbox)
  {
    if (stopSince && !stopped && now - *stopSince >= stopTimes.drain) {
      stopped = true;
      outbox.emplace_back(StoppedOut{});
    }
    if (stopSince && now - *stopSince >= stopTimes.endRequests) {
      dispatcher.EndAll(now, kStopping, kStoppingRetry, outbox);
    }
  }

  [[nodiscard]] bool IsReady() const noexcept { return feed.IsReady() && !stopSince; }

  Dispatcher dispatcher;
  FeedClient feed;
  StopTimes stopTimes;
  std::optional<TimePoint> stopSince;
  bool stopped = false;
  bool reportedReady = false;
};

GatewayRole::GatewayRole(GatewaySettings settings, const RoleHooks& hooks, const GatewayApi& api)
  : m_impl(std::make_unique<Impl>(std::move(settings), hooks, api))
{
}

GatewayRole::~GatewayRole() = default;

void GatewayRole::Tick(TimePoint now,
                       std::span<const GatewayInput> inbox,
                       std::vector<GatewayOutput>& outbox)
{
  for (const GatewayInput& input : inbox) {
    std::visit([&](const auto& value) { m_impl->Handle(now, value, outbox); }, input);
  }
  m_impl->dispatcher.Tick(now, outbox);
  m_impl->feed.Tick(now, m_impl->dispatcher, outbox);
  m_impl->ReportReadiness(outbox);
  m_impl->FinishStopping(now, outbox);
}

void GatewayRole::AddControls(std::vector<EntrySettings::Control> controls)
{
  m_impl->feed.AddControls(std::move(controls));
}

std::optional<CallerLimits> GatewayRole::LimitsOnCallers() const
{
  const ServingSnapshot snapshot = m_impl->feed.Snapshot();
  return snapshot.index ? std::optional(snapshot.index->Document().limits) : std::nullopt;
}

void GatewayRole::SetHeldAnswerHook(HeldAnswerHook hook)
{
  m_impl->dispatcher.SetHeldAnswerHook(std::move(hook));
}

bool GatewayRole::IsReady() const noexcept
{
  return m_impl->IsReady();
}

} // namespace gooseberrysail
