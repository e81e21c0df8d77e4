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

using Clock = std::chrono::steady_clock;

constexpr auto kReady = 20s;
constexpr auto kRecovery = 15s;
constexpr std::chrono::milliseconds kShortestPause{ 100 };
constexpr std::chrono::milliseconds kLongestPause{ 900 };

/// \brief One run: starts the processes, injects faults and checks the results.
class Soak
{
public:
  explicit Soak(const SoakSettings& settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_cluster(settings.daemon, settings.entries)
  {
    for (std::size_t number = 0; number < settings.replicas; ++number) {
      m_replicas.push_back(std::make_unique<Replica>(
        "r" + std::to_string(number + 1), m_cluster.Controls(), m_ledger, m_random()));
    }
    m_replicas.back()->SetUnframed();
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
    SoakReport report;
    report.faults = m_faults;
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

  void RecordFault(const std::string& fault)
  {
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_start);
    m_faults.push_back(std::to_string(at.count()) + " ms " + fault);
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
      &Soak::KillEntry,        &Soak::KillControl, &Soak::KillAllControl, &Soak::StopEntry,
      &Soak::StopControl,      &Soak::PauseEntry,  &Soak::PauseControl,   &Soak::Reload,
      &Soak::RestartReplica,   &Soak::LoseAnswers, &Soak::BreakAnswers,   &Soak::CutConnections,
      &Soak::StallConnections, &Soak::DelayRelay,  &Soak::ChangeConfig,   &Soak::ChangeConfig,
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
    RecordFault("kill " + name);
    m_cluster.KillAndRestart(name);
  }
  void StopEntry() { Stop(RandomProcess("entry")); }
  void StopControl() { Stop(RandomProcess("control")); }
  void Stop(const std::string& name)
  {
    RecordFault("stop " + name);
    if (!m_cluster.StopAndRestart(name)) {
      m_ledger.OnViolation(name + " got SIGTERM and did not exit by itself");
    }
  }
  void PauseEntry() { Pause(RandomProcess("entry")); }
  void PauseControl() { Pause(RandomProcess("control")); }
  void Pause(const std::string& name)
  {
    const auto length = RandomDuration(300ms, 3000ms);
    RecordFault("pause " + name + " for " + std::to_string(length.count()) + " ms");
    m_cluster.Signal(name, SIGSTOP);
    EndAfter(length, [this, name] { m_cluster.Signal(name, SIGCONT); });
  }
  void Reload()
  {
    const std::string name = RandomProcess("entry");
    RecordFault("reload " + name);
    m_cluster.Signal(name, SIGHUP);
  }
  void RestartReplica()
  {
    RecordFault("restart a replica");
    RandomElement(m_replicas)->Restart();
  }
  void LoseAnswers()
  {
    RecordFault("a replica loses answers");
    Replica* replica = RandomElement(m_replicas).get();
    replica->SetAnswerLossRate(0.3);
    EndAfter(2000ms, [replica] { replica->SetAnswerLossRate(0); });
  }
  void BreakAnswers()
  {
    RecordFault("a replica truncates answers");
    Replica* replica = RandomElement(m_replicas).get();
    replica->SetAnswerTruncationRate(0.3);
    EndAfter(2000ms, [replica] { replica->SetAnswerTruncationRate(0); });
  }
  void CutConnections()
  {
    RecordFault("connections to a replica are reset");
    RandomElement(m_replicas)->Relay().ResetExisting();
  }
  void StallConnections()
  {
    RecordFault("open connections to a replica drop all data");
    RandomElement(m_replicas)->Relay().BlackholeExisting();
  }
  void DelayRelay()
  {
    RecordFault("connections to a replica are delayed by 200 ms");
    Replica* replica = RandomElement(m_replicas).get();
    replica->Relay().SetDelay(200ms);
    EndAfter(1500ms, [replica] { replica->Relay().SetDelay(Duration::zero()); });
  }
  void ChangeConfig()
  {
    ++m_version;
    const bool acknowledged = m_cluster.PutConfig(m_version, m_random() % 3);
    m_acknowledged = acknowledged ? m_version : m_acknowledged;
    RecordFault("configuration " + std::to_string(m_version) +
                (acknowledged ? " acknowledged" : " without an answer"));
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
        return std::ranges::all_of(m_cluster.Entries(),
                                   [&](const std::string& entry) { return IsServed(entry); });
      },
      timeout);
  }

  bool IsServed(const std::string& entry)
  {
    const std::string id = "w" + std::to_string(++m_probes);
    test::HttpCall call{ .address = entry, .method = "POST", .target = "/safe/x" };
    call.headers = { { "Host", "desk.example" },
                     { "X-Request-Id", id },
                     { "X-Request-Deadline", "1000" },
                     { "Authorization", "Bearer key-of-t1" } };
    call.timeout = 1500ms;
    m_ledger.OnRequestSent(id, true);
    const test::HttpReply reply = test::Call(call);
    m_ledger.OnReply(id, reply.status, IsAnswerTo(id, reply));
    return reply.status == 200;
  }

  SoakSettings m_settings;
  std::mt19937_64 m_random;
  Ledger m_ledger;
  Cluster m_cluster;
  std::vector<std::unique_ptr<Replica>> m_replicas;
  Clock::time_point m_start = Clock::now();
  std::multimap<Clock::time_point, Action> m_faultEnds; ///< Ends of lasting faults.
  std::vector<std::string> m_faults;
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
