#include "gooseberrysail/http/http_client.hpp"
#include "gooseberrysail/roles/agent_role.hpp"
#include "gooseberrysail/shell/daemon.hpp"
#include "gooseberrysail/shell/role_loop.hpp"
#include "shell/process_shell.hpp"

namespace gooseberrysail {

namespace {

AgentSettings ToAgentSettings(const ProcessSettings& settings, const impl::ProcessShell& shell)
{
  AgentSettings agent;
  agent.process = settings.process;
  agent.incarnation = shell.OwnIncarnation();
  agent.address = impl::AnnouncedAddress(settings);
  agent.vm = settings.agent.vm;
  agent.failureDomain = settings.failureDomain;
  agent.fabricDomain = settings.agent.fabricDomain;
  agent.kind = settings.agent.kind;
  agent.service = settings.agent.service;
  agent.accelerators = settings.agent.accelerators;
  agent.controls = impl::ControlsOf(settings);
  agent.maxHeldOutputBytes = settings.limits.maxHeldOutputBytes;
  return agent;
}

HttpClientSettings TargetClientSettings()
{
  HttpClientSettings client;
  client.reuse = ConnectionReuse::kIdentified;
  return client;
}

} // namespace

DaemonExit RunAgent(const ProcessSettings& settings)
{
  impl::ProcessShell shell(settings);
  AgentRole role(ToAgentSettings(settings, shell), shell.MakeRoleHooks());
  using Loop = RoleLoop<AgentInput, AgentOutput>;
  std::unique_ptr<Loop> loop;
  HttpClient target(shell.Runtime(),
                    TargetClientSettings(),
                    { .onAnswer = [&](TargetAnswerIn answer) { loop->Post(std::move(answer)); },
                      .onFailed = [&](TargetFailedIn failed) { loop->Post(std::move(failed)); } });
  const auto handle = impl::Overloaded{
    [&](FrameOut& frame) { shell.Send(frame); },
    [&](TargetCallOut& call) { target.Start(settings.agent.address, std::move(call)); },
    [&](TargetCancelOut& cancel) { target.Cancel(cancel.exchange); },
    [&](EventOut& event) { shell.Record(event); },
    [&](StoppedOut&) { shell.DrainCallers([&] { loop->Stop(); }); },
  };
  loop = std::make_unique<Loop>(
    AgentRole::kTickInterval,
    [&](TimePoint now, std::span<const AgentInput> inbox, std::vector<AgentOutput>& outbox) {
      shell.RunTick([&] { role.Tick(now, inbox, outbox); });
    },
    [&](AgentOutput& output) { std::visit(handle, output); });
  const Result<void> started = shell.Start(
    { .onUp = [&](PeerUp up) { loop->Post(std::move(up)); },
      .onDown = [&](PeerDown down) { loop->Post(std::move(down)); },
      .onFrame = [&](FrameIn frame) { loop->Post(std::move(frame)); },
      // Agents accept no requests from callers; the HTTP listener only serves the health check.
      .onRequest = [&](const HttpRequestIn& request) { shell.Send(impl::AnswerHealth(request)); },
      .onCallerGone = [](HttpCallerGone) {},
      .onStop = [&] { loop->Post(StopRequested{}); } });
  if (!started) {
    shell.Abandon(started.error());
    return DaemonExit::kFailed;
  }
  shell.Runtime().Spawn([&] {
    loop->Run();
    target.Close();
    shell.Finish();
  });
  shell.Run();
  return DaemonExit::kStopped;
}

} // namespace gooseberrysail
