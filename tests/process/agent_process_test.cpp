#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <atomic>
#include <boost/json.hpp>
#include <csignal>
#include <thread>

namespace gooseberrysail::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct GroupRow
{
  std::string head;
  std::vector<std::string> members;
};

std::vector<GroupRow> ServingGroups(TestCluster& cluster)
{
  std::vector<GroupRow> groups;
  const HttpReply reply = cluster.Admin("GET", "/admin/v1/groups");
  const boost::json::value parsed = boost::json::parse(reply.body);
  for (const boost::json::value& group : parsed.at("groups").as_array()) {
    const bool serving = group.at("state").as_string() == "serving";
    if (!serving || group.at("entry").as_string() != "hire-assist") {
      continue;
    }
    GroupRow row{ std::string(group.at("head").as_string()), {} };
    for (const boost::json::value& member : group.at("members").as_array()) {
      row.members.emplace_back(member.as_string());
    }
    groups.push_back(std::move(row));
  }
  return groups;
}

std::uint64_t Completions(TestCluster& cluster, const std::string& vm)
{
  const HttpReply reply = cluster.CallTarget(vm, "GET", "/counters");
  return boost::json::parse(reply.body).at("completions").to_number<std::uint64_t>();
}

// Guards against a replica that serves while one of its VMs hangs, or that never recovers from it.
// A member's agent is stopped by SIGSTOP and continued a few seconds later. A stopped process keeps
// its connections open, so that only its missing heartbeats show the failure.
TEST(AgentProcess, AFrozenMemberStopsTheReplicaUntilItContinues)
{
  TestCluster cluster({ .controls = 1, .entries = 1 });
  cluster.AddEngineVms("vm", 4, "fabric-a");
  ASSERT_EQ(cluster.Apply(TestCluster::DefaultCatalogue()).status, 200U);
  ASSERT_TRUE(cluster.WaitServing()) << cluster.Outputs();
  const auto groups = ServingGroups(cluster);
  ASSERT_EQ(groups.size(), 1U);
  const std::string member =
    groups[0].members[0] == groups[0].head ? groups[0].members[1] : groups[0].members[0];

  cluster.Process("agent-" + member).Signal(SIGSTOP);
  const bool closed =
    WaitUntil([&] { return cluster.Chat(0, "frozen?").status == 503; }, seconds(15));
  ASSERT_TRUE(closed) << cluster.Outputs();
  SECTION("while it is frozen, no request reaches the engine")
  {
    const std::uint64_t before = Completions(cluster, groups[0].head);
    for (int call = 0; call < 5; ++call) {
      EXPECT_EQ(cluster.Chat(0, "still frozen?").status, 503U);
    }
    EXPECT_EQ(Completions(cluster, groups[0].head), before);
  }
  cluster.Process("agent-" + member).Signal(SIGCONT);
  EXPECT_TRUE(cluster.WaitServing()) << cluster.Outputs();
}

// Guards against a head that serves after its lease expired, at the same time as its successor. The
// head's agent is stopped for 6 s (the lease is 4 s) while a request is sent to it. The request
// waits in its socket buffer and is the first input that the agent reads once it continues.
TEST(AgentProcess, AHeadFrozenPastItsLeaseRunsNoWaitingRequest)
{
  TestCluster cluster({ .controls = 1, .entries = 1 });
  cluster.AddEngineVms("vm", 4, "fabric-a");
  ASSERT_EQ(cluster.Apply(TestCluster::DefaultCatalogue()).status, 200U);
  ASSERT_TRUE(cluster.WaitServing()) << cluster.Outputs();
  const auto groups = ServingGroups(cluster);
  ASSERT_EQ(groups.size(), 1U);
  const std::string head = groups[0].head;
  const std::uint64_t before = Completions(cluster, head);

  cluster.Process("agent-" + head).Signal(SIGSTOP);
  HttpReply answer;
  std::thread caller([&] { answer = cluster.Chat(0, "are you there?"); });
  std::this_thread::sleep_for(seconds(6)); // The freeze itself is the failure under test.
  cluster.Process("agent-" + head).Signal(SIGCONT);
  caller.join();
  EXPECT_NE(answer.status, 200U) << answer.body;
  EXPECT_TRUE(cluster.WaitServing()) << cluster.Outputs();
  // WaitServing completes one call. The request sent during the freeze must not have run as well.
  const std::uint64_t after = Completions(cluster, head);
  EXPECT_LE(after, before + 1) << answer.body;
}

// Guards against answers cut during the rollout of a new agent. Two replicas serve streams, and one
// head's agent gets SIGTERM under load. An agent that exited at once would cut the answers that it
// forwards.
TEST(AgentProcess, SigtermUnderLoadCutsNothing)
{
  constexpr int kCallers = 6;
  constexpr int kCallsEach = 40;
  TestCluster cluster({ .controls = 1, .entries = 1 });
  cluster.AddEngineVms("vm", 8, "fabric-a");
  ASSERT_EQ(cluster.Apply(TestCluster::DefaultCatalogue(2)).status, 200U);
  ASSERT_TRUE(cluster.WaitServing()) << cluster.Outputs();
  ASSERT_TRUE(WaitUntil([&] { return ServingGroups(cluster).size() == 2; }, kReadyTimeout))
    << cluster.Outputs();
  const auto groups = ServingGroups(cluster);
  for (const GroupRow& group : groups) {
    const HttpReply slowed =
      cluster.CallTarget(group.head, "POST", "/switch", R"({"tokenDelayMs":10})");
    ASSERT_EQ(slowed.status, 200U);
  }
  std::atomic<int> whole = 0;
  std::atomic<int> notRun = 0;
  std::atomic<int> other = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int call = 0; call < kCallsEach; ++call) {
        const HttpReply reply =
          cluster.Chat(0, "caller " + std::to_string(caller * kCallsEach + call), true);
        const bool done = reply.body.find("data: [DONE]") != std::string::npos;
        if (reply.status == 200 && reply.whole && done) {
          ++whole;
        } else if (reply.status == 503 && reply.body.find("not-run") != std::string::npos) {
          ++notRun;
        } else {
          ++other;
        }
      }
    });
  }
  const bool loaded = WaitUntil([&] { return whole >= kCallers * 2; }, seconds(30));
  ChildProcess& agent = cluster.Process("agent-" + groups[0].head);
  agent.Signal(SIGTERM);
  const int status = agent.WaitForExit(seconds(60));
  for (std::thread& caller : callers) {
    caller.join();
  }
  EXPECT_TRUE(loaded) << cluster.Outputs();
  EXPECT_EQ(status, 0) << cluster.Outputs();
  EXPECT_EQ(other, 0) << "whole " << whole << ", not run " << notRun;
  EXPECT_EQ(whole + notRun, kCallers * kCallsEach);
  EXPECT_GT(whole, kCallers * kCallsEach * 9 / 10) << "not run " << notRun;
  RecordProperty("whole", whole);
  RecordProperty("notRun", notRun);
}

} // namespace
} // namespace gooseberrysail::test
