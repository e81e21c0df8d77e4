#include "support/request_harness.hpp"

#include <algorithm>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

// Recorded sessions of requests through entries and an agent. After an intended change of
// behaviour, regenerate the files with GOOSEBERRYSAIL_WRITE_GOLDEN=1 and review the diff before
// committing it.

namespace gooseberrysail::test {
namespace {

using ::testing::HasSubstr;

constexpr const char* kFirst = "entry-1.1.1";

TEST(RequestSession, ARequestIsServedEndToEnd)
{
  RequestHarness world;
  world.Story("a chat completion");
  const std::uint64_t chat = world.Chat("entry-1", false);
  world.Settle();
  world.Agent().AnswerCall(kFirst, "two rollers are free", true);
  world.Settle();
  EXPECT_EQ(world.BodyOf("entry-1", chat), "two rollers are free");
  world.Story("a streamed one");
  const std::uint64_t stream = world.Chat("entry-1", true);
  world.Settle();
  world.Agent().AnswerCall("entry-1.1.2", "data: one | ", false);
  world.Settle();
  world.Agent().AnswerCall("entry-1.1.2", "data: two", true, false);
  world.Settle();
  EXPECT_EQ(world.BodyOf("entry-1", stream), "data: one | data: two");
  world.Story("what became of the first");
  const std::uint64_t show = world.Get("entry-1", std::string("/requests/") + kFirst);
  world.Settle();
  EXPECT_THAT(world.BodyOf("entry-1", show), HasSubstr(R"("outcome":"completed")"));
  world.Compare(GOOSEBERRYSAIL_SOURCE_DIR "/tests/golden/request_path.txt");
}

// Guards against a streamed answer that stalls although both machines work. The connection between
// entry and agent silently drops all data while the engine continues; after the heartbeat timeout a
// new connection is opened. Answers must not be bound to a connection: the entry must be able to
// request the part that was dropped.
TEST(RequestSession, ASilentConnectionIsResumedByteForByte)
{
  RequestHarness world;
  const std::uint64_t chat = world.Chat("entry-1", true);
  world.Settle();
  world.Agent().AnswerCall(kFirst, "data: 1 | ", false);
  world.Settle();
  world.Story("from here on the connection swallows everything, both ways");
  world.DropFrames("entry-1", true);
  world.Agent().AnswerCall(kFirst, "data: 2 | ", false, false);
  world.Settle();
  world.Agent().AnswerCall(kFirst, "data: 3 | ", false, false);
  world.Settle();
  world.Story("heartbeats ran out; a new connection stands");
  world.Reconnect("entry-1");
  world.Agent().AnswerCall(kFirst, "data: 4", true, false);
  world.Settle();
  EXPECT_EQ(world.BodyOf("entry-1", chat), "data: 1 | data: 2 | data: 3 | data: 4");
  EXPECT_EQ(world.TargetCallCount(), 1U);
  world.Compare(GOOSEBERRYSAIL_SOURCE_DIR "/tests/golden/request_silent_connection.txt");
}

// Guards against answers that are mixed up or assembled in the wrong order, as when frames are used
// in order of arrival. Two answers run at once; their frames arrive reversed, each of them twice.
TEST(RequestSession, ReversedAndRepeatedFramesReachTheirOwnCallers)
{
  RequestHarness world;
  const std::uint64_t first = world.Chat("entry-1", true);
  const std::uint64_t second = world.Chat("entry-1", true);
  world.Settle();
  world.Story("frames of both answers arrive in reversed order, each of them twice");
  world.rewriteAgentFrames = [](std::vector<FrameIn>& frames) {
    std::vector<FrameIn> twice = frames;
    twice.insert(twice.end(), frames.begin(), frames.end());
    std::reverse(twice.begin(), twice.end());
    frames = std::move(twice);
  };
  world.Agent().AnswerCall(kFirst, "rollers ", false);
  world.Agent().AnswerCall("entry-1.1.2", "cranes ", false);
  world.Agent().AnswerCall(kFirst, "for Monday", true, false);
  world.Agent().AnswerCall("entry-1.1.2", "for Tuesday", true, false);
  world.Settle();
  world.Story("the network is well again");
  world.rewriteAgentFrames = nullptr;
  world.Advance(std::chrono::seconds(1));
  EXPECT_EQ(world.BodyOf("entry-1", first), "rollers for Monday");
  EXPECT_EQ(world.BodyOf("entry-1", second), "cranes for Tuesday");
  world.Compare(GOOSEBERRYSAIL_SOURCE_DIR "/tests/golden/request_out_of_order.txt");
}

// Guards against a "not run" outcome for a request that runs later, so that a retry runs it twice.
// The request's frame is delayed on a connection that seems dead; the agent, queried over a new
// connection, doesn't know the request; then the frame arrives. "Unknown" doesn't mean "not run":
// only a request that the agent has sealed can never start.
TEST(RequestSession, NotRunHoldsWhenTheFrameArrivesLate)
{
  RequestHarness world({ wire::TargetKind::Service, { "entry-1" } });
  world.Story("the booking leaves the entry and hangs on its way");
  world.holdStarts = true;
  const std::uint64_t booking = world.Book("entry-1", "");
  world.Settle();
  world.Story("a new connection; the agent does not know the request and seals it");
  world.Reconnect("entry-1");
  world.Advance(std::chrono::milliseconds(200));
  EXPECT_EQ(world.StatusOf("entry-1", booking), 503U);
  EXPECT_THAT(world.BodyOf("entry-1", booking), HasSubstr(R"("outcome":"not-run")"));
  world.Story("the frame arrives after all");
  world.ReleaseHeld();
  world.Settle();
  EXPECT_EQ(world.TargetCallCount(), 0U);
  world.Compare(GOOSEBERRYSAIL_SOURCE_DIR "/tests/golden/request_not_run.txt");
}

// Guards against a "not run" outcome for a request that ran. The agent passes the request to the
// service and is killed; the restarted agent has no record of it, which proves nothing.
TEST(RequestSession, TheOutcomeIsCutAfterAnAgentWasKilled)
{
  RequestHarness world({ wire::TargetKind::Service, { "entry-1" } });
  const std::uint64_t booking = world.Book("entry-1", "");
  world.Settle();
  EXPECT_EQ(world.TargetCallCount(), 1U);
  world.Story("kill -9 of the agent; a new one with an empty memory");
  world.RestartAgent();
  EXPECT_EQ(world.StatusOf("entry-1", booking), 502U);
  EXPECT_THAT(world.BodyOf("entry-1", booking), HasSubstr(R"("outcome":"cut")"));
  world.Advance(std::chrono::seconds(2));
  EXPECT_EQ(world.TargetCallCount(), 1U);
  world.Compare(GOOSEBERRYSAIL_SOURCE_DIR "/tests/golden/request_cut.txt");
}

// Guards against a request with an idempotency key that runs twice, as when each entry, or each
// restart of one, decides by itself whether a key is new. One request is sent through two entries
// at once, a second is resent after its entry was killed, a third after the agent was killed.
TEST(RequestSession, AKeyedBookingRunsAtMostOnce)
{
  RequestHarness world({ wire::TargetKind::Service, { "entry-1", "entry-2" } });
  world.Story("the same key through two entries at once");
  const std::uint64_t first = world.Book("entry-1", "order-1");
  const std::uint64_t second = world.Book("entry-2", "order-1");
  world.Settle();
  EXPECT_EQ(world.TargetCallCount(), 1U);
  EXPECT_EQ(world.StatusOf("entry-2", second), 409U);
  world.Agent().AnswerCall(kFirst, "booked 1", true);
  world.Settle();
  EXPECT_EQ(world.BodyOf("entry-1", first), "booked 1");
  world.Story("resent: the first answer again");
  const std::uint64_t again = world.Book("entry-2", "order-1");
  world.Settle();
  EXPECT_EQ(world.BodyOf("entry-2", again), "booked 1");
  EXPECT_EQ(world.TargetCallCount(), 1U);

  world.Story("entry-1 is killed while its booking runs; resent through entry-2");
  world.Book("entry-1", "order-2");
  world.Settle();
  EXPECT_EQ(world.TargetCallCount(), 2U);
  world.RestartEntry("entry-1");
  const std::uint64_t orphan = world.Book("entry-2", "order-2");
  world.Settle();
  EXPECT_EQ(world.StatusOf("entry-2", orphan), 409U);
  EXPECT_THAT(world.BodyOf("entry-2", orphan), HasSubstr("same-key-unknown"));
  EXPECT_EQ(world.TargetCallCount(), 2U);

  world.Story("the agent is killed while a booking runs; resent through the same entry");
  const std::uint64_t third = world.Book("entry-1", "order-3");
  world.Settle();
  EXPECT_EQ(world.TargetCallCount(), 3U);
  world.RestartAgent();
  EXPECT_THAT(world.BodyOf("entry-1", third), HasSubstr(R"("outcome":"cut")"));
  const std::uint64_t resent = world.Book("entry-1", "order-3");
  world.Settle();
  EXPECT_EQ(world.StatusOf("entry-1", resent), 409U);
  EXPECT_EQ(world.TargetCallCount(), 3U);
  world.Compare(GOOSEBERRYSAIL_SOURCE_DIR "/tests/golden/request_keyed_once.txt");
}

} // namespace
} // namespace gooseberrysail::test
