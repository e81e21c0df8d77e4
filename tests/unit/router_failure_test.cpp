#include "support/routing.hpp"
#include "support/section.hpp"

namespace gooseberrysail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::RouterWorld;

// When a failure domain is down, its groups are the nearest and have the least load. A retry that
// went there would fail again although two thirds of the groups are healthy.
TEST(RouterFailure, ARetryGoesToAnotherFailureDomain)
{
  RouterWorld world(9);
  for (const std::uint64_t busy : { 1, 2, 4, 5, 7, 8 }) {
    for (int i = 0; i < 20; ++i) {
      world.router.OnSent(world.now, GroupId(busy), world.Query());
    }
  }
  // Groups 3, 6 and 9 are idle and in the own domain.
  const std::vector<GroupId> tried{ GroupId(3) };
  RouteQuery retry = world.Query();
  retry.tried = tried;
  for (int i = 0; i < 20; ++i) {
    const GroupId next = world.router.Choose(world.now, retry).value();
    EXPECT_NE(RouterWorld::DomainOf(next.Get()), RouterWorld::DomainOf(3));
  }
  SECTION("unless there is no other domain")
  {
    for (const std::uint64_t gone : { 1, 2, 4, 5, 7, 8 }) {
      world.router.Remove(GroupId(gone));
    }
    EXPECT_TRUE(world.router.Choose(world.now, retry).has_value());
  }
}

// When a failure domain goes down, its groups appear to have less and less load. If each were
// detected on its own at the cost of a request, a third of the new requests would time out until
// control has removed the groups.
TEST(RouterFailure, AnUnreachableDomainIsAvoidedAsAWhole)
{
  RouterWorld world(30);
  world.Run(seconds(10), 100);
  const auto isUnreachable = [](std::uint64_t group) { return group % 3 == 2; };
  // The connection is closed after 1.5 s of silence.
  world.answerTime = [&](std::uint64_t group) {
    return isUnreachable(group) ? Duration(milliseconds(1500)) : Duration(seconds(1));
  };
  world.answer = [&](std::uint64_t group) {
    return isUnreachable(group) ? AttemptResult::kFailed : AttemptResult::kCompleted;
  };
  std::erase_if(world.reporting, isUnreachable);
  const auto sentThere = [&] {
    std::uint32_t count = 0;
    for (const auto& [group, sent] : world.sent) {
      count += isUnreachable(group) ? sent : 0;
    }
    return count;
  };
  world.Run(seconds(2), 100);
  world.sent.clear();
  world.Run(seconds(5), 100);
  EXPECT_LE(sentThere(), 2U);

  SECTION("and used again when its reports resume")
  {
    world.answerTime = [](std::uint64_t) { return seconds(1); };
    world.answer = [](std::uint64_t) { return AttemptResult::kCompleted; };
    for (std::uint64_t group = 2; group <= 30; group += 3) {
      world.reporting.insert(group);
    }
    world.Run(seconds(40), 100);
    world.sent.clear();
    world.Run(seconds(10), 100);
    EXPECT_GT(sentThere(), 200U); // A third would be 333.
  }
}

// If retries were only limited per request, the load on the network and the agents would triple
// when every attempt fails.
TEST(RouterFailure, TotalFailureCausesNoRetryStorm)
{
  RouterWorld world(9);
  constexpr int kRequests = 2000;
  int attempts = 0;
  for (int request = 0; request < kRequests; ++request) {
    world.now += milliseconds(10);
    std::vector<GroupId> tried;
    do {
      RouteQuery query = world.Query();
      query.tried = tried;
      const GroupId group = world.router.Choose(world.now, query).value();
      world.router.OnSent(world.now, group, query);
      world.router.OnFinished(world.now, group, AttemptResult::kFailed, milliseconds(1));
      tried.push_back(group);
      ++attempts;
    } while (tried.size() < 3 && world.router.TakeRetry(world.now));
  }
  EXPECT_LT(attempts, kRequests * 1.2);
  EXPECT_GT(attempts, kRequests); // Some retries must be left.
}

// A repaired group returns with the least load and a cold cache. If it got every new request until
// it has as many as the others, first tokens would be slow for seconds.
TEST(RouterFailure, AReturningGroupGetsASlowStart)
{
  RouterWorld world(9);
  world.answerTime = [](std::uint64_t) { return seconds(4); };
  world.Run(seconds(20), 50);
  world.Announce(10);
  world.sent.clear();
  world.Run(seconds(1), 50);
  EXPECT_LE(world.sent[10], 6U); // Without a limit it would get about 22.

  SECTION("and has its full part of the load in the end")
  {
    world.Run(seconds(20), 50);
    EXPECT_GE(world.inFlight[10], 12U);
  }
}

// When the connection to a group's agent is lost and replaced, its answers continue on the new one.
// If the group's data were erased meanwhile, it would be overfilled and its cached prefixes
// unknown.
TEST(RouterFailure, AReturningGroupKeepsItsState)
{
  RouterWorld world(5);
  world.prompt = { 1, 2, 3, 4 };
  const GroupId group = world.Send();
  world.now += seconds(1);
  world.router.Remove(group);
  EXPECT_EQ(world.router.Find(group), nullptr);
  EXPECT_EQ(world.router.CandidateCount(RouterWorld::Model()), 4U);
  for (int i = 0; i < 20; ++i) {
    EXPECT_NE(world.router.Choose(world.now, world.Query()), group);
  }
  SECTION("listed again, it has its running requests and its cached prefixes")
  {
    world.Announce(group.Get());
    EXPECT_EQ(world.router.Load(RouterWorld::Model()).inFlight, 1);
    EXPECT_EQ(world.router.Choose(world.now, world.Query()), group);
    world.router.OnFinished(world.now, group, AttemptResult::kCompleted, {});
    EXPECT_EQ(world.router.Load(RouterWorld::Model()).inFlight, 0);
  }
  SECTION("a new epoch starts without them")
  {
    RouteCandidate formed = *world.router.Find(group);
    formed.epoch = Epoch(9);
    world.Send();
    world.router.Upsert(formed);
    EXPECT_EQ(world.router.CandidateCount(RouterWorld::Model()), 5U);
    EXPECT_EQ(world.router.Load(RouterWorld::Model()).inFlight, 0);
  }
}

// A group that fails every request quickly always has the least load, and must not keep getting
// requests because of it.
TEST(RouterFailure, AGroupThatFailsFastIsEjected)
{
  RouterWorld world(5);
  int failed = 0;
  for (int i = 0; i < 500; ++i) {
    world.now += milliseconds(10);
    const GroupId group = world.Send();
    if (group == GroupId(2)) {
      world.router.OnFinished(world.now, group, AttemptResult::kFailed, milliseconds(5));
      ++failed;
    }
  }
  EXPECT_LE(failed, 30);
  EXPECT_TRUE(world.router.IsEjected(world.now, GroupId(2)));
}

} // namespace
} // namespace gooseberrysail
