#include "support/feed_world.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using ::testing::IsEmpty;
using tests::FeedWorld;

// Guards against the late detection of a failed group, 1.5 s after its last answer: an entry
// reports the head as failing while another entry had an answer 1.2 s ago. This happens if any
// answer within 1.5 s overrides the report.
TEST(ServingFeed, AHeadFailsOnceNoEntryHadAnAnswerForHalfASecond)
{
  FeedWorld world;
  world.ReportHead("e1", 100, false);
  SECTION("not while another entry receives answers")
  {
    world.now += 300ms;
    world.ReportHead("e2", 700, true);
    EXPECT_THAT(world.feed.FailingHeads(world.now), IsEmpty());
  }
  SECTION("half a second after the last answer")
  {
    world.now += 300ms;
    world.ReportHead("e2", 1000, true);
    EXPECT_TRUE(world.feed.FailingHeads(world.now).contains(InstanceId("h1")));
  }
  SECTION("no longer once it answers again")
  {
    world.now += 300ms;
    world.ReportHead("e1", 0, false);
    EXPECT_THAT(world.feed.FailingHeads(world.now), IsEmpty());
  }
}

// Guards against entries that serve nothing for up to half a second after each change of the
// leader, because they learn of the new one by their next query.
TEST(ServingFeed, ANewLeaderTellsTheConnectedEntriesAtOnce)
{
  FeedWorld world;
  world.peers[ProcessId("e1")] = { "entry", Incarnation(1), "e1:7000", true, world.now };
  world.peers[ProcessId("e2")] = { "entry", Incarnation(1), "e2:7000", false, world.now };
  world.peers[ProcessId("c2")] = { "control", Incarnation(1), "c2:7000", true, world.now };
  world.Tick();
  const std::vector<FrameOut> frames = world.TakeFrames();
  ASSERT_EQ(frames.size(), 1U);
  EXPECT_EQ(frames.front().peer, ProcessId("e1"));
  EXPECT_TRUE(frames.front().envelope->body.AsServingState()->leader);
  world.Tick();
  EXPECT_THAT(world.TakeFrames(), IsEmpty());
}

// Guards against a new leader that closes groups of a model with demand: it receives two counts of
// the entries within half a second. This happens if the time before the first count is treated as
// time without requests.
TEST(ServingFeed, DemandIsRightFromTheSecondCountOn)
{
  FeedWorld world;
  world.Ask("e1", world.Query(1000));
  EXPECT_TRUE(world.feed.Demand().empty() || world.feed.Demand().at("large").requests == 0);
  world.now += 500ms;
  world.Ask("e1", world.Query(1010));
  EXPECT_NEAR(world.feed.Demand().at("large").requests, 20, 0.01);
  EXPECT_NEAR(world.feed.Demand().at("large").promptTokens, 2000, 1);
  SECTION("demand follows a burst within seconds")
  {
    for (std::uint64_t step = 1; step <= 12; ++step) {
      world.now += 500ms;
      world.Ask("e1", world.Query(1010 + step * 50));
    }
    EXPECT_GT(world.feed.Demand().at("large").requests, 80);
  }
}

// Guards against wrong shares after connection resets: for seconds, heads are divided evenly
// although one entry has most of the callers, and models appear to have no demand. An entry
// disconnects and queries again half a second later. This happens if its counts are dropped with
// the connection.
TEST(ServingFeed, DemandIsKeptWhileAnEntryReconnects)
{
  FeedWorld world;
  world.Ask("e1", world.Query(1000));
  world.now += 500ms;
  world.Ask("e1", world.Query(1010));
  world.feed.OnPeerDown(ProcessId("e1"));
  EXPECT_NEAR(world.feed.Demand().at("large").requests, 20, 0.01);
  SECTION("everything is sent to it again")
  {
    world.feed.SetTargets(std::vector<ServedTarget>{
      { InstanceId("h1"), "assist", "h1:80", FailureDomainId("a"), 28, false, "large" } });
    world.feed.SetTargetsComplete(true);
    world.TakeFrames();
    world.now += 500ms;
    world.Ask("e1", world.Query(1020));
    EXPECT_NEAR(world.feed.Demand().at("large").requests, 20, 0.01);
    const std::vector<FrameOut> frames = world.TakeFrames();
    ASSERT_EQ(frames.size(), 1U);
    EXPECT_TRUE(frames[0].envelope->body.AsServingState()->wholeTargets);
  }
  SECTION("the demand of an entry that stays disconnected is dropped")
  {
    world.feed.OnPeerDown(ProcessId("e1"));
    world.now += 2s;
    world.Tick();
    EXPECT_TRUE(world.feed.Demand().empty());
  }
}

// Guards against a restarted entry that refuses all calls for seconds: it had the list of targets,
// disconnects, and sends a query without state. This happens if state sent on the closed connection
// counts as received.
TEST(ServingFeed, ARestartedEntryReceivesEverythingAtOnce)
{
  FeedWorld world;
  world.feed.SetTargetsComplete(true);
  world.feed.SetTargets(std::vector<ServedTarget>{
    { InstanceId("h1"), "assist", "h1:80", FailureDomainId("a"), 28, false, "large" } });
  world.Ask("e1", {});
  ASSERT_EQ(world.TakeFrames().size(), 1U);
  SECTION("not for a query sent before the answer arrived")
  {
    world.now += 10ms;
    world.Ask("e1", {});
    EXPECT_THAT(world.TakeFrames(), IsEmpty());
  }
  SECTION("after its connection closed")
  {
    world.feed.OnPeerDown(ProcessId("e1"));
    world.now += 100ms;
    world.Ask("e1", {});
    const std::vector<FrameOut> frames = world.TakeFrames();
    ASSERT_EQ(frames.size(), 1U);
    EXPECT_TRUE(frames[0].envelope->body.AsServingState()->wholeTargets);
  }
}

// Guards against refused calls while most heads are idle, for seconds after a restart of control:
// the new leader knows one of two heads while its entries know both. This happens if shares are
// sent before all heads are known, because an unknown head is in no entry's share.
TEST(ServingFeed, HeadsAreDividedOnceAllTargetsAreKnown)
{
  FeedWorld world;
  const ServedTarget head{ InstanceId("h1"), "assist", "h1:80", FailureDomainId("a"), 28, false,
                           "large" };
  const auto sharesSent = [&] {
    wire::ServingQueryT query = world.Query(1000);
    query.haveTerm = 7; // The previous leader's term.
    query.haveTargets = 12;
    world.Ask("e1", std::move(query));
    world.Tick();
    std::size_t shares = 0;
    for (const FrameOut& frame : world.TakeFrames()) {
      shares += frame.envelope->body.AsServingState()->shares.size();
    }
    return shares;
  };
  world.feed.SetTargets(std::vector<ServedTarget>{ head });
  for (int question = 0; question < 5; ++question) {
    EXPECT_EQ(sharesSent(), 0U);
    world.now += 500ms;
  }
  SECTION("shares are sent once the targets are complete")
  {
    world.feed.SetTargetsComplete(true);
    EXPECT_EQ(sharesSent(), 1U);
  }
}

// Guards against an entry that refuses calls while heads have free slots: the only entry of a
// failure domain gets half of all callers. This happens if the slots are divided evenly among
// entries.
TEST(ServingFeed, EntriesReceiveTheirPartOfTheRequests)
{
  FeedWorld world;
  for (std::uint64_t step = 0; step < 8; ++step) {
    world.Ask("e1", world.Query(step * 30));
    world.Ask("e2", world.Query(step * 10));
    world.now += 500ms;
  }
  EXPECT_NEAR(world.LastSentPart("e1").value_or(0), 0.75, 0.05);
  EXPECT_NEAR(world.LastSentPart("e2").value_or(0), 0.25, 0.05);
  SECTION("again only after a change")
  {
    world.outbox.clear();
    world.Ask("e1", world.Query(8 * 30));
    EXPECT_EQ(world.LastSentPart("e1"), std::nullopt);
  }
  SECTION("an entry without recent requests keeps a minimum part")
  {
    world.Ask("e3", world.Query(0));
    world.now += 500ms;
    world.Ask("e3", world.Query(0));
    EXPECT_GT(world.LastSentPart("e3").value_or(0), 0.1F);
  }
}

} // namespace
} // namespace gooseberrysail
