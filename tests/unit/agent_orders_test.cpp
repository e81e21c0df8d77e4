#include "support/agent_harness.hpp"
#include "support/section.hpp"

namespace gooseberrysail::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(AgentOrders, LoadsTheAssignedWeightsWithTheEpochAsFencingNumber)
{
  AgentHarness agent;
  agent.FormGroup(7);
  ASSERT_EQ(agent.Orders().size(), 1U);
  EXPECT_EQ(agent.Orders()[0],
            R"(/orders/load {"model":"hire-assist","version":"2026-11","fencing":7})");
}

TEST(AgentOrders, LoadedWeightsAreNotLoadedAgainAndOthersAreUnloadedFirst)
{
  AgentHarness agent;
  agent.engineModel = "hire-assist";
  SECTION("another version")
  {
    agent.engineVersion = "2026-10";
    agent.FormGroup(7);
    ASSERT_EQ(agent.Orders().size(), 2U);
    EXPECT_TRUE(agent.Orders()[0].starts_with("/orders/unload"));
    EXPECT_TRUE(agent.Orders()[1].starts_with("/orders/load"));
  }
  SECTION("the same again in a new epoch")
  {
    agent.FormGroup(8);
    EXPECT_EQ(agent.Orders().size(), 2U);
    EXPECT_TRUE(agent.Serves()) << agent.LastRefusal();
  }
}

// Symptom: a group serves the weights of a former assignment.
// Sequence: the engine ignores fencing numbers. A load for epoch 7 is on its way when the
// connection to the engine breaks; epoch 8 is assigned; the engine finishes the old load later.
// Cause: an order sent while a former one is still worked on can be overtaken by it.
TEST(AgentOrders, WithAnEngineThatIgnoresFencingOnlyOneOrderIsEverOnItsWay)
{
  AgentHarness agent;
  agent.engineIgnoresFencing = true;
  agent.engineAnswersOrders = false;
  agent.Advance(milliseconds(500));
  agent.Assign(7);
  agent.Advance(seconds(2));
  ASSERT_EQ(agent.Orders().size(), 1U);
  agent.Assign(8);
  SECTION("while the former order is unanswered, none follows")
  {
    agent.Advance(seconds(20));
    EXPECT_EQ(agent.Orders().size(), 1U);
  }
  SECTION("after it broke off, none follows until a probe shows the engine idle")
  {
    agent.FailOpenOrder();
    agent.Advance(seconds(20));
    EXPECT_EQ(agent.Orders().size(), 1U);
    EXPECT_FALSE(agent.Serves());
  }
  SECTION("then the engine is brought to what is wanted now")
  {
    agent.engineAnswersOrders = true;
    agent.FinishLoad();
    agent.Advance(seconds(3));
    EXPECT_EQ(agent.engineModel, "hire-assist");
    EXPECT_TRUE(agent.Serves()) << agent.LastRefusal();
  }
}

// Symptom: a group serves while its engine drops the weights.
// Sequence: an unload for epoch 7 breaks off; epoch 8 wants what was loaded before it; the latest
// probe is older than the unload.
// Cause: what an engine said before an order says nothing about what it holds after it.
TEST(AgentOrders, AfterABrokenOrderOnlyALaterProbeCounts)
{
  AgentHarness agent;
  agent.engineModel = "hire-assist";
  agent.engineVersion = "2026-10";
  agent.engineAnswersOrders = false;
  agent.Advance(milliseconds(500));
  agent.Assign(7);
  agent.Settle();
  ASSERT_TRUE(agent.OpenOrder().has_value());
  agent.targetAlive = false;
  agent.FailOpenOrder();
  agent.assignedVersion = "2026-10";
  agent.Assign(8);
  agent.Advance(milliseconds(300));
  EXPECT_FALSE(agent.Serves());
  EXPECT_EQ(agent.LastRefusal(), "weights not loaded: vm-1");
  agent.targetAlive = true;
  agent.engineLoading = false;
  agent.Advance(seconds(1));
  EXPECT_TRUE(agent.Serves()) << agent.LastRefusal();
}

TEST(AgentOrders, AnAgentThatRestartedWaitsForItsPredecessorsOrder)
{
  AgentHarness agent;
  agent.engineLoading = true;
  agent.FormGroup(9);
  EXPECT_EQ(agent.Orders().size(), 0U);
  EXPECT_FALSE(agent.Serves());
  agent.engineLoading = false;
  agent.Advance(seconds(2));
  EXPECT_EQ(agent.Orders().size(), 1U);
  EXPECT_TRUE(agent.Serves()) << agent.LastRefusal();
}

// Symptom: a group serves although an engine of it restarted and lost its weights.
// Sequence: the engine comes back empty between two orders.
// Cause: the answer to an order says nothing about later.
TEST(AgentOrders, AnEngineThatLostItsWeightsClosesTheGateAndIsLoadedAgain)
{
  AgentHarness agent;
  agent.FormGroup(7);
  agent.engineModel = "";
  agent.engineVersion = "";
  agent.engineAnswersOrders = false;
  agent.Advance(milliseconds(700));
  EXPECT_FALSE(agent.Serves());
  EXPECT_EQ(agent.LastRefusal(), "weights not loaded: vm-1");
  agent.engineAnswersOrders = true;
  agent.FinishLoad();
  agent.Advance(seconds(1));
  EXPECT_TRUE(agent.Serves()) << agent.LastRefusal();
}

TEST(AgentOrders, APlainServiceGetsNoOrders)
{
  AgentHarness agent({ .kind = wire::TargetKind::Service });
  agent.FormGroup(7);
  EXPECT_TRUE(agent.Serves()) << agent.LastRefusal();
  EXPECT_TRUE(agent.Orders().empty());
}

} // namespace
} // namespace gooseberrysail::test
