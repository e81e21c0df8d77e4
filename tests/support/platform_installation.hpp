#pragma once

#include "support/child_process.hpp"
#include "support/http_call.hpp"
#include "support/temporary_folder.hpp"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrysail::test {

/// \brief Sections that a test adds to the settings of the processes.
struct ExtraSettings
{
  std::string control;
  std::string entry;
};

/// \brief One control process and one entry on loopback; the entry discovers control through a
/// seed.
class PlatformInstallation
{
public:
  static constexpr auto kTimeout = std::chrono::seconds(20);
  static constexpr auto kCallTimeout = std::chrono::seconds(5);

  /// \param extra Further sections of the settings files.
  explicit PlatformInstallation(const ExtraSettings& extra = {})
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
            std::string(64, '0') + "\n" + extra.control);
    Write("entry.ini", EntrySettings(extra.entry));
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

  /// \param output Where it writes its lines; "" for a file of the installation.
  [[nodiscard]] std::unique_ptr<ChildProcess> Start(const std::string& name,
                                                    const std::string& output = "") const
  {
    const std::string daemon = std::string(GOOSEBERRYSAIL_BINARY_DIR) + "/gooseberrysaild";
    return std::make_unique<ChildProcess>(
      std::vector<std::string>{ daemon, "--settings", m_folder.Path() + "/" + name + ".ini" },
      output.empty() ? m_folder.Path() + "/" + name + ".out" : output);
  }

  /// \brief Puts a file where control keeps its data, so that it can't open it.
  void BlockData() const
  {
    std::filesystem::remove_all(m_folder.Path() + "/data");
    Write("data", "");
  }

  /// \brief Gives control a folder for its data again.
  void UnblockData() const
  {
    std::filesystem::remove(m_folder.Path() + "/data");
    std::filesystem::create_directories(m_folder.Path() + "/data");
  }

  /// Sends a configuration until control answers with anything but 503 and 504.
  [[nodiscard]] unsigned Put(const std::string& config) const
  {
    unsigned status = 0;
    EXPECT_TRUE(WaitUntil(
      [&] {
        status = CallControl("PUT", config).status;
        return status != 0 && status != 503 && status != 504;
      },
      kTimeout));
    return status;
  }

  [[nodiscard]] HttpReply CallControl(const std::string& method, const std::string& body) const
  {
    HttpCall call{ .address = controlHttp, .method = method, .target = "/api/config" };
    call.body = body;
    call.timeout = kCallTimeout;
    return Call(call);
  }

  [[nodiscard]] HttpReply CallEntry(const std::string& target,
                                    const std::string& key,
                                    const std::string& requestId = "r-1",
                                    const std::string& body = "") const
  {
    HttpCall call{ .address = entryHttp, .method = "POST", .target = target };
    call.headers = { { "Host", "hire.example" },
                     { "X-Request-Id", requestId },
                     { "X-Request-Deadline", "1000" },
                     { "Authorization", "Bearer " + key } };
    call.body = body;
    call.timeout = kCallTimeout;
    return Call(call);
  }

  [[nodiscard]] unsigned Readiness() const
  {
    HttpCall call{ .address = ready, .method = "GET", .target = "/api/ready" };
    call.timeout = std::chrono::seconds(2);
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

} // namespace gooseberrysail::test
