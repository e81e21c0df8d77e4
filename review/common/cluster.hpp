#pragma once

// A small deployment of the project's own daemon on loopback addresses, started with the command
// and the settings templates of deploy/system.toml.

#include "http.hpp"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <signal.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>

namespace review {

using namespace std::chrono_literals;

/// Writes what was sent, answered and run to record.txt, with milliseconds since the start.
class Record
{
public:
  explicit Record(const std::string& path)
    : m_file(path)
  {
  }

  void Write(const std::string& line)
  {
    const auto now = std::chrono::duration_cast<Millis>(Clock::now() - m_start).count();
    const std::scoped_lock lock(m_mutex);
    m_file << now << " " << line << "\n";
    m_file.flush();
  }

private:
  std::mutex m_mutex;
  std::ofstream m_file;
  Clock::time_point m_start = Clock::now();
};

/// The trial can't run here; its script exits with 2.
struct CannotRun : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

inline std::string ReadText(const std::string& path)
{
  std::ifstream file(path);
  if (!file) {
    throw CannotRun("can't read " + path);
  }
  return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

inline void ReplaceAll(std::string& text, const std::string& from, const std::string& to)
{
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

/// Fills in the placeholders of a template in the way of the platform; throws if one is left.
inline std::string FillTemplate(std::string text, const std::map<std::string, std::string>& values)
{
  // Sections of values that are given here, and the one over the zones.
  for (const auto& [name, value] : values) {
    ReplaceAll(text, "{{#" + name + "}}\n", "");
    ReplaceAll(text, "{{/" + name + "}}\n", "");
  }
  ReplaceAll(text, "{{#zones}}{{@}}{{,}}{{/zones}}", values.at("zoneList"));
  for (const auto& [name, value] : values) {
    ReplaceAll(text, "{{" + name + "}}", value);
  }
  if (text.find("{{") != std::string::npos) {
    throw CannotRun("a placeholder of a settings template is not known: " +
                    text.substr(text.find("{{"), 40));
  }
  return text;
}

/// A process of the project, started by the command of the deploy file.
class Process
{
public:
  Process(std::string name, std::string settings, std::string log)
    : m_name(std::move(name))
    , m_settings(std::move(settings))
    , m_log(std::move(log))
  {
    Start();
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() { Kill(); }

  void Start()
  {
    m_pid = ::fork();
    if (m_pid < 0) {
      throw CannotRun("can't start a process");
    }
    if (m_pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the trial, whatever ends that.
      const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(log, 1);
      ::dup2(log, 2);
      const char* program = "target/gooseberrysaild";
      ::execl(program, program, "--settings", m_settings.c_str(), nullptr);
      ::_exit(127);
    }
  }

  void Kill()
  {
    if (m_pid > 0) {
      ::kill(m_pid, SIGCONT);
      ::kill(m_pid, SIGKILL);
      ::waitpid(m_pid, nullptr, 0);
      m_pid = -1;
    }
  }

  void Send(int number) const
  {
    if (m_pid > 0) {
      ::kill(m_pid, number);
    }
  }

  /// Whether the process has not ended.
  [[nodiscard]] bool IsAlive()
  {
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
      m_pid = -1;
    }
    return m_pid > 0;
  }

  [[nodiscard]] const std::string& Name() const { return m_name; }
  [[nodiscard]] const std::string& Log() const { return m_log; }

private:
  std::string m_name;
  std::string m_settings;
  std::string m_log;
  pid_t m_pid = -1;
};

/// The bounds and sizes of the site that a trial names.
struct Site
{
  std::string zone = "half-way-tree";
  int heartbeatMs = 1200;
  int stallMs = 5000;
  int drainMs = 2000;
  int passMs = 120;
  std::string retryBudgetRatio = "0.2";
  int budgetSlack = 158;
  int budgetWindowS = 10;
  int toleratedMachines = 1;
  int graceS = 8;
  int memoryMb = 260;
};

inline bool IsFree(const Address& address)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in own = ToSockaddr(address);
  const bool isFree =
    ::bind(descriptor, reinterpret_cast<const sockaddr*>(&own), sizeof own) == 0;
  ::close(descriptor);
  return isFree;
}

/// Three control processes and some entries, each at a loopback address of its own.
class Cluster
{
public:
  Cluster(Record& record, int controls, int entries, Site site = {})
    : m_record(record)
    , m_site(std::move(site))
  {
    std::string folder = std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
    if (::mkdtemp(folder.data()) == nullptr) {
      throw CannotRun("can't make a temporary folder");
    }
    m_folder = folder;
    ChooseAddresses(controls, entries);
    for (int i = 0; i < controls; ++i) {
      StartControl(i);
    }
    for (int i = 0; i < entries; ++i) {
      StartEntry(i);
    }
  }

  ~Cluster()
  {
    m_processes.clear();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(m_folder, ignored);
    }
  }
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  [[nodiscard]] Address ControlHttp(int i) const { return { m_controls.at(i), m_controlPort }; }
  [[nodiscard]] Address EntryHttp(int i) const { return { m_entries.at(i), m_frontPort }; }
  [[nodiscard]] Address EntryReady(int i) const { return { m_entries.at(i), m_readyPort }; }
  [[nodiscard]] int Controls() const { return static_cast<int>(m_controls.size()); }
  [[nodiscard]] int Entries() const { return static_cast<int>(m_entries.size()); }
  [[nodiscard]] Process& Control(int i) { return *m_processes.at("control-" + std::to_string(i)); }
  [[nodiscard]] Process& Entry(int i) { return *m_processes.at("entry-" + std::to_string(i)); }
  [[nodiscard]] const Site& Deployed() const { return m_site; }
  [[nodiscard]] const std::string& Folder() const { return m_folder; }
  /// An address for a stand-in.
  [[nodiscard]] std::string NewIp() { return Ip(m_nextIp++); }

  /// The operator: sends a configuration until it is acknowledged. \returns The last status.
  int PutConfig(const std::string& text, Millis limit)
  {
    const auto until = Clock::now() + limit;
    int status = 0;
    for (int i = 0; Clock::now() < until; ++i) {
      status = CallControl(i % Controls(), "PUT", text).Status();
      if (status / 100 == 2 || status / 100 == 4) {
        break;
      }
      std::this_thread::sleep_for(200ms);
    }
    m_record.Write("operator: configuration answered with " + std::to_string(status));
    return status;
  }

  /// A call of the operator, who follows up to two redirections.
  ReadResult CallControl(int first, const std::string& method, const std::string& text) const
  {
    Address address = ControlHttp(first);
    ReadResult result;
    for (int hop = 0; hop < 3; ++hop) {
      result = Call(address,
                    method + " /api/config HTTP/1.1",
                    { { "Content-Type", "application/json" } },
                    text,
                    2s);
      const std::string location = result.message.Find("Location");
      if (result.Status() != 307 || location.size() < 8) {
        break;
      }
      const std::string rest = location.substr(7);
      address = ParseAddress(rest.substr(0, rest.find('/')));
    }
    return result;
  }

  /// Waits until all entries say that they are ready.
  bool WaitReady(Millis limit) const
  {
    const auto until = Clock::now() + limit;
    while (Clock::now() < until) {
      bool isReady = true;
      for (int i = 0; i < Entries(); ++i) {
        isReady = isReady &&
                  Call(EntryReady(i), "GET /api/ready HTTP/1.1", {}, "", 1s).Status() == 200;
      }
      if (isReady) {
        return true;
      }
      std::this_thread::sleep_for(100ms);
    }
    return false;
  }

  /// Lines of a process's log that hold a text.
  [[nodiscard]] std::vector<std::string> Grep(const Process& process, const std::string& text) const
  {
    std::vector<std::string> lines;
    std::ifstream file(process.Log());
    for (std::string line; std::getline(file, line);) {
      if (line.find(text) != std::string::npos) {
        lines.push_back(line);
      }
    }
    return lines;
  }

private:
  [[nodiscard]] std::string Ip(int last) const
  {
    return "127." + std::to_string(m_net / 256) + "." + std::to_string(m_net % 256) + "." +
           std::to_string(last);
  }

  void ChooseAddresses(int controls, int entries)
  {
    std::random_device random;
    for (int attempt = 0; attempt < 100; ++attempt) {
      m_net = 256 * (1 + static_cast<int>(random() % 250)) + static_cast<int>(random() % 250);
      const auto base = static_cast<std::uint16_t>(20000 + 10 * (random() % 1000));
      m_meshPort = base;
      m_frontPort = base + 1;
      m_readyPort = base + 2;
      m_controlPort = base + 3;
      m_controls.clear();
      m_entries.clear();
      m_nextIp = 11;
      for (int i = 0; i < controls; ++i) {
        m_controls.push_back(Ip(m_nextIp++));
      }
      for (int i = 0; i < entries; ++i) {
        m_entries.push_back(Ip(m_nextIp++));
      }
      bool areFree = true;
      for (const auto& list : { m_controls, m_entries }) {
        for (const std::string& ip : list) {
          for (const int port : { 9464, int{ m_meshPort }, int{ m_frontPort }, int{ m_readyPort },
                                  int{ m_controlPort } }) {
            areFree = areFree && IsFree({ ip, static_cast<std::uint16_t>(port) });
          }
        }
      }
      if (areFree) {
        return;
      }
    }
    throw CannotRun("no free loopback addresses");
  }

  [[nodiscard]] std::map<std::string, std::string> Values(const std::string& ip) const
  {
    std::string seeds;
    for (std::size_t i = 0; i < m_controls.size() && i < 3; ++i) {
      seeds += (seeds.empty() ? "" : ",") + m_controls[i] + ":" + std::to_string(m_controlPort);
    }
    return { { "ip", ip },
             { "zone", m_site.zone },
             { "zoneList", m_site.zone },
             { "internalPorts.0", std::to_string(m_meshPort) },
             { "listen.front", ip + ":" + std::to_string(m_frontPort) },
             { "listen.ready", ip + ":" + std::to_string(m_readyPort) },
             { "listen.control", ip + ":" + std::to_string(m_controlPort) },
             { "seeds", seeds },
             { "bootstrap", "true" },
             { "heartbeatMs", std::to_string(m_site.heartbeatMs) },
             { "faultTolerance.machines", std::to_string(m_site.toleratedMachines) },
             { "limits.memoryMb", std::to_string(m_site.memoryMb) },
             { "bounds.graceS", std::to_string(m_site.graceS) },
             { "bounds.passMs", std::to_string(m_site.passMs) },
             { "bounds.stallMs", std::to_string(m_site.stallMs) },
             { "bounds.drainMs", std::to_string(m_site.drainMs) },
             { "bounds.retryBudgetRatio", m_site.retryBudgetRatio },
             { "bounds.budgetSlack", std::to_string(m_site.budgetSlack) },
             { "bounds.budgetWindowS", std::to_string(m_site.budgetWindowS) } };
  }

  void Launch(const std::string& name,
              const std::string& templatePath,
              const std::map<std::string, std::string>& values)
  {
    const std::string settings = m_folder + "/" + name + ".ini";
    std::ofstream(settings) << FillTemplate(ReadText(templatePath), values);
    m_processes[name] =
      std::make_unique<Process>(name, settings, m_folder + "/" + name + ".log");
  }

  void StartControl(int i)
  {
    const std::string name = "control-" + std::to_string(i);
    auto values = Values(m_controls[i]);
    values["nodeName"] = name;
    values["dataDir"] = m_folder + "/" + name;
    std::filesystem::create_directories(m_folder + "/" + name);
    Launch(name, "deploy/control.ini", values);
  }

  void StartEntry(int i)
  {
    const std::string name = "entry-" + std::to_string(i);
    auto values = Values(m_entries[i]);
    values["nodeName"] = name;
    Launch(name, "deploy/entry.ini", values);
  }

  Record& m_record;
  Site m_site;
  std::string m_folder;
  int m_net = 0;
  int m_nextIp = 11;
  std::uint16_t m_meshPort = 0;
  std::uint16_t m_frontPort = 0;
  std::uint16_t m_readyPort = 0;
  std::uint16_t m_controlPort = 0;
  std::vector<std::string> m_controls;
  std::vector<std::string> m_entries;
  std::map<std::string, std::unique_ptr<Process>> m_processes;
};

/// Runs a trial and maps its result to the exit code of the script.
template<class Trial>
int RunTrial(int argc, char** argv, Trial&& trial)
{
  ::signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::fprintf(stderr, "usage: %s RECORD-FILE, in the repository\n", argv[0]);
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  Record record(argv[1]);
  try {
    const bool isBroken = trial(record, hasTrouble);
    record.Write(isBroken ? "result: the rule was broken" : "result: the rule held");
    std::printf("%s\n", isBroken ? "the rule was broken" : "the rule held");
    return isBroken ? 1 : 0;
  } catch (const std::exception& error) {
    record.Write(std::string("result: the case couldn't run: ") + error.what());
    std::fprintf(stderr, "the case couldn't run: %s\n", error.what());
    return 2;
  }
}

} // namespace review
