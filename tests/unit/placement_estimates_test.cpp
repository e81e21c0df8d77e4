#include "placement/group_forecast.hpp"
#include "support/placement_tables.hpp"
#include "support/section.hpp"

#include <gtest/gtest.h>

namespace gooseberrysail::impl {
namespace {

using namespace std::chrono_literals;

constexpr std::array<OutageKind, 2> kMix{ { { 0.5, 10, 1 }, { 0.5, 10000, 0 } } };

TEST(PlacementEstimates, ALongAbsenceMakesAReturnLessLikely)
{
  const ReturnTimes times(kMix, 10);
  EXPECT_LT(times.StillAway(0, 20), 0.65);
  EXPECT_GT(times.StillAway(100, 20), 0.95);
  EXPECT_GT(times.KeepsWeights(1), 0.95);
  EXPECT_LT(times.KeepsWeights(1000), 0.05);
}

TEST(PlacementEstimates, ObservedReturnsOutweighTheAssumption)
{
  ReturnTimes times(kMix, 10);
  const double before = times.StillAway(0, 30);
  for (int count = 0; count < 200; ++count) {
    times.AddAway(0, 5, 1);
    times.AddReturn(5, true, 1);
  }
  times.Refresh();
  EXPECT_LT(times.StillAway(0, 30), 0.1);
  EXPECT_LT(times.StillAway(0, 30), before);
}

TEST(PlacementEstimates, VmsThatNeverReturnCountAsAway)
{
  // Guards against a planner that waits for VMs that never return, as it would if only finished
  // outages were counted: long outages are rare among those.
  ReturnTimes times(kMix, 10);
  const double before = times.StillAway(60, 600);
  for (int count = 0; count < 200; ++count) {
    times.AddAway(0, 20000, 1);
  }
  times.Refresh();
  EXPECT_GT(times.StillAway(60, 600), before);
  EXPECT_GT(times.StillAway(0, 60), 0.9);
}

TEST(PlacementEstimates, AFabricDomainOutageLeavesTheSingleVmEstimateUnchanged)
{
  // Guards against a planner that expects every lost VM back shortly after one short outage of a
  // fabric domain. The cause would be to count the return of each of its VMs as a single outage.
  test::PlacementTables tables;
  tables.AddVms("fabric-a", "a", 40);
  History history;
  const auto observe = [&] {
    tables.now += 1s;
    history.Observe(tables.now, { tables.vms, {}, {}, nullptr });
  };
  observe();
  const double alone = history.Times(OutageSpan::kAlone).StillAway(0, 60);
  const double whole = history.Times(OutageSpan::kWhole).StillAway(0, 60);
  for (int vm = 0; vm < 40; ++vm) {
    tables.Lose("a" + std::to_string(vm));
    if (vm % 20 == 19) {
      observe();
    }
  }
  for (int second = 0; second < 20; ++second) {
    observe();
  }
  for (int vm = 0; vm < 40; ++vm) {
    tables.Return("a" + std::to_string(vm));
  }
  observe();
  EXPECT_NEAR(history.Times(OutageSpan::kAlone).StillAway(0, 60), alone, 0.02);
  EXPECT_LT(history.Times(OutageSpan::kWhole).StillAway(0, 60), whole);
}

TEST(PlacementEstimates, AnOutageCountsWhileItLasts)
{
  test::PlacementTables tables;
  tables.AddVms("fabric-a", "a", 2);
  History history;
  const auto observe = [&](Duration step) {
    tables.now += step;
    history.Observe(tables.now, { tables.vms, {}, {}, nullptr });
  };
  observe(1s);
  tables.Lose("a0");
  observe(1s);
  const double before = history.Times(OutageSpan::kAlone).StillAway(3600, 3600);
  observe(48h);
  EXPECT_GT(history.Times(OutageSpan::kAlone).StillAway(3600, 3600), before + 0.02);
}

TEST(PlacementEstimates, TheLastSpareCostsMost)
{
  EXPECT_GT(AddedUncoveredOutages(1, 1, 0.3), 5 * AddedUncoveredOutages(3, 1, 0.3));
  EXPECT_GT(AddedUncoveredOutages(4, 4, 0.3), AddedUncoveredOutages(4, 1, 0.3));
  EXPECT_DOUBLE_EQ(AddedUncoveredOutages(3, 0, 0.3), 0);
}

TEST(PlacementEstimates, EachFurtherWarmSpareIsWorthLess)
{
  const double first = WarmSpareValue(1, 100) - WarmSpareValue(0, 100);
  const double second = WarmSpareValue(2, 100) - WarmSpareValue(1, 100);
  EXPECT_GT(first, second);
  EXPECT_GT(second, 0);
  EXPECT_LT(first, 100);
}

TEST(PlacementEstimates, WaitingIsWorthItWhileTheReturnIsNear)
{
  GroupForecast forecast;
  forecast.costPerSecond = 1;
  forecast.patienceLeft = 1000;
  for (std::size_t step = 0; step < kSteps; ++step) {
    forecast.down[step] = StepTimes()[step] < 10 ? 0.9 : 0.1;
  }
  EXPECT_LT(CostOfWaiting(forecast, 100, 0, 1), 100) << "nine in ten are back after 10 s";
  EXPECT_LT(CostOfWaiting(forecast, 100, 0, 1), CostOfWaiting(forecast));
  forecast.down.fill(0.99);
  EXPECT_GT(CostOfWaiting(forecast, 100, 0, 1), 99) << "then waiting only adds to the cost";
  SECTION("the fallback is not taken once the patience has ended")
  {
    forecast.patienceLeft = 0;
    EXPECT_DOUBLE_EQ(CostOfWaiting(forecast, 100, 0, 1), CostOfWaiting(forecast));
  }
}

} // namespace
} // namespace gooseberrysail::impl
