#include "support/blocking_connection.hpp"
#include "support/serving_installation.hpp"

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <random>
#include <sys/wait.h>
#include <thread>

namespace gooseberrysail::test {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using tests::BlockingConnection;

constexpr auto kStopTimeout = 8s;
constexpr std::size_t kEntries = 5;
constexpr std::size_t kSlots = 300;
constexpr auto kInterval = 37ms; ///< Between the starts of streams.
constexpr auto kWarmUp = 7s;     ///< Longer than a stream.
constexpr auto kProbeInterval = 1s;
constexpr int kFailedProbes = 2; ///< After which an entry is no longer listed.
constexpr int kMaxCalls = 4;
constexpr auto kRetryAfter = 50ms;
constexpr auto kCloseSlack = 200ms; ///< A request that crosses the close of an idle connection.
constexpr const char* kHeadEnd = "\r\n\r\n";
constexpr const char* kLastChunk = "\r\n0\r\n\r\n";

constexpr const char* kConfig =
  R"({"version":1,"routes":[{"name":"r1","host":"hire.example","pathPrefix":"/a/","kind":"stream",)"
  R"("timeoutMs":20000,"service":"desk","maxAttempts":1}],)"
  R"("services":[{"name":"desk","healthPath":"/health"}],)"
  R"("tenants":[{"name":"t1","apiKeys":["key-of-t1"]}]})";

struct Entry
{
  std::string name;
  std::string http;
  std::string ready;
  std::unique_ptr<ChildProcess> process;
  std::atomic<bool> isListed = true;
  std::atomic<Clock::rep> stoppedAt = 0; ///< 0 while it is not being stopped.
  std::vector<std::unique_ptr<BlockingConnection>> kept;
};

std::string Replaced(std::string text, const std::string& from, const std::string& to)
{
  return text.replace(text.find(from), from.size(), to);
}

/// \brief Entries behind a load balancer, and callers of streams that keep their connections.
class StreamTrial
{
public:
  StreamTrial()
    : m_serving(kConfig)
  {
    for (const auto& replica : m_serving.replicas) {
      replica->SetStreaming();
      replica->SetSlots(kSlots);
    }
    m_serving.site.entry->Kill();
    const std::string settings = m_serving.site.EntrySettings(
      "[process]\nstopTimeout = " + std::to_string(kStopTimeout.count()) + "\n");
    for (std::size_t number = 0; number < kEntries; ++number) {
      Entry& entry = entries[number];
      entry.name = "entry-" + std::to_string(number + 1);
      entry.http = number == 0 ? m_serving.site.entryHttp : FreeAddress();
      entry.ready = number == 0 ? m_serving.site.ready : FreeAddress();
      std::string own = Replaced(settings, "name = entry-1", "name = " + entry.name);
      own = Replaced(own, "httpListen = " + m_serving.site.entryHttp, "httpListen = " + entry.http);
      own = Replaced(own, "readyListen = " + m_serving.site.ready, "readyListen = " + entry.ready);
      m_serving.site.Write(entry.name + ".ini", own);
      Start(entry);
    }
    m_serving.WaitUntilServed();
    m_balancer = std::jthread([this](const std::stop_token& stop) { Balance(stop); });
    m_caller = std::jthread([this](const std::stop_token& stop) { StartStreams(stop); });
  }

  /// \brief Waits until all streams have ended.
  void Finish()
  {
    m_caller.request_stop();
    m_caller.join();
    m_streams.clear();
    m_balancer.request_stop();
    m_balancer.join();
  }

  void Start(Entry& entry)
  {
    entry.process = m_serving.site.Start(entry.name);
    EXPECT_TRUE(WaitUntil([&] { return Readiness(entry) == 200; }, PlatformInstallation::kTimeout));
    entry.stoppedAt = 0;
  }

  /// \returns The exit status; -1 if it had to be killed.
  int Stop(Entry& entry)
  {
    entry.stoppedAt = Clock::now().time_since_epoch().count();
    entry.process->Signal(SIGTERM);
    const int status = entry.process->WaitForExit(kStopTimeout);
    if (status == -1) {
      entry.process->Kill();
    }
    return status;
  }

  std::array<Entry, kEntries> entries;
  std::atomic<std::uint64_t> calls = 0;
  std::atomic<std::uint64_t> whole = 0;
  std::atomic<std::uint64_t> refused = 0; ///< Status 503.
  std::atomic<std::uint64_t> unknown = 0; ///< Another status than 200 and 503.
  std::atomic<std::uint64_t> closed = 0;  ///< At once, without a byte of an answer.
  std::atomic<std::uint64_t> cut = 0;     ///< A part of an answer, or none.
  std::atomic<std::uint64_t> unserved = 0;

private:
  static unsigned Readiness(const Entry& entry)
  {
    HttpCall call{ .address = entry.ready, .method = "GET", .target = "/api/ready" };
    call.timeout = 1s;
    return test::Call(call).status;
  }

  void Balance(const std::stop_token& stop)
  {
    std::array<int, kEntries> failed{};
    while (!stop.stop_requested()) {
      for (std::size_t number = 0; number < kEntries; ++number) {
        failed[number] = Readiness(entries[number]) == 200 ? 0 : failed[number] + 1;
        entries[number].isListed = failed[number] < kFailedProbes;
      }
      std::this_thread::sleep_for(kProbeInterval);
    }
  }

  void StartStreams(const std::stop_token& stop)
  {
    auto next = Clock::now();
    for (std::uint64_t number = 0; !stop.stop_requested(); ++number) {
      m_streams.emplace_back([this, number] { Run(number); });
      next += kInterval;
      std::this_thread::sleep_until(next);
    }
  }

  /// Kept connections are used as long as they are open, and new ones are made to listed entries.
  std::pair<Entry*, std::unique_ptr<BlockingConnection>> Take()
  {
    Entry* entry = nullptr;
    {
      const std::scoped_lock lock(m_mutex);
      std::vector<Entry*> usable;
      for (Entry& each : entries) {
        if (each.isListed || !each.kept.empty()) {
          usable.push_back(&each);
        }
      }
      if (usable.empty()) {
        return {};
      }
      entry = usable[m_random() % usable.size()];
      if (!entry->kept.empty()) {
        std::unique_ptr<BlockingConnection> connection = std::move(entry->kept.back());
        entry->kept.pop_back();
        return { entry, std::move(connection) };
      }
    }
    return { entry, std::make_unique<BlockingConnection>(entry->http) };
  }

  void Report(const char* what, const std::string& id, const Entry& entry, Clock::time_point sentAt)
  {
    const Clock::rep since = entry.stoppedAt;
    const auto after = sentAt.time_since_epoch() - Clock::duration(since);
    const std::scoped_lock lock(m_mutex);
    std::cout << what << ' ' << id << " at " << entry.name;
    if (since != 0) {
      std::cout << ", sent " << std::chrono::duration_cast<std::chrono::milliseconds>(after).count()
                << " ms after SIGTERM";
    }
    std::cout
      << ", ended after "
      << std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - sentAt).count()
      << " ms\n";
  }

  /// \returns Whether the request ended for good.
  bool Call(const std::string& id)
  {
    auto [entry, connection] = Take();
    if (connection == nullptr || !connection->isConnected) {
      return false;
    }
    const auto sentAt = Clock::now();
    ++calls;
    std::string answer;
    if (connection->Write("POST /a/x HTTP/1.1\r\nHost: hire.example\r\nX-Request-Id: " + id +
                          "\r\nX-Request-Deadline: 20000\r\nAuthorization: Bearer key-of-t1\r\n"
                          "Content-Length: 5\r\n\r\nsound")) {
      answer = connection->ReadUntil(kHeadEnd);
    }
    if (answer.empty()) {
      const bool isLate = Clock::now() - sentAt > kCloseSlack;
      ++(isLate ? cut : closed);
      Report(isLate ? "cut" : "closed", id, *entry, sentAt);
      return isLate || Call(id); // Its connection was closed while it was idle.
    }
    if (!answer.starts_with("HTTP/1.1 200")) {
      const bool isRefused = answer.starts_with("HTTP/1.1 503");
      ++(isRefused ? refused : unknown);
      Report(isRefused ? "refused" : "unknown", id, *entry, sentAt);
      return !isRefused;
    }
    if (!answer.ends_with(kLastChunk)) {
      answer += connection->ReadUntil(kLastChunk);
    }
    if (!answer.ends_with(kLastChunk)) {
      ++cut;
      Report("cut", id, *entry, sentAt);
      return true;
    }
    ++whole;
    if (answer.substr(0, answer.find(kHeadEnd)).find("Connection: close") == std::string::npos) {
      const std::scoped_lock lock(m_mutex);
      entry->kept.push_back(std::move(connection));
    }
    return true;
  }

  void Run(std::uint64_t number)
  {
    for (int call = 0; call < kMaxCalls; ++call) {
      const std::string id = "s" + std::to_string(number) + "-" + std::to_string(call);
      if (Call(id + soak::kLastingStreamSuffix)) {
        return;
      }
      std::this_thread::sleep_for(kRetryAfter);
    }
    ++unserved;
  }

  ServingInstallation m_serving;
  std::mutex m_mutex; ///< Guards the kept connections, m_random and the output.
  std::mt19937_64 m_random{ 1 };
  std::vector<std::jthread> m_streams;
  std::jthread m_balancer;
  std::jthread m_caller;
};

// Guards against streams on kept connections that the planned stop of one entry cuts.
TEST(StoppedStreams, AreCompleteOrRefused)
{
  const char* const set = std::getenv("GOOSEBERRYSAIL_ROUNDS");
  const int rounds = set == nullptr ? 1 : std::atoi(set);
  StreamTrial trial;
  for (int round = 0; round < rounds; ++round) {
    Entry& entry = trial.entries[static_cast<std::size_t>(round) % kEntries];
    std::this_thread::sleep_for(kWarmUp);
    const int status = trial.Stop(entry);
    EXPECT_TRUE(status != -1 && WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
    trial.Start(entry);
  }
  trial.Finish();
  std::cout << trial.calls << " calls: " << trial.whole << " whole, " << trial.refused
            << " refused, " << trial.unknown << " unknown, " << trial.closed << " closed, "
            << trial.cut << " cut; " << trial.unserved << " not served by any entry\n";
  EXPECT_GT(trial.whole, 0U);
  EXPECT_EQ(trial.cut, 0U);
  EXPECT_EQ(trial.unknown, 0U);
  EXPECT_EQ(trial.unserved, 0U);
}

} // namespace
} // namespace gooseberrysail::test
