#include "gooseberrysail/agent/request_system.hpp"
#include "support/agent_harness.hpp"
#include "support/section.hpp"

namespace gooseberrysail::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Symptom: rolling out a new agent cuts the answers that were streaming.
// Sequence: SIGTERM arrives while a request streams and entries go on sending work.
// Cause: a process that stops at once takes its requests with it.
TEST(AgentLeaving, AStoppingHeadRefusesNewWorkAndFinishesWhatRuns)
{
  AgentHarness agent;
  agent.FormGroup(7);
  agent.Start("entry-1.1.1");
  agent.AnswerCall("entry-1.1.1", "first ", false);
  agent.Deliver(StopRequested{});
  SECTION("control and the entries are told in the same tick")
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
  SECTION("the running answer ends whole, and only then the process stops")
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

// Symptom: work goes on being sent to a group one of whose VMs is about to go.
// Sequence: a member's agent, not the head's, is told to stop; control doesn't answer.
// Cause: only the head decides about new work, and it hears from control alone.
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

// Symptom: a VM is in a new group while its former head still serves with it.
// Sequence: control releases the group; a member answers "released" at once.
// Cause: the head may count on the member's last answer for a member timeout.
TEST(AgentLeaving, AMemberIsReleasedOnlyWhenItsHeadCanNoLongerCountOnIt)
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
  SECTION("while the head drains and asks, the member stays")
  {
    agent.Frame("agent-vm-2", beat);
    agent.Advance(agent.policy.memberTimeout - milliseconds(100));
    EXPECT_EQ(agent.Last<wire::ReleasedT>(), nullptr);
  }
  SECTION("once the head asks no more, it goes")
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
  SECTION("nothing goes on after the release")
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

// Symptom: a long answer is cut when the VM of a member is restarted.
// Sequence: a member's agent gets SIGTERM; its head streams an answer for a minute more.
// Cause: the member has no request of its own and would stop at once.
TEST(AgentLeaving, AStoppingMemberStaysWhileItsHeadCountsOnIt)
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

TEST(AgentLeaving, AStoppingAgentDoesNotWaitForAControlThatIsGoneForEver)
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
