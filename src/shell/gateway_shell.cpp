#include "gooseberrysail/gateway/stop_times.hpp"
#include "gooseberrysail/http/http_client.hpp"
#include "gooseberrysail/roles/gateway_role.hpp"
#include "gooseberrysail/shell/daemon.hpp"
#include "gooseberrysail/shell/role_loop.hpp"
#include "shell/process_shell.hpp"

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// A target on the local network accepts a connection immediately or is down.
constexpr Duration kConnectTimeout = 500ms;
/// Targets close idle connections after a timeout that they announce; this is below usual values.
constexpr Duration kIdleFor = 4s;

GatewaySettings ToGatewaySettings(const ProcessSettings& settings)
{
  GatewaySettings gateway;
  gateway.failureDomain = settings.failureDomain;
  gateway.controls = impl::ControlsOf(settings);
  gateway.retries = { settings.retries.ratio, settings.retries.slack, settings.retries.window };
  gateway.answerLimits = { settings.limits.maxAnswerBytes, settings.limits.maxEventBytes };
  gateway.targetDrainTime = settings.targetDrainTime;
  gateway.stopTimeout = settings.stopTimeout;
  gateway.predictFirstEvent = settings.admission.predictFirstEvent;
  gateway.retryPlaces = settings.admission.retryPlaces;
  return gateway;
}

HttpClientSettings ClientSettings()
{
  HttpClientSettings client;
  client.connectTimeout = kConnectTimeout;
  client.idleTimeout = kIdleFor;
  client.reuse = ConnectionReuse::kIdentified;
  // Some targets end a response by closing the connection; a reset is still reported as a failure.
  client.acceptCloseDelimited = true;
  return client;
}

} // namespace

DaemonExit RunGateway(const ProcessSettings& settings, const GatewayAdapter& adapter)
{
  impl::ProcessShell shell(settings);
  GatewayRole role(ToGatewaySettings(settings), shell.MakeRoleHooks(), adapter.api);
  role.SetHeldAnswerHook(
    [&](ExchangeId exchange, std::size_t bytes) { shell.SetHeldBytes(exchange, bytes); });
  using Loop = RoleLoop<GatewayInput, GatewayOutput>;
  std::unique_ptr<Loop> loop;
  HttpClient targets(
    shell.Runtime(),
    ClientSettings(),
    { .onAnswer = [&](TargetAnswerIn answer) { loop->Post(std::move(answer)); },
      .onFailed = [&](TargetFailedIn failed) { loop->Post(std::move(failed)); },
      .isCallerConnected = [&](ExchangeId caller) { return shell.IsCallerConnected(caller); } });
  const auto handle = impl::Overloaded{
    [&](FrameOut& frame) { shell.Send(frame); },
    [&](HttpAnswerOut& answer) { shell.Send(std::move(answer)); },
    [&](TargetCallOut& call) {
      const std::string address = call.address;
      targets.Start(address, std::move(call));
    },
    [&](TargetCancelOut& cancel) { targets.Cancel(cancel.exchange); },
    [&](TargetWithdrawOut& withdraw) { targets.Withdraw(withdraw.exchange); },
    [&](EventOut& event) { shell.Record(event); },
    [&](StoppedOut&) {
      shell.DrainCallers([&] { loop->Stop(); }, StopTimesFor(settings.stopTimeout).close);
    },
  };
  loop = std::make_unique<Loop>(
    GatewayRole::kTickInterval,
    [&](TimePoint now, std::span<const GatewayInput> inbox, std::vector<GatewayOutput>& outbox) {
      shell.RunTick([&] { role.Tick(now, inbox, outbox); });
      if (const std::optional<CallerLimits> limits = role.LimitsOnCallers()) {
        shell.SetLimits(*limits);
      }
    },
    [&](GatewayOutput& output) { std::visit(handle, output); });
  std::unique_ptr<HttpServer> ready;
  ready = std::make_unique<HttpServer>(
    shell.Runtime(),
    shell.ProbeSettings(settings.readyListen),
    HttpServerHooks{ .onRequest =
                       [&](const HttpRequestIn& request) {
                         ready->Send(adapter.answerReadiness(request, role.IsReady()));
                       },
                     .onCallerGone = [](HttpCallerGone) {},
                     .onEvent = {},
                     .errorBody = {} });
  const auto start = [&]() -> Result<void> {
    BOOST_OUTCOME_TRY(shell.Start(
      { .onUp = [&](PeerUp up) { loop->Post(std::move(up)); },
        .onDown = [&](PeerDown down) { loop->Post(std::move(down)); },
        .onFrame = [&](FrameIn frame) { loop->Post(std::move(frame)); },
        .onRequest = [&](HttpRequestIn request) { loop->Post(std::move(request)); },
        .onCallerGone = [&](HttpCallerGone gone) { loop->Post(gone); },
        .onStop = [&] { loop->Post(StopRequested{}); },
        .onReload =
          [&](const ProcessSettings& changed) { role.AddControls(impl::ControlsOf(changed)); } }));
    return ready->Start();
  };
  if (const Result<void> started = start(); !started) {
    shell.Abandon(started.error());
    return DaemonExit::kFailed;
  }
  shell.Runtime().Spawn([&] {
    loop->Run();
    ready->Close();
    targets.Close();
    shell.Finish();
  });
  shell.Run();
  return DaemonExit::kStopped;
}

} // namespace gooseberrysail
