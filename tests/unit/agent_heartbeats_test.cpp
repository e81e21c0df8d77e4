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

// Symptom: a member that died half a minute ago counts as present.
// Sequence: its reply waits in a buffer, of a frozen process or a slow path, and is read late.
// Cause: the time at which a reply is read says nothing about when it was true.
TEST(BeatTable, ABeatCountsFromWhenItWasAsked)
{
  BeatTable beats;
  beats.Begin(TwoMembers());
  beats.OnAsked(kStart, 1);
  beats.OnAsked(kStart + seconds(30), 2);
  EXPECT_TRUE(beats.OnReply(VmId("vm-2"), 1, true, true, false));
  EXPECT_EQ(beats.Rows()[1].askedAt, kStart);
  SECTION("a later round counts more, and an earlier one read after it changes nothing")
  {
    EXPECT_TRUE(beats.OnReply(VmId("vm-2"), 2, true, true, false));
    EXPECT_TRUE(beats.OnReply(VmId("vm-2"), 1, true, false, false));
    EXPECT_EQ(beats.Rows()[1].askedAt, kStart + seconds(30));
    EXPECT_TRUE(beats.Rows()[1].weightsLoaded);
  }
}

TEST(BeatTable, RepliesOfUnknownRoundsStrangersAndDeadEnginesDoNotCount)
{
  BeatTable beats;
  beats.Begin(TwoMembers());
  beats.OnAsked(kStart, 1);
  EXPECT_FALSE(beats.OnReply(VmId("vm-2"), 9, true, true, false));
  EXPECT_FALSE(beats.OnReply(VmId("vm-9"), 1, true, true, false));
  EXPECT_TRUE(beats.OnReply(VmId("vm-2"), 1, false, true, false));
  EXPECT_FALSE(beats.Rows()[1].askedAt.has_value());
}

TEST(BeatTable, ANewEpochStartsWithoutTheFormersBeats)
{
  BeatTable beats;
  beats.Begin(TwoMembers());
  beats.OnAsked(kStart, 1);
  EXPECT_TRUE(beats.OnReply(VmId("vm-2"), 1, true, true, false));
  beats.Begin(TwoMembers());
  EXPECT_FALSE(beats.Rows()[1].askedAt.has_value());
  EXPECT_FALSE(beats.OnReply(VmId("vm-2"), 1, true, true, false));
  EXPECT_TRUE(beats.Due(kStart));
}

TEST(NonceRing, RemembersTheLatestQuestionsOnly)
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
