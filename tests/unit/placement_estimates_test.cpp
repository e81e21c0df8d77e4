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

TEST(PlacementEstimates, VmsThatNeverComeBackCountThoughNobodyReportsThem)
{
  // Symptom: the planner waits for dead VMs. Only returns were counted, and of outages that end
  // those that last are the fewest.
  ReturnTimes times(kMix, 10);
  const double before = times.StillAway(60, 600);
  for (int count = 0; count < 200; ++count) {
    times.AddAway(0, 20000, 1);
  }
  times.Refresh();
  EXPECT_GT(times.StillAway(60, 600), before);
  EXPECT_GT(times.StillAway(0, 60), 0.9);
}

TEST(PlacementEstimates, ADarkFabricDomainSaysNothingOfSingleVms)
{
  // Symptom: after one blip of a fabric domain the planner takes each lost VM for one that is back
  // in a moment. All of its VMs came back at once, and each of them counted.
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

TEST(PlacementEstimates, TheLastSpareIsTheDearest)
{
  EXPECT_GT(OutagesLeftOut(1, 1, 0.3), 5 * OutagesLeftOut(3, 1, 0.3));
  EXPECT_GT(OutagesLeftOut(4, 4, 0.3), OutagesLeftOut(4, 1, 0.3));
  EXPECT_DOUBLE_EQ(OutagesLeftOut(3, 0, 0.3), 0);
}

TEST(PlacementEstimates, EachFurtherWarmSpareIsWorthLess)
{
  const double first = WorthOfWarm(1, 100) - WorthOfWarm(0, 100);
  const double second = WorthOfWarm(2, 100) - WorthOfWarm(1, 100);
  EXPECT_GT(first, second);
  EXPECT_GT(second, 0);
  EXPECT_LT(first, 100);
}

TEST(PlacementEstimates, WaitingIsWorthItWhileTheReturnIsNear)
{
  Outlook outlook;
  outlook.rate = 1;
  outlook.patienceLeft = 1000;
  for (std::size_t step = 0; step < kSteps; ++step) {
    outlook.down[step] = StepTimes()[step] < 10 ? 0.9 : 0.1;
  }
  EXPECT_LT(CostOfWaiting(outlook, 100, 0, 1), 100) << "nine in ten are back after 10 s";
  EXPECT_LT(CostOfWaiting(outlook, 100, 0, 1), CostOfWaiting(outlook));
  outlook.down.fill(0.99);
  EXPECT_GT(CostOfWaiting(outlook, 100, 0, 1), 99) << "then waiting only adds to the cost";
  SECTION("beyond the operator's patience, only for good")
  {
    outlook.patienceLeft = 0;
    EXPECT_DOUBLE_EQ(CostOfWaiting(outlook, 100, 0, 1), CostOfWaiting(outlook));
  }
}

} // namespace
} // namespace gooseberrysail::impl
