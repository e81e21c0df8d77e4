#include "gooseberrysail/gateway/stop_times.hpp"
#include "gooseberrysail/roles/entry_role.hpp"
#include "gooseberrysail/shell/daemon.hpp"
#include "gooseberrysail/shell/role_loop.hpp"
#include "shell/process_shell.hpp"

namespace gooseberrysail {

namespace {

EntrySettings ToEntrySettings(const ProcessSettings& settings, const impl::ProcessShell& shell)
{
  EntrySettings entry;
  entry.process = settings.process;
  entry.incarnation = shell.OwnIncarnation();
  entry.address = impl::AnnouncedAddress(settings);
  entry.failureDomain = settings.failureDomain;
  entry.controls = impl::ControlsOf(settings);
  entry.maxInFlight = settings.limits.maxInFlight;
  entry.stopTimeout = settings.stopTimeout;
  return entry;
}

} // namespace

DaemonExit RunEntry(const ProcessSettings& settings)
{
  impl::ProcessShell shell(settings);
  EntryRole role(ToEntrySettings(settings, shell), shell.MakeRoleHooks());
  using Loop = RoleLoop<EntryInput, EntryOutput>;
  std::unique_ptr<Loop> loop;
  const auto handle = impl::Overloaded{
    [&](FrameOut& frame) { shell.Send(frame); },
    [&](HttpAnswerOut& answer) { shell.Send(std::move(answer)); },
    [&](EventOut& event) { shell.Record(event); },
    [&](StoppedOut&) {
      shell.DrainCallers([&] { loop->Stop(); }, StopTimesFor(settings.stopTimeout).close);
    },
  };
  loop = std::make_unique<Loop>(
    EntryRole::kTickInterval,
    [&](TimePoint now, std::span<const EntryInput> inbox, std::vector<EntryOutput>& outbox) {
      shell.RunTick([&] { role.Tick(now, inbox, outbox); });
    },
    [&](EntryOutput& output) { std::visit(handle, output); });
  const Result<void> started =
    shell.Start({ .onUp = [&](PeerUp up) { loop->Post(std::move(up)); },
                  .onDown = [&](PeerDown down) { loop->Post(std::move(down)); },
                  .onFrame = [&](FrameIn frame) { loop->Post(std::move(frame)); },
                  .onRequest = [&](HttpRequestIn request) { loop->Post(std::move(request)); },
                  .onCallerGone = [&](HttpCallerGone gone) { loop->Post(gone); },
                  .onStop = [&] { loop->Post(StopRequested{}); } });
  if (!started) {
    shell.Abandon(started.error());
    return DaemonExit::kFailed;
  }
  shell.Runtime().Spawn([&] {
    loop->Run();
    shell.Finish();
  });
  shell.Run();
  return DaemonExit::kStopped;
}

} // namespace gooseberrysail
