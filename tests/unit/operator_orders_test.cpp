#include "platform/control_adapter.hpp"
#include "support/control_cluster.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <array>
#include <gmock/gmock.h>
#include <random>

namespace gooseberrysail::test {
namespace {

using ::testing::IsEmpty;

constexpr unsigned kOk = 200;
constexpr unsigned kTooMany = 429;
constexpr unsigned kUnavailable = 503;

/// Whether the status states that the order has not been carried out and will not be.
bool IsRefusal(unsigned status)
{
  return (status >= 400 && status <= kTooMany) || status == kUnavailable;
}

struct Order
{
  std::string method;
  std::string path;
  std::string body;
  std::uint64_t version = 0; ///< Of a document; 0 for an evacuation.
  std::string domain;        ///< Of an evacuation.
};

/// \brief An operator sends an order to any process until it has a clear answer.
struct Operator
{
  std::optional<Order> order; ///< The order without a clear answer.
  std::uint64_t exchange = 0; ///< Of the open call; 0 for none.
  std::size_t process = 0;    ///< That the open call was sent to.
  std::size_t sentAt = 0;     ///< Step.
  std::vector<Order> former;
};

struct Refusal
{
  Order order;
  unsigned status = 0;
  std::string reason;
  std::size_t step = 0;
};

/// \brief Two operators and three control processes with a shared log; leaders are lost with or
/// without the commands that they proposed.
class OrderSchedule
{
public:
  explicit OrderSchedule(std::uint64_t seed)
    : m_random(seed)
  {
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      const std::string name = NameOf(i);
      m_nodes[i] = std::make_unique<ControlNode>(name, m_log, MakeControlSettings(name));
      m_nodes[i]->outside = platform::MakeOutsideApi("127.0.0.1:7340");
      m_nodes[i]->Restart();
    }
    Elect();
  }

  void Run(std::size_t steps)
  {
    for (std::size_t i = 0; i < steps; ++i) {
      ++m_step;
      Disturb();
      for (Operator& each : m_operators) {
        Act(each);
      }
      TickAll();
    }
    // Whatever can still be committed is committed.
    m_log->holdBack = false;
    m_log->Commit();
    Check();
  }

  std::vector<std::string> wrong; ///< Answers that don't fit what was carried out.
  std::size_t acknowledged = 0;
  std::size_t refused = 0;

private:
  static std::string NameOf(std::size_t process)
  {
    return "control-" + std::to_string(process + 1);
  }

  bool Chance(unsigned percent) { return m_random() % 100 < percent; }

  void Elect()
  {
    const std::size_t chosen = m_random() % m_nodes.size();
    // What the former leader proposed is in the log of the new one, or is lost.
    if (Chance(50)) {
      m_log->waiting.clear();
      m_proposedIn.resize(m_log->entries.size());
    }
    ++m_term;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      ControlNode& node = *m_nodes[i];
      if (i == chosen) {
        node.cutOff = false;
        node.leader = true;
        node.term = Term(m_term);
      } else if (!node.cutOff) {
        node.leader = false;
        node.leaderHint = ProcessId(NameOf(chosen));
      }
    }
  }

  void Disturb()
  {
    if (Chance(2)) {
      m_log->holdBack = !m_log->holdBack;
      if (!m_log->holdBack) {
        m_log->Commit();
      }
    }
    if (Chance(1)) {
      Elect();
    }
    ControlNode& node = *m_nodes[m_random() % m_nodes.size()];
    if (Chance(1)) {
      node.cutOff = true;
    } else if (Chance(3) && node.cutOff) {
      node.cutOff = false;
      node.leader = false;
    } else if (Chance(1)) {
      node.leader = false;
      node.leaderHint = ProcessId();
    }
    node.refuseProposals = Chance(5);
  }

  void TickAll()
  {
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      m_nodes[i]->now += milliseconds(50);
      Tick(i, {});
    }
  }

  void Tick(std::size_t process, std::vector<ControlInput> inbox)
  {
    const std::vector<ControlOutput> outbox = m_nodes[process]->Tick(std::move(inbox));
    m_nodes[process]->seen.clear();
    m_proposedIn.resize(m_log->entries.size() + m_log->waiting.size(), m_step);
    for (const ControlOutput& output : outbox) {
      if (const auto* answer = std::get_if<HttpAnswerOut>(&output)) {
        OnAnswer(*answer);
      }
    }
  }

  Order MakeOrder(const Operator& sender)
  {
    if (!sender.former.empty() && Chance(15)) {
      return sender.former[m_random() % sender.former.size()];
    }
    const std::string unique = std::to_string(++m_orders);
    if (Chance(30)) {
      const std::string domain = "domain-" + unique;
      return { "POST", "/api/evacuations/" + domain, "", 0, domain };
    }
    // Both operators may choose the same version.
    m_version += m_random() % 3;
    const std::string body = R"({"version":)" + std::to_string(m_version) +
                             R"(,"routes":[],"services":[{"name":"service-)" + unique + R"("}]})";
    return { "PUT", "/api/config", body, m_version, "" };
  }

  void Act(Operator& sender)
  {
    constexpr std::size_t kGiveUpSteps = 24; // Of 50 ms.
    if (sender.exchange != 0) {
      if (m_step - sender.sentAt >= kGiveUpSteps || Chance(3)) {
        if (Chance(70)) {
          Tick(sender.process, { HttpCallerGone{ ExchangeId(sender.exchange) } });
        }
        sender.exchange = 0;
      }
      return;
    }
    if (!Chance(40)) {
      return;
    }
    if (!sender.order) {
      sender.order = MakeOrder(sender);
    }
    sender.exchange = ++m_exchange;
    sender.sentAt = m_step;
    sender.process = m_random() % m_nodes.size();
    Tick(sender.process,
         { Called(sender.exchange, sender.order->method, sender.order->path, sender.order->body) });
  }

  void OnAnswer(const HttpAnswerOut& answer)
  {
    const auto sender = std::ranges::find_if(m_operators, [&](const Operator& each) {
      return each.exchange != 0 && ExchangeId(each.exchange) == answer.exchange;
    });
    if (sender == m_operators.end()) {
      return;
    }
    sender->exchange = 0;
    if (Chance(30)) {
      return; // The answer is lost.
    }
    const unsigned status = answer.status.value_or(0);
    if (IsRefusal(status)) {
      m_refusals.push_back({ *sender->order, status, answer.bytes, m_step });
      ++refused;
    }
    if (status == kOk) {
      ++acknowledged;
      CheckAcknowledged(*sender->order);
    }
    // An operator may also take a refusal as final.
    const bool isClear = status == kOk || (IsRefusal(status) && Chance(50));
    if (isClear) {
      sender->former.push_back(*sender->order);
      sender->order.reset();
    }
  }

  /// \brief The steps in which the commands that carried the order out were proposed.
  [[nodiscard]] std::vector<std::size_t> CarriedOutBy(const Order& order) const
  {
    std::vector<std::size_t> steps;
    std::uint64_t stored = 0;
    for (std::size_t i = 0; i < m_log->entries.size(); ++i) {
      wire::CommandT command;
      flatbuffers::GetRoot<wire::Command>(m_log->entries[i].command.data())->UnPackTo(&command);
      if (const wire::PutDocumentT* put = command.body.AsPutDocument()) {
        if (put->version > stored && put->text == order.body) {
          steps.push_back(m_proposedIn[i]);
        }
        stored = std::max(stored, put->version);
      }
      const wire::SetEvacuationT* evacuation = command.body.AsSetEvacuation();
      if (evacuation != nullptr && evacuation->failureDomain == order.domain) {
        steps.push_back(m_proposedIn[i]);
      }
    }
    return steps;
  }

  void CheckAcknowledged(const Order& order)
  {
    ControlState state;
    for (std::size_t i = 0; i < m_log->entries.size(); ++i) {
      state.Apply(LogIndex(i + 1), m_log->entries[i].command);
    }
    const StoredDocument& stored = state.GetDocument();
    const bool isNewer = stored.version > order.version;
    const bool isStored = stored.version == order.version && stored.text == order.body;
    const bool isInForce = order.domain.empty()
                             ? isNewer || isStored
                             : state.Evacuated().contains(FailureDomainId(order.domain));
    if (!isInForce) {
      wrong.push_back("acknowledged and not in force: " + order.path + " " + order.body);
    }
  }

  void Check()
  {
    for (const Refusal& refusal : m_refusals) {
      const std::vector<std::size_t> steps = CarriedOutBy(refusal.order);
      const bool ran =
        std::ranges::any_of(steps, [&](std::size_t step) { return step <= refusal.step; });
      if (ran) {
        wrong.push_back(std::to_string(refusal.status) + " " + refusal.reason);
      }
    }
  }

  std::mt19937_64 m_random;
  std::shared_ptr<ScriptedLog> m_log = std::make_shared<ScriptedLog>();
  std::array<std::unique_ptr<ControlNode>, 3> m_nodes;
  std::array<Operator, 2> m_operators;
  std::vector<std::size_t> m_proposedIn; ///< Step, by position in the log.
  std::vector<Refusal> m_refusals;
  std::size_t m_step = 0;
  std::uint64_t m_term = 0;
  std::uint64_t m_exchange = 0;
  std::uint64_t m_orders = 0;
  std::uint64_t m_version = 1;
};

// Guards against a refusal of an order that is in force or comes into force without being sent
// again: its proposal outlived a leader, or the answer to an earlier call was lost.
TEST(OperatorOrders, AreNeverRefusedOnceTheyMayTakeEffect)
{
  constexpr std::uint64_t kSeeds = 200;
  constexpr std::size_t kSteps = 600;
  std::size_t acknowledged = 0;
  std::size_t conflicts = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    OrderSchedule schedule(seed);
    schedule.Run(kSteps);
    acknowledged += schedule.acknowledged;
    conflicts += schedule.refused;
    EXPECT_THAT(schedule.wrong, IsEmpty()) << "seed " << seed;
  }
  EXPECT_GT(acknowledged, kSeeds);
  EXPECT_GT(conflicts, kSeeds / 10);
}

/// \brief One leader whose proposals stay uncommitted, with the platform's API.
struct UncommittedOrders
{
  UncommittedOrders()
  {
    control.outside = platform::MakeOutsideApi("127.0.0.1:7340");
    control.Restart();
    control.Lead(1);
    log->holdBack = true;
  }

  static std::string Document(std::uint64_t version)
  {
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
  }

  std::optional<unsigned> Call(std::uint64_t exchange,
                               const std::string& method,
                               const std::string& path,
                               const std::string& body)
  {
    const auto answer = AnswerOf(control.Tick({ Called(exchange, method, path, body) }), exchange);
    return answer ? std::optional(answer->status) : std::nullopt;
  }

  std::shared_ptr<ScriptedLog> log = std::make_shared<ScriptedLog>();
  ControlNode control{ "control-1", log, MakeControlSettings("control-1") };
};

// Guards against a refusal of an order that is sent again while too many calls are open, although
// its earlier call was accepted or the order is in force.
TEST(OperatorOrders, AreNotRefusedForOtherCallsOnceTheyWereAccepted)
{
  constexpr std::uint64_t kCalls = 100; // More than may be open at once.
  struct Case
  {
    const char* method;
    const char* path;
    std::string body;
    std::function<std::string(std::uint64_t)> other;
  };
  const std::vector<Case> cases{
    { "PUT", "/api/config", UncommittedOrders::Document(7), UncommittedOrders::Document },
    { "POST", "/api/evacuations/portmore", "", [](std::uint64_t) { return ""; } },
  };
  for (const Case& each : cases) {
    UncommittedOrders test;
    EXPECT_FALSE(test.Call(1, each.method, each.path, each.body)) << "waits for its commit";
    test.control.Tick({ HttpCallerGone{ ExchangeId(1) } });
    for (std::uint64_t exchange = 2; exchange <= kCalls; ++exchange) {
      test.Call(exchange, each.method, each.path, each.other(100 + exchange));
    }
    const auto again = test.Call(kCalls + 1, each.method, each.path, each.body);
    ASSERT_TRUE(again) << "too many calls are open";
    EXPECT_FALSE(IsRefusal(*again)) << *again << " " << each.path;
  }
  SECTION("a document in force is acknowledged beside any number of open calls")
  {
    UncommittedOrders test;
    test.Call(1, "PUT", "/api/config", UncommittedOrders::Document(7));
    test.log->Commit();
    test.control.Tick();
    for (std::uint64_t exchange = 2; exchange <= kCalls; ++exchange) {
      test.Call(exchange, "PUT", "/api/config", UncommittedOrders::Document(100 + exchange));
    }
    EXPECT_EQ(test.Call(kCalls + 1, "PUT", "/api/config", UncommittedOrders::Document(7)), kOk);
  }
}

// Guards against a conflict with itself: a document in force that is sent again with other spaces
// or another order of its fields.
TEST(OperatorOrders, AreComparedByContent)
{
  UncommittedOrders test;
  test.log->holdBack = false;
  const std::string path = "/api/config";
  const std::string stored =
    R"({"version":7,"routes":[],"services":[{"name":"a","maxConns":5},{"name":"b"}]})";
  test.Call(1, "PUT", path, stored);
  EXPECT_EQ(test.Call(2, "PUT", path, stored), kOk);
  EXPECT_EQ(
    test.Call(
      3,
      "PUT",
      path,
      R"({ "services": [{"maxConns": 5, "name": "a"}, {"name": "b"}], "routes": [], "version": 7 })"),
    kOk);
  SECTION("another content under the same version is a conflict")
  {
    EXPECT_EQ(
      test.Call(4,
                "PUT",
                path,
                R"({"version":7,"routes":[],"services":[{"name":"a","maxConns":6},{"name":"b"}]})"),
      409U);
    EXPECT_EQ(
      test.Call(5,
                "PUT",
                path,
                R"({"version":7,"routes":[],"services":[{"name":"b"},{"name":"a","maxConns":5}]})"),
      409U)
      << "the order of a list counts";
    EXPECT_EQ(
      test.Call(
        6,
        "PUT",
        path,
        R"({"version":7,"routes":[],"services":[{"name":"a","maxConns":5,"x":1},{"name":"b"}]})"),
      409U)
      << "a field that is not read counts";
  }
}

} // namespace
} // namespace gooseberrysail::test
