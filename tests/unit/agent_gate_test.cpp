#include "gooseberrysail/agent/request_system.hpp"
#include "support/agent_harness.hpp"
#include "support/section.hpp"

namespace gooseberrysail::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(AgentGate, ServesOnceAllConditionsAreMet)
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
  SECTION("once assigned, it loads the weights, receives heartbeats and the lease, and serves")
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

// A member's agent stops answering while the group serves. The gate must use the age of the last
// reply at each request, or the group would serve with a dead machine.
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

// The VM is suspended for 30 s, in which control may assign its members to another group. On resume
// the first input is a Start, and heartbeats, a lease grant and a confirmation wait in buffers. A
// gate closed only by a timer, or leases counted from their arrival, would still let the request
// through.
TEST(AgentGate, IsClosedAtFirstUseAfterAPause)
{
  AgentHarness agent;
  agent.FormGroup(7);
  ASSERT_TRUE(agent.Serves());
  agent.Advance(milliseconds(300));
  // Answers that the harness has queued stay unread during the pause.
  agent.Pause(seconds(30));
  EXPECT_FALSE(agent.Serves());
  EXPECT_TRUE(agent.LastRefusal().starts_with("member missing")) << agent.LastRefusal();
  SECTION("it reopens only after new answers")
  {
    agent.Advance(seconds(1));
    EXPECT_TRUE(agent.Serves()) << agent.LastRefusal();
  }
}

// The head loses its connection to control but not to its members. Control waits until the lease
// has expired and assigns a member to another group; the head must have stopped by then, or two
// groups would serve with one VM.
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

// Control grants leases and announces a newer version, but the changes don't arrive. Without a
// limit on the age of the confirmation, the agent would serve with outdated limits.
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

// Frames of two control processes use separate connections and may arrive out of order: an Assign
// of epoch 8 from a former leader arrives after epoch 9 was accepted.
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
  SECTION("the current assignment, sent again, is accepted and changes nothing")
  {
    agent.Assign(9);
    EXPECT_TRUE(agent.Last<wire::AssignReplyT>()->accepted);
    EXPECT_TRUE(agent.Serves()) << agent.LastRefusal();
  }
  SECTION("an Assign that arrives after its Release is refused")
  {
    agent.Release(12, 0, 8);
    agent.Assign(12, "vm-1", 8);
    EXPECT_FALSE(agent.Last<wire::AssignReplyT>()->accepted);
  }
}

// A request streams when a higher epoch is assigned. The engine doesn't track epochs and
// continues, so that the caller would get output of an incomplete group.
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
  SECTION("a Start for the former epoch is refused")
  {
    AgentHarness::StartOptions old;
    old.epoch = 7;
    agent.Start("entry-1.1.2", old);
    EXPECT_EQ(agent.RefusalOf("entry-1.1.2"), "target is in no group or in another one");
  }
}

// A member dies while an answer streams. Engines detect a lost rank late and continue for a while,
// so that the caller would get invalid output.
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

  SECTION("after the grace period the request is cut with the reason, without the withheld output")
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

// Guards against an answer that is cut although its group goes on: a member or the head's own
// target is silent for one to three seconds while the answer streams.
TEST(AgentGate, ASilenceOfSecondsCutsNoAnswer)
{
  for (const bool isOwnTarget : { false, true }) {
    for (const Duration silence : { seconds(1), seconds(2), seconds(3) }) {
      SECTION((isOwnTarget ? "own target, " : "member, ") + std::to_string(ToMillis(silence)))
      {
        AgentHarness agent;
        agent.FormGroup(7);
        agent.Start("entry-1.1.1");
        agent.AnswerCall("entry-1.1.1", "before ", false);
        agent.targetAlive = !isOwnTarget;
        if (!isOwnTarget) {
          agent.silentMembers = { "vm-2" };
        }
        agent.Advance(silence);
        agent.targetAlive = true;
        agent.silentMembers.clear();
        agent.AnswerCall("entry-1.1.1", "after", true, false);
        agent.Advance(seconds(2));
        const auto received = agent.ReceivedOf("entry-1.1.1");
        EXPECT_EQ(received.bytes, "before after");
        EXPECT_TRUE(received.ended);
        EXPECT_EQ(received.cutReason, "");
        EXPECT_TRUE(agent.Serves());
      }
    }
  }
}

// The VM answers the head of epoch 7 just before it accepts epoch 8, whose head sends a request at
// once. The former head relies on the last reply for a member timeout; an answer to the new head in
// that time would count the VM in two groups.
TEST(AgentGate, AMemberAnswersANewHeadOnlyAfterTheFormerHeadsTimeout)
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

// A member's engine stops answering probes while its agent runs. The agent must report this, or the
// group would serve with a dead engine.
TEST(AgentGate, AnAgentReportsItsEngineAliveOnlyWhileItAnswers)
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
