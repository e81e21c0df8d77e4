#include "gooseberrysail/agent/request_system.hpp"
#include "support/agent_harness.hpp"
#include "support/section.hpp"

namespace gooseberrysail::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// SIGTERM arrives while a request streams and entries keep sending requests, as during a rollout.
// If the process stopped at once, it would cut the streaming answers.
TEST(AgentLeaving, AStoppingHeadRefusesNewWorkAndFinishesWhatRuns)
{
  AgentHarness agent;
  agent.FormGroup(7);
  agent.Start("entry-1.1.1");
  agent.AnswerCall("entry-1.1.1", "first ", false);
  agent.Deliver(StopRequested{});
  SECTION("control and the entries are informed in the same tick")
  {
    ASSERT_NE(agent.Last<wire::AnnounceT>("control-1"), nullptr);
    EXPECT_TRUE(agent.Last<wire::AnnounceT>("control-1")->leaving);
    ASSERT_NE(agent.Last<wire::LoadReportT>("entry-1"), nullptr);
    EXPECT_TRUE(agent.Last<wire::LoadReportT>("entry-1")->leaving);
    EXPECT_FALSE(agent.Last<wire::LoadReportT>("entry-1")->open);
  }
  SECTION("new work is refused before its start")
  {
    agent.Start("entry-1.1.2");
    EXPECT_EQ(agent.RefusalOf("entry-1.1.2"), "leaving");
    EXPECT_EQ(agent.RunsOf("entry-1.1.2"), 0U);
  }
  SECTION("the running answer completes, and only then the process stops")
  {
    agent.Advance(seconds(20));
    EXPECT_FALSE(agent.Stopped());
    agent.AnswerCall("entry-1.1.1", "last", true, false);
    EXPECT_EQ(agent.ReceivedOf("entry-1.1.1").bytes, "first last");
    EXPECT_EQ(agent.ReceivedOf("entry-1.1.1").cutReason, "");
    agent.Release(7, 30000);
    agent.Advance(seconds(1));
    EXPECT_NE(agent.Last<wire::ReleasedT>("control-1"), nullptr);
    EXPECT_FALSE(agent.Stopped()) << "the answer is not acknowledged yet";
    agent.Acknowledge("entry-1.1.1", 10, true);
    agent.Settle();
    EXPECT_TRUE(agent.Stopped());
  }
}

TEST(AgentLeaving, QueuedWorkIsRefusedAtOnceSoThatItRunsElsewhere)
{
  AgentHarness agent({ .maxConcurrent = 1 });
  agent.FormGroup(7);
  agent.Start("entry-1.1.1");
  agent.Start("entry-1.1.2");
  agent.Deliver(StopRequested{});
  agent.Settle();
  EXPECT_EQ(agent.RefusalOf("entry-1.1.2"), "leaving");
}

// A member's agent is stopping and control doesn't answer. The head decides about new requests, and
// must learn of this from the member's heartbeat replies.
TEST(AgentLeaving, TheHeadClosesItsGateForALeavingMember)
{
  AgentHarness agent;
  agent.FormGroup(7);
  agent.leavingMembers = { "vm-2" };
  agent.Advance(milliseconds(400));
  EXPECT_FALSE(agent.Serves());
  EXPECT_EQ(agent.LastRefusal(), "leaving: vm-2");
}

TEST(AgentLeaving, ACatalogueDrainOfAnyMemberClosesTheGateWithinSeconds)
{
  AgentHarness agent;
  agent.FormGroup(7);
  ASSERT_TRUE(agent.Serves());
  agent.drainingVm = "vm-3";
  agent.catalogueVersion = 2;
  agent.Advance(seconds(3));
  EXPECT_FALSE(agent.Serves());
  EXPECT_EQ(agent.LastRefusal(), "draining: vm-3");
  EXPECT_TRUE(agent.Last<wire::LoadReportT>("entry-1")->leaving);
}

// The head may rely on a member's last reply for a member timeout. If the member confirmed its
// release earlier, it could join a new group while the former head still serves with it.
TEST(AgentLeaving, AMemberIsReleasedOnlyAfterItsHeadsTimeout)
{
  AgentHarness agent;
  agent.Advance(milliseconds(500));
  agent.Assign(7, "vm-2");
  agent.Advance(milliseconds(500));
  wire::BeatRequestT beat;
  beat.group = 5;
  beat.epoch = 7;
  agent.Frame("agent-vm-2", beat);
  agent.Release(7, 10000);
  agent.Advance(agent.policy.memberTimeout - milliseconds(100));
  EXPECT_EQ(agent.Last<wire::ReleasedT>(), nullptr);
  SECTION("while the head drains and sends requests, the member stays")
  {
    agent.Frame("agent-vm-2", beat);
    agent.Advance(agent.policy.memberTimeout - milliseconds(100));
    EXPECT_EQ(agent.Last<wire::ReleasedT>(), nullptr);
  }
  SECTION("once the head sends no more requests, it leaves")
  {
    agent.Advance(milliseconds(300));
    ASSERT_NE(agent.Last<wire::ReleasedT>(), nullptr);
    EXPECT_EQ(agent.Last<wire::ReleasedT>()->epoch, 7U);
  }
}

TEST(AgentLeaving, AReleaseClosesTheGateLetsWorkFinishAndCutsWhatOutlastsTheGrace)
{
  AgentHarness agent;
  agent.FormGroup(7);
  agent.Start("entry-1.1.1");
  agent.Start("entry-1.1.2");
  agent.Release(7, 2000);
  EXPECT_FALSE(agent.Serves());
  EXPECT_EQ(agent.LastRefusal(), "group is being dissolved");
  agent.Advance(seconds(1));
  agent.AnswerCall("entry-1.1.1", "in time", true);
  EXPECT_EQ(agent.ReceivedOf("entry-1.1.1").cutReason, "");
  EXPECT_EQ(agent.Last<wire::ReleasedT>(), nullptr);
  agent.Advance(seconds(1));
  EXPECT_EQ(agent.ReceivedOf("entry-1.1.2").cutReason, "group dissolved");
  EXPECT_TRUE(agent.CallOf("entry-1.1.2")->cancelled);
  EXPECT_NE(agent.Last<wire::ReleasedT>(), nullptr);
  SECTION("no output is sent after the release")
  {
    agent.AnswerCall("entry-1.1.2", "late", true);
    EXPECT_EQ(agent.ReceivedOf("entry-1.1.2").bytes, "");
  }
  SECTION("a Release sent again is answered again")
  {
    agent.ClearSent();
    agent.Release(7, 2000);
    EXPECT_NE(agent.Last<wire::ReleasedT>(), nullptr);
  }
}

// A member's agent gets SIGTERM while its head streams an answer for another minute. The member has
// no requests of its own; if it stopped at once, that answer would be cut.
TEST(AgentLeaving, AStoppingMemberStaysWhileItsHeadSendsHeartbeats)
{
  AgentHarness agent;
  agent.Advance(milliseconds(500));
  agent.Assign(7, "vm-2");
  agent.Deliver(StopRequested{});
  wire::BeatRequestT beat;
  beat.group = 5;
  beat.epoch = 7;
  for (int second = 0; second < 60; ++second) {
    agent.Frame("agent-vm-2", beat);
    agent.Advance(seconds(1));
  }
  EXPECT_FALSE(agent.Stopped());
  EXPECT_TRUE(agent.Last<wire::BeatReplyT>()->leaving);
  EXPECT_TRUE(agent.Last<wire::BeatReplyT>()->engineAlive);
  agent.Release(7, 0);
  agent.Advance(agent.policy.memberTimeout * 2);
  EXPECT_TRUE(agent.Stopped());
}

TEST(AgentLeaving, AStoppingAgentStopsWaitingForControlAfterATimeout)
{
  AgentHarness agent;
  agent.FormGroup(7);
  agent.Deliver(StopRequested{});
  agent.Advance(seconds(29));
  EXPECT_FALSE(agent.Stopped());
  agent.Advance(seconds(2));
  EXPECT_TRUE(agent.Stopped());
  EXPECT_EQ(agent.Events(EventNumber::kAgentStopPatienceEnded), 1U);
}

} // namespace
} // namespace gooseberrysail::test
