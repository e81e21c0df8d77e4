#include "support/routing.hpp"
#include "support/section.hpp"

namespace gooseberrysail {
namespace {

using std::chrono::seconds;
using testing::RouterWorld;

constexpr std::uint64_t kStraggler = 4;

// A group whose accelerator throttles gives correct answers that take six times as long. By its
// number of requests in flight alone it could not be distinguished from the others.
TEST(RouterStraggler, IsEjectedAndReturnsWithASlowStart)
{
  RouterWorld world(10);
  world.Run(seconds(10), 50);
  EXPECT_FALSE(world.router.IsEjected(world.now, GroupId(kStraggler)));

  world.answerTime = [](std::uint64_t group) { return seconds(group == kStraggler ? 6 : 1); };
  SECTION("ejected once its answer times are known")
  {
    bool ejected = false;
    for (int i = 0; i < 10; ++i) {
      world.Run(seconds(1), 50);
      ejected = ejected || world.router.IsEjected(world.now, GroupId(kStraggler));
    }
    EXPECT_TRUE(ejected);
  }
  SECTION("while it stays slow it gets few requests")
  {
    world.sent.clear();
    world.Run(seconds(30), 50);
    EXPECT_LT(world.sent[kStraggler], 30U); // An equal part would be 150.
  }
  SECTION("healthy again, it gets more and more requests, and in the end as many as the others")
  {
    world.answerTime = [](std::uint64_t) { return seconds(1); };
    world.Run(seconds(75), 50);
    EXPECT_FALSE(world.router.IsEjected(world.now, GroupId(kStraggler)));
    world.sent.clear();
    world.Run(seconds(10), 50);
    EXPECT_GT(world.sent[kStraggler], 30U);
  }
}

// An ejected group returns without requests in flight. If it got all new requests at once, it would
// be slow again within seconds.
TEST(RouterStraggler, ReturnsWithFewRequestsAtFirst)
{
  RouterWorld world(9);
  world.answerTime = [](std::uint64_t) { return seconds(4); };
  world.Run(seconds(10), 50);
  for (int i = 0; i < 3; ++i) {
    world.router.OnFinished(world.now, GroupId(kStraggler), AttemptResult::kFailed, {});
  }
  world.Run(std::chrono::milliseconds(200), 50);
  ASSERT_TRUE(world.router.IsEjected(world.now, GroupId(kStraggler)));
  while (world.router.IsEjected(world.now, GroupId(kStraggler))) {
    world.Run(std::chrono::milliseconds(100), 50);
  }
  world.sent.clear();
  world.Run(seconds(1), 50);

  EXPECT_LE(world.sent[kStraggler], 6U);
  EXPECT_GE(world.sent[kStraggler], 1U);
}

// An engine that hangs completes no further requests, so a mean over completed requests would stay
// good, and more and more requests would be sent there.
TEST(RouterStraggler, AnEngineThatHangsIsDetectedWithoutAnAnswer)
{
  RouterWorld world(10);
  world.Run(seconds(10), 50);
  world.answerTime = [](std::uint64_t group) {
    return group == kStraggler ? Duration(std::chrono::hours(9)) : Duration(seconds(1));
  };
  world.sent.clear();
  world.Run(seconds(10), 50);
  EXPECT_TRUE(world.router.IsEjected(world.now, GroupId(kStraggler)));
  EXPECT_LT(world.sent[kStraggler], 20U);
}

// Ejection is meant for single groups, not for a lack of capacity. If four slow groups of ten were
// all ejected, their load would overload the other six.
TEST(RouterStraggler, NoMoreThanAFractionIsEjected)
{
  RouterWorld world(10);
  world.Run(seconds(10), 50);
  world.answerTime = [](std::uint64_t group) { return seconds(group <= 4 ? 6 : 1); };
  world.Run(seconds(20), 50);
  std::size_t ejected = 0;
  for (std::uint64_t group = 1; group <= 10; ++group) {
    ejected += world.router.IsEjected(world.now, GroupId(group)) ? 1 : 0;
  }
  EXPECT_GE(ejected, 1U);
  EXPECT_LE(ejected, 2U);
}

} // namespace
} // namespace gooseberrysail
