#include "soak/callers.hpp"

#include "soak/replica.hpp"
#include "support/persistent_connection.hpp"

#include <chrono>
#include <random>

namespace gooseberrysail::soak {

using namespace std::chrono_literals;

namespace {

/// The share of requests that must not run more than once.
constexpr double kNonRepeatableShare = 0.5;
constexpr auto kPauseBetweenRequests = 10ms;
constexpr auto kRequestTimeout = 2500ms;
/// The share of requests whose callers leave early, and after how long at most.
constexpr double kLeavingShare = 0.2;
constexpr int kLongestStayMillis = 400;

} // namespace

Callers::Callers(std::vector<std::string> entries,
                 std::size_t count,
                 Ledger& ledger,
                 std::uint64_t seed)
  : m_entries(std::move(entries))
  , m_ledger(ledger)
{
  for (std::size_t number = 0; number < count; ++number) {
    m_threads.emplace_back([this, number, seed] { SendRequests(number, seed + number); });
  }
}

void Callers::Stop()
{
  m_stop = true;
  for (std::thread& thread : m_threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void Callers::SendRequests(std::size_t number, std::uint64_t seed)
{
  std::mt19937_64 random(seed);
  std::uint64_t sent = 0;
  test::PersistentConnection connection;
  while (!m_stop) {
    const std::string id = "c" + std::to_string(number) + "-" + std::to_string(++sent);
    const bool isNonRepeatable =
      std::uniform_real_distribution<>(0, 1)(random) < kNonRepeatableShare;
    test::HttpCall call{ .address = m_entries[random() % m_entries.size()], .method = "POST" };
    call.target = isNonRepeatable ? "/once/x" : "/safe/x";
    call.headers = { { "Host", "desk.example" },
                     { "X-Request-Id", id },
                     { "X-Request-Deadline", "2000" },
                     { "Authorization", "Bearer key-of-t1" } };
    call.body = "body of " + id;
    const bool leaves = std::uniform_real_distribution<>(0, 1)(random) < kLeavingShare;
    const auto stay = std::chrono::milliseconds(random() % kLongestStayMillis + 1);
    call.timeout = leaves ? stay : kRequestTimeout;
    m_ledger.OnRequestSent(id, !isNonRepeatable);
    const test::HttpReply reply = connection.Call(call);
    m_ledger.OnReply(id, reply.status, IsAnswerTo(id, reply));
    if (reply.status == 0) {
      m_ledger.OnCallerLeft(id);
    }
    std::this_thread::sleep_for(kPauseBetweenRequests);
  }
}

} // namespace gooseberrysail::soak
