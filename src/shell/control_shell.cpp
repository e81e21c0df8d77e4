#include "gooseberrysail/consensus/raft_node.hpp"
#include "gooseberrysail/gateway/stop_times.hpp"
#include "gooseberrysail/http/http_client.hpp"
#include "gooseberrysail/roles/control_role.hpp"
#include "gooseberrysail/shell/daemon.hpp"
#include "gooseberrysail/shell/role_loop.hpp"
#include "gooseberrysail/storage/control_store.hpp"
#include "gooseberrysail/wire/envelope.hpp"
#include "logging/line_output.hpp"
#include "shell/process_shell.hpp"

#include <csignal>
#include <map>
#include <sstream>
#include <unistd.h>

namespace gooseberrysail {

namespace {

/// The result of one run of the control role.
enum class RunResult
{
  kStopped,
  kNotStarted,
  kStorageFailed,
};

/// Delay before the storage is opened again after an I/O error.
constexpr auto kStorageRetry = std::chrono::seconds(1);

/// A target on the local network accepts a connection immediately or is down; the timeout allows
/// for one retransmission of a lost packet, which takes 200 to 300 ms.
constexpr Duration kTargetConnectTimeout = std::chrono::milliseconds(500);

/// Several heartbeats may be lost before followers start an election.
constexpr int kHeartbeatsPerElectionTimeout = 5;

ControlSettings ToControlSettings(const ProcessSettings& settings, const impl::ProcessShell& shell)
{
  ControlSettings control;
  control.process = settings.process;
  control.incarnation = shell.OwnIncarnation();
  control.address = impl::AnnouncedAddress(settings);
  control.failureDomain = settings.failureDomain;
  control.controls = impl::ControlsOf(settings);
  control.operatorTokenHash = settings.control.operatorTokenHash;
  control.groupLease = settings.control.groupLease;
  control.failureDomains = settings.control.failureDomains;
  control.engineGroups.standstill = settings.control.standstill;
  control.engineGroups.heartbeat = settings.control.targetHeartbeat;
  control.engineGroups.pauseTolerance = settings.control.pauseTolerance;
  control.engineGroups.weighMoves = settings.control.weighMoves;
  return control;
}

RaftSettings ToRaftSettings(const ProcessSettings& settings)
{
  RaftSettings raft;
  raft.self = settings.process;
  for (const PeerAddress& control : settings.controls) {
    raft.voters.push_back(control.process);
  }
  if (!settings.seeds.empty()) {
    raft.wantedVoters = 2 * settings.control.toleratedLosses + 1;
    raft.mayFound = settings.control.mayFound;
  }
  raft.electionTimeout = settings.control.electionTimeout;
  raft.heartbeat = raft.electionTimeout / kHeartbeatsPerElectionTimeout;
  return raft;
}

HttpClientSettings TargetClientSettings()
{
  HttpClientSettings client;
  client.connectTimeout = kTargetConnectTimeout;
  // Orders and probes bear no id, so that each has a connection of its own: a late copy of the
  // answer to one order would be taken for the answer to the next.
  client.reuse = ConnectionReuse::kIdentified;
  return client;
}

std::function<std::string(const ProcessId&)> AddressHook(const ProcessSettings& settings)
{
  if (settings.seeds.empty()) {
    return {};
  }
  return [port = settings.seedPort](const ProcessId& process) {
    return ControlAddressOf(process, port);
  };
}

/// One control process: the replicated log, its storage and the control role.
class ControlShell
{
public:
  ControlShell(const ProcessSettings& settings, ControlStore store, OutsideApi outside)
    : m_shell(settings)
    , m_closeAfter(StopTimesFor(settings.stopTimeout).endRequests)
    , m_addressOf(AddressHook(settings))
    , m_store(std::move(store))
    , m_raft(ToRaftSettings(settings),
             { .random = [this] { return m_shell.Random(); } },
             m_store.TakeRecovered())
    , m_role(ToControlSettings(settings, m_shell),
             { .role = m_shell.MakeRoleHooks(),
               .addressOf = AddressHook(settings),
               .propose =
                 [this](std::vector<std::uint8_t> command) {
                   return m_raft.Propose(std::move(command)).has_value();
                 },
               .plan = {},
               .queuedBytes = [this](const ProcessId& peer) { return m_shell.QueuedBytes(peer); },
               .outside = std::move(outside) })
    , m_targets(m_shell.Runtime(),
                TargetClientSettings(),
                { .onAnswer = [this](TargetAnswerIn answer) { m_loop.Post(std::move(answer)); },
                  .onFailed = [this](TargetFailedIn failed) { m_loop.Post(std::move(failed)); } })
    , m_loop(
        ControlRole::kTickInterval,
        [this](TimePoint now, auto inbox, auto& outbox) {
          m_shell.RunTick([&] { Tick(now, inbox, outbox); });
          m_shell.OnReplication(m_raft.Status());
        },
        [this](ControlOutput& output) { Handle(output); })
  {
    for (const PeerAddress& control : settings.controls) {
      m_addresses[control.process] = control.address;
    }
  }

  RunResult Run()
  {
    if (const Result<void> started = Start(); !started) {
      m_shell.Abandon(started.error());
      return RunResult::kNotStarted;
    }
    for (const EventOut& event : m_store.OpenEvents()) {
      m_shell.Record(event);
    }
    m_shell.Runtime().Spawn([this] {
      m_loop.Run();
      m_targets.Close();
      m_shell.Finish();
    });
    m_shell.Run();
    const bool isRetried = m_failed && !m_shell.IsStopping();
    return isRetried ? RunResult::kStorageFailed : RunResult::kStopped;
  }

private:
  Result<void> Start()
  {
    return m_shell.Start({ .onUp = [this](PeerUp up) { m_loop.Post(std::move(up)); },
                           .onDown = [this](PeerDown down) { m_loop.Post(std::move(down)); },
                           .onFrame = [this](FrameIn frame) { OnFrame(std::move(frame)); },
                           .onRequest = [this](HttpRequestIn in) { m_loop.Post(std::move(in)); },
                           .onCallerGone = [this](HttpCallerGone gone) { m_loop.Post(gone); },
                           .onStop = [this] { m_loop.Post(StopRequested{}); },
                           .onReload = {} });
  }

  /// Accepts Raft messages from control processes only; other peers also have the cluster key.
  void OnFrame(FrameIn frame)
  {
    const auto* message = frame.envelope->body.AsRaftMessage();
    if (message == nullptr) {
      m_loop.Post(std::move(frame));
      return;
    }
    if (!AddressOf(frame.peer).empty() && message->from == frame.peer.Get()) {
      m_raftInbox.push_back(std::move(frame));
      m_loop.Wake();
    }
  }

  /// \returns "" if the process is not a control process.
  [[nodiscard]] std::string AddressOf(const ProcessId& process) const
  {
    const auto found = m_addresses.find(process);
    if (found != m_addresses.end()) {
      return found->second;
    }
    return m_addressOf ? m_addressOf(process) : std::string();
  }

  void Tick(TimePoint now, std::span<const ControlInput> inbox, std::vector<ControlOutput>& outbox)
  {
    m_raft.Tick(now);
    std::vector<FrameIn> messages;
    messages.swap(m_raftInbox);
    for (const FrameIn& frame : messages) {
      m_raft.Step(now, *frame.envelope->body.AsRaftMessage());
    }
    ProcessReadyOutput();
    if (m_failed) {
      return;
    }
    m_role.Tick(now, m_raft.Status(), inbox, outbox);
    ProcessReadyOutput();
    if (m_raft.WantsSnapshot()) {
      m_raft.OnSnapshotTaken(m_raft.Status().applied, m_role.TakeSnapshot());
    }
  }

  void ProcessReadyOutput()
  {
    while (!m_failed && m_raft.HasReady()) {
      const ReadyOutput ready = m_raft.TakeReady();
      if (const Result<void> persisted = m_store.Persist(ready); !persisted) {
        Fail(persisted.error());
        return;
      }
      if (const Result<void> restored = Restore(ready); !restored) {
        Fail(restored.error());
        return;
      }
      SendMessages(ready);
      ApplyCommitted(ready);
      m_raft.Advance();
    }
  }

  Result<void> Restore(const ReadyOutput& ready)
  {
    if (!ready.restoreSnapshot) {
      return outcome::success();
    }
    return m_role.RestoreSnapshot(ready.restoreSnapshot->state);
  }

  void SendMessages(const ReadyOutput& ready)
  {
    for (const EventOut& event : ready.events) {
      m_shell.Record(event);
    }
    for (const wire::RaftMessageT& message : ready.messages) {
      const ProcessId peer(message.to);
      const std::string address = AddressOf(peer);
      if (!address.empty()) {
        m_shell.Send(FrameOut{ peer, address, MakeEnvelope(wire::RaftMessageT(message)) });
      }
    }
  }

  void ApplyCommitted(const ReadyOutput& ready)
  {
    for (const LogRecord& record : ready.committed) {
      m_role.Apply(record.index, record.term, record.payload);
      m_loop.Wake();
    }
  }

  /// After a failed sync the contents of the disk are unknown, so this run must not acknowledge
  /// anything further. It ends, and the next run reads the state from the disk.
  void Fail(const Error& error)
  {
    m_failed = true;
    m_shell.RecordFailure(error);
    m_loop.Stop();
  }

  void Handle(ControlOutput& output)
  {
    const auto handle = impl::Overloaded{
      [this](FrameOut& frame) { m_shell.Send(frame); },
      [this](HttpAnswerOut& answer) { m_shell.Send(std::move(answer)); },
      [this](TargetCallOut& call) {
        const std::string address = call.address;
        m_targets.Start(address, std::move(call));
      },
      [this](EventOut& event) { m_shell.Record(event); },
      [this](StoppedOut&) { m_shell.DrainCallers([this] { m_loop.Stop(); }, m_closeAfter); },
    };
    std::visit(handle, output);
  }

  impl::ProcessShell m_shell;
  Duration m_closeAfter; ///< After SIGTERM; callers that send or read nothing more are left.
  std::function<std::string(const ProcessId&)>
    m_addressOf; ///< Unset if the settings list all controls.
  ControlStore m_store;
  RaftNode m_raft;
  ControlRole m_role;
  HttpClient m_targets; ///< Sends orders to targets.
  RoleLoop<ControlInput, ControlOutput> m_loop;
  std::map<ProcessId, std::string> m_addresses;
  std::vector<FrameIn> m_raftInbox;
  bool m_failed = false;
};

void PrintFailure(const Error& error)
{
  std::ostringstream line;
  line << "gooseberrysaild: " << error << '\n';
  impl::LineOutput(STDERR_FILENO).Write(line.str()); // std::cerr waits for its reader.
}

} // namespace

namespace {

RunResult RunControlOnce(const ProcessSettings& settings, const OutsideApi& outside)
{
  std::random_device random;
  ControlStoreOptions options;
  options.folder = settings.control.dataFolder;
  options.random = [&random] { return (std::uint64_t{ random() } << 32U) | random(); };
  Result<ControlStore> store = ControlStore::Open(std::move(options));
  if (!store) {
    PrintFailure(store.error());
    return store.error().code == ErrorCode::kIo ? RunResult::kStorageFailed
                                                : RunResult::kNotStarted;
  }
  ControlShell shell(settings, std::move(store).value(), outside);
  return shell.Run();
}

/// Waits before the storage is opened again.
/// \returns False if the process was told to stop meanwhile.
bool WaitForStorage()
{
  Signal wake;
  bool isStopping = false;
  IoRuntime runtime;
  runtime.OnSignals({ SIGTERM, SIGINT, SIGHUP }, [&](int number) {
    if (number != SIGHUP) {
      isStopping = true;
      wake.Notify();
    }
  });
  runtime.Spawn([&] {
    wake.WaitFor(kStorageRetry);
    runtime.Stop();
  });
  runtime.Run();
  return !isStopping;
}

} // namespace

// A storage failure such as a full disk does not end the process. All acknowledged state is on the
// disk, so the role is restarted from it, as after a process restart, until writes succeed.
DaemonExit RunControl(const ProcessSettings& settings, const OutsideApi& outside)
{
  RunResult result = RunControlOnce(settings, outside);
  while (result == RunResult::kStorageFailed) {
    if (!WaitForStorage()) {
      return DaemonExit::kStopped;
    }
    result = RunControlOnce(settings, outside);
  }
  return result == RunResult::kStopped ? DaemonExit::kStopped : DaemonExit::kFailed;
}

} // namespace gooseberrysail
