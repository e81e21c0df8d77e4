#include "gooseberrysail/agent/request_system.hpp"
#include "support/agent_harness.hpp"
#include "support/section.hpp"

namespace gooseberrysail::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

wire::SealResult SealOf(AgentHarness& agent, const std::string& request)
{
  agent.Seal(request);
  return agent.Last<wire::SealReplyT>()->result;
}

TEST(AgentRequests, AnAnswerIsForwardedCompletelyAndDiscardedOnceAcknowledged)
{
  AgentHarness agent;
  agent.FormGroup(7);
  agent.Start("entry-1.1.1");
  ASSERT_NE(agent.CallOf("entry-1.1.1"), nullptr);
  EXPECT_EQ(agent.CallOf("entry-1.1.1")->path, "/v1/chat/completions");
  EXPECT_EQ(agent.CallOf("entry-1.1.1")->body, "body of entry-1.1.1");
  agent.AnswerCall("entry-1.1.1", "one ", false);
  agent.AnswerCall("entry-1.1.1", "two", true, false);
  const auto received = agent.ReceivedOf("entry-1.1.1");
  EXPECT_EQ(received.status, 200U);
  EXPECT_EQ(received.bytes, "one two");
  EXPECT_TRUE(received.ended);
  EXPECT_EQ(received.cutReason, "");
}

// A request was sealed, or ran, and its record was evicted; then a delayed Start arrives. If it
// were taken for a new request, it would run after its client was told "not run", or run twice.
TEST(AgentRequests, AStartWhoseRecordMayHaveBeenEvictedNeverRuns)
{
  AgentHarness agent;
  agent.FormGroup(7);
  EXPECT_EQ(SealOf(agent, "entry-1.1.1"), wire::SealResult::Sealed);
  agent.Start("entry-1.1.2");
  agent.AnswerCall("entry-1.1.2", "x", true);
  agent.Acknowledge("entry-1.1.2", 1, true);
  agent.Advance(std::chrono::minutes(11));
  agent.Start("entry-1.1.1");
  agent.Start("entry-1.1.2");
  EXPECT_EQ(agent.RunsOf("entry-1.1.1"), 0U);
  EXPECT_EQ(agent.RunsOf("entry-1.1.2"), 1U);
  EXPECT_EQ(SealOf(agent, "entry-1.1.2"), wire::SealResult::Started);
  SECTION("a Resume is answered with a cut, so that the entry stops asking")
  {
    agent.ClearSent();
    agent.Resume("entry-1.1.2", 0);
    EXPECT_TRUE(agent.Sent<wire::UnknownRequestT>().empty());
    EXPECT_NE(agent.ReceivedOf("entry-1.1.2").cutReason, "");
  }
  SECTION("newer requests run")
  {
    agent.Start("entry-1.1.3");
    EXPECT_EQ(agent.RunsOf("entry-1.1.3"), 1U);
  }
}

// An entry can't know which of its frames arrived, so that it repeats a Start over a new
// connection: here while the call runs and once more after it finished. The request must not run
// twice.
TEST(AgentRequests, TheSameStartAgainNeverRunsASecondTime)
{
  AgentHarness agent;
  agent.FormGroup(7);
  agent.Start("entry-1.1.1");
  agent.Start("entry-1.1.1");
  EXPECT_EQ(agent.RunsOf("entry-1.1.1"), 1U);
  agent.Deliver(PeerDown{ ProcessId("entry-1"), Incarnation(1), "silent" });
  agent.AnswerCall("entry-1.1.1", "booked", true);
  EXPECT_FALSE(agent.ReceivedOf("entry-1.1.1").ended);
  agent.Start("entry-1.1.1");
  EXPECT_EQ(agent.RunsOf("entry-1.1.1"), 1U);
  EXPECT_EQ(agent.ReceivedOf("entry-1.1.1").bytes, "booked");
  agent.Acknowledge("entry-1.1.1", 6, true);
  agent.Start("entry-1.1.1");
  EXPECT_EQ(agent.RunsOf("entry-1.1.1"), 1U);
  EXPECT_EQ(agent.ReceivedOf("entry-1.1.1").cutReason, "already ran; its answer is no longer held");
}

// After a lost connection, a Start and the Seal of the same attempt may arrive in either order. A
// sealed request must never run, and the Seal of one that ran must say so.
TEST(AgentRequests, SealAndStartAgreeInBothOrders)
{
  AgentHarness agent;
  agent.FormGroup(7);
  SECTION("the Seal first: the Start that arrives after it never runs")
  {
    EXPECT_EQ(SealOf(agent, "entry-1.1.1"), wire::SealResult::Sealed);
    agent.Start("entry-1.1.1");
    EXPECT_EQ(agent.RunsOf("entry-1.1.1"), 0U);
    EXPECT_EQ(agent.RefusalOf("entry-1.1.1"), "refused or sealed before");
    EXPECT_EQ(SealOf(agent, "entry-1.1.1"), wire::SealResult::Sealed);
  }
  SECTION("the Start first: the Seal is answered with Started, while it runs and afterwards")
  {
    agent.Start("entry-1.1.2");
    EXPECT_EQ(SealOf(agent, "entry-1.1.2"), wire::SealResult::Started);
    agent.AnswerCall("entry-1.1.2", "x", true);
    agent.Acknowledge("entry-1.1.2", 1, true);
    EXPECT_EQ(SealOf(agent, "entry-1.1.2"), wire::SealResult::Started);
  }
  SECTION("a request refused before its start counts as sealed")
  {
    AgentHarness::StartOptions old;
    old.epoch = 3;
    agent.Start("entry-1.1.3", old);
    EXPECT_EQ(agent.RefusalOf("entry-1.1.3"), "target is in no group or in another one");
    agent.Start("entry-1.1.3");
    EXPECT_EQ(agent.RunsOf("entry-1.1.3"), 0U) << "refused once, it never starts";
    EXPECT_EQ(SealOf(agent, "entry-1.1.3"), wire::SealResult::Sealed);
  }
}

TEST(AgentRequests, AQueuedRequestCanBeSealedAndThenNeverRuns)
{
  AgentHarness agent;
  agent.FormGroup(7);
  for (int index = 1; index <= 5; ++index) {
    agent.Start("entry-1.1." + std::to_string(index));
  }
  ASSERT_EQ(agent.RunsOf("entry-1.1.5"), 0U);
  EXPECT_EQ(SealOf(agent, "entry-1.1.5"), wire::SealResult::Sealed);
  agent.AnswerCall("entry-1.1.1", "x", true);
  agent.Settle();
  EXPECT_EQ(agent.RunsOf("entry-1.1.5"), 0U);
}

// A restarted agent has the same name and address and an empty ledger, and receives frames sent to
// its former incarnation. It can't know what that one ran, so that it must neither run them nor
// report "never started".
TEST(AgentRequests, FramesForAFormerIncarnationAreRefused)
{
  AgentHarness agent;
  agent.FormGroup(7);
  AgentHarness::StartOptions former;
  former.incarnation = 10;
  agent.Start("entry-1.1.1", former);
  EXPECT_EQ(agent.RunsOf("entry-1.1.1"), 0U);
  ASSERT_NE(agent.Last<wire::UnknownRequestT>(), nullptr);
  EXPECT_EQ(agent.Last<wire::UnknownRequestT>()->agentIncarnation, 11U);
  EXPECT_EQ(agent.RefusalOf("entry-1.1.1"), "") << "the predecessor may have run it";
  agent.Seal("entry-1.1.1", 1, 10);
  EXPECT_EQ(agent.Last<wire::SealReplyT>()->result, wire::SealResult::WrongIncarnation);
  agent.Resume("entry-1.1.1", 0, 10);
  EXPECT_EQ(agent.Sent<wire::UnknownRequestT>().size(), 2U);
}

// The entry's connection loses frames for a while; the entry resumes over a new one from its
// offset. No part of the streamed answer may be missing or repeated.
TEST(AgentRequests, AResumedAnswerIsByteIdentical)
{
  AgentHarness agent;
  agent.FormGroup(7);
  agent.Start("entry-1.1.1");
  agent.AnswerCall("entry-1.1.1", "alpha ", false);
  agent.Acknowledge("entry-1.1.1", 3, false);
  agent.Deliver(PeerDown{ ProcessId("entry-1"), Incarnation(1), "silent" });
  agent.AnswerCall("entry-1.1.1", "beta ", false, false);
  agent.AnswerCall("entry-1.1.1", "gamma", true, false);
  agent.Advance(seconds(5));
  agent.ClearSent();
  agent.Resume("entry-1.1.1", 3);
  std::string rest;
  for (const auto* frame : agent.Sent<wire::OutputT>()) {
    EXPECT_EQ(frame->offset, 3 + rest.size());
    rest.append(frame->bytes.begin(), frame->bytes.end());
  }
  EXPECT_EQ("alp" + rest, "alpha beta gamma");
  EXPECT_TRUE(agent.Last<wire::OutputT>()->end);
  SECTION("a resume from an acknowledged offset is answered with a cut, never with a gap")
  {
    agent.Resume("entry-1.1.1", 1);
    EXPECT_EQ(agent.Last<wire::OutputT>()->cutReason, "output from the wanted offset is not held");
    EXPECT_TRUE(agent.Last<wire::OutputT>()->bytes.empty());
  }
  SECTION("once acknowledged as done, the answer is discarded")
  {
    agent.Acknowledge("entry-1.1.1", 16, true);
    agent.Resume("entry-1.1.1", 0);
    EXPECT_EQ(agent.Last<wire::OutputT>()->cutReason, "already ran; its answer is no longer held");
  }
}

// Output is held until it is acknowledged. With long answers and an entry that acknowledges
// nothing, the agent's memory would grow without limit, or one slow reader would end every request.
TEST(AgentRequests, HeldOutputIsBoundedAndTheOneHoldingMostIsCut)
{
  AgentHarness agent({ .maxHeldOutputBytes = 1000 });
  agent.FormGroup(7);
  agent.Start("entry-1.1.1");
  agent.Start("entry-1.1.2");
  agent.AnswerCall("entry-1.1.1", std::string(700, 'a'), false);
  agent.AnswerCall("entry-1.1.2", std::string(200, 'b'), false);
  agent.AnswerCall("entry-1.1.2", std::string(200, 'b'), false, false);
  EXPECT_EQ(agent.ReceivedOf("entry-1.1.1").cutReason, "held output limit reached");
  EXPECT_TRUE(agent.CallOf("entry-1.1.1")->cancelled);
  EXPECT_FALSE(agent.CallOf("entry-1.1.2")->cancelled);
  agent.AnswerCall("entry-1.1.2", std::string(200, 'b'), true, false);
  EXPECT_EQ(agent.ReceivedOf("entry-1.1.2").bytes.size(), 600U);
  EXPECT_EQ(agent.ReceivedOf("entry-1.1.2").cutReason, "");
}

TEST(AgentRequests, AcknowledgedOutputNeverReachesTheBound)
{
  AgentHarness agent({ .maxHeldOutputBytes = 1000 });
  agent.FormGroup(7);
  agent.Start("entry-1.1.1");
  for (std::uint64_t part = 1; part <= 20; ++part) {
    agent.AnswerCall("entry-1.1.1", std::string(400, 'a'), part == 20, part == 1);
    agent.Acknowledge("entry-1.1.1", part * 400, false);
  }
  EXPECT_EQ(agent.ReceivedOf("entry-1.1.1").bytes.size(), 8000U);
  EXPECT_EQ(agent.ReceivedOf("entry-1.1.1").cutReason, "");
}

// An entry never reconnects, and so never acknowledges its answers. Without a time limit they would
// use up the agent's memory.
TEST(AgentRequests, AnswersForAnEntryThatNeverReturnsAreHeldForABoundedTime)
{
  AgentHarness agent;
  agent.FormGroup(7);
  agent.Start("entry-1.1.1");
  agent.Start("entry-1.1.2");
  AgentHarness::StartOptions booking;
  booking.repeatable = false;
  agent.Start("entry-1.1.3", booking);
  agent.AnswerCall("entry-1.1.1", "done", true);
  agent.Deliver(PeerDown{ ProcessId("entry-1"), Incarnation(1), "closed" });
  agent.Advance(RequestSystem::kOutputRetention + seconds(1));
  EXPECT_TRUE(agent.CallOf("entry-1.1.2")->cancelled);
  EXPECT_FALSE(agent.CallOf("entry-1.1.3")->cancelled) << "a begun booking runs to its end";
  EXPECT_EQ(SealOf(agent, "entry-1.1.1"), wire::SealResult::Started);
  agent.Resume("entry-1.1.1", 0);
  EXPECT_NE(agent.Last<wire::OutputT>()->cutReason, "");
}

TEST(AgentRequests, AnEntrysRestartCutsItsRepeatableWorkOnly)
{
  AgentHarness agent;
  agent.FormGroup(7);
  AgentHarness::StartOptions booking;
  booking.repeatable = false;
  agent.Start("entry-1.1.1");
  agent.Start("entry-1.1.2", booking);
  agent.Deliver(PeerUp{ ProcessId("entry-1"), "entry", Incarnation(2), "10.0.2.1:7000" });
  EXPECT_TRUE(agent.CallOf("entry-1.1.1")->cancelled);
  EXPECT_FALSE(agent.CallOf("entry-1.1.2")->cancelled);
}

TEST(AgentRequests, TheQueueIsBoundedAndUrgentWorkGoesFirst)
{
  AgentHarness agent({ .maxConcurrent = 1, .maxQueued = 2 });
  agent.FormGroup(7);
  AgentHarness::StartOptions batch;
  batch.priority = 2;
  agent.Start("entry-1.1.1", batch);
  agent.Start("entry-1.1.2", batch);
  agent.Start("entry-1.1.3", batch);
  SECTION("a full queue refuses with a retry delay")
  {
    agent.Start("entry-1.1.4", batch);
    EXPECT_EQ(agent.RefusalOf("entry-1.1.4"), "queue full");
    EXPECT_GT(agent.Last<wire::RefusedT>()->retryAfterMillis, 0U);
  }
  SECTION("more urgent work displaces the latest of the least urgent, which never started")
  {
    agent.Start("entry-1.1.5");
    EXPECT_EQ(agent.RefusalOf("entry-1.1.3"), "displaced by more urgent work");
    agent.AnswerCall("entry-1.1.1", "x", true);
    EXPECT_EQ(agent.RunsOf("entry-1.1.5"), 1U);
    EXPECT_EQ(agent.RunsOf("entry-1.1.2"), 0U);
  }
}

TEST(AgentRequests, DeadlinesRefuseWhatWaitsAndCutWhatMayBeRepeated)
{
  AgentHarness agent({ .maxConcurrent = 2 });
  agent.FormGroup(7);
  AgentHarness::StartOptions hurried;
  hurried.deadlineMillis = 300;
  AgentHarness::StartOptions booking = hurried;
  booking.repeatable = false;
  agent.Start("entry-1.1.1", hurried);
  agent.Start("entry-1.1.2", booking);
  agent.Start("entry-1.1.3", hurried);
  agent.Advance(milliseconds(400));
  EXPECT_EQ(agent.ReceivedOf("entry-1.1.1").cutReason, "deadline passed");
  EXPECT_TRUE(agent.CallOf("entry-1.1.1")->cancelled);
  EXPECT_FALSE(agent.CallOf("entry-1.1.2")->cancelled);
  EXPECT_EQ(agent.RefusalOf("entry-1.1.3"), "deadline passed while queued");
  SECTION("a booking whose target hangs frees its slot after the overdue limit")
  {
    agent.Advance(RequestSystem::kOverdueLimit);
    EXPECT_EQ(agent.ReceivedOf("entry-1.1.2").cutReason, "deadline passed");
  }
}

TEST(AgentRequests, CancelEndsTheCallAndFreesItsSlot)
{
  AgentHarness agent({ .maxConcurrent = 1 });
  agent.FormGroup(7);
  agent.Start("entry-1.1.1");
  agent.Start("entry-1.1.2");
  agent.Cancel("entry-1.1.1", "caller gone");
  EXPECT_TRUE(agent.CallOf("entry-1.1.1")->cancelled);
  EXPECT_EQ(agent.ReceivedOf("entry-1.1.1").cutReason, "cancelled: caller gone");
  EXPECT_EQ(agent.RunsOf("entry-1.1.2"), 1U);
}

// The connection to the target breaks before or after the call was written. Only if no byte was
// sent is it certain that the call did not run.
TEST(AgentRequests, ATargetFailureIsReportedExactly)
{
  AgentHarness agent;
  agent.FormGroup(7);
  agent.Start("entry-1.1.1");
  agent.FailCall("entry-1.1.1", true);
  EXPECT_TRUE(agent.RefusalOf("entry-1.1.1").starts_with("target unreachable"));
  agent.Start("entry-1.1.2");
  agent.FailCall("entry-1.1.2", false);
  EXPECT_EQ(agent.RefusalOf("entry-1.1.2"), "");
  EXPECT_TRUE(agent.ReceivedOf("entry-1.1.2").cutReason.starts_with("target failed"));
  EXPECT_EQ(SealOf(agent, "entry-1.1.2"), wire::SealResult::Started);
}

// Guards against an answer that an earlier call left on the connection and that is passed on as the
// answer to this one.
TEST(AgentRequests, AnAnswerToAnotherRequestCutsTheRequest)
{
  AgentHarness agent({ .maxConcurrent = 1 });
  agent.FormGroup(7);
  const auto answer = [&](const std::string& request, const std::string& answeredId) {
    TargetAnswerIn part;
    part.exchange = agent.CallOf(request)->exchange;
    part.status = 200;
    part.headers = { { "x-request-id", answeredId } };
    part.bytes = "answer to " + answeredId;
    part.end = true;
    agent.Deliver(part);
    agent.Settle();
  };
  agent.Start("entry-1.1.1");
  agent.Start("entry-1.1.2");
  answer("entry-1.1.1", "entry-1.1.0");
  EXPECT_EQ(agent.ReceivedOf("entry-1.1.1").bytes, "");
  EXPECT_TRUE(agent.ReceivedOf("entry-1.1.1").cutReason.starts_with("target failed"));
  EXPECT_EQ(SealOf(agent, "entry-1.1.1"), wire::SealResult::Started);
  SECTION("the next request takes its slot, and its own answer is passed on")
  {
    answer("entry-1.1.2", "entry-1.1.2");
    EXPECT_EQ(agent.ReceivedOf("entry-1.1.2").bytes, "answer to entry-1.1.2");
    EXPECT_EQ(agent.ReceivedOf("entry-1.1.2").cutReason, "");
  }
}

// An answer completes while the group is intact and its entry is disconnected; then a new epoch is
// assigned. The entry must still get the answer, because the group was intact when it was produced.
TEST(AgentRequests, AnAnswerOfAnIntactGroupIsKeptAfterTheGroupEnds)
{
  AgentHarness agent;
  agent.FormGroup(7);
  agent.Start("entry-1.1.1");
  agent.Deliver(PeerDown{ ProcessId("entry-1"), Incarnation(1), "silent" });
  agent.AnswerCall("entry-1.1.1", "whole", true);
  agent.Assign(8);
  agent.Resume("entry-1.1.1", 0);
  EXPECT_EQ(agent.ReceivedOf("entry-1.1.1").bytes, "whole");
  EXPECT_EQ(agent.ReceivedOf("entry-1.1.1").cutReason, "");
}

} // namespace
} // namespace gooseberrysail::test
