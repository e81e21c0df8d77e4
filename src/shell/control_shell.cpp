#include "gooseberrysail/consensus/raft_node.hpp"
#include "gooseberrysail/http/http_client.hpp"
#include "gooseberrysail/roles/control_role.hpp"
#include "gooseberrysail/shell/daemon.hpp"
#include "gooseberrysail/shell/role_loop.hpp"
#include "gooseberrysail/storage/control_store.hpp"
#include "gooseberrysail/wire/envelope.hpp"
#include "shell/process_shell.hpp"

#include <iostream>
#include <map>
#include <thread>

namespace gooseberrysail {

namespace {

/// How one life of the control role ended.
enum class Ending
{
  kStopped,
  kNotStarted,
  kStorageFailed,
};

/// A disk that was full is tried again this often.
constexpr auto kStorageRetry = std::chrono::seconds(1);

/// A target on the local network takes a connection at once or is down; a lost packet is sent again
/// within 200 to 300 ms.
constexpr Duration kTargetConnectTimeout = std::chrono::milliseconds(500);

/// Some of them may be lost before the followers take the leader for dead.
constexpr int kHeartbeatsPerElection = 5;

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
  control.engineGroups.standstill = settings.control.standstill;
  control.engineGroups.heartbeat = settings.control.targetHeartbeat;
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
  raft.heartbeat = raft.electionTimeout / kHeartbeatsPerElection;
  return raft;
}

HttpClientSettings TargetClientSettings()
{
  HttpClientSettings client;
  client.connectTimeout = kTargetConnectTimeout;
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

/// One control process: the replicated log and its files below the role.
class ControlShell
{
public:
  ControlShell(const ProcessSettings& settings, ControlStore store, OutsideApi outside)
    : m_shell(settings)
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

  Ending Run()
  {
    if (const Result<void> started = Start(); !started) {
      m_shell.RecordFailure(started.error());
      return Ending::kNotStarted;
    }
    for (const EventOut& event : m_store.OpenEvents()) {
      m_shell.Record(event);
    }
    m_shell.Runtime().Spawn([this] {
      m_loop.Run();
      m_targets.Close();
      m_shell.Finish();
    });
    m_shell.Runtime().Run();
    return m_failed ? Ending::kStorageFailed : Ending::kStopped;
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

  /// Only control processes take part in the log, whoever else has the key.
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

  /// \returns "" for a process that is no control process.
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
    WorkOffLog();
    if (m_failed) {
      return;
    }
    m_role.Tick(now, m_raft.Status(), inbox, outbox);
    WorkOffLog();
    if (m_raft.WantsSnapshot()) {
      m_raft.OnSnapshotTaken(m_raft.Status().applied, m_role.TakeSnapshot());
    }
  }

  void WorkOffLog()
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

  /// After a failed sync nobody knows what the disk holds, so this life must promise nothing more:
  /// the process ends and the next start reads the disk anew.
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
      [this](StoppedOut&) { m_shell.DrainCallers([this] { m_loop.Stop(); }); },
    };
    std::visit(handle, output);
  }

  impl::ProcessShell m_shell;
  std::function<std::string(const ProcessId&)> m_addressOf; ///< Unset where the settings name all.
  ControlStore m_store;
  RaftNode m_raft;
  ControlRole m_role;
  HttpClient m_targets; ///< Orders to targets.
  RoleLoop<ControlInput, ControlOutput> m_loop;
  std::map<ProcessId, std::string> m_addresses;
  std::vector<FrameIn> m_raftInbox;
  bool m_failed = false;
};

void PrintFailure(const Error& error)
{
  std::cerr << "gooseberrysaild: " << error << '\n';
}

} // namespace

namespace {

Ending RunControlOnce(const ProcessSettings& settings, const OutsideApi& outside)
{
  std::random_device random;
  ControlStoreOptions options;
  options.folder = settings.control.dataFolder;
  options.random = [&random] { return (std::uint64_t{ random() } << 32U) | random(); };
  Result<ControlStore> store = ControlStore::Open(std::move(options));
  if (!store) {
    PrintFailure(store.error());
    return store.error().code == ErrorCode::kIo ? Ending::kStorageFailed : Ending::kNotStarted;
  }
  ControlShell shell(settings, std::move(store).value(), outside);
  return shell.Run();
}

} // namespace

// A disk that takes no writes for a while, being full say, is no reason to end the process: what it
// promised is on the disk, so it starts anew from there, as after a restart, until writes work.
DaemonExit RunControl(const ProcessSettings& settings, const OutsideApi& outside)
{
  Ending ending = RunControlOnce(settings, outside);
  while (ending == Ending::kStorageFailed) {
    std::this_thread::sleep_for(kStorageRetry);
    ending = RunControlOnce(settings, outside);
  }
  return ending == Ending::kStopped ? DaemonExit::kStopped : DaemonExit::kFailed;
}

} // namespace gooseberrysail
