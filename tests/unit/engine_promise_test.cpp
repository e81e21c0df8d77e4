#include "gooseberrysail/core/http_status.hpp"
#include "support/entry_fixture.hpp"
#include "support/request_harness.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <array>
#include <gmock/gmock.h>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrysail::test {
namespace {

using namespace std::chrono_literals;
using ::testing::HasSubstr;

constexpr Duration kStep = 50ms;
constexpr std::size_t kRequests = 150;
/// Longer than callers of an unreachable agent wait.
constexpr Duration kSilence = 6s;
constexpr std::uint64_t kSeeds = 12;
constexpr const char* kNotRunText = R"("outcome":"not-run")";

constexpr std::array kStatuses{ 200U, 201U, 204U, 206U, 301U, 304U, 400U, 401U, 403U, 404U, 408U,
                                409U, 413U, 421U, 425U, 429U, 431U, 500U, 501U, 502U, 503U, 504U };

bool SaysNotRun(unsigned status, const std::string& body)
{
  return PromisesNotRun(status) || body.find(kNotRunText) != std::string::npos;
}

/// \brief Two entries and an agent before a target that runs requests, or doesn't, and answers them
/// with any status; connections and processes fail at times.
class AnyEngine
{
public:
  AnyEngine(wire::TargetKind kind, std::uint64_t seed, bool isUnreachableAtTimes = false)
    : m_random(seed)
    , m_isUnreachableAtTimes(isUnreachableAtTimes)
    , m_kind(kind)
    , m_world({ .kind = kind, .entries = { "entry-1", "entry-2" } })
  {
    m_world.afterStep = [this] { Observe(); };
  }

  void Play()
  {
    for (std::size_t asked = 0; asked < kRequests; ++asked) {
      Ask();
      Disturb();
      for (std::uint64_t steps = m_random() % 8; steps > 0; --steps) {
        Advance();
      }
    }
    m_world.ReleaseHeld();
    for (const char* entry : { "entry-1", "entry-2" }) {
      m_world.Reconnect(entry);
    }
    for (Duration rest{}; rest < 80s; rest += kStep) {
      Advance();
    }
    ReadRecords();
  }

  /// \brief What a caller was told of its request, and what the target did.
  struct Fate
  {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::uint64_t exchange = 0;
    std::string key;
    unsigned status = 0;
    std::string body;
    std::string record;
    bool ran = false;
    bool keyHadRun = false; ///< When it was answered.
  };
  /// By request id.
  std::map<std::string, Fate> fates;

private:
  struct Call
  {
    ExchangeId exchange;
    std::string id;
    bool ran = false;
    unsigned status = 0; ///< 0: it closes the connection instead of answering.
    bool isWhole = true;
    TimePoint answeredAt{};
  };

  bool Draw(double probability)
  {
    return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
  }

  void Ask()
  {
    Fate fate;
    fate.entry = Draw(0.5) ? "entry-1" : "entry-2";
    fate.incarnation = m_incarnations[fate.entry];
    if (m_kind == wire::TargetKind::Engine) {
      fate.exchange = m_world.Chat(fate.entry, Draw(0.5));
    } else {
      fate.key = Draw(0.6) ? "key-" + std::to_string(fates.size() / 6) : "";
      fate.exchange = m_world.Book(fate.entry, fate.key);
    }
    const std::string id = NextId(fate.entry);
    fates.emplace(id, std::move(fate));
  }

  std::string NextId(const std::string& entry)
  {
    return entry + "." + std::to_string(m_incarnations[entry] + 1) + "." +
           std::to_string(++m_sequences[entry]);
  }

  void Disturb()
  {
    const std::string entry = Draw(0.5) ? "entry-1" : "entry-2";
    if (Draw(0.05)) {
      m_world.DropFrames(entry, true);
    } else if (Draw(0.1)) {
      m_world.Reconnect(entry);
    } else if (Draw(0.05)) {
      m_world.holdStarts = true;
    } else if (Draw(0.1)) {
      m_world.ReleaseHeld();
    } else if (Draw(0.01)) {
      Observe();
      m_calls.clear();
      m_received = 0;
      m_world.RestartAgent();
    } else if (Draw(0.01)) {
      ++m_incarnations[entry];
      m_sequences[entry] = 0;
      m_world.RestartEntry(entry);
    }
    if (m_isUnreachableAtTimes) {
      LoseContact(entry);
    }
    Observe();
  }

  /// For longer than an entry keeps its callers waiting, at times; some callers don't wait.
  void LoseContact(const std::string& entry)
  {
    if (Draw(0.04)) {
      m_world.Disconnect(entry);
    }
    const auto left = std::ranges::find_if(fates, [&](const auto& row) {
      const Fate& fate = row.second;
      return fate.entry == entry && fate.incarnation == m_incarnations[entry] && fate.status == 0;
    });
    if (left != fates.end() && Draw(0.1)) {
      m_world.Leave(entry, left->second.exchange);
    }
  }

  void Advance()
  {
    m_world.Advance(kStep);
    std::vector<Call> due;
    std::erase_if(m_calls, [&](const Call& call) {
      const bool isDue = call.answeredAt <= m_world.Agent().Now();
      if (isDue) {
        due.push_back(call);
      }
      return isDue;
    });
    for (const Call& call : due) {
      Answer(call);
    }
  }

  /// Notes what the target ran before what callers were told of it.
  void Observe()
  {
    const auto& calls = m_world.Agent().Calls();
    for (; m_received < calls.size(); ++m_received) {
      Receive(calls[m_received]);
    }
    for (auto& [id, fate] : fates) {
      if (fate.incarnation != m_incarnations[fate.entry]) {
        continue;
      }
      const unsigned status = m_world.StatusOf(fate.entry, fate.exchange);
      if (fate.status == 0 && status != 0) {
        fate.status = status;
        fate.keyHadRun = m_ranKeys.contains(fate.key);
      }
      fate.body = m_world.BodyOf(fate.entry, fate.exchange);
    }
  }

  void Receive(const AgentHarness::TargetCall& sent)
  {
    Call call;
    call.exchange = sent.exchange;
    call.id = sent.request;
    call.ran = Draw(0.8);
    call.status = Draw(0.1) ? 0 : (Draw(0.4) ? 200 : kStatuses.at(m_random() % kStatuses.size()));
    call.isWhole = Draw(0.9);
    call.answeredAt = m_world.Agent().Now() + (Draw(0.03) ? kSilence : 1ms * (m_random() % 400));
    Fate& fate = fates.at(call.id);
    fate.ran = fate.ran || call.ran;
    if (call.ran && !fate.key.empty()) {
      m_ranKeys.insert(fate.key);
    }
    m_calls.push_back(std::move(call));
  }

  void Answer(const Call& call)
  {
    AgentHarness& agent = m_world.Agent();
    if (call.status != 0) {
      TargetAnswerIn answer;
      answer.exchange = call.exchange;
      answer.status = call.status;
      answer.bytes = "data: x\n\n";
      answer.end = call.isWhole;
      answer.headers = { { "Retry-After", "77" } };
      if (Draw(0.5)) {
        answer.headers.push_back({ "Content-Length", "9" });
      }
      agent.Deliver(std::move(answer));
    }
    if (call.status == 0 || !call.isWhole) {
      agent.Deliver(
        TargetFailedIn{ call.exchange,
                        Error{ ErrorCode::kUnavailable, "read answer", "target", "closed" },
                        !call.ran && call.status == 0 });
    }
  }

  void ReadRecords()
  {
    std::map<std::string, std::uint64_t> lookups;
    for (const auto& [id, fate] : fates) {
      if (fate.incarnation == m_incarnations[fate.entry]) {
        lookups[id] = m_world.Get(fate.entry, "/requests/" + id);
      }
    }
    m_world.Settle();
    for (const auto& [id, exchange] : lookups) {
      fates.at(id).record = m_world.BodyOf(fates.at(id).entry, exchange);
    }
  }

  std::mt19937_64 m_random;
  bool m_isUnreachableAtTimes;
  wire::TargetKind m_kind;
  RequestHarness m_world;
  std::map<std::string, std::uint64_t> m_incarnations; ///< Restarts of the entries.
  std::map<std::string, std::uint64_t> m_sequences;
  std::size_t m_received = 0; ///< Calls of the current agent that the target has received.
  std::vector<Call> m_calls;  ///< Not answered yet.
  std::set<std::string> m_ranKeys;
};

// Guards against an answer that says "not run", by its status or its outcome, of work that ran.
TEST(EnginePromise, IsNeverThatOfARequestThatRan)
{
  constexpr std::array kKinds{ std::pair{ wire::TargetKind::Engine, "engine" },
                               std::pair{ wire::TargetKind::Service, "service" } };
  for (const auto& [kind, name] : kKinds) {
    std::size_t refused = 0;
    std::size_t ran = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      AnyEngine world(kind, seed);
      world.Play();
      for (const auto& [id, fate] : world.fates) {
        SECTION(std::string(name) + ", seed " + std::to_string(seed) + ": " + id + " " + fate.key +
                " status " + std::to_string(fate.status) + " " + fate.body + " record " +
                fate.record)
        {
          const bool isRefused = SaysNotRun(fate.status, fate.body);
          EXPECT_FALSE(isRefused && fate.ran) << "refused with a promise, and ran";
          EXPECT_FALSE(isRefused && fate.keyHadRun)
            << "refused with a promise, and the request with its key had run";
          refused += isRefused ? 1 : 0;
          ran += fate.ran ? 1 : 0;
        }
      }
    }
    EXPECT_GT(refused, 0U);
    EXPECT_GT(ran, 0U);
  }
}

// Guards against a record that says "not run" of work that ran.
TEST(EnginePromise, IsNeverThatOfARecordOfWorkThatRan)
{
  for (const wire::TargetKind kind : { wire::TargetKind::Engine, wire::TargetKind::Service }) {
    std::size_t records = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      AnyEngine world(kind, seed);
      world.Play();
      for (const auto& [id, fate] : world.fates) {
        SECTION("seed " + std::to_string(seed) + ": " + fate.key + " status " +
                std::to_string(fate.status) + " " + fate.body + " record " + fate.record)
        {
          const bool isRefused = fate.record.find(kNotRunText) != std::string::npos;
          EXPECT_FALSE(isRefused && fate.ran) << "recorded as not run, and ran";
          EXPECT_FALSE(isRefused && fate.keyHadRun)
            << "recorded as not run, and the request with its key had run";
          records += fate.record.empty() ? 0 : 1;
        }
      }
    }
    EXPECT_GT(records, 0U);
  }
}

// Guards against "not run", told at once or found out later, of a request that ran behind a lost
// connection.
TEST(EnginePromise, IsNeverThatOfARequestThatRanOutOfReach)
{
  for (const wire::TargetKind kind : { wire::TargetKind::Engine, wire::TargetKind::Service }) {
    std::size_t amended = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      AnyEngine world(kind, seed, true);
      world.Play();
      for (const auto& [id, fate] : world.fates) {
        SECTION("seed " + std::to_string(seed) + ": " + id + " " + fate.key + " status " +
                std::to_string(fate.status) + " " + fate.body + " record " + fate.record)
        {
          const bool isRefused = SaysNotRun(fate.status, fate.body);
          const bool isRecorded = fate.record.find(kNotRunText) != std::string::npos;
          EXPECT_FALSE((isRefused || isRecorded) && fate.ran);
          EXPECT_FALSE((isRefused || isRecorded) && fate.keyHadRun);
          amended += isRecorded && !isRefused ? 1 : 0;
        }
      }
    }
    EXPECT_GT(amended, 0U);
  }
}

// Guards against an answer of a target that is changed or withheld though its status promises
// nothing, and against what is left of one whose status does: its Retry-After, its slot, its claim.
TEST(EnginePromise, OnlyAStatusThatMeansNotRunIsReplaced)
{
  constexpr const char* kId = "entry-1.7.1";
  for (const unsigned status : kStatuses) {
    for (const bool isWhole : { true, false }) {
      SECTION(std::to_string(status) + (isWhole ? ", whole" : ", its head"))
      {
        EntryFixture entry;
        entry.Boot();
        entry.ConnectPeer("agent-1", 3);
        entry.Routes({ { 11, "agent-1" } });
        const std::uint64_t chat = entry.Chat();
        wire::OutputT output = MakeOutput(kId, 1, 0, "busy", status, isWhole);
        output.headers.push_back(MakeWireHeader("Retry-After", "77"));
        entry.Frame("agent-1", std::move(output));
        const CallerView& caller = entry.Caller(chat);
        const bool isReplaced = PromisesNotRun(status);
        EXPECT_EQ(caller.status, isReplaced ? 502U : status);
        EXPECT_EQ(caller.Header("Retry-After"), isReplaced ? "1" : "77");
        EXPECT_THAT(caller.body, isReplaced ? HasSubstr(R"("outcome":"cut")") : HasSubstr("busy"));
        EXPECT_EQ(entry.Sent<wire::CancelT>().size(), isReplaced && !isWhole ? 1U : 0U);
        EXPECT_EQ(entry.Sent<wire::StartT>().size(), 1U) << "it may have run";
        EXPECT_EQ(entry.Sent<wire::AckT>().back().done, isWhole) << "the agent keeps no answer";
        EXPECT_THAT(entry.Record(kId),
                    HasSubstr(isReplaced ? R"("outcome":"cut")"
                              : isWhole  ? R"("outcome":"completed")"
                                         : R"("outcome":"running")"));
      }
    }
  }
  SECTION("a call that must not be repeated goes on, and its claim is kept")
  {
    EntryFixture entry;
    entry.Boot();
    entry.ConnectPeer("agent-9", 3);
    entry.Routes({ { 12, "agent-9" } }, "booking-portal");
    const std::uint64_t booking = entry.Book({ { "Idempotency-Key", "order-17" } });
    wire::ClaimReplyT granted;
    granted.workspace = "hire-desk";
    granted.key = "order-17";
    granted.request = kId;
    granted.holder = kId;
    granted.bodyMatches = true;
    granted.state = wire::ClaimState::Granted;
    entry.Frame("control-1", std::move(granted));
    entry.Frame("agent-9", MakeOutput(kId, 1, 0, "busy", 503));
    EXPECT_EQ(entry.Caller(booking).status, 502U);
    EXPECT_TRUE(entry.Sent<wire::CancelT>().empty());
    const auto outcomes = entry.Sent<wire::ClaimOutcomeT>();
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_TRUE(outcomes[0].ran);
    EXPECT_EQ(outcomes[0].outcome, "cut");
    EXPECT_EQ(outcomes[0].status, 0U);
  }
}

} // namespace
} // namespace gooseberrysail::test
