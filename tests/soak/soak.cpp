#include "soak/soak.hpp"

#include "soak/callers.hpp"
#include "soak/cluster.hpp"
#include "soak/replica.hpp"
#include "support/http_call.hpp"

#include <csignal>
#include <functional>

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

/// \brief One run: starts the processes, injects faults and checks the results.
class Soak
{
public:
  explicit Soak(const SoakSettings& settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_untruthRandom(settings.seed ^ kUntruthSeed)
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
      while (Clock::now() - m_start < m_settings.length && !m_settings.shouldStop()) {
        InjectFault();
        InjectUntrueAnswers();
        EndExpiredFaults(Clock::now());
        CheckConfig();
        std::this_thread::sleep_for(RandomDuration(kShortestPause, kLongestPause));
      }
      EndExpiredFaults(Clock::time_point::max());
      if (!m_settings.shouldStop() && !WaitUntilServed(kRecovery)) {
        m_ledger.OnViolation("an entry served no request " + std::to_string(kRecovery.count()) +
                             " s after the last fault");
      }
    }
    CheckConfig();
    for (const std::string& lost :
         LostCheck(m_faults, kRequestTimeLimit).Violations(m_ledger.Unanswered())) {
      m_ledger.OnViolation(lost);
    }
    SoakReport report;
    report.faults = m_faults.Lines();
    report.violations = m_ledger.Violations();
    report.totals = m_ledger.Count();
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
      &Soak::ChangeConfig,     &Soak::ChangeConfig,
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
    m_faults.Add("stop " + name);
    m_faults.EndAll(name); // It continues if it was paused.
    if (!m_cluster.StopAndRestart(name)) {
      m_ledger.OnViolation(name + " got SIGTERM and did not exit by itself");
    }
  }
  void PauseEntry() { Pause(RandomProcess("entry")); }
  void PauseControl() { Pause(RandomProcess("control")); }
  void Pause(const std::string& name)
  {
    const auto length = RandomDuration(300ms, 3000ms);
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
  void ChangeConfig()
  {
    ++m_version;
    const bool acknowledged = m_cluster.PutConfig(m_version, m_random() % 3);
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
      ChangeConfig();
    }
    SilenceOne();
    if (!changesFirst) {
      ChangeConfig();
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
  Ledger m_ledger;
  Cluster m_cluster;
  std::vector<std::unique_ptr<Replica>> m_replicas;
  Clock::time_point m_start = Clock::now();
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
