#include "support/blocking_connection.hpp"
#include "support/section.hpp"
#include "support/serving_installation.hpp"

#include <boost/asio/error.hpp>
#include <csignal>

namespace gooseberrysail::test {
namespace {

using namespace std::chrono_literals;
using tests::BlockingConnection;

constexpr const char* kConfig =
  R"({"version":1,"routes":[{"name":"r1","host":"hire.example","pathPrefix":"/a/","kind":"safe",)"
  R"("timeoutMs":8000,"service":"desk","maxAttempts":1},)"
  R"({"name":"r2","host":"hire.example","pathPrefix":"/events/","kind":"stream",)"
  R"("timeoutMs":8000,"service":"desk","maxAttempts":1}],)"
  R"("services":[{"name":"desk","healthPath":"/health"}],)"
  R"("tenants":[{"name":"t1","apiKeys":["key-of-t1"]}]})";

constexpr const char* kHeadEnd = "\r\n\r\n";
constexpr const char* kLargePath = "/a/large";
/// More than the socket buffers of both sides hold.
constexpr std::size_t kLargeBody = 8UL * 1024 * 1024;
constexpr int kReceiveBuffer = 16 * 1024;

std::string RequestFor(const std::string& path, const std::string& version, const std::string& id)
{
  return "POST " + path + " HTTP/" + version + "\r\nHost: hire.example\r\nX-Request-Id: " + id +
         "\r\nX-Request-Deadline: 8000\r\nAuthorization: Bearer key-of-t1\r\n"
         "Content-Length: 5\r\n\r\nsound";
}

/// \brief An installation whose targets state no end of their answers.
class UnframedInstallation
{
public:
  explicit UnframedInstallation(const std::string& largeBody = "")
    : m_serving(kConfig)
  {
    for (const auto& replica : m_serving.replicas) {
      replica->SetUnframed();
      if (largeBody.empty()) {
        replica->SetStreaming();
      } else {
        replica->SetAnswer(kLargePath, largeBody);
      }
    }
    m_serving.site.Write(
      "entry.ini",
      m_serving.site.EntrySettings("[limits]\nmaxAnswerBytes = " + std::to_string(2 * kLargeBody)));
    m_serving.site.entry->Kill();
    RestartEntry();
  }

  [[nodiscard]] const std::string& EntryAddress() const { return m_serving.site.entryHttp; }

  [[nodiscard]] std::uint64_t Runs() const { return m_serving.Runs(); }

  void EndEntry(int signal) const
  {
    m_serving.site.entry->Signal(signal);
    EXPECT_NE(m_serving.site.entry->WaitForExit(PlatformInstallation::kTimeout), -1);
  }

  void RestartEntry()
  {
    m_serving.site.entry = m_serving.site.Start("entry");
    m_serving.WaitUntilServed();
  }

private:
  ServingInstallation m_serving;
};

/// \brief Checks that a connection that ended in order carried all of the body, or no head.
void ExpectNoFalseEnd(const BlockingConnection& caller,
                      const std::string& received,
                      const std::string& body)
{
  const std::size_t headEnd = received.find(kHeadEnd);
  if (caller.readError != boost::asio::error::eof || headEnd == std::string::npos) {
    return;
  }
  EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received.substr(0, headEnd);
  const std::string seen = received.substr(headEnd + std::string_view(kHeadEnd).size());
  EXPECT_EQ(seen.size(), body.size()) << "closed in order before the last byte";
  EXPECT_TRUE(body.starts_with(seen));
}

/// \brief Where in a stream the entry ends.
struct Point
{
  const char* name;
  const char* after; ///< The event that the caller has by then; "" for none.
  std::chrono::milliseconds pause = 0ms;
};

constexpr std::array kPoints{ Point{ "before the first event", "" },
                              Point{ "after the first event", "id: 1\n" },
                              Point{ "between two events", "id: 4\n", 10ms },
                              Point{ "in an event", "id: 6\n", 27ms },
                              Point{ "before the last event", "id: 9\n" },
                              Point{ "after the last event", "id: 10\n" },
                              Point{ "while the end is settled", "id: 10\n", 20ms } };

// Guards against a stream without length or chunks that looks complete when its entry is killed or
// crashes.
TEST(KilledEntry, CutsNoStreamThatThenLooksWhole)
{
  UnframedInstallation installation;
  int asked = 0;
  for (const int signal : { SIGKILL, SIGABRT }) {
    for (const Point& point : kPoints) {
      SECTION(std::string(point.name) + ", by signal " + std::to_string(signal))
      {
        const std::string id = "killed-" + std::to_string(++asked);
        const std::uint64_t runs = installation.Runs();
        BlockingConnection caller(installation.EntryAddress());
        EXPECT_TRUE(caller.Write(RequestFor("/events/x", "1.1", id)));
        std::string received;
        if (std::string_view(point.after).empty()) {
          EXPECT_TRUE(
            WaitUntil([&] { return installation.Runs() > runs; }, PlatformInstallation::kTimeout));
        } else {
          received = caller.ReadUntil(point.after);
          EXPECT_NE(received.find(point.after), std::string::npos);
        }
        std::this_thread::sleep_for(point.pause);
        installation.EndEntry(signal);
        received += caller.ReadToEnd();
        ExpectNoFalseEnd(caller, received, soak::EventsFor(id));
        installation.RestartEntry();
      }
    }
  }
  SECTION("without a kill, the connection ends in order after the last event")
  {
    BlockingConnection caller(installation.EntryAddress());
    EXPECT_TRUE(caller.Write(RequestFor("/events/x", "1.1", "whole")));
    const std::string received = caller.ReadToEnd();
    EXPECT_EQ(caller.readError, boost::asio::error::eof);
    EXPECT_TRUE(received.ends_with(soak::EventsFor("whole")));
  }
}

// Guards against a body without a length that looks complete when its entry is killed before all of
// it was sent, to callers of either version of HTTP.
TEST(KilledEntry, CutsNoBodyThatThenLooksWhole)
{
  const std::string body(kLargeBody, 'x');
  UnframedInstallation installation(body);
  for (const char* version : { "1.1", "1.0" }) {
    SECTION(std::string("HTTP/") + version + ", killed while the caller reads")
    {
      BlockingConnection caller(installation.EntryAddress(), kReceiveBuffer);
      EXPECT_TRUE(caller.Write(RequestFor(kLargePath, version, "killed")));
      std::string received = caller.ReadUntil(kHeadEnd);
      installation.EndEntry(SIGKILL);
      received += caller.ReadToEnd();
      EXPECT_LT(received.size(), body.size());
      EXPECT_NE(caller.readError, boost::asio::error::eof);
      installation.RestartEntry();
    }
    SECTION(std::string("HTTP/") + version + ", all of it arrives where nothing is killed")
    {
      BlockingConnection caller(installation.EntryAddress());
      EXPECT_TRUE(caller.Write(RequestFor(kLargePath, version, "whole")));
      const std::string received = caller.ReadToEnd();
      EXPECT_EQ(caller.readError, boost::asio::error::eof);
      EXPECT_EQ(received.size(), received.find(kHeadEnd) + 4 + body.size());
    }
    SECTION(std::string("HTTP/") + version + ", and where its entry stops in good order")
    {
      BlockingConnection caller(installation.EntryAddress());
      EXPECT_TRUE(caller.Write(RequestFor(kLargePath, version, "stopped")));
      std::string received = caller.ReadUntil(kHeadEnd);
      std::thread stop([&] { installation.EndEntry(SIGTERM); });
      received += caller.ReadToEnd();
      stop.join();
      EXPECT_EQ(caller.readError, boost::asio::error::eof);
      EXPECT_EQ(received.size(), received.find(kHeadEnd) + 4 + body.size());
      installation.RestartEntry();
    }
  }
}

} // namespace
} // namespace gooseberrysail::test
