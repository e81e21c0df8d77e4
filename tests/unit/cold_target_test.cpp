#include "fakes/fake_callers.hpp"
#include "support/section.hpp"

#include <gtest/gtest.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using fakes::FakeGateways;
using fakes::RunCallers;

constexpr Duration kColdTime = 3s;
constexpr double kColdPerSecond = 12;

/// The most requests that a cold target may get in a second: half above its rate, and five.
constexpr auto kAllowed = static_cast<std::size_t>(1.5 * kColdPerSecond + 5);

/// \brief Counts the requests at a head that is closed for a while and cold when it opens again.
std::size_t CountAfterOpening(std::size_t entries,
                              std::size_t heads,
                              std::size_t perSecond,
                              std::uint64_t seed)
{
  FakeGateways fleet(entries, heads, seed);
  RunCallers(fleet, 3s, perSecond);
  fleet.SetClosed("head-0", true);
  RunCallers(fleet, 3s, perSecond);
  const TimePoint opened = fleet.now;
  fleet.SetClosed("head-0", false);
  fleet.SetCold("head-0", kColdTime, kColdPerSecond);
  RunCallers(fleet, kColdTime, perSecond);
  return fleet.MostArrivals("head-0", opened, opened + kColdTime, 1s);
}

// Guards against a domain whose targets crash as it is used again: all entries see the cold heads
// empty at the same time and fill them at once.
TEST(ColdTarget, GetsNoMoreThanItTakes)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    EXPECT_LE(CountAfterOpening(5, 2, 100, seed), kAllowed) << "5 entries, seed " << seed;
    EXPECT_LE(CountAfterOpening(50, 8, 400, seed), kAllowed) << "50 entries, seed " << seed;
  }
}

TEST(ColdTarget, IsUsedWhileItIsColdAndAfterwards)
{
  FakeGateways fleet(5, 2, 1);
  RunCallers(fleet, 3s, 100);
  const TimePoint cold = fleet.now;
  fleet.SetCold("head-0", kColdTime, kColdPerSecond);
  RunCallers(fleet, kColdTime, 100);
  EXPECT_GE(fleet.CountArrivals("head-0", cold), 10U);
  const TimePoint warm = fleet.now;
  RunCallers(fleet, kColdTime, 100);
  EXPECT_GE(fleet.CountArrivals("head-0", warm), 50U);
}

// Guards against a target that counts as warm because a heartbeat from before it became cold
// arrives late.
TEST(ColdTarget, IsColdUntilTheLatestEndThatItStated)
{
  TargetTable table;
  const TimePoint start{ 1h };
  const auto hear = [&](TimePoint now, std::uint64_t sequence, Duration coldLeft) {
    TargetAnnouncement announcement;
    announcement.instance = InstanceId("i-1");
    announcement.born = Incarnation(5);
    announcement.sequence = sequence;
    announcement.coldLeft = coldLeft;
    return table.Update(now, announcement);
  };
  hear(start, 1, 0s);
  EXPECT_EQ(hear(start + 1s, 2, 3s), TargetTable::Change::kState);
  EXPECT_EQ(hear(start + 2s, 3, 2050ms), TargetTable::Change::kRefresh);
  EXPECT_EQ(hear(start + 3s, 4, 0s), TargetTable::Change::kRefresh);
  EXPECT_EQ(table.Find(InstanceId("i-1"))->coldUntil, start + 4s);
  SECTION("the end passes from control to entries as a time that is left")
  {
    ServedTarget target;
    target.instance = InstanceId("i-1");
    target.coldUntil = start + 4s;
    target.coldPerSecond = 36;
    const TimePoint elsewhere{ 5s };
    const ServedTarget read = FromWire(elsewhere, ToWire(start + 3s, target));
    EXPECT_EQ(read.coldUntil, elsewhere + 1s);
    EXPECT_EQ(read.coldPerSecond, 36);
    EXPECT_EQ(FromWire(elsewhere, ToWire(start + 4s, target)).coldUntil, TimePoint());
  }
}

} // namespace
} // namespace gooseberrysail
