#include "gooseberrysail/control/control_list_feed.hpp"
#include "support/control_world.hpp"
#include "support/section.hpp"

#include <gtest/gtest.h>

namespace gooseberrysail {
namespace {

/// \brief How many control processes the answer to a query of the entry names.
std::size_t CountTold(tests::ControlWorld& world, ControlListFeed& feed, const std::string& entry)
{
  ControlContext context = world.Context();
  feed.OnQuery(context, ProcessId(entry));
  const std::vector<FrameOut> frames = world.TakeFrames();
  EXPECT_EQ(frames.size(), 1U) << "each query is answered";
  const wire::ServingStateT* state = frames.front().envelope->body.AsServingState();
  EXPECT_FALSE(state->leader);
  return state->controls.size();
}

// Guards against lists of all control processes in each answer of each of them to each entry.
TEST(ControlListFeed, TellsTheProcessesOnceAndAfterChanges)
{
  tests::ControlWorld world;
  world.controls = { { ProcessId("c1"), "c1:7100" }, { ProcessId("c2"), "c2:7100" } };
  ControlListFeed feed;
  EXPECT_EQ(CountTold(world, feed, "e1"), 2U);
  EXPECT_EQ(CountTold(world, feed, "e1"), 0U);
  EXPECT_EQ(CountTold(world, feed, "e2"), 2U);
  SECTION("after a change of their addresses")
  {
    world.controls[1].address = "c2:7200";
    EXPECT_EQ(CountTold(world, feed, "e1"), 2U);
    EXPECT_EQ(CountTold(world, feed, "e1"), 0U);
  }
  SECTION("after the connection was lost, which may have lost the list")
  {
    CountTold(world, feed, "e2");
    feed.OnPeerDown(ProcessId("e1"));
    EXPECT_EQ(CountTold(world, feed, "e1"), 2U);
    EXPECT_EQ(CountTold(world, feed, "e2"), 0U);
  }
}

} // namespace
} // namespace gooseberrysail
