#include "support/routing.hpp"
#include "support/section.hpp"

namespace gooseberrysail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::RouterWorld;

// Symptom: a request fails twice though two thirds of the groups are well.
// Sequence: its failure domain goes dark; the retry goes to the neighbour, which is just as dark.
// Cause: the nearest and least loaded groups are those of the domain that failed.
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
  SECTION("unless there is no other")
  {
    for (const std::uint64_t gone : { 1, 2, 4, 5, 7, 8 }) {
      world.router.Remove(GroupId(gone));
    }
    EXPECT_TRUE(world.router.Choose(world.now, retry).has_value());
  }
}

// Symptom: a third of the new requests wait for a timeout until control has noticed.
// Sequence: a failure domain goes dark at once; its groups seem to have less and less in flight.
// Cause: each group is found dead by itself, at the price of a request.
TEST(RouterFailure, ADarkDomainIsLeftOutAsAWhole)
{
  RouterWorld world(30);
  world.Run(seconds(10), 100);
  const auto isDark = [](std::uint64_t group) { return group % 3 == 2; };
  // The connection is given up after a second and a half of silence.
  world.answerTime = [&](std::uint64_t group) {
    return isDark(group) ? Duration(milliseconds(1500)) : Duration(seconds(1));
  };
  world.answer = [&](std::uint64_t group) {
    return isDark(group) ? AttemptResult::kFailed : AttemptResult::kCompleted;
  };
  std::erase_if(world.reporting, isDark);
  const auto sentThere = [&] {
    std::uint32_t count = 0;
    for (const auto& [group, sent] : world.sent) {
      count += isDark(group) ? sent : 0;
    }
    return count;
  };
  world.Run(seconds(2), 100);
  world.sent.clear();
  world.Run(seconds(5), 100);
  EXPECT_LE(sentThere(), 2U);

  SECTION("and used again when it reports again")
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

// Symptom: load on the network and the agents trebles just when nothing works.
// Sequence: every attempt fails at once; every request retries as often as it may.
// Cause: retries are bounded for each request, not for all of them.
TEST(RouterFailure, TotalFailureMakesNoRetryStorm)
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

// Symptom: slow first tokens for seconds after each repair.
// Sequence: a repaired group comes back empty, with a cold cache; every new request goes there.
// Cause: it has the least in flight until it has caught up with the others.
TEST(RouterFailure, AReturningGroupStartsSlowly)
{
  RouterWorld world(9);
  world.answerTime = [](std::uint64_t) { return seconds(4); };
  world.Run(seconds(20), 50);
  world.Announce(10);
  world.sent.clear();
  world.Run(seconds(1), 50);
  EXPECT_LE(world.sent[10], 6U); // Unbounded it would get about 22.

  SECTION("and carries its part in the end")
  {
    world.Run(seconds(20), 50);
    EXPECT_GE(world.inFlight[10], 12U);
  }
}

// Symptom: after each lost connection a group is overfilled and its cached prefixes are forgotten.
// Sequence: the connection to its agent dies and is replaced; the answers go on over the new one.
// Cause: a group off the list is taken for a group that ended.
TEST(RouterFailure, AGroupThatComesBackIsTheSameGroup)
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
  SECTION("back on the list with what still runs there and its cache")
  {
    world.Announce(group.Get());
    EXPECT_EQ(world.router.Load(RouterWorld::Model()).inFlight, 1);
    EXPECT_EQ(world.router.Choose(world.now, world.Query()), group);
    world.router.OnFinished(world.now, group, AttemptResult::kCompleted, {});
    EXPECT_EQ(world.router.Load(RouterWorld::Model()).inFlight, 0);
  }
  SECTION("a new epoch is a new start")
  {
    RouteCandidate formed = *world.router.Find(group);
    formed.epoch = Epoch(9);
    world.Send();
    world.router.Upsert(formed);
    EXPECT_EQ(world.router.CandidateCount(RouterWorld::Model()), 5U);
    EXPECT_EQ(world.router.Load(RouterWorld::Model()).inFlight, 0);
  }
}

// Symptom: a group that cuts every answer keeps getting requests.
// Sequence: its failures are fast, so it always has the least in flight.
// Cause: failing fast looks like being free.
TEST(RouterFailure, AGroupThatFailsFastIsLeftOut)
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
