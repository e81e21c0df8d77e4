#include "support/routing.hpp"
#include "support/section.hpp"

namespace gooseberrysail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::RouterWorld;

// Symptom: a busy group gets all new work.
// Sequence: it reported itself idle, then its reports stopped arriving; its peers report thirty
// each. Cause: the old report is taken for the present.
TEST(RouterLoad, AStaleReportOfAnIdleMomentDoesNotDrawAllWork)
{
  RouterWorld world(4);
  world.Report(1, 0, {});
  world.now += seconds(60);
  for (const std::uint64_t group : { 2, 3, 4 }) {
    world.Report(group, 30, {});
  }
  for (int i = 0; i < 20; ++i) {
    world.now += milliseconds(50);
    world.Send();
  }
  EXPECT_LE(world.sent[1], 9U);
}

// Symptom: groups with own work look twice as loaded, or others' work vanishes when own work ends.
// Sequence: five requests are sent; a report that counts them arrives after they ended.
// Cause: the report is of the past, the own count of now.
TEST(RouterLoad, OwnWorkIsNotCountedAgainInReports)
{
  RouterWorld world(1);
  const GroupId group(1);
  for (int i = 0; i < 5; ++i) {
    world.router.OnSent(world.now, group, world.Query());
  }
  world.now += seconds(1);
  SECTION("a report that includes the five")
  {
    world.Report(1, 5, milliseconds(100));
    static_cast<void>(world.router.Choose(world.now, world.Query()));
    EXPECT_NEAR(world.router.Load(RouterWorld::Model()).inFlight, 5, 0.01);
  }
  world.now += milliseconds(200);
  for (int i = 0; i < 5; ++i) {
    world.router.OnFinished(world.now, group, AttemptResult::kCompleted, {});
  }
  world.now += milliseconds(400);
  SECTION("a late report of the time before they ended")
  {
    world.Report(1, 5, milliseconds(500));
    static_cast<void>(world.router.Choose(world.now, world.Query()));
    EXPECT_NEAR(world.router.Load(RouterWorld::Model()).inFlight, 0, 0.01);
  }
}

// Symptom: bursts of slow first tokens travel over the groups in step with the reports.
// Sequence: one report says a group is empty; each of several entries sends it all its new work
// until the next report.
// Cause: every entry acts in full on the same delayed figure.
TEST(RouterLoad, OneReportDoesNotMoveAllWorkAtOnce)
{
  RouterWorld world(4);
  for (int report = 0; report < 20; ++report) {
    world.now += milliseconds(500);
    for (const std::uint64_t group : { 1, 2, 3, 4 }) {
      world.Report(group, 40, {});
    }
  }
  world.now += milliseconds(500);
  world.Report(1, 0, {});
  for (int i = 0; i < 20; ++i) {
    world.now += milliseconds(10);
    world.Send();
  }
  EXPECT_LE(world.sent[1], 10U);
}

// Symptom: a group whose gate is shut keeps getting requests, each refused.
// Sequence: it refuses one; the next choice falls on it again, since it has nothing in flight.
// Cause: least loaded and unusable look the same.
TEST(RouterLoad, ARefusingGroupIsLeftAloneForAWhile)
{
  RouterWorld world(2);
  world.router.OnSent(world.now, GroupId(1), world.Query());
  world.router.OnFinished(world.now, GroupId(1), AttemptResult::kRefused, {});
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(world.Send(), GroupId(2));
  }
  SECTION("then it is asked again")
  {
    world.now += seconds(1);
    EXPECT_EQ(world.Send(), GroupId(1));
  }
}

} // namespace
} // namespace gooseberrysail
