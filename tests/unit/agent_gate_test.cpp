#include "gooseberrysail/agent/request_system.hpp"
#include "support/agent_harness.hpp"
#include "support/section.hpp"

namespace gooseberrysail::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(AgentGate, ServesOnceEverythingItNeedsIsThere)
{
  AgentHarness agent;
  SECTION("without a group it refuses")
  {
    agent.Advance(seconds(1));
    EXPECT_FALSE(agent.Serves());
    EXPECT_EQ(agent.LastRefusal(), "target is in no group or in another one");
  }
  SECTION("it announces itself")
  {
    const auto* announce = agent.Last<wire::AnnounceT>("control-1");
    ASSERT_NE(announce, nullptr);
    EXPECT_EQ(announce->vm, "vm-1");
    EXPECT_EQ(announce->accelerators, 2U);
  }
  SECTION("assigned, it orders its engine, hears its members, gets the lease and serves")
  {
    agent.FormGroup(7);
    const auto* reply = agent.Last<wire::AssignReplyT>();
    ASSERT_NE(reply, nullptr);
    EXPECT_TRUE(reply->accepted);
    EXPECT_EQ(agent.engineModel, "hire-assist");
    EXPECT_TRUE(agent.Serves()) << agent.LastRefusal();
    const auto* report = agent.Last<wire::GroupReportT>();
    ASSERT_NE(report, nullptr);
    EXPECT_TRUE(report->ready);
    EXPECT_TRUE(report->weightsLoaded);
  }
}

// Symptom: a replica answers although one of its machines is dead.
// Sequence: a member's agent falls silent while the group serves.
// Cause: a gate that looks at a member's state only now and then goes on with the last one.
TEST(AgentGate, ClosesWithinTheTimeoutWhenAMemberIsMissingAndOpensOnItsReturn)
{
  AgentHarness agent;
  agent.FormGroup(7);
  agent.silentMembers = { "vm-3" };
  agent.Advance(agent.policy.memberTimeout);
  EXPECT_FALSE(agent.Serves());
  EXPECT_EQ(agent.LastRefusal(), "member missing: vm-3");
  EXPECT_EQ(agent.Last<wire::GroupReportT>()->missing, std::vector<std::string>{ "vm-3" });
  agent.silentMembers.clear();
  agent.Advance(milliseconds(500));
  EXPECT_TRUE(agent.Serves()) << agent.LastRefusal();
}

// Symptom: after its VM was suspended for half a minute, a head serves the next request although
// control gave its members to another group meanwhile.
// Sequence: the group serves; the process freezes; beats, a lease grant and a confirmation arrived
// in its buffers before and during the freeze; on waking up the first thing it reads is a Start.
// Cause: a gate closed by a timer is still open when the process wakes up, and beats or leases
// counted from their arrival look fresh then.
TEST(AgentGate, AfterAPauseItIsClosedAtTheMomentOfUse)
{
  AgentHarness agent;
  agent.FormGroup(7);
  ASSERT_TRUE(agent.Serves());
  agent.Advance(milliseconds(300));
  // What the harness queued as answers is still unread: it waits through the pause.
  agent.Pause(seconds(30));
  EXPECT_FALSE(agent.Serves());
  EXPECT_TRUE(agent.LastRefusal().starts_with("member missing")) << agent.LastRefusal();
  SECTION("and it opens again only by new answers")
  {
    agent.Advance(seconds(1));
    EXPECT_TRUE(agent.Serves()) << agent.LastRefusal();
  }
}

// Symptom: two groups serve with one VM.
// Sequence: the head is cut off from control, but not from its members; control waits the lease
// out and gives a member to another group.
// Cause: without a lease of its own the head can't know that control gave it up.
TEST(AgentGate, ClosesWhenTheLeaseEndsCountedFromTheReport)
{
  AgentHarness agent;
  agent.policy.serveUnconfirmed = true;
  agent.FormGroup(7);
  agent.controlGrantsLease = false;
  agent.Advance(seconds(4));
  EXPECT_FALSE(agent.Serves());
  EXPECT_EQ(agent.LastRefusal(), "group lease ended");
}

// Symptom: a process cut off from control serves by limits that were changed long ago.
// Sequence: control grants leases and says that there is a newer version, but the changes don't get
// through; members and lease are fine.
// Cause: a copy of the catalogue doesn't show its age.
TEST(AgentGate, RefusesWhenTheConfigurationIsNotConfirmed)
{
  AgentHarness agent;
  agent.FormGroup(7);
  agent.controlAnswersConfig = false;
  agent.catalogueVersion = 2;
  agent.Advance(agent.policy.confirmationLimit + seconds(1));
  EXPECT_FALSE(agent.Serves());
  EXPECT_EQ(agent.LastRefusal(), "configuration not confirmed");
  agent.controlAnswersConfig = true;
  agent.Advance(seconds(2));
  EXPECT_TRUE(agent.Serves()) << agent.LastRefusal();
}

TEST(AgentGate, ServesUnconfirmedOnlyByTheOperatorsChoice)
{
  AgentHarness agent;
  agent.policy.serveUnconfirmed = true;
  agent.FormGroup(7);
  agent.controlAnswersConfig = false;
  agent.catalogueVersion = 2;
  agent.Advance(seconds(30));
  EXPECT_TRUE(agent.Serves()) << agent.LastRefusal();
}

// Symptom: a VM follows an order of a control process that lost its leadership long ago.
// Sequence: epoch 9 is accepted; an Assign of epoch 8, delayed on its way, arrives.
// Cause: frames of two control processes travel on two connections and may cross.
TEST(AgentGate, RefusesEpochsBelowTheHighestAccepted)
{
  AgentHarness agent;
  agent.FormGroup(9);
  agent.Assign(8, "vm-1", 4);
  const auto* reply = agent.Last<wire::AssignReplyT>();
  EXPECT_FALSE(reply->accepted);
  EXPECT_EQ(reply->heldEpoch, 9U);
  SECTION("the same epoch for another group is refused too")
  {
    agent.Assign(9, "vm-1", 6);
    EXPECT_FALSE(agent.Last<wire::AssignReplyT>()->accepted);
  }
  SECTION("the held one sent again is accepted again and changes nothing")
  {
    agent.Assign(9);
    EXPECT_TRUE(agent.Last<wire::AssignReplyT>()->accepted);
    EXPECT_TRUE(agent.Serves()) << agent.LastRefusal();
  }
  SECTION("an Assign that its Release overtook is refused")
  {
    agent.Release(12, 0, 8);
    agent.Assign(12, "vm-1", 8);
    EXPECT_FALSE(agent.Last<wire::AssignReplyT>()->accepted);
  }
}

// Symptom: the caller of a dissolved group gets the rest of an answer made by half a group.
// Sequence: a request streams; a higher epoch is assigned.
// Cause: the engine knows nothing of epochs and goes on.
TEST(AgentGate, ANewEpochCutsTheFormerEpochsRequestsAtOnce)
{
  AgentHarness agent;
  agent.FormGroup(7);
  agent.Start("entry-1.1.1");
  agent.AnswerCall("entry-1.1.1", "first ", false);
  agent.Assign(8);
  EXPECT_TRUE(agent.CallOf("entry-1.1.1")->cancelled);
  const auto received = agent.ReceivedOf("entry-1.1.1");
  EXPECT_EQ(received.bytes, "first ");
  EXPECT_TRUE(received.ended);
  EXPECT_EQ(received.cutReason, "group epoch superseded");
  SECTION("and a Start for the former epoch is refused")
  {
    AgentHarness::StartOptions old;
    old.epoch = 7;
    agent.Start("entry-1.1.2", old);
    EXPECT_EQ(agent.RefusalOf("entry-1.1.2"), "target is in no group or in another one");
  }
}

// Symptom: a caller gets text that a broken replica made up.
// Sequence: a member dies while an answer streams; the engine goes on for a while.
// Cause: engines notice a lost rank late.
TEST(AgentGate, OutputIsWithheldWhileAMemberIsMissing)
{
  AgentHarness agent;
  agent.FormGroup(7);
  agent.Start("entry-1.1.1");
  agent.AnswerCall("entry-1.1.1", "whole ", false);
  agent.silentMembers = { "vm-2" };
  agent.Advance(agent.policy.memberTimeout);
  agent.AnswerCall("entry-1.1.1", "broken ", false, false);
  EXPECT_EQ(agent.ReceivedOf("entry-1.1.1").bytes, "whole ");

  SECTION("past the grace the request is cut with the reason, without the withheld part")
  {
    agent.Advance(RequestSystem::kWithholdGrace);
    const auto received = agent.ReceivedOf("entry-1.1.1");
    EXPECT_EQ(received.bytes, "whole ");
    EXPECT_EQ(received.cutReason, "member missing: vm-2");
    EXPECT_TRUE(agent.CallOf("entry-1.1.1")->cancelled);
  }
}

TEST(AgentGate, WithheldOutputIsDeliveredWhenTheMemberWasOnlySlow)
{
  AgentHarness agent;
  agent.FormGroup(7);
  agent.Start("entry-1.1.1");
  agent.AnswerCall("entry-1.1.1", "whole ", false);
  agent.silentMembers = { "vm-2" };
  agent.Advance(agent.policy.memberTimeout);
  agent.AnswerCall("entry-1.1.1", "late", true, false);
  EXPECT_FALSE(agent.ReceivedOf("entry-1.1.1").ended);
  agent.silentMembers.clear();
  agent.Advance(milliseconds(600));
  const auto received = agent.ReceivedOf("entry-1.1.1");
  EXPECT_EQ(received.bytes, "whole late");
  EXPECT_TRUE(received.ended);
  EXPECT_EQ(received.cutReason, "");
}

// Symptom: a VM counts as present in two groups for a moment.
// Sequence: it vouched for the head of epoch 7 just before it accepted epoch 8, where another VM
// is head and asks at once.
// Cause: the former head goes on counting on the last answer for a member timeout.
TEST(AgentGate, AMemberVouchesForANewHeadOnlyWhenTheFormerCanNoLongerCountOnIt)
{
  AgentHarness agent;
  agent.Advance(milliseconds(500));
  agent.Assign(7, "vm-2");
  agent.Advance(seconds(1));
  const auto ask = [&agent](std::uint64_t epoch) {
    wire::BeatRequestT beat;
    beat.group = 5;
    beat.epoch = epoch;
    beat.nonce = 1;
    const std::size_t before = agent.Sent<wire::BeatReplyT>().size();
    agent.Frame("agent-vm-2", beat);
    return agent.Sent<wire::BeatReplyT>().size() > before;
  };
  EXPECT_TRUE(ask(7));
  agent.Assign(8, "vm-2");
  EXPECT_FALSE(ask(7));
  EXPECT_FALSE(ask(8));
  agent.Advance(agent.policy.memberTimeout * 2);
  EXPECT_TRUE(ask(8));
}

// Symptom: the engine of a member is dead, its agent lives, and the group serves.
// Sequence: the engine stops answering probes.
// Cause: the agent's life says nothing about the engine's.
TEST(AgentGate, AnAgentVouchesForItsEngineOnlyWhileItAnswers)
{
  AgentHarness agent;
  agent.Advance(milliseconds(500));
  agent.Assign(7, "vm-2");
  agent.Advance(seconds(1));
  wire::BeatRequestT beat;
  beat.group = 5;
  beat.epoch = 7;
  agent.Frame("agent-vm-2", beat);
  EXPECT_TRUE(agent.Last<wire::BeatReplyT>()->engineAlive);
  agent.targetAlive = false;
  agent.Advance(seconds(2));
  agent.Frame("agent-vm-2", beat);
  EXPECT_FALSE(agent.Last<wire::BeatReplyT>()->engineAlive);
}

TEST(AgentGate, TheHeadsOwnDeadEngineClosesTheGate)
{
  AgentHarness agent;
  agent.FormGroup(7);
  agent.targetAlive = false;
  agent.Advance(agent.policy.memberTimeout + milliseconds(400));
  EXPECT_FALSE(agent.Serves());
  EXPECT_EQ(agent.LastRefusal(), "member missing: vm-1");
}

TEST(AgentGate, OnlyAConfiguredControlMayAssign)
{
  AgentHarness agent;
  agent.Advance(milliseconds(500));
  wire::AssignT assign;
  assign.group = 5;
  assign.epoch = 7;
  agent.Frame("entry-1", std::move(assign));
  EXPECT_EQ(agent.Last<wire::AssignReplyT>(), nullptr);
}

} // namespace
} // namespace gooseberrysail::test
