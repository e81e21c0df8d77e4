#include "platform/control_adapter.hpp"
#include "support/control_cluster.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail::test {
namespace {

using ::testing::Contains;
using ::testing::IsEmpty;
using ::testing::Not;

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kUnconfirmed = 504;

/// \brief Two connected control processes with one log; control-1 leads at first.
class DepartureWorld
{
public:
  DepartureWorld()
  {
    for (ControlNode* node : { &leader, &follower }) {
      node->outside = platform::MakeOutsideApi("127.0.0.1:7340");
      node->Restart();
    }
    Connect();
    leader.Lead(1);
    leader.Tick({ Called(++m_exchange,
                         "PUT",
                         "/api/config",
                         R"({"version":1,"routes":[],"services":[{"name":"booking"}]})") });
    Run(seconds(5));
  }

  void Connect()
  {
    leader.Tick({ Up("control-2", "control", ++m_life) });
    follower.Tick({ Up("control-1", "control", m_life) });
    follower.leaderHint = ProcessId("control-1");
  }

  /// \brief Ticks both processes and delivers what they send each other.
  void Run(Duration duration)
  {
    for (const TimePoint end = leader.now + duration; leader.now < end;) {
      leader.now += ControlRole::kTickInterval;
      follower.now = leader.now;
      Deliver(follower, Take(leader.Tick(), "control-2"));
      Deliver(leader, Take(follower.Tick(), "control-1"));
    }
  }

  std::uint64_t Send(ControlNode& node,
                     const std::string& method,
                     const std::string& instance,
                     const std::string& body = "")
  {
    ++m_exchange;
    ControlNode& peer = &node == &leader ? follower : leader;
    const std::string peerName = &node == &leader ? "control-2" : "control-1";
    Deliver(peer,
            Take(node.Tick({ Called(m_exchange, method, "/api/instances/" + instance, body) }),
                 peerName));
    return m_exchange;
  }

  std::uint64_t Heartbeat(ControlNode& node,
                          const std::string& instance,
                          const std::string& state,
                          std::uint64_t sequence)
  {
    return Send(node,
                "PUT",
                instance,
                R"({"service":"booking","address":"10.0.0.9:80","zone":"z","version":"v1",)"
                R"("slots":3,"coldLeftMs":0,"state":")" +
                  state + R"(","seq":)" + std::to_string(sequence) + "}");
  }

  /// \returns 0 if the call is not answered within a second.
  unsigned StatusOf(const ControlNode& node, std::uint64_t exchange)
  {
    if (!AnswerOf(node.seen, exchange)) {
      Run(seconds(1));
    }
    const std::optional<Answer> answer = AnswerOf(node.seen, exchange);
    return answer ? answer->status : 0;
  }

  /// \brief Kills all processes. They start again with their logs, or with a snapshot of the state.
  void RestartAll(bool fromSnapshot)
  {
    for (ControlNode* node : { &leader, &follower }) {
      node->leader = false;
      node->leaderHint = ProcessId();
      if (fromSnapshot) {
        node->Restart(node->role->TakeSnapshot(), node->applied);
      } else {
        node->Restart();
      }
    }
    Connect();
    leader.Lead(leader.term.Get() + 1);
  }

  /// \brief The targets that a new entry is told to use.
  std::vector<std::string> ListUsable()
  {
    const std::string entry = "entry-" + std::to_string(++m_entries);
    leader.Tick({ Up(entry, "entry") });
    leader.seen.clear();
    leader.Tick({ From(entry, wire::ServingQueryT()) });
    Run(milliseconds(600));
    std::vector<std::string> usable;
    for (const auto& [receiver, state] : Sent<wire::ServingStateT>(leader.seen)) {
      for (const auto& target : state.targets) {
        if (receiver == entry && !target->leaving) {
          usable.push_back(target->instance);
        }
      }
    }
    return usable;
  }

  std::shared_ptr<ScriptedLog> log = std::make_shared<ScriptedLog>();
  ControlNode leader{ "control-1", log, MakeControlSettings("control-1") };
  ControlNode follower{ "control-2", log, MakeControlSettings("control-2") };

private:
  static std::vector<wire::TargetsHeardT> Take(const std::vector<ControlOutput>& outbox,
                                               const std::string& receiver)
  {
    std::vector<wire::TargetsHeardT> taken;
    for (const auto& [peer, heard] : Sent<wire::TargetsHeardT>(outbox)) {
      if (peer == receiver) {
        taken.push_back(heard);
      }
    }
    return taken;
  }

  void Deliver(ControlNode& node, const std::vector<wire::TargetsHeardT>& frames) const
  {
    const std::string sender = &node == &leader ? "control-2" : "control-1";
    for (const wire::TargetsHeardT& heard : frames) {
      node.Tick({ From(sender, heard, m_life) });
    }
  }

  std::uint64_t m_exchange = 0;
  std::uint64_t m_entries = 0;
  std::uint64_t m_life = 0;
};

// Guards against requests to a target that was acknowledged as leaving or gone, after all control
// processes were killed and a heartbeat from before that came late.
TEST(Departures, OutlastARestartOfAllControlProcesses)
{
  for (const bool fromSnapshot : { false, true }) {
    for (const bool toFollower : { false, true }) {
      for (const char* word : { "DELETE", "draining" }) {
        SECTION(std::string(word) + (toFollower ? " at a follower" : " at the leader") +
                (fromSnapshot ? ", from snapshots" : ", from logs"))
        {
          DepartureWorld world;
          ControlNode& called = toFollower ? world.follower : world.leader;
          ASSERT_EQ(world.StatusOf(called, world.Heartbeat(called, "i-1", "ready", 1)), kOk);
          ASSERT_THAT(world.ListUsable(), Contains("i-1"));
          const bool isDelete = std::string(word) == "DELETE";
          const std::uint64_t exchange = isDelete ? world.Send(called, "DELETE", "i-1")
                                                  : world.Heartbeat(called, "i-1", "draining", 3);
          ASSERT_EQ(world.StatusOf(called, exchange), kOk);
          world.RestartAll(fromSnapshot);
          EXPECT_EQ(world.StatusOf(called, world.Heartbeat(called, "i-1", "ready", 2)), kOk);
          world.Run(seconds(4));
          EXPECT_THAT(world.ListUsable(), Not(Contains("i-1")));
          SECTION("another target at its address is used")
          {
            EXPECT_EQ(world.StatusOf(called, world.Heartbeat(called, "i-2", "ready", 1)), kOk);
            EXPECT_THAT(world.ListUsable(), Contains("i-2"));
          }
        }
      }
    }
  }
}

// Guards against a late heartbeat that comes before the restarted process knows its log again.
TEST(Departures, OverrideALateHeartbeatThatCameBeforeTheLog)
{
  for (const char* word : { "DELETE", "draining" }) {
    SECTION(word)
    {
      DepartureWorld world;
      const bool isDelete = std::string(word) == "DELETE";
      const std::uint64_t exchange = isDelete ? world.Send(world.leader, "DELETE", "i-1")
                                              : world.Heartbeat(world.leader, "i-1", "draining", 3);
      ASSERT_EQ(world.StatusOf(world.leader, exchange), kOk);
      ControlNode& restarted = world.leader;
      restarted.leader = false;
      restarted.leaderHint = ProcessId("control-2");
      restarted.cutOff = true; // Nothing of its log is known to be committed yet.
      restarted.Restart();
      EXPECT_EQ(world.StatusOf(restarted, world.Heartbeat(restarted, "i-1", "ready", 2)), kOk);
      restarted.cutOff = false;
      restarted.Lead(2);
      world.Run(seconds(4));
      EXPECT_THAT(world.ListUsable(), IsEmpty());
    }
  }
}

// Guards against an acknowledgement that nothing but the memory of the processes backs.
TEST(Departures, AreAcknowledgedOnceTheyAreCommitted)
{
  DepartureWorld world;
  ASSERT_EQ(world.StatusOf(world.leader, world.Heartbeat(world.leader, "i-1", "ready", 1)), kOk);
  world.log->holdBack = true;
  for (ControlNode* node : { &world.leader, &world.follower }) {
    EXPECT_EQ(world.StatusOf(*node, world.Heartbeat(*node, "i-1", "draining", 2)), kUnconfirmed);
    EXPECT_EQ(world.StatusOf(*node, world.Send(*node, "DELETE", "i-1")), kUnconfirmed);
  }
  SECTION("entries send nothing more to the target all the same")
  {
    EXPECT_THAT(world.ListUsable(), IsEmpty());
  }
  world.log->holdBack = false;
  world.log->Commit();
  for (ControlNode* node : { &world.leader, &world.follower }) {
    EXPECT_EQ(world.StatusOf(*node, world.Send(*node, "DELETE", "i-1")), kOk);
  }
  SECTION("a process that knows no leader refuses at once")
  {
    world.follower.leaderHint = ProcessId();
    const std::uint64_t exchange = world.Send(world.follower, "DELETE", "i-2");
    ASSERT_TRUE(AnswerOf(world.follower.seen, exchange));
    EXPECT_EQ(AnswerOf(world.follower.seen, exchange)->status, kUnavailable);
  }
}

// Guards against a drained target that takes up its work again and is left without requests.
TEST(Departures, EndWithANewerHeartbeatThatIsReady)
{
  DepartureWorld world;
  ASSERT_EQ(world.StatusOf(world.leader, world.Heartbeat(world.leader, "i-1", "draining", 2)), kOk);
  ASSERT_EQ(world.StatusOf(world.leader, world.Heartbeat(world.leader, "i-1", "ready", 3)), kOk);
  EXPECT_THAT(world.ListUsable(), Contains("i-1"));
  world.RestartAll(false);
  ASSERT_EQ(world.StatusOf(world.leader, world.Heartbeat(world.leader, "i-1", "ready", 4)), kOk);
  world.Run(seconds(4));
  EXPECT_THAT(world.ListUsable(), Contains("i-1"));
  SECTION("and a second time of draining is committed like the first")
  {
    world.log->holdBack = true;
    EXPECT_EQ(world.StatusOf(world.leader, world.Heartbeat(world.leader, "i-1", "draining", 5)),
              kUnconfirmed);
  }
}

// Guards against a log and snapshots that grow with every target that was ever replaced.
TEST(Departures, OfARollingUpdateTakeBoundedRoom)
{
  constexpr std::size_t kTargets = 2000;
  constexpr std::size_t kMaxEntries = kTargets / 10;
  constexpr std::size_t kMaxLogBytes = kTargets * 256;
  DepartureWorld world;
  const std::size_t snapshotBytes = world.leader.role->TakeSnapshot().size();
  const std::size_t entriesBefore = world.log->entries.size();
  for (std::size_t first = 0; first < kTargets; first += 100) {
    std::vector<ControlInput> calls;
    for (std::size_t target = first; target < first + 100; ++target) {
      calls.push_back(
        Called(100'000 + target, "DELETE", "/api/instances/i-" + std::to_string(target)));
    }
    world.leader.Tick(std::move(calls));
    world.Run(milliseconds(100));
  }
  for (std::size_t target = 0; target < kTargets; ++target) {
    ASSERT_EQ(world.StatusOf(world.leader, 100'000 + target), kOk) << target;
  }
  world.Run(TargetTable::kDepartedRetention + seconds(30));
  std::size_t logBytes = 0;
  for (std::size_t entry = entriesBefore; entry < world.log->entries.size(); ++entry) {
    logBytes += world.log->entries[entry].command.size();
  }
  EXPECT_LE(world.log->entries.size() - entriesBefore, kMaxEntries);
  EXPECT_LE(logBytes, kMaxLogBytes);
  EXPECT_LE(world.leader.role->TakeSnapshot().size(), snapshotBytes + 256);
}

} // namespace
} // namespace gooseberrysail::test
