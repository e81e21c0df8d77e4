#include "support/test_cluster.hpp"

#include "gooseberrysail/core/token.hpp"

#include <boost/json.hpp>
#include <fstream>

namespace gooseberrysail::test {

namespace {

constexpr const char* kClusterKey = "test-cluster-key-0123456789abcdef";

std::string NumberedName(const std::string& prefix, std::size_t index)
{
  return prefix + "-" + std::to_string(index + 1);
}

std::string Program(const std::string& name)
{
  // Tests run in the build folder, which contains the programs.
  return "./" + name;
}

void WriteFile(const std::string& path, const std::string& text)
{
  std::ofstream(path) << text;
}

} // namespace

std::string HashToken(std::string_view token)
{
  return TokenHash(token);
}

TestCluster::TestCluster(Shape shape)
{
  for (std::size_t index = 0; index < shape.controls; ++index) {
    m_controlPeers.push_back(FreeAddress());
    m_controlHttp.push_back(FreeAddress());
  }
  for (std::size_t index = 0; index < shape.controls; ++index) {
    const std::string name = NumberedName("control", index);
    StartDaemon(name,
                CommonSettings("control", name, m_controlPeers[index], m_controlHttp[index]) +
                  "[control]\ndataFolder = " + DataFolder(index) +
                  "\noperatorTokenHash = " + HashToken(kOperatorToken) + "\n");
  }
  for (std::size_t index = 0; index < shape.entries; ++index) {
    m_entryHttp.push_back(FreeAddress());
    const std::string name = NumberedName("entry", index);
    StartDaemon(name, CommonSettings("entry", name, FreeAddress(), m_entryHttp.back()));
  }
}

std::string TestCluster::CommonSettings(const std::string& role,
                                        const std::string& name,
                                        const std::string& listen,
                                        const std::string& http) const
{
  std::string text = "[process]\nrole = " + role + "\nname = " + name +
                     "\nfailureDomain = half-way-tree\nlisten = " + listen +
                     "\nhttpListen = " + http + "\n[cluster]\nkey = " + kClusterKey + "\n";
  for (std::size_t index = 0; index < m_controlPeers.size(); ++index) {
    text += "control = " + NumberedName("control", index) + "=" + m_controlPeers[index] + "\n";
  }
  return text;
}

void TestCluster::StartDaemon(const std::string& name, const std::string& settings)
{
  WriteFile(m_folder.Path() + "/" + name + ".ini", settings);
  Restart(name);
}

void TestCluster::Restart(const std::string& name)
{
  const std::string base = m_folder.Path() + "/" + name;
  m_processes.erase(name);
  m_processes[name] = std::make_unique<ChildProcess>(
    std::vector<std::string>{ Program("gooseberrysaild"), "--settings", base + ".ini" },
    base + ".log");
}

void TestCluster::StartTarget(const std::string& vm)
{
  m_targets[vm] = FreeAddress();
  const std::string name = "target-" + vm;
  m_processes[name] = std::make_unique<ChildProcess>(
    std::vector<std::string>{ Program("fake_target"), "--listen", m_targets[vm] },
    m_folder.Path() + "/" + name + ".log");
}

void TestCluster::StartAgent(const std::string& vm,
                             const std::string& extra,
                             const std::string& listen)
{
  const std::string name = "agent-" + vm;
  StartDaemon(name,
              CommonSettings("agent", name, listen, FreeAddress()) + "[agent]\nvm = " + vm +
                "\ntargetAddress = " + m_targets[vm] + "\n" + extra);
}

void TestCluster::AddEngineVms(const std::string& prefix,
                               std::size_t count,
                               const std::string& fabricDomain)
{
  for (std::size_t index = 0; index < count; ++index) {
    const std::string vm = NumberedName(prefix, index);
    StartTarget(vm);
    StartAgent(vm, "fabricDomain = " + fabricDomain + "\naccelerators = 2\ntargetKind = engine\n");
  }
}

void TestCluster::AddForwardedEngineVm(const std::string& vm,
                                       const std::string& listen,
                                       const std::string& announce)
{
  StartTarget(vm);
  StartAgent(vm,
             "fabricDomain = fabric-a\naccelerators = 2\n[process]\nannounce = " + announce + "\n",
             listen);
}

void TestCluster::AddServiceVm(const std::string& vm, const std::string& service)
{
  StartTarget(vm);
  StartAgent(vm, "targetKind = service\nservice = " + service + "\n");
}

std::string TestCluster::DefaultCatalogue(std::size_t replicas)
{
  return R"([{"kind":"model","name":"hire-assist","owner":"hire-desk","class":"interactive",
    "spec":{"version":"2026-11","replicas":)" +
         std::to_string(replicas) + R"(,"membersPerReplica":4}},
    {"kind":"service","name":"booking-portal","owner":"hire-desk","class":"interactive",
    "spec":{"nonRepeatable":[{"method":"POST","pathPrefix":"/bookings"}]}},
    {"kind":"workspace","name":"kingston","owner":"hire-desk","class":"interactive",
    "spec":{"tokenHash":")" +
         HashToken(kWorkspaceToken) + R"("}}])";
}

HttpReply TestCluster::Apply(const std::string& entriesJson)
{
  std::string writes;
  const boost::json::value entries = boost::json::parse(entriesJson);
  for (const boost::json::value& entry : entries.as_array()) {
    writes += writes.empty() ? "" : ",";
    writes += R"({"expectedRevision":null,"entry":)" + boost::json::serialize(entry) + "}";
  }
  const std::string changeId = "change-" + std::to_string(++m_changes);
  return Admin("POST",
               "/admin/v1/catalogue",
               R"({"changeId":")" + changeId + R"(","operator":"test","writes":[)" + writes + "]}");
}

HttpReply TestCluster::Admin(const std::string& method,
                             const std::string& target,
                             const std::string& body)
{
  HttpReply reply;
  const bool answered = WaitUntil(
    [&] {
      for (const std::string& address : m_controlHttp) {
        HttpCall call{ .address = address, .method = method, .target = target };
        call.headers = { { "Authorization", "Bearer " + std::string(kOperatorToken) } };
        call.body = body;
        call.timeout = std::chrono::seconds(5);
        reply = Call(call);
        // 421: another process leads; 503: no leader yet; 504: the outcome is not known; 0: no
        // answer, as of a stopped process. The same change may be sent again.
        const bool isFinal =
          reply.status != 0 && reply.status != 421 && reply.status != 503 && reply.status != 504;
        if (isFinal) {
          return true;
        }
      }
      return false;
    },
    kReadyTimeout);
  reply.whole = reply.whole && answered;
  return reply;
}

HttpReply TestCluster::CallEntry(std::size_t entry,
                                 const std::string& method,
                                 const std::string& target,
                                 const std::string& body,
                                 Headers headers) const
{
  HttpCall call{ .address = m_entryHttp[entry], .method = method, .target = target };
  call.headers = std::move(headers);
  call.headers.emplace_back("Authorization", "Bearer " + std::string(kWorkspaceToken));
  call.body = body;
  return Call(call);
}

HttpReply TestCluster::Chat(std::size_t entry, const std::string& prompt, bool stream) const
{
  const std::string body = std::string(R"({"model":"hire-assist","stream":)") +
                           (stream ? "true" : "false") +
                           R"(,"messages":[{"role":"user","content":)" +
                           boost::json::serialize(boost::json::value(prompt)) + "}]}";
  return CallEntry(
    entry, "POST", "/v1/chat/completions", body, { { "Content-Type", "application/json" } });
}

HttpReply TestCluster::CallTarget(const std::string& vm,
                                  const std::string& method,
                                  const std::string& target,
                                  const std::string& body) const
{
  return Call({ .address = m_targets.at(vm), .method = method, .target = target, .body = body });
}

bool TestCluster::WaitServing()
{
  for (std::size_t entry = 0; entry < m_entryHttp.size(); ++entry) {
    if (!WaitUntil([&] { return Chat(entry, "ready?").status == 200; }, kReadyTimeout)) {
      return false;
    }
  }
  return true;
}

bool TestCluster::WaitService(const std::string& path)
{
  for (std::size_t entry = 0; entry < m_entryHttp.size(); ++entry) {
    if (!WaitUntil([&] { return CallEntry(entry, "GET", path).status == 200; }, kReadyTimeout)) {
      return false;
    }
  }
  return true;
}

ChildProcess& TestCluster::Process(const std::string& name)
{
  return *m_processes.at(name);
}

std::string TestCluster::EntryAddress(std::size_t entry) const
{
  return m_entryHttp[entry];
}

std::string TestCluster::ControlAddress(std::size_t control) const
{
  return m_controlHttp[control];
}

std::string TestCluster::DataFolder(std::size_t control) const
{
  return m_folder.Path() + "/data-" + std::to_string(control + 1);
}

std::string TestCluster::Outputs() const
{
  std::string all;
  for (const auto& [name, process] : m_processes) {
    all += "---- " + name + " ----\n" + process->Output();
  }
  return all;
}

} // namespace gooseberrysail::test
