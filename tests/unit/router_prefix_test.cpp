#include "routing/prefix_index.hpp"
#include "support/routing.hpp"
#include "support/section.hpp"

#include <algorithm>

namespace gooseberrysail {
namespace {

using impl::CacheFeed;
using impl::PrefixIndex;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::RouterWorld;

constexpr impl::Slot kSlot = 1;

class PrefixIndexTest : public ::testing::Test
{
protected:
  float Confidence(std::span<const std::uint64_t> hashes)
  {
    PrefixIndex::Matches matches;
    const std::size_t count = index.Find(now, hashes, feeds, matches);
    float best = 0;
    for (std::size_t i = 0; i < count; ++i) {
      best = matches[i].slot == kSlot ? std::max(best, matches[i].confidence) : best;
    }
    return best;
  }

  void Report(std::uint64_t sequence,
              std::span<const std::uint64_t> added,
              std::span<const std::uint64_t> removed,
              bool reset = false)
  {
    index.OnReport(now, kSlot, feeds[kSlot], sequence, added, removed, reset);
  }

  RouterPolicy policy;
  PrefixIndex index{ policy };
  std::vector<CacheFeed> feeds{ 2 };
  TimePoint now{ std::chrono::hours(1) };
  std::vector<std::uint64_t> prompt{ 101, 102, 103, 104 };
};

// If a lost batch of events contained a removal, nothing would erase the record, and prompts would
// still be sent to the group for a prefix that it evicted long ago.
TEST_F(PrefixIndexTest, AGapInTheEventsReducesConfidenceInOlderRecords)
{
  Report(1, prompt, {});
  EXPECT_GT(Confidence(prompt), 0.95F);
  now += seconds(1);
  Report(5, {}, {});
  EXPECT_LT(Confidence(prompt), 0.6F);
  EXPECT_GT(Confidence(prompt), 0.3F);
  SECTION("a record confirmed again has its full weight")
  {
    now += seconds(1);
    Report(6, prompt, {});
    EXPECT_GT(Confidence(prompt), 0.95F);
  }
}

// Cache events arrive late. If a removal from before a conversation's first turn erased the newer
// record of that turn, the second turn would go to another group and be prefilled again.
TEST_F(PrefixIndexTest, ALateRemovalKeepsRecordsOfLaterRequests)
{
  index.OnSent(now, kSlot, prompt);
  now += milliseconds(700);
  Report(1, {}, prompt);
  EXPECT_GT(Confidence(prompt), 0.8F);
  SECTION("a removal that must be newer does")
  {
    now += seconds(5);
    Report(2, {}, prompt);
    EXPECT_EQ(Confidence(prompt), 0);
  }
}

// The same, where two batches arrive in the wrong order.
TEST_F(PrefixIndexTest, ABatchOutOfOrderKeepsRecordsOfTheOneAfterIt)
{
  Report(1, {}, {});
  now += milliseconds(100);
  Report(3, prompt, {});
  now += seconds(4);
  Report(2, {}, prompt);
  EXPECT_GT(Confidence(prompt), 0.9F);
}

TEST_F(PrefixIndexTest, AResetClearsTheRecordsOfTheGroup)
{
  Report(1, prompt, {});
  now += seconds(1);
  Report(1, {}, {}, true);
  EXPECT_EQ(Confidence(prompt), 0);
}

// With a record for each prompt, a caller that sends a million different prompts would exhaust the
// entry's memory.
TEST_F(PrefixIndexTest, MemoryStaysFixedAndTheLatestRecordsAreKept)
{
  const std::size_t before = index.Bytes();
  std::mt19937_64 random(3);
  std::vector<std::uint64_t> other(4);
  for (int i = 0; i < 250000; ++i) {
    std::ranges::generate(other, std::ref(random));
    index.OnSent(now, kSlot, other);
    now += milliseconds(20);
  }
  EXPECT_EQ(index.Bytes(), before);
  EXPECT_GT(Confidence(other), 0.5F);
}

TEST(RouterPrefix, SendsAPromptWhereItsPrefixIsCached)
{
  RouterWorld world(10);
  world.prompt = { 1, 2, 3, 4, 5, 6, 7, 8 };
  const GroupId first = world.Send();
  world.Run(seconds(3), 0);
  world.prompt = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 };
  EXPECT_EQ(world.Send(), first);

  SECTION("a new group in the same slot has no cached prefixes")
  {
    world.router.Remove(first);
    world.Announce(20);
    int chosen = 0;
    for (int i = 0; i < 30; ++i) {
      chosen += world.router.Choose(world.now, world.Query()) == GroupId(20) ? 1 : 0;
    }
    EXPECT_LT(chosen, 15);
  }
}

// Every prompt begins with the same long instructions, which one group has in its cache. If the
// saved prefill outweighed any load, that group would be overloaded while its peers are idle.
TEST(RouterPrefix, ACommonPrefixCausesNoHotSpot)
{
  RouterWorld world(10);
  for (std::uint64_t block = 1; block <= 64; ++block) {
    world.prompt.push_back(block * 7919);
  }
  world.Run(seconds(20), 30);
  EXPECT_LE(world.peak, 10U); // The mean is 3.
}

} // namespace
} // namespace gooseberrysail
