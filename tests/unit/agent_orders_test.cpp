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

// The engine ignores fencing numbers. The connection breaks during a load for epoch 7, epoch 8 is
// assigned, and the engine finishes the old load later. An order sent before that could be undone
// by the older one, and the group would serve the wrong weights.
TEST(AgentOrders, AnEngineThatIgnoresFencingGetsOneOrderAtATime)
{
  AgentHarness agent;
  agent.engineIgnoresFencing = true;
  agent.engineAnswersOrders = false;
  agent.Advance(milliseconds(500));
  agent.Assign(7);
  agent.Advance(seconds(2));
  ASSERT_EQ(agent.Orders().size(), 1U);
  agent.Assign(8);
  SECTION("while the former order is unanswered, no other is sent")
  {
    agent.Advance(seconds(20));
    EXPECT_EQ(agent.Orders().size(), 1U);
  }
  SECTION("after it failed, no other is sent until a probe shows the engine idle")
  {
    agent.FailOpenOrder();
    agent.Advance(seconds(20));
    EXPECT_EQ(agent.Orders().size(), 1U);
    EXPECT_FALSE(agent.Serves());
  }
  SECTION("then the engine gets the orders for the current assignment")
  {
    agent.engineAnswersOrders = true;
    agent.FinishLoad();
    agent.Advance(seconds(3));
    EXPECT_EQ(agent.engineModel, "hire-assist");
    EXPECT_TRUE(agent.Serves()) << agent.LastRefusal();
  }
}

// The connection breaks during an unload for epoch 7, and epoch 8 needs the weights that were
// loaded before. The latest probe predates the unload; if it counted, the group would serve while
// its engine drops the weights.
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

// Guards against an order that is taken for not executed because the engine answered it with an
// error.
TEST(AgentOrders, AfterAnOrderAnsweredWithAnErrorOnlyALaterProbeCounts)
{
  for (const unsigned status : { 408U, 409U, 429U, 500U, 503U, 504U }) {
    SECTION(std::to_string(status))
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
      TargetAnswerIn refusal;
      refusal.exchange = *agent.OpenOrder();
      refusal.status = status;
      refusal.end = true;
      agent.Deliver(std::move(refusal));
      agent.assignedVersion = "2026-10";
      agent.Assign(8);
      agent.Advance(milliseconds(300));
      EXPECT_FALSE(agent.Serves()) << "the engine may be unloading the weights";
      EXPECT_EQ(agent.LastRefusal(), "weights not loaded: vm-1");
      agent.targetAlive = true;
      agent.engineLoading = false;
      agent.Advance(seconds(1));
      EXPECT_TRUE(agent.Serves()) << agent.LastRefusal();
    }
  }
}

TEST(AgentOrders, ARestartedAgentWaitsForAnEarlierOrder)
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

// An engine restarts between two orders and has no weights loaded. The answer to the last order
// must not hide this, or the group would serve without weights.
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
