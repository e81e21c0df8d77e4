#include "support/child_process.hpp"
#include "support/http_call.hpp"
#include "support/section.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <gmock/gmock.h>
#include <sys/wait.h>

namespace gooseberrysail::test {
namespace {

using namespace std::chrono_literals;
using ::testing::HasSubstr;

constexpr auto kTimeout = 20s;

std::string Config(int version, const std::string& extra = "")
{
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"r1","host":)" +
         R"("hire.example","pathPrefix":"/a/","kind":"unsafe","timeoutMs":1500,"service":"s1",)" +
         R"("maxAttempts":1}],"services":[{"name":"s1","healthPath":"/health"}],)" +
         R"("tenants":[{"name":"t1","apiKeys":["key-of-t1"]}])" + extra + "}";
}

/// One control process and one entry on loopback; the entry discovers control through a seed.
class Installation
{
public:
  Installation()
    : controlHttp(FreeAddress())
    , entryHttp(FreeAddress())
    , ready(FreeAddress())
    , m_peerPort(PortOf(FreeAddress()))
  {
    std::filesystem::create_directories(m_folder.Path() + "/data");
    Write("control.ini",
          "[process]\nrole = control\ninterface = platform\nname = control-127.0.0.1\n"
          "failureDomain = a\nlisten = 127.0.0.1:" +
            m_peerPort + "\nhttpListen = " + controlHttp + Cluster() +
            "[control]\ndataFolder = data\nelectionTimeout = 200\ntoleratedLosses = 0\n"
            "operatorTokenHash = " +
            std::string(64, '0') + "\n");
    Write("entry.ini", EntrySettings(""));
    control = Start("control");
    entry = Start("entry");
  }

  [[nodiscard]] std::string EntrySettings(const std::string& extra) const
  {
    return "[process]\nrole = entry\ninterface = platform\nname = entry-1\nfailureDomain = a\n"
           "listen = 127.0.0.1:0\nhttpListen = " +
           entryHttp + "\nreadyListen = " + ready + Cluster() + extra;
  }

  void Write(const std::string& name, const std::string& text) const
  {
    std::ofstream(m_folder.Path() + "/" + name) << text;
  }

  [[nodiscard]] std::unique_ptr<ChildProcess> Start(const std::string& name) const
  {
    const std::string daemon = std::string(GOOSEBERRYSAIL_BINARY_DIR) + "/gooseberrysaild";
    return std::make_unique<ChildProcess>(
      std::vector<std::string>{ daemon, "--settings", m_folder.Path() + "/" + name + ".ini" },
      m_folder.Path() + "/" + name + ".out");
  }

  /// Sends a configuration until control answers with anything but 503.
  [[nodiscard]] unsigned Put(const std::string& config) const
  {
    unsigned status = 0;
    EXPECT_TRUE(WaitUntil(
      [&] {
        status = CallControl("PUT", config).status;
        return status != 0 && status != 503;
      },
      kTimeout));
    return status;
  }

  [[nodiscard]] HttpReply CallControl(const std::string& method, const std::string& body) const
  {
    HttpCall call{ .address = controlHttp, .method = method, .target = "/api/config" };
    call.body = body;
    call.timeout = 5s;
    return Call(call);
  }

  [[nodiscard]] HttpReply CallEntry(const std::string& target, const std::string& key) const
  {
    HttpCall call{ .address = entryHttp, .method = "POST", .target = target };
    call.headers = { { "Host", "hire.example" },
                     { "X-Request-Id", "r-1" },
                     { "X-Request-Deadline", "1000" },
                     { "Authorization", "Bearer " + key } };
    call.timeout = 5s;
    return Call(call);
  }

  [[nodiscard]] unsigned Readiness() const
  {
    HttpCall call{ .address = ready, .method = "GET", .target = "/api/ready" };
    call.timeout = 2s;
    return Call(call).status;
  }

  std::string controlHttp;
  std::string entryHttp;
  std::string ready;
  std::unique_ptr<ChildProcess> control;
  std::unique_ptr<ChildProcess> entry;

private:
  static std::string PortOf(const std::string& address)
  {
    return address.substr(address.rfind(':') + 1);
  }

  [[nodiscard]] std::string Cluster() const
  {
    return "\n[cluster]\nkey = " + std::string(48, 'k') + "\nseeds = " + controlHttp +
           "\nseedPort = " + m_peerPort + "\n";
  }

  TemporaryFolder m_folder;
  std::string m_peerPort;
};

// Runs the whole path in separate processes: a configuration is committed as one atomic change of
// control's log, and an entry that discovered control through a seed applies it.
TEST(PlatformPath, AConfigurationIsInForceAtAnEntryAndNeverReverts)
{
  Installation site;
  EXPECT_TRUE(WaitUntil([&] { return site.Readiness() == 503; }, kTimeout));
  SECTION("before the first configuration, no path is answered with 404")
  {
    EXPECT_TRUE(WaitUntil([&] { return site.CallEntry("/nowhere", "x").status == 503; }, kTimeout));
  }
  EXPECT_EQ(site.Put(Config(7)), 200U);
  EXPECT_TRUE(WaitUntil([&] { return site.Readiness() == 200; }, kTimeout));
  SECTION("routes and keys are in force")
  {
    EXPECT_EQ(site.CallEntry("/nowhere", "key-of-t1").status, 404U);
    EXPECT_EQ(site.CallEntry("/a/x", "guess").status, 401U);
    const HttpReply refused = site.CallEntry("/a/x", "key-of-t1");
    EXPECT_EQ(refused.status, 503U);
    EXPECT_NE(refused.Header("Retry-After"), "");
    EXPECT_THAT(refused.body, HasSubstr("not-run"));
  }
  SECTION("repeated, older, conflicting and malformed configurations change nothing")
  {
    EXPECT_EQ(site.Put(Config(7)), 200U);
    EXPECT_EQ(site.Put(Config(5)), 200U);
    EXPECT_EQ(site.Put(Config(7, R"(,"other":1)")), 409U);
    EXPECT_EQ(site.Put("{\"version\":9"), 400U);
    EXPECT_EQ(site.CallControl("GET", "").body, Config(7));
  }
  SECTION("the configuration survives a restart of control")
  {
    site.control->Kill();
    site.control = site.Start("control");
    EXPECT_TRUE(WaitUntil([&] { return site.CallControl("GET", "").body == Config(7); }, kTimeout));
    EXPECT_EQ(site.CallEntry("/nowhere", "key-of-t1").status, 404U);
  }
}

// Guards against a process that ends when its settings are reloaded: without a handler, SIGHUP
// would end it. Reloads a valid file by SIGHUP and an invalid one by the change of the file.
TEST(PlatformPath, SettingsAreReloadedWithoutARestart)
{
  Installation site;
  EXPECT_EQ(site.Put(Config(7)), 200U);
  EXPECT_TRUE(WaitUntil([&] { return site.Readiness() == 200; }, kTimeout));
  SECTION("by signal")
  {
    site.entry->Signal(SIGHUP);
    EXPECT_NE(site.entry->WaitForLine("SettingsReloaded", kTimeout), "");
  }
  SECTION("a bad file, changed without a signal, is refused")
  {
    site.Write("entry.ini", site.EntrySettings("[process]\nnonsense = 1\n"));
    EXPECT_THAT(site.entry->WaitForLine("SettingsRefused", kTimeout), HasSubstr("nonsense"));
  }
  EXPECT_EQ(site.Readiness(), 200U);
  EXPECT_EQ(site.CallEntry("/nowhere", "key-of-t1").status, 404U);
  SECTION("SIGTERM still ends the process, after readiness is withdrawn")
  {
    site.entry->Signal(SIGTERM);
    EXPECT_TRUE(WaitUntil([&] { return site.Readiness() == 503; }, kTimeout));
    const int status = site.entry->WaitForExit(kTimeout);
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
    site.control->Signal(SIGTERM);
    EXPECT_TRUE(WIFEXITED(site.control->WaitForExit(kTimeout)));
  }
}

} // namespace
} // namespace gooseberrysail::test
