#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <atomic>
#include <boost/json.hpp>
#include <csignal>
#include <thread>

namespace gooseberrysail::test {
namespace {

constexpr const char* kBookings = "/services/booking-portal/bookings";

std::uint64_t TimesBooked(const TestCluster& cluster, const std::string& vm, const std::string& key)
{
  const HttpReply reply = cluster.CallTarget(vm, "GET", "/counters");
  const auto counters = boost::json::parse(reply.body);
  const auto& bookings = counters.at("bookings").as_object();
  return bookings.contains(key) ? bookings.at(key).to_number<std::uint64_t>() : 0;
}

HttpReply Book(const TestCluster& cluster, std::size_t entry, const std::string& key)
{
  return cluster.CallEntry(
    entry, "POST", kBookings, R"({"machine":"roller-3"})", { { "Idempotency-Key", key } });
}

class AtMostOnce : public ::testing::Test
{
protected:
  void SetUp() override
  {
    m_cluster.AddServiceVm("vm-portal", "booking-portal");
    ASSERT_EQ(m_cluster.Apply(TestCluster::DefaultCatalogue()).status, 200U);
    ASSERT_TRUE(m_cluster.WaitService("/services/booking-portal/stock/kingston"))
      << m_cluster.Outputs();
  }

  TestCluster m_cluster{ { .controls = 1, .entries = 2 } };
};

// Guards against a request that runs twice because two entries get it at the same time with the
// same Idempotency-Key. An entry alone doesn't know about the other's attempt.
TEST_F(AtMostOnce, OneKeyThroughTwoEntriesAtOnceRunsOnce)
{
  static_cast<void>(
    m_cluster.CallTarget("vm-portal", "POST", "/switch", R"({"answerDelayMs":300})"));
  HttpReply first;
  std::thread other([&] { first = Book(m_cluster, 0, "booking-1"); });
  const HttpReply second = Book(m_cluster, 1, "booking-1");
  other.join();
  EXPECT_EQ(TimesBooked(m_cluster, "vm-portal", "booking-1"), 1U);
  EXPECT_TRUE(first.status == 201 || second.status == 201) << first.body << second.body;

  SECTION("a retry gets the first answer")
  {
    HttpReply again;
    ASSERT_TRUE(WaitUntil(
      [&] {
        again = Book(m_cluster, 0, "booking-1");
        return again.status == 201;
      },
      kReadyTimeout))
      << again.status << again.body;
    EXPECT_EQ(TimesBooked(m_cluster, "vm-portal", "booking-1"), 1U);
  }
}

// Guards against a request that runs twice after the failure of an entry. The entry is killed while
// the service works on the request; the caller gets no answer and retries through another entry.
// The claim on the key must outlive the entry that holds it.
TEST_F(AtMostOnce, AKeyResentAfterItsEntryWasKilledDoesNotRunAgain)
{
  static_cast<void>(
    m_cluster.CallTarget("vm-portal", "POST", "/switch", R"({"answerDelayMs":500})"));
  std::thread caller([&] { static_cast<void>(Book(m_cluster, 0, "booking-2")); });
  ASSERT_TRUE(WaitUntil([&] { return TimesBooked(m_cluster, "vm-portal", "booking-2") == 1; },
                        kReadyTimeout));
  m_cluster.Process("entry-1").Kill();
  caller.join();
  const HttpReply resent = Book(m_cluster, 1, "booking-2");
  EXPECT_NE(resent.status, 201U) << "no process has that answer";
  EXPECT_NE(resent.body.find("reason"), std::string::npos) << resent.body;
  EXPECT_EQ(TimesBooked(m_cluster, "vm-portal", "booking-2"), 1U);
}

// Guards against a request that runs twice after the failure of the service's agent. The agent is
// killed while the service works on the request, and the caller retries. The restarted agent has no
// record of the request, which doesn't prove that it never ran.
TEST_F(AtMostOnce, AKeyResentAfterItsAgentWasKilledDoesNotRunAgain)
{
  static_cast<void>(
    m_cluster.CallTarget("vm-portal", "POST", "/switch", R"({"answerDelayMs":500})"));
  HttpReply answer;
  std::thread caller([&] { answer = Book(m_cluster, 0, "booking-3"); });
  ASSERT_TRUE(WaitUntil([&] { return TimesBooked(m_cluster, "vm-portal", "booking-3") == 1; },
                        kReadyTimeout));
  m_cluster.Process("agent-vm-portal").Kill();
  m_cluster.Restart("agent-vm-portal");
  caller.join();
  EXPECT_NE(answer.status, 201U);
  EXPECT_EQ(answer.body.find("not-run"), std::string::npos) << "it ran: " << answer.body;
  const HttpReply resent = Book(m_cluster, 1, "booking-3");
  EXPECT_NE(resent.status, 201U) << resent.body;
  EXPECT_EQ(TimesBooked(m_cluster, "vm-portal", "booking-3"), 1U);
}

// Guards against a replica that answers while one of its VMs is frozen, or that never serves again.
// One member's agent is stopped by SIGSTOP for longer than the member timeout, then continued. A
// stopped process keeps its connections open, so that only missing heartbeats show the failure.
TEST(Membership, AMemberFrozenPastTheTimeoutStopsTheReplica)
{
  TestCluster cluster({ .controls = 1, .entries = 1 });
  cluster.AddEngineVms("vm", 4, "fabric-a");
  ASSERT_EQ(cluster.Apply(TestCluster::DefaultCatalogue()).status, 200U);
  ASSERT_TRUE(cluster.WaitServing()) << cluster.Outputs();
  cluster.Process("agent-vm-3").Signal(SIGSTOP);
  HttpReply refused;
  EXPECT_TRUE(WaitUntil(
    [&] {
      refused = cluster.Chat(0, "anyone?");
      return refused.status == 503;
    },
    kReadyTimeout));
  EXPECT_NE(refused.body.find("not-run"), std::string::npos) << refused.body;
  cluster.Process("agent-vm-3").Signal(SIGCONT);
  EXPECT_TRUE(cluster.WaitServing()) << cluster.Outputs();
}

/// Callers in threads of their own, each with one request at a time, and counts of their outcomes.
/// Like the platform's balancer, they stop once an entry answers that it is shutting down.
class Load
{
public:
  Load(const TestCluster& cluster, std::size_t callers)
  {
    for (std::size_t index = 0; index < callers; ++index) {
      const bool stream = index % 4 == 0;
      m_threads.emplace_back([this, &cluster, stream] { SendRequests(cluster, stream); });
    }
  }
  ~Load() { Stop(); }
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  void Stop()
  {
    m_stop = true;
    for (std::thread& thread : m_threads) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }
  [[nodiscard]] std::size_t Whole() const { return m_whole; }
  [[nodiscard]] std::size_t Cut() const { return m_cut; }

private:
  void SendRequests(const TestCluster& cluster, bool stream)
  {
    while (!m_stop) {
      const HttpReply reply = cluster.Chat(0, "Draft a long hire agreement for a crane.", stream);
      if (reply.status == 200) {
        const bool whole =
          reply.whole && (!stream || reply.body.find("[DONE]") != std::string::npos);
        ++(whole ? m_whole : m_cut);
      } else if (reply.status == 503 && reply.body.find("not-run") != std::string::npos) {
        ++m_refused;
        StopIf(reply.body.find("shutting-down") != std::string::npos);
      } else {
        // A refused connection cuts no answer, since the request was not accepted. All else does.
        m_cut += reply.failure.find("refused") == std::string::npos ? 1 : 0;
        StopIf(reply.status == 0);
      }
    }
  }

  // Only ever sets the flag. With `m_stop = m_stop || ended`, a caller that read the flag before
  // Stop() set it would clear it again, and Stop() would wait forever.
  void StopIf(bool ended)
  {
    if (ended) {
      m_stop = true;
    }
  }

  std::vector<std::thread> m_threads;
  std::atomic<bool> m_stop = false;
  std::atomic<std::size_t> m_whole = 0;
  std::atomic<std::size_t> m_cut = 0;
  std::atomic<std::size_t> m_refused = 0;
};

class GracefulStop : public ::testing::Test
{
protected:
  void SetUp() override
  {
    m_cluster.AddEngineVms("vm", 4, "fabric-a");
    ASSERT_EQ(m_cluster.Apply(TestCluster::DefaultCatalogue()).status, 200U);
    ASSERT_TRUE(m_cluster.WaitServing()) << m_cluster.Outputs();
    for (const char* vm : { "vm-1", "vm-2", "vm-3", "vm-4" }) {
      static_cast<void>(m_cluster.CallTarget(vm, "POST", "/switch", R"({"tokenDelayMs":5})"));
    }
  }

  /// Sends SIGTERM to `process` under load, and expects a clean exit without a cut answer.
  void StopUnderLoad(const std::string& process)
  {
    Load load(m_cluster, 32);
    ASSERT_TRUE(WaitUntil([&] { return load.Whole() >= 1000; }, std::chrono::seconds(60)))
      << load.Whole();
    m_cluster.Process(process).Signal(SIGTERM);
    EXPECT_EQ(m_cluster.Process(process).WaitForExit(std::chrono::seconds(30)), 0)
      << m_cluster.Outputs();
    load.Stop();
    EXPECT_EQ(load.Cut(), 0U) << m_cluster.Outputs();
    RecordProperty("whole", static_cast<int>(load.Whole()));
  }

  TestCluster m_cluster{ { .controls = 1, .entries = 1 } };
};

// Guards against answers cut whenever a process is updated. A process gets SIGTERM while many
// requests run, long streams among them; it must not exit before its last answer was delivered.
TEST_F(GracefulStop, AnEntryExitsWithoutCuttingAnAnswer)
{
  StopUnderLoad("entry-1");
}

TEST_F(GracefulStop, AnAgentOfAGroupExitsWithoutCuttingAnAnswer)
{
  StopUnderLoad("agent-vm-1");
}

TEST_F(GracefulStop, ControlExitsWithoutCuttingAnAnswer)
{
  StopUnderLoad("control-1");
}

} // namespace
} // namespace gooseberrysail::test
