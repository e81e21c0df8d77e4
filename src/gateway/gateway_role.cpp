#include "gooseberrysail/roles/gateway_role.hpp"

#include "gooseberrysail/gateway/dispatcher.hpp"
#include "gooseberrysail/gateway/feed_client.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <optional>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// A balancer asks once a second and takes a process out after two misses; until then it sends
/// callers, and they are served.
constexpr Duration kNoticeTime = 2500ms;
/// The caller's next connection reaches another entry.
constexpr Duration kStoppingRetry = 50ms;

} // namespace

struct GatewayRole::Impl
{
  Impl(GatewaySettings settings, const RoleHooks& hooks, const GatewayApi& api)
    : dispatcher(api, settings.retries, settings.failureDomain, hooks.random)
    , feed(std::move(settings.controls), settings.failureDomain, api.readDocument)
  {
  }

  using Outbox = std::vector<GatewayOutput>;

  void Take(TimePoint, const PeerUp&, Outbox&) { feed.OnPeerUp(); }
  void Take(TimePoint, const PeerDown&, Outbox&) {}
  void Take(TimePoint now, const FrameIn& input, Outbox& outbox)
  {
    if (const wire::ServingStateT* state = input.envelope->body.AsServingState()) {
      feed.OnState(now, input.peer, *state, dispatcher, outbox);
    }
  }
  void Take(TimePoint now, const HttpRequestIn& input, Outbox& outbox)
  {
    // What is begun now might not end before the process is killed.
    if (stopped) {
      dispatcher.Refuse(now, input, "this entry stops", kStoppingRetry, outbox);
      return;
    }
    dispatcher.OnRequest(now, input, feed.Knowledge(), outbox);
  }
  void Take(TimePoint now, const HttpCallerGone& input, Outbox& outbox)
  {
    dispatcher.OnCallerGone(now, input.exchange, outbox);
  }
  void Take(TimePoint now, const TargetAnswerIn& input, Outbox& outbox)
  {
    dispatcher.OnAnswer(now, input, outbox);
  }
  void Take(TimePoint now, const TargetFailedIn& input, Outbox& outbox)
  {
    dispatcher.OnFailed(now, input, outbox);
  }
  void Take(TimePoint now, const StopRequested&, Outbox& outbox)
  {
    stopSince = now;
    outbox.emplace_back(MakeEvent(EventNumber::kProcessStopping,
                                  { { "inFlight", std::to_string(dispatcher.InFlight()) } }));
  }

  void TellReadiness(Outbox& outbox)
  {
    const bool ready = IsReady();
    if (ready == toldReady) {
      return;
    }
    toldReady = ready;
    const char* reason = stopSince ? "stopping" : "document and targets are known";
    outbox.emplace_back(MakeEvent(EventNumber::kGatewayReadiness,
                                  { { "ready", ready ? "yes" : "no" }, { "reason", reason } }));
  }

  void FinishStopping(TimePoint now, Outbox& outbox)
  {
    if (stopSince && !stopped && now - *stopSince >= kNoticeTime) {
      stopped = true;
      outbox.emplace_back(StoppedOut{});
    }
  }

  [[nodiscard]] bool IsReady() const noexcept { return feed.IsReady() && !stopSince; }

  Dispatcher dispatcher;
  FeedClient feed;
  std::optional<TimePoint> stopSince;
  bool stopped = false;
  bool toldReady = false;
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
    std::visit([&](const auto& value) { m_impl->Take(now, value, outbox); }, input);
  }
  m_impl->dispatcher.Tick(now, outbox);
  m_impl->feed.Tick(now, m_impl->dispatcher, outbox);
  m_impl->TellReadiness(outbox);
  m_impl->FinishStopping(now, outbox);
}

void GatewayRole::AddControls(std::vector<EntrySettings::Control> controls)
{
  m_impl->feed.AddControls(std::move(controls));
}

bool GatewayRole::IsReady() const noexcept
{
  return m_impl->IsReady();
}

} // namespace gooseberrysail
