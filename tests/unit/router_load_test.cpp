#include "support/routing.hpp"
#include "support/section.hpp"

namespace gooseberrysail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::RouterWorld;

// A group reported no load, and then its reports stopped arriving while its peers report thirty
// requests each. If the old report were used unchanged, the group would get all new requests.
TEST(RouterLoad, AnOldReportOfAnIdleGroupDoesNotAttractAllRequests)
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

// A report describes the past, so own requests must be subtracted as of that time. Otherwise own
// requests count twice, or other senders' requests disappear when own requests end.
TEST(RouterLoad, OwnRequestsAreNotCountedAgainInReports)
{
  RouterWorld world(1);
  const GroupId group(1);
  for (int i = 0; i < 5; ++i) {
    world.router.OnSent(world.now, group, world.Query());
  }
  world.now += seconds(1);
  SECTION("a report that includes the five own requests")
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

// When a report shows a group without load, several entries act on the same outdated value. If each
// sent all its new requests there until the next report, first tokens would be slow at one group
// after the other.
TEST(RouterLoad, OneReportDoesNotAttractAllRequests)
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

// A group that refuses requests has no load. Without a back-off it would be chosen again and again,
// and would refuse each request.
TEST(RouterLoad, ARefusingGroupIsBackedOff)
{
  RouterWorld world(2);
  world.router.OnSent(world.now, GroupId(1), world.Query());
  world.router.OnFinished(world.now, GroupId(1), AttemptResult::kRefused, {});
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(world.Send(), GroupId(2));
  }
  SECTION("then it is tried again")
  {
    world.now += seconds(1);
    EXPECT_EQ(world.Send(), GroupId(1));
  }
}

} // namespace
} // namespace gooseberrysail
