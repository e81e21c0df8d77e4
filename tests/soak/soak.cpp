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

/// \brief One run: its processes, its faults under way, its checks.
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
  }

  SoakReport Run()
  {
    if (!WaitServed(kReady)) {
      m_ledger.OnViolation("nothing was served before any fault");
    }
    m_start = Clock::now();
    {
      Callers callers(m_cluster.Entries(), m_settings.callers, m_ledger, m_random());
      while (Clock::now() - m_start < m_settings.length && !m_settings.shouldStop()) {
        BringAboutOne();
        EndDue(Clock::now());
        CheckConfig();
        std::this_thread::sleep_for(Between(kShortestPause, kLongestPause));
      }
      EndDue(Clock::time_point::max());
      if (!m_settings.shouldStop() && !WaitServed(kRecovery)) {
        m_ledger.OnViolation("an entry served nothing " + std::to_string(kRecovery.count()) +
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
  using Fault = std::function<void()>;

  std::chrono::milliseconds Between(std::chrono::milliseconds least, std::chrono::milliseconds most)
  {
    const auto span = static_cast<std::uint64_t>((most - least).count()) + 1;
    return least + std::chrono::milliseconds(m_random() % span);
  }

  template<class Values>
  auto& Any(Values& values)
  {
    return values[m_random() % values.size()];
  }

  std::string AnyProcess(const std::string& prefix)
  {
    const std::vector<std::string> names = m_cluster.Names(prefix);
    return names[m_random() % names.size()];
  }

  void Note(const std::string& fault)
  {
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_start);
    m_faults.push_back(std::to_string(at.count()) + " ms " + fault);
  }

  void Until(std::chrono::milliseconds duration, Fault end)
  {
    m_ends.emplace(Clock::now() + duration, std::move(end));
  }

  void EndDue(Clock::time_point now)
  {
    while (!m_ends.empty() && m_ends.begin()->first <= now) {
      const Fault end = std::move(m_ends.begin()->second);
      m_ends.erase(m_ends.begin());
      end();
    }
  }

  void BringAboutOne()
  {
    using Kind = void (Soak::*)();
    static constexpr Kind kKinds[] = {
      &Soak::KillEntry,      &Soak::KillControl, &Soak::KillAllControl, &Soak::StopEntry,
      &Soak::StopControl,    &Soak::PauseEntry,  &Soak::PauseControl,   &Soak::Reload,
      &Soak::RestartReplica, &Soak::LoseAnswers, &Soak::BreakAnswers,   &Soak::CutConnections,
      &Soak::SilenceRelay,   &Soak::DelayRelay,  &Soak::ChangeConfig,   &Soak::ChangeConfig,
    };
    (this->*kKinds[m_random() % std::size(kKinds)])();
  }

  void KillEntry() { Kill(AnyProcess("entry")); }
  void KillControl() { Kill(AnyProcess("control")); }
  void KillAllControl()
  {
    for (const std::string& name : m_cluster.Names("control")) {
      Kill(name);
    }
  }
  void Kill(const std::string& name)
  {
    Note("kill " + name);
    m_cluster.KillAndRestart(name);
  }
  void StopEntry() { Stop(AnyProcess("entry")); }
  void StopControl() { Stop(AnyProcess("control")); }
  void Stop(const std::string& name)
  {
    Note("stop " + name);
    if (!m_cluster.StopAndRestart(name)) {
      m_ledger.OnViolation(name + " was told to leave and did not end by itself");
    }
  }
  void PauseEntry() { Pause(AnyProcess("entry")); }
  void PauseControl() { Pause(AnyProcess("control")); }
  void Pause(const std::string& name)
  {
    const auto length = Between(300ms, 3000ms);
    Note("pause " + name + " for " + std::to_string(length.count()) + " ms");
    m_cluster.Signal(name, SIGSTOP);
    Until(length, [this, name] { m_cluster.Signal(name, SIGCONT); });
  }
  void Reload()
  {
    const std::string name = AnyProcess("entry");
    Note("reload " + name);
    m_cluster.Signal(name, SIGHUP);
  }
  void RestartReplica()
  {
    Note("restart a replica");
    Any(m_replicas)->Restart();
  }
  void LoseAnswers()
  {
    Note("a replica loses answers");
    Replica* replica = Any(m_replicas).get();
    replica->LoseAnswers(0.3);
    Until(2000ms, [replica] { replica->LoseAnswers(0); });
  }
  void BreakAnswers()
  {
    Note("a replica breaks answers off");
    Replica* replica = Any(m_replicas).get();
    replica->BreakAnswers(0.3);
    Until(2000ms, [replica] { replica->BreakAnswers(0); });
  }
  void CutConnections()
  {
    Note("connections to a replica are reset");
    Any(m_replicas)->Relay().ResetExisting();
  }
  void SilenceRelay()
  {
    Note("open connections to a replica fall silent");
    Any(m_replicas)->Relay().BlackholeExisting();
  }
  void DelayRelay()
  {
    Note("the way to a replica takes 200 ms");
    Replica* replica = Any(m_replicas).get();
    replica->Relay().SetDelay(200ms);
    Until(1500ms, [replica] { replica->Relay().SetDelay(Duration::zero()); });
  }
  void ChangeConfig()
  {
    ++m_version;
    const bool acknowledged = m_cluster.PutConfig(m_version, m_random() % 3);
    m_acknowledged = acknowledged ? m_version : m_acknowledged;
    Note("configuration " + std::to_string(m_version) +
         (acknowledged ? " acknowledged" : " without an answer"));
  }

  /// What was acknowledged is never read back older, wherever.
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

  /// Each entry answers a request of its own with success.
  bool WaitServed(std::chrono::milliseconds timeout)
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
    m_ledger.OnAsked(id, true);
    const test::HttpReply reply = test::Call(call);
    m_ledger.OnTold(id, reply.status, reply.whole && reply.body == AnswerTo(id));
    return reply.status == 200;
  }

  SoakSettings m_settings;
  std::mt19937_64 m_random;
  Ledger m_ledger;
  Cluster m_cluster;
  std::vector<std::unique_ptr<Replica>> m_replicas;
  Clock::time_point m_start = Clock::now();
  std::multimap<Clock::time_point, Fault> m_ends; ///< Of faults that last.
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
