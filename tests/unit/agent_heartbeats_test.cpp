#include "gooseberrysail/agent/heartbeats.hpp"
#include "gooseberrysail/agent/nonce_ring.hpp"
#include "support/section.hpp"

namespace gooseberrysail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

Assignment TwoMembers()
{
  return Assignment{ GroupId(5),
                     Epoch(7),
                     EntryName("hire-assist"),
                     "2026-11",
                     VmId("vm-1"),
                     { { VmId("vm-1"), ProcessId("agent-vm-1"), "" },
                       { VmId("vm-2"), ProcessId("agent-vm-2"), "" } } };
}

// A reply may be read long after it was sent, because it was buffered on a slow path or while this
// process was frozen. If it counted from its arrival, a dead member would count as alive.
TEST(HeartbeatTable, AReplyCountsFromTheTimeOfItsRequest)
{
  HeartbeatTable heartbeats;
  heartbeats.Begin(TwoMembers());
  heartbeats.OnRequestSent(kStart, 1);
  heartbeats.OnRequestSent(kStart + seconds(30), 2);
  EXPECT_TRUE(heartbeats.OnReply(VmId("vm-2"), 1, true, true, false));
  EXPECT_EQ(heartbeats.Rows()[1].aliveAsOf, kStart);
  SECTION("a later reply replaces an earlier one, and a reply to an older request is ignored")
  {
    EXPECT_TRUE(heartbeats.OnReply(VmId("vm-2"), 2, true, true, false));
    EXPECT_TRUE(heartbeats.OnReply(VmId("vm-2"), 1, true, false, false));
    EXPECT_EQ(heartbeats.Rows()[1].aliveAsOf, kStart + seconds(30));
    EXPECT_TRUE(heartbeats.Rows()[1].weightsLoaded);
  }
}

TEST(HeartbeatTable, RepliesToUnknownRequestsOfNonMembersAndDeadEnginesDoNotCount)
{
  HeartbeatTable heartbeats;
  heartbeats.Begin(TwoMembers());
  heartbeats.OnRequestSent(kStart, 1);
  EXPECT_FALSE(heartbeats.OnReply(VmId("vm-2"), 9, true, true, false));
  EXPECT_FALSE(heartbeats.OnReply(VmId("vm-9"), 1, true, true, false));
  EXPECT_TRUE(heartbeats.OnReply(VmId("vm-2"), 1, false, true, false));
  EXPECT_FALSE(heartbeats.Rows()[1].aliveAsOf.has_value());
}

TEST(HeartbeatTable, ANewEpochStartsWithoutTheFormerReplies)
{
  HeartbeatTable heartbeats;
  heartbeats.Begin(TwoMembers());
  heartbeats.OnRequestSent(kStart, 1);
  EXPECT_TRUE(heartbeats.OnReply(VmId("vm-2"), 1, true, true, false));
  heartbeats.Begin(TwoMembers());
  EXPECT_FALSE(heartbeats.Rows()[1].aliveAsOf.has_value());
  EXPECT_FALSE(heartbeats.OnReply(VmId("vm-2"), 1, true, true, false));
  EXPECT_TRUE(heartbeats.Due(kStart));
}

TEST(NonceRing, KeepsOnlyTheLatestQueries)
{
  impl::NonceRing ring;
  EXPECT_FALSE(ring.SentAt(0).has_value());
  for (std::uint64_t nonce = 1; nonce <= 20; ++nonce) {
    ring.OnSent(kStart + milliseconds(nonce), nonce);
  }
  EXPECT_FALSE(ring.SentAt(1).has_value());
  EXPECT_EQ(ring.SentAt(20), kStart + milliseconds(20));
  EXPECT_FALSE(ring.Due(kStart + milliseconds(100), milliseconds(100)));
  EXPECT_TRUE(ring.Due(kStart + milliseconds(120), milliseconds(100)));
}

} // namespace
} // namespace gooseberrysail
