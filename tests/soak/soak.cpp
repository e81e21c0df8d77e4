#include "soak/soak.hpp"

#include "soak/callers.hpp"
#include "soak/cluster.hpp"
#include "soak/replica.hpp"
#include "support/http_call.hpp"

#include <csignal>
#include <functional>
#include <map>

namespace gooseberrysail::soak {

using namespace std::chrono_literals;

namespace {

constexpr auto kReady = 20s;
constexpr auto kRecovery = 15s;
constexpr std::chrono::milliseconds kShortestPause{ 100 };
constexpr std::chrono::milliseconds kLongestPause{ 900 };
constexpr std::chrono::milliseconds kShortestSilence{ 300 };
constexpr std::chrono::milliseconds kLongestSilence{ 2000 };
/// One in so many faults comes with a replica that gives untrue answers.
constexpr std::uint64_t kFaultsPerUntruth = 4;
constexpr double kUntrueShare = 0.3;
constexpr double kRepeatedStatementShare = 0.5;
constexpr std::uint64_t kUntruthSeed = 0x9E3779B97F4A7C15;
constexpr std::uint64_t kPlannedSeed = 0xD1B54A32D192ED03;
constexpr std::uint64_t kHostileSeed = 0x8CB92BA72F3D8DD7;
/// One in so many stops comes with signals until the process is gone.
constexpr std::uint64_t kStopsPerSignalSeries = 2;
/// One in so many faults comes with reports that don't end.
constexpr std::uint64_t kFaultsPerEndlessReport = 4;
constexpr std::size_t kControlMemory = std::size_t{ 256 } * 1000 * 1000;
constexpr auto kMeasureInterval = 100ms;
/// One in so many faults comes with a series of planned changes.
constexpr std::uint64_t kFaultsPerSeries = 3;
/// A replica that drains ends this long after it said so, at the earliest.
constexpr auto kShortestDrain = 2s;
/// Of the last stops and drains together, after the last fault.
constexpr auto kLongestDrain = 20s;

/// \brief One run: starts the processes, injects faults and checks the results.
class Soak
{
public:
  explicit Soak(const SoakSettings& settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_untruthRandom(settings.seed ^ kUntruthSeed)
    , m_plannedRandom(settings.seed ^ kPlannedSeed)
    , m_hostileRandom(settings.seed ^ kHostileSeed)
    , m_cluster(settings.daemon, settings.entries)
  {
    for (std::size_t number = 0; number < settings.replicas; ++number) {
      m_replicas.push_back(std::make_unique<Replica>(
        "r" + std::to_string(number + 1), m_cluster.Controls(), m_ledger, m_random()));
    }
    m_replicas.back()->SetUnframed();
    for (std::size_t number = 0; number < settings.heads; ++number) {
      m_replicas.push_back(std::make_unique<Replica>(
        "h" + std::to_string(number + 1), m_cluster.Controls(), m_ledger, m_random(), "m"));
    }
    auto board =
      std::make_shared<GroupBoard>([this](const std::string& what) { m_ledger.OnViolation(what); });
    for (std::size_t number = 0; number < settings.members; ++number) {
      m_members.push_back(std::make_unique<Replica>(
        "g" + std::to_string(number + 1),
        m_cluster.Controls(),
        m_ledger,
        m_plannedRandom(),
        "pool",
        std::make_unique<GroupMember>(std::vector<std::string>{ "four", "two" }, board)));
    }
    for (const auto& replica : m_replicas) {
      replica->SetRepeatedStatementRate(kRepeatedStatementShare);
    }
  }

  SoakReport Run()
  {
    if (!WaitUntilServed(kReady)) {
      m_ledger.OnViolation("not all entries served requests before the first fault");
    }
    m_start = Clock::now();
    {
      Callers callers(m_cluster.Entries(), m_settings.callers, m_ledger, m_random());
      Callers poolCallers(m_cluster.Entries(),
                          m_settings.members == 0 ? 0 : m_settings.poolCallers,
                          m_ledger,
                          m_plannedRandom(),
                          CallerTargets::kPool);
      m_poolCallers = &poolCallers;
      while (Clock::now() - m_start < m_settings.length && !m_settings.shouldStop()) {
        InjectFault();
        InjectUntrueAnswers();
        InjectPlannedChanges();
        InjectEndlessReports();
        CheckConfig();
        RunEvents(RandomDuration(kShortestPause, kLongestPause));
      }
      EndExpiredFaults(Clock::time_point::max());
      FinishPlannedChanges();
      if (!m_settings.shouldStop() && !WaitUntilServed(kRecovery)) {
        m_ledger.OnViolation("an entry served no request " + std::to_string(kRecovery.count()) +
                             " s after the last fault");
      }
    }
    CheckProcesses();
    CheckConfig();
    for (const auto& [name, bytes] : m_cluster.ControlBytes()) {
      if (bytes >= kControlMemory) {
        m_ledger.OnViolation(name + " held " + std::to_string(bytes / 1000 / 1000) + " MB");
      }
    }
    for (const std::string& lost :
         LostCheck(m_faults, kRequestTimeLimit).Violations(m_ledger.Unanswered())) {
      m_ledger.OnViolation(lost);
    }
    SoakReport report;
    report.faults = m_faults.Lines();
    report.violations = m_ledger.Violations();
    report.totals = m_ledger.Count();
    for (const auto& [name, bytes] : m_cluster.ControlBytes()) {
      report.controlBytes = std::max(report.controlBytes, bytes);
    }
    report.outputs = report.violations.empty() ? "" : m_cluster.Outputs();
    return report;
  }

private:
  using Action = std::function<void()>;

  std::chrono::milliseconds RandomDuration(std::chrono::milliseconds least,
                                           std::chrono::milliseconds most)
  {
    const auto span = static_cast<std::uint64_t>((most - least).count()) + 1;
    return least + std::chrono::milliseconds(m_random() % span);
  }

  template<class Values>
  auto& RandomElement(Values& values)
  {
    return values[m_random() % values.size()];
  }

  std::string RandomProcess(const std::string& prefix)
  {
    const std::vector<std::string> names = m_cluster.Names(prefix);
    return names[m_random() % names.size()];
  }

  Replica& RandomReplica() { return *RandomElement(m_replicas); }

  /// Injects a fault that disturbs the connections of a process at once.
  void Disturb(const std::string& subject, const std::string& what, const Action& inject)
  {
    const FaultLog::FaultId fault = m_faults.Begin(subject, what);
    inject();
    m_faults.End(fault);
  }

  void EndAfter(std::chrono::milliseconds duration, Action end)
  {
    m_faultEnds.emplace(Clock::now() + duration, std::move(end));
  }

  void EndExpiredFaults(Clock::time_point now)
  {
    while (!m_faultEnds.empty() && m_faultEnds.begin()->first <= now) {
      const Action end = std::move(m_faultEnds.begin()->second);
      m_faultEnds.erase(m_faultEnds.begin());
      end();
    }
  }

  /// Lets lasting faults end, stopped processes start again, and drained replicas end meanwhile.
  void RunEvents(std::chrono::milliseconds duration)
  {
    const Clock::time_point until = Clock::now() + duration;
    do {
      EndExpiredFaults(Clock::now());
      CheckProcesses();
      EndDrained();
      std::this_thread::sleep_for(10ms);
    } while (Clock::now() < until);
  }

  /// Starts ended processes again; none ends by itself or by a signal that it handles.
  void CheckProcesses()
  {
    for (const std::string& end : m_cluster.RestartEnded()) {
      m_ledger.OnViolation(end + " at " + m_faults.Format(Clock::now()));
      m_faults.Add(end);
    }
    if (Clock::now() - m_measuredAt >= kMeasureInterval) {
      m_measuredAt = Clock::now();
      m_cluster.MeasureControls();
    }
  }

  void FinishPlannedChanges()
  {
    const Clock::time_point until = Clock::now() + kLongestDrain;
    while ((m_cluster.IsAnyStopping() || !m_drainingSince.empty()) && Clock::now() < until &&
           !m_settings.shouldStop()) {
      RunEvents(100ms);
    }
    for (const auto& [replica, since] : m_drainingSince) {
      m_ledger.OnViolation(replica->Name() + " drains and control does not end its group");
    }
  }

  void InjectFault()
  {
    using FaultMethod = void (Soak::*)();
    static constexpr FaultMethod kFaultMethods[] = {
      &Soak::KillEntry,        &Soak::KillControl,
      &Soak::KillAllControl,   &Soak::StopEntry,
      &Soak::StopControl,      &Soak::PauseEntry,
      &Soak::PauseControl,     &Soak::Reload,
      &Soak::RestartReplica,   &Soak::LoseAnswers,
      &Soak::BreakAnswers,     &Soak::CutConnections,
      &Soak::StallConnections, &Soak::DelayRelay,
      &Soak::ChangeConfigOnce, &Soak::ChangeConfigOnce,
      &Soak::SilenceOne,       &Soak::SilenceAll,
      &Soak::SilenceAtChange,  &Soak::SilenceWhileOthersReject,
    };
    (this->*kFaultMethods[m_random() % std::size(kFaultMethods)])();
  }

  void KillEntry() { Kill(RandomProcess("entry")); }
  void KillControl() { Kill(RandomProcess("control")); }
  void KillAllControl()
  {
    for (const std::string& name : m_cluster.Names("control")) {
      Kill(name);
    }
  }
  void Kill(const std::string& name)
  {
    Disturb(name, "kill " + name, [&] { m_cluster.KillAndRestart(name); });
    m_faults.EndAll(name);
  }
  void StopEntry() { Stop(RandomProcess("entry")); }
  void StopControl() { Stop(RandomProcess("control")); }
  void Stop(const std::string& name)
  {
    if (m_cluster.HasJustStarted(name)) {
      EndAfter(100ms, [this, name] { Stop(name); });
      return;
    }
    m_faults.Add((m_cluster.IsStopping(name) ? "stop again " : "stop ") + name);
    m_faults.EndAll(name); // It continues if it was paused.
    m_cluster.BeginStop(name);
    if (m_hostileRandom() % kStopsPerSignalSeries == 0) {
      const std::chrono::microseconds interval{ 200 + m_hostileRandom() % 4800 };
      const bool repeatsTerm = m_hostileRandom() % 2 == 0;
      m_faults.Add(std::string(repeatsTerm ? "SIGHUP and SIGTERM" : "SIGHUP") + " each " +
                   std::to_string(interval.count()) + " us until " + name + " is gone");
      m_cluster.BeginSignalSeries(name, interval, repeatsTerm);
    }
  }
  void PauseEntry() { Pause(RandomProcess("entry")); }
  void PauseControl() { Pause(RandomProcess("control")); }
  void Pause(const std::string& name)
  {
    const auto length = RandomDuration(300ms, 3000ms);
    if (m_cluster.IsStopping(name)) {
      return; // Its supervisor's grace would pass meanwhile.
    }
    const FaultLog::FaultId fault =
      m_faults.Begin(name, "pause " + name + " for " + std::to_string(length.count()) + " ms");
    m_cluster.Signal(name, SIGSTOP);
    EndAfter(length, [this, name, fault] {
      m_cluster.Signal(name, SIGCONT);
      m_faults.End(fault);
    });
  }
  void Reload()
  {
    const std::string name = RandomProcess("entry");
    m_faults.Add("reload " + name);
    m_cluster.Signal(name, SIGHUP);
  }
  void RestartReplica()
  {
    Replica& replica = RandomReplica();
    Disturb(replica.Name(), "restart " + replica.Name(), [&] { replica.Restart(); });
  }
  void LoseAnswers()
  {
    Replica* replica = &RandomReplica();
    m_faults.Add(replica->Name() + " loses answers");
    replica->SetAnswerLossRate(0.3);
    EndAfter(2000ms, [replica] { replica->SetAnswerLossRate(0); });
  }
  void BreakAnswers()
  {
    Replica* replica = &RandomReplica();
    m_faults.Add(replica->Name() + " truncates answers");
    replica->SetAnswerTruncationRate(0.3);
    EndAfter(2000ms, [replica] { replica->SetAnswerTruncationRate(0); });
  }
  void CutConnections()
  {
    Replica& replica = RandomReplica();
    Disturb(replica.Name(), "connections to " + replica.Name() + " are reset", [&] {
      replica.Relay().ResetExisting();
    });
  }
  void StallConnections()
  {
    Replica& replica = RandomReplica();
    Disturb(replica.Name(), "open connections to " + replica.Name() + " drop all data", [&] {
      replica.Relay().BlackholeExisting();
    });
  }
  void DelayRelay()
  {
    Replica* replica = &RandomReplica();
    m_faults.Add("connections to " + replica->Name() + " are delayed by 200 ms");
    replica->Relay().SetDelay(200ms);
    EndAfter(1500ms, [replica] { replica->Relay().SetDelay(Duration::zero()); });
  }
  void ChangeConfigOnce() { ChangeConfig(m_random() % 3, 0); }
  void ChangeConfig(std::uint64_t variant) { ChangeConfig(variant % 3, variant); }
  void ChangeConfig(std::size_t first, std::uint64_t variant)
  {
    ++m_version;
    const bool acknowledged = m_cluster.PutConfig(m_version, first, variant);
    m_acknowledged = acknowledged ? m_version : m_acknowledged;
    m_faults.Add("configuration " + std::to_string(m_version) +
                 (acknowledged ? " acknowledged" : " without an answer"));
  }
  /// \returns How long the replica is silent.
  std::chrono::milliseconds Silence(Replica& replica)
  {
    const auto length = RandomDuration(kShortestSilence, kLongestSilence);
    m_faults.Add(replica.Name() + " is silent for " + std::to_string(length.count()) + " ms");
    replica.FallSilentFor(length);
    return length;
  }
  void SilenceOne() { Silence(RandomReplica()); }
  void SilenceAll()
  {
    for (const auto& replica : m_replicas) {
      Silence(*replica);
    }
  }
  void SilenceAtChange()
  {
    const bool changesFirst = m_random() % 2 == 0;
    if (changesFirst) {
      ChangeConfigOnce();
    }
    SilenceOne();
    if (!changesFirst) {
      ChangeConfigOnce();
    }
  }
  void SilenceWhileOthersReject()
  {
    Replica* silent = &RandomReplica();
    const auto length = Silence(*silent);
    for (const auto& replica : m_replicas) {
      if (replica.get() != silent) {
        m_faults.Add(replica->Name() + " rejects requests for as long");
        replica->SetRetryAfter("0.2");
        EndAfter(length, [other = replica.get()] { other->SetRetryAfter(""); });
      }
    }
  }

  /// Drawn apart from the other faults, so that those of a seed stay the same.
  void InjectUntrueAnswers()
  {
    if (m_untruthRandom() % kFaultsPerUntruth != 0) {
      return;
    }
    Replica* replica = m_replicas[m_untruthRandom() % m_replicas.size()].get();
    const std::chrono::milliseconds length{ 1000 + m_untruthRandom() % 2000 };
    // 0: a success that states that the request did not run.
    static constexpr unsigned kStatuses[] = { 0, 408, 421, 429, 503 };
    const unsigned status = kStatuses[m_untruthRandom() % std::size(kStatuses)];
    if (status == 0) {
      m_faults.Add(replica->Name() + " denies runs in successful answers");
      replica->SetContradictionRate(kUntrueShare);
      EndAfter(length, [replica] { replica->SetContradictionRate(0); });
    } else {
      m_faults.Add(replica->Name() + " answers runs with " + std::to_string(status));
      replica->SetUnstatedRefusals(kUntrueShare, status);
      EndAfter(length, [replica] { replica->SetUnstatedRefusals(0, 503); });
    }
  }

  /// Drawn apart from the other faults, so that those of a seed stay the same.
  void InjectEndlessReports()
  {
    if (m_hostileRandom() % kFaultsPerEndlessReport != 0 ||
        m_settings.heads + m_members.size() == 0) {
      return;
    }
    static constexpr std::pair<ReportFault, const char*> kFaults[] = {
      { ReportFault::kEndlessChunks, "chunks without end" },
      { ReportFault::kEndlessBody, "a body without end" },
      { ReportFault::kSlow, "a byte each 100 ms" },
    };
    const auto& [fault, what] = kFaults[m_hostileRandom() % std::size(kFaults)];
    const std::chrono::milliseconds length{ 1000 + m_hostileRandom() % 4000 };
    for (std::uint64_t count = 1 + m_hostileRandom() % 4; count > 0; --count) {
      const std::size_t number = m_hostileRandom() % (m_settings.heads + m_members.size());
      Replica* replica = number < m_settings.heads ? m_replicas[m_settings.replicas + number].get()
                                                   : m_members[number - m_settings.heads].get();
      m_faults.Add(replica->Name() + " answers control with " + what + " for " +
                   std::to_string(length.count()) + " ms");
      replica->SetReportFault(fault);
      EndAfter(length, [replica] { replica->SetReportFault(ReportFault::kNone); });
    }
  }

  std::uint64_t DrawPlanned(std::uint64_t count) { return m_plannedRandom() % count; }

  /// Drawn apart from the other faults, so that those of a seed stay the same.
  void InjectPlannedChanges()
  {
    if (DrawPlanned(kFaultsPerSeries) != 0) {
      return;
    }
    switch (DrawPlanned(6)) {
      case 0:
        StopInTurn("entry", std::chrono::milliseconds(DrawPlanned(2000)));
        break;
      case 1:
        StopInTurn("control", std::chrono::milliseconds(1000 + DrawPlanned(2000)));
        break;
      case 2:
        for (std::uint64_t count = 3 + DrawPlanned(8); count > 0; --count) {
          EndAfter(count * 200ms, [this] { ReloadEntries(); });
        }
        break;
      case 3:
        for (std::uint64_t count = 2 + DrawPlanned(5); count > 0; --count) {
          EndAfter(count * 300ms, [this, variant = m_plannedRandom()] { ChangeConfig(variant); });
        }
        break;
      case 4:
        MoveDemand();
        break;
      default:
        DrainMembers(1 + DrawPlanned(3));
        break;
    }
  }

  void StopInTurn(const std::string& prefix, std::chrono::milliseconds apart)
  {
    std::chrono::milliseconds after{ 0 };
    for (const std::string& name : m_cluster.Names(prefix)) {
      EndAfter(after, [this, name] {
        if (!m_cluster.IsStopping(name)) {
          Stop(name);
        }
      });
      after += apart;
    }
  }

  void ReloadEntries()
  {
    m_faults.Add("reload all entries");
    for (const std::string& name : m_cluster.Names("entry")) {
      m_cluster.Signal(name, SIGHUP);
    }
  }

  void MoveDemand()
  {
    const bool isLarge = DrawPlanned(2) == 0;
    m_faults.Add(isLarge ? "demand for the larger groups" : "demand for the smaller groups");
    m_poolCallers->SetLargeShare(isLarge ? 0.9 : 0.1);
  }

  void DrainMembers(std::uint64_t count)
  {
    for (; count > 0 && !m_members.empty(); --count) {
      Replica* replica = m_members[DrawPlanned(m_members.size())].get();
      m_faults.Add(replica->Name() + " drains");
      replica->SetDraining(true);
      m_drainingSince.try_emplace(replica, Clock::now());
    }
  }

  /// Replicas that drain end as soon as no head may need them, and start again.
  void EndDrained()
  {
    std::erase_if(m_drainingSince, [&](const auto& entry) {
      Replica& replica = *entry.first;
      if (Clock::now() - entry.second < kShortestDrain || replica.IsNeeded()) {
        return false;
      }
      m_faults.Add(replica.Name() + " has drained and starts again");
      replica.SetDraining(false);
      replica.Restart();
      return true;
    });
  }

  /// Checks that no control process returns a version older than the last one acknowledged.
  void CheckConfig()
  {
    for (std::size_t control = 0; control < m_cluster.Controls().size(); ++control) {
      const std::uint64_t version = m_cluster.ReadVersion(control);
      if (version != 0 && version < m_acknowledged) {
        m_ledger.OnViolation("control-" + std::to_string(control + 1) + " answered version " +
                             std::to_string(version) + " after " + std::to_string(m_acknowledged) +
                             " was acknowledged");
      }
    }
  }

  /// Waits until each entry answers a probe request with success.
  bool WaitUntilServed(std::chrono::milliseconds timeout)
  {
    return test::WaitUntil(
      [&] {
        if (m_acknowledged == 0 && m_cluster.PutConfig(++m_version, 0)) {
          m_acknowledged = m_version;
        }
        return std::ranges::all_of(m_cluster.Entries(), [&](const std::string& entry) {
          return IsServed(entry, "/safe/x") && IsServed(entry, "/resume/x");
        });
      },
      timeout);
  }

  bool IsServed(const std::string& entry, const std::string& target)
  {
    const std::string id = "w" + std::to_string(++m_probes);
    test::HttpCall call{ .address = entry, .method = "POST", .target = target };
    call.headers = { { "Host", "desk.example" },       { "X-Request-Id", id },
                     { "X-Request-Deadline", "1000" }, { "X-Model", "m" },
                     { "X-Token-Count", "100,50" },    { "Authorization", "Bearer key-of-t1" } };
    call.timeout = 1500ms;
    m_ledger.OnRequestSent(id, true);
    const test::HttpReply reply = test::Call(call);
    m_ledger.OnReply(id, reply.status, IsAnswerTo(id, reply));
    return reply.status == 200;
  }

  SoakSettings m_settings;
  std::mt19937_64 m_random;
  std::mt19937_64 m_untruthRandom;
  std::mt19937_64 m_plannedRandom;
  std::mt19937_64 m_hostileRandom;
  Ledger m_ledger;
  Cluster m_cluster;
  std::vector<std::unique_ptr<Replica>> m_replicas;
  std::vector<std::unique_ptr<Replica>> m_members;
  std::map<Replica*, Clock::time_point> m_drainingSince;
  Callers* m_poolCallers = nullptr; ///< Set while there are callers.
  Clock::time_point m_start = Clock::now();
  Clock::time_point m_measuredAt;
  std::multimap<Clock::time_point, Action> m_faultEnds; ///< Ends of lasting faults.
  FaultLog m_faults;
  std::uint64_t m_version = 0;
  std::uint64_t m_acknowledged = 0;
  std::uint64_t m_probes = 0;
};

} // namespace

SoakReport RunSoak(const SoakSettings& settings)
{
  return Soak(settings).Run();
}

} // namespace gooseberrysail::soak
