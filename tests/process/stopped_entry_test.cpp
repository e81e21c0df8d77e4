#include "support/blocking_connection.hpp"
#include "support/section.hpp"
#include "support/serving_installation.hpp"

#include <csignal>
#include <gmock/gmock.h>
#include <sys/wait.h>

namespace gooseberrysail::test {
namespace {

using namespace std::chrono_literals;
using ::testing::HasSubstr;
using tests::BlockingConnection;

constexpr auto kStopTimeout = 4s;

constexpr const char* kConfig =
  R"({"version":1,"routes":[{"name":"r1","host":"hire.example","pathPrefix":"/a/","kind":"unsafe",)"
  R"("timeoutMs":20000,"service":"desk","maxAttempts":1}],)"
  R"("services":[{"name":"desk","healthPath":"/health"}],)"
  R"("tenants":[{"name":"t1","apiKeys":["key-of-t1"]}]})";

constexpr const char* kStreamConfig =
  R"({"version":1,"routes":[{"name":"r1","host":"hire.example","pathPrefix":"/a/","kind":"stream",)"
  R"("timeoutMs":20000,"service":"desk","maxAttempts":1},)"
  R"({"name":"r2","host":"hire.example","pathPrefix":"/events/","kind":"stream",)"
  R"("timeoutMs":20000,"service":"desk","maxAttempts":1}],)"
  R"("services":[{"name":"desk","healthPath":"/health"}],)"
  R"("tenants":[{"name":"t1","apiKeys":["key-of-t1"]}]})";

constexpr const char* kRequest =
  "POST /a/x HTTP/1.1\r\nHost: hire.example\r\nX-Request-Id: pending\r\n"
  "X-Request-Deadline: 20000\r\nAuthorization: Bearer key-of-t1\r\nContent-Length: 5\r\n\r\nsound";

/// \brief An installation whose entry is stopped by a supervisor that waits for kStopTimeout.
class SupervisedInstallation
{
public:
  explicit SupervisedInstallation(const std::string& config = kConfig, bool streams = false)
    : m_serving(config)
  {
    for (const auto& replica : m_serving.replicas) {
      if (streams) {
        replica->SetStreaming();
      }
    }
    m_serving.site.Write("entry.ini",
                         m_serving.site.EntrySettings("[process]\nstopTimeout = " +
                                                      std::to_string(kStopTimeout.count()) + "\n"));
    m_serving.site.entry->Kill();
    m_serving.site.entry = m_serving.site.Start("entry");
    m_serving.WaitUntilServed();
  }

  [[nodiscard]] const std::string& EntryAddress() const { return m_serving.site.entryHttp; }

  /// \brief Sends a request that its target runs and does not answer.
  void AskSilentTarget(BlockingConnection& caller) const
  {
    for (const auto& replica : m_serving.replicas) {
      replica->FallSilentFor(30s);
    }
    const std::uint64_t before = m_serving.Runs();
    EXPECT_TRUE(caller.Write(kRequest));
    EXPECT_TRUE(
      WaitUntil([&] { return m_serving.Runs() > before; }, PlatformInstallation::kTimeout));
  }

  /// \brief Sends SIGTERM, and SIGKILL after kStopTimeout. \returns The exit status.
  [[nodiscard]] int Stop() const
  {
    ChildProcess& entry = *m_serving.site.entry;
    entry.Signal(SIGTERM);
    const int status = entry.WaitForExit(kStopTimeout);
    if (status == -1) {
      entry.Kill();
    }
    return status;
  }

  [[nodiscard]] std::string EntryOutput() const { return m_serving.site.entry->Output(); }
  [[nodiscard]] std::uint64_t Runs() const { return m_serving.Runs(); }
  void Signal(int signal) const { m_serving.site.entry->Signal(signal); }

private:
  ServingInstallation m_serving;
};

// Guards against connections that end without an answer when a stopping entry is killed.
TEST(StoppedEntry, AnswersPendingRequestsBeforeItIsKilled)
{
  SupervisedInstallation installation;
  BlockingConnection caller(installation.EntryAddress());
  installation.AskSilentTarget(caller);
  const int status = installation.Stop();
  EXPECT_TRUE(status != -1 && WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
  const std::string received = caller.ReadToEnd();
  EXPECT_TRUE(received.starts_with("HTTP/1.1 502")) << received;
  EXPECT_THAT(received, HasSubstr("unknown"));
  EXPECT_THAT(installation.EntryOutput(), HasSubstr("pending"));
}

std::string StreamRequest(const std::string& path, const std::string& id)
{
  return "POST " + path + " HTTP/1.1\r\nHost: hire.example\r\nX-Request-Id: " + id +
         "\r\nX-Request-Deadline: 20000\r\nAuthorization: Bearer key-of-t1\r\n"
         "Content-Length: 5\r\n\r\nsound";
}

// Guards against late requests that a stopping entry passes on and cuts at the end of its stop.
TEST(StoppedEntry, RefusesWhatCannotEndInTime)
{
  constexpr const char* kLastChunk = "\r\n0\r\n\r\n";
  SupervisedInstallation installation(kStreamConfig, true);
  const std::string longest = soak::kLongestStreamSuffix; // Longer than the whole stop.
  BlockingConnection caller(installation.EntryAddress());
  ASSERT_TRUE(caller.Write(StreamRequest("/events/x", "first" + longest)));
  ASSERT_TRUE(caller.ReadUntil(kLastChunk).ends_with(kLastChunk));
  const std::uint64_t runs = installation.Runs();
  installation.Signal(SIGTERM);
  std::this_thread::sleep_for(300ms);
  SECTION("at once, as not run, and on a connection that it closes")
  {
    ASSERT_TRUE(caller.Write(StreamRequest("/events/x", "late" + longest)));
    const auto sent = std::chrono::steady_clock::now();
    const std::string answer = caller.ReadToEnd();
    EXPECT_LT(std::chrono::steady_clock::now() - sent, 1s);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_THAT(answer, HasSubstr("Retry-After: "));
    EXPECT_THAT(answer, HasSubstr("Connection: close"));
    EXPECT_EQ(installation.Runs(), runs);
  }
  SECTION("what is short enough is served")
  {
    BlockingConnection other(installation.EntryAddress());
    ASSERT_TRUE(other.Write(StreamRequest("/a/x", "short")));
    EXPECT_TRUE(other.ReadUntil(kLastChunk).ends_with(kLastChunk));
  }
}

// Guards against requests that cross the close of a connection which a stop finds idle.
TEST(StoppedEntry, AsksCallersToLeaveWithTheNextAnswer)
{
  SupervisedInstallation installation(kStreamConfig, true);
  BlockingConnection caller(installation.EntryAddress());
  ASSERT_TRUE(caller.Write(StreamRequest("/a/x", "before")));
  ASSERT_FALSE(caller.ReadUntil("\r\n0\r\n\r\n").empty());
  installation.Signal(SIGTERM);
  std::this_thread::sleep_for(300ms);
  ASSERT_TRUE(caller.Write(StreamRequest("/a/x", "after")));
  const std::string answer = caller.ReadToEnd();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  EXPECT_THAT(answer, HasSubstr("Connection: close"));
  EXPECT_TRUE(answer.ends_with("\r\n0\r\n\r\n")) << answer;
}

} // namespace
} // namespace gooseberrysail::test
