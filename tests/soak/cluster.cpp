#include "soak/cluster.hpp"

#include "support/http_call.hpp"
#include "support/memory_watch.hpp"

#include <boost/json.hpp>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

namespace gooseberrysail::soak {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kControls = 3;
/// As a supervisor does.
constexpr auto kStopGrace = 8s;
constexpr auto kStartTime = 500ms;

std::string PortOf(const std::string& address)
{
  return address.substr(address.rfind(':') + 1);
}

/// Returns a loopback address derived from the process id, so that parallel soaks use different
/// ones. Control processes share their port numbers and differ by address, as on the platform. A
/// port is known to be free only when it is looked up: parallel soaks on one address chose the same
/// port, so that control failed with "Address already in use", and processes of one soak answered
/// callers of another.
std::string LoopbackIp(std::size_t number)
{
  constexpr std::uint32_t kAddressesPerSoak = kControls + 1;
  const std::uint32_t host =
    static_cast<std::uint32_t>(getpid()) * kAddressesPerSoak + static_cast<std::uint32_t>(number);
  return "127." + std::to_string((host >> 16U) & 0xFFU) + "." +
         std::to_string((host >> 8U) & 0xFFU) + "." + std::to_string(host & 0xFFU);
}

std::string ControlIp(std::size_t number)
{
  return LoopbackIp(number + 1);
}

std::string FreeEntryAddress()
{
  return LoopbackIp(0) + ":" + PortOf(test::FreeAddress());
}

/// The routes to the pool; the bits of `variant` remove some and change the limits of others.
std::string PoolRoutes(std::uint64_t variant)
{
  const std::string limits = R"("timeoutMs":)" + std::to_string(8000 - 500 * (variant & 3U)) +
                             R"(,"maxAttempts":)" + std::to_string(3 - (variant >> 2U) % 3) +
                             R"(,"trafficSplit":[{"service":"pool","weight":)" +
                             std::to_string(1 + (variant >> 4U) % 9) + "}]}";
  std::string routes;
  if ((variant >> 8U & 7U) != 1) {
    routes += R"(,{"name":"pooled","host":"desk.example","pathPrefix":"/pooled/","kind":"stream",)"
              R"("streamResume":true,)" +
              limits;
  }
  if ((variant >> 11U & 7U) != 1) {
    routes +=
      R"(,{"name":"strict","host":"desk.example","pathPrefix":"/strict/","kind":"stream",)" +
      limits;
  }
  return routes;
}

/// A service of two models, with groups of four and of two replicas.
constexpr const char* kPool =
  R"(,{"name":"pool","healthPath":"/health","engine":{"slots":8,"kvCapacityTokens":100000,)"
  R"("kvTokenBytes":1000,"linkMbps":10000.0,"stride":5,"models":[{"name":"four","size":4,)"
  R"("share":0.5,"pace":1.0,"loadS":0.2,"warmS":0.1},{"name":"two","size":2,"share":0.5,)"
  R"("pace":0.6,"loadS":0.2,"warmS":0.1}],"step_ms":5.0,"per_seq_ms":0.1,)"
  R"("context_per_k":0.01,"read_per_s":40000.0,"pairs_per_m":0.4,"chunk":2048,)"
  R"("report_lag_ms":100.0,"loadsPerS":10.0,"loads_at_once":6,"usual":{"prompt":100,)"
  R"("answer":50},"retainCount":1,"far_x":3.0,"formMs":100.0}})";

std::string Config(std::uint64_t version, std::uint64_t variant)
{
  const bool hasOtherTenant = (variant >> 14U & 1U) == 0;
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[)"
         R"({"name":"once","host":"desk.example","pathPrefix":"/once/","kind":"unsafe",)"
         R"("timeoutMs":1500,"service":"desk","maxAttempts":2},)"
         R"({"name":"safe","host":"desk.example","pathPrefix":"/safe/","kind":"safe",)"
         R"("timeoutMs":1500,"service":"desk","maxAttempts":2},)"
         R"({"name":"resume","host":"desk.example","pathPrefix":"/resume/","kind":"stream",)"
         R"("streamResume":true,"timeoutMs":1500,"service":"hall","maxAttempts":2,"sticky":true},)"
         R"({"name":"stream","host":"desk.example","pathPrefix":"/stream/","kind":"stream",)"
         R"("timeoutMs":1500,"service":"hall","maxAttempts":2,"sticky":true})" +
         PoolRoutes(variant) +
         R"(],"services":[{"name":"desk","healthPath":"/health"},)"
         R"({"name":"hall","healthPath":"/health","engine":{"slots":6,"kvCapacityTokens":100000,)"
         R"("kvTokenBytes":1000,"linkMbps":10000.0,"stride":5,"models":[{"name":"m","size":1,)"
         R"("share":1.0,"pace":1.0,"loadS":0.2,"warmS":0.1}],"step_ms":5.0,"per_seq_ms":0.1,)"
         R"("context_per_k":0.01,"read_per_s":40000.0,"pairs_per_m":0.4,"chunk":2048,)"
         R"("report_lag_ms":100.0,"loadsPerS":10.0,"loads_at_once":6,"usual":{"prompt":100,)"
         R"("answer":50},"retainCount":1,"far_x":3.0,"formMs":100.0}})" +
         kPool + R"(],"tenants":[{"name":"t1","apiKeys":["key-of-t1"]})" +
         (hasOtherTenant ? R"(,{"name":"t2","apiKeys":["key-of-t2"]})" : "") + "]}";
}

/// Leaves the process unreaped, so that its id isn't used again.
bool HasEnded(pid_t process)
{
  siginfo_t info{};
  const bool isKnown =
    waitid(P_PID, static_cast<id_t>(process), &info, WEXITED | WNOHANG | WNOWAIT) == 0;
  return !isKnown || info.si_pid == process;
}

/// \param status As of waitpid; -1 for a process that still runs.
std::string DescribeEnd(int status)
{
  if (status == -1) {
    return "still runs after its grace";
  }
  if (WIFSIGNALED(status)) {
    const int signal = WTERMSIG(status);
    return "was ended by signal " + std::to_string(signal) + " (" + strsignal(signal) + ")";
  }
  return "exited with status " + std::to_string(WEXITSTATUS(status));
}

} // namespace

Cluster::Cluster(std::string daemon, std::size_t entries)
  : m_daemon(std::move(daemon))
  , m_peerPort(PortOf(test::FreeAddress()))
{
  const std::string httpPort = PortOf(test::FreeAddress());
  for (std::size_t number = 0; number < kControls; ++number) {
    m_controls.push_back(ControlIp(number) + ":" + httpPort);
  }
  for (std::size_t number = 0; number < kControls; ++number) {
    WriteControl(number);
  }
  for (std::size_t number = 0; number < entries; ++number) {
    m_entries.push_back(FreeEntryAddress());
    WriteEntry(number);
  }
}

std::string Cluster::CommonSettings(const std::string& ip) const
{
  std::string seeds;
  for (const std::string& control : m_controls) {
    seeds += (seeds.empty() ? "" : ",") + control;
  }
  return "failureDomain = a\nlisten = " + ip + "\n[cluster]\nkey = " + std::string(48, 'k') +
         "\nseeds = " + seeds + "\nseedPort = " + m_peerPort +
         "\n[peers]\nheartbeatInterval = 300\nsilenceTimeout = 1000\n";
}

void Cluster::WriteControl(std::size_t number)
{
  const std::string name = "control-" + std::to_string(number + 1);
  const std::string data = m_folder.Path() + "/data-" + name;
  std::filesystem::create_directories(data);
  std::ofstream(m_folder.Path() + "/" + name + ".ini")
    << "[process]\nrole = control\ninterface = platform\nname = control-" << ControlIp(number)
    << "\nhttpListen = " << m_controls[number] << "\n"
    << CommonSettings(ControlIp(number) + ":" + m_peerPort) << "[control]\ndataFolder = " << data
    << "\nelectionTimeout = 400\ntoleratedLosses = 1\noperatorTokenHash = " << std::string(64, '0')
    << "\n";
  Start(name);
}

void Cluster::WriteEntry(std::size_t number)
{
  const std::string name = "entry-" + std::to_string(number + 1);
  std::ofstream(m_folder.Path() + "/" + name + ".ini")
    << "[process]\nrole = entry\ninterface = platform\nname = " << name
    << "\nhttpListen = " << m_entries[number] << "\nreadyListen = " << FreeEntryAddress() << "\n"
    << CommonSettings(LoopbackIp(0) + ":0");
  Start(name);
}

void Cluster::Start(const std::string& name)
{
  const std::string base = m_folder.Path() + "/" + name;
  m_startedAt[name] = std::chrono::steady_clock::now();
  m_processes[name] = std::make_unique<test::ChildProcess>(
    std::vector<std::string>{ m_daemon, "--settings", base + ".ini" }, base + ".log");
}

std::vector<std::string> Cluster::Names(const std::string& prefix) const
{
  std::vector<std::string> names;
  for (const auto& [name, process] : m_processes) {
    if (name.starts_with(prefix)) {
      names.push_back(name);
    }
  }
  return names;
}

void Cluster::Signal(const std::string& name, int signal)
{
  m_processes.at(name)->Signal(signal);
}

void Cluster::KillAndRestart(const std::string& name)
{
  m_stops.erase(name);
  m_signalSeries.erase(name);
  m_processes.at(name)->Kill();
  Start(name);
}

bool Cluster::HasJustStarted(const std::string& name) const
{
  return std::chrono::steady_clock::now() - m_startedAt.at(name) < kStartTime;
}

void Cluster::BeginStop(const std::string& name)
{
  Signal(name, SIGCONT); // A process that is paused can't handle SIGTERM.
  Signal(name, SIGTERM);
  m_stops.try_emplace(name, std::chrono::steady_clock::now());
}

void Cluster::BeginSignalSeries(const std::string& name,
                                std::chrono::microseconds interval,
                                bool repeatsTerm)
{
  const pid_t process = m_processes.at(name)->Pid();
  m_signalSeries.try_emplace(name, [process, interval, repeatsTerm](const std::stop_token& stop) {
    for (bool isOdd = false; !stop.stop_requested() && !HasEnded(process); isOdd = !isOdd) {
      kill(process, repeatsTerm && isOdd ? SIGTERM : SIGHUP);
      std::this_thread::sleep_for(interval);
    }
  });
}

std::vector<std::string> Cluster::RestartEnded()
{
  std::vector<std::string> failed;
  for (auto& [name, process] : m_processes) {
    const auto stop = m_stops.find(name);
    const bool isStopping = stop != m_stops.end();
    const bool isOverdue =
      isStopping && std::chrono::steady_clock::now() - stop->second >= kStopGrace;
    if (!isOverdue && !HasEnded(process->Pid())) {
      continue;
    }
    m_signalSeries.erase(name); // Before the process is reaped and its id is free.
    const int status = process->WaitForExit(0ms);
    if (!isStopping || status != 0) {
      failed.push_back(name + (isStopping ? " got SIGTERM and " : " got no signal to end and ") +
                       DescribeEnd(status));
    }
    if (isStopping) {
      m_stops.erase(stop);
    }
    process->Kill();
    Start(name);
  }
  return failed;
}

void Cluster::MeasureControls()
{
  for (const std::string& name : Names("control")) {
    const std::size_t bytes = test::MeasureMemory(m_processes.at(name)->Pid(), {}).residentBytes;
    m_controlBytes[name] = std::max(m_controlBytes[name], bytes);
  }
}

bool Cluster::PutConfig(std::uint64_t version, std::size_t first, std::uint64_t variant) const
{
  for (std::size_t tried = 0; tried < m_controls.size(); ++tried) {
    test::HttpCall call{ .address = m_controls[(first + tried) % m_controls.size()],
                         .method = "PUT" };
    call.target = "/api/config";
    call.headers = { { "Content-Type", "application/json" } };
    call.body = Config(version, variant);
    call.timeout = 1s;
    if (test::Call(call).status == 200) {
      return true;
    }
  }
  return false;
}

std::uint64_t Cluster::ReadVersion(std::size_t control) const
{
  test::HttpCall call{ .address = m_controls[control], .method = "GET", .target = "/api/config" };
  call.timeout = 1s;
  const test::HttpReply reply = test::Call(call);
  if (reply.status != 200 || !reply.whole) {
    return 0;
  }
  const boost::json::value document = boost::json::parse(reply.body);
  return document.at("version").to_number<std::uint64_t>();
}

std::string Cluster::Outputs() const
{
  std::string all;
  for (const auto& [name, process] : m_processes) {
    all += "---- " + name + " ----\n" + process->Output();
  }
  return all;
}

} // namespace gooseberrysail::soak
