#include "gooseberrysail/gateway/step_time_estimator.hpp"
#include "gooseberrysail/gateway/target_selector.hpp"
#include "support/section.hpp"

#include <gtest/gtest.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{ 1h };

/// Simulates the events of several streams at each step.
/// \returns The time of the last step.
TimePoint Feed(StepTimeEstimator& meter, TimePoint now, Duration step, int steps)
{
  for (int i = 0; i < steps; ++i) {
    now += step;
    meter.OnBytes(now);
    meter.OnBytes(now + 1ms);
    meter.OnBytes(now + 2ms);
  }
  return now;
}

TEST(StepTimeEstimator, EstimatesTheStepTimeForAnyNumberOfStreams)
{
  StepTimeEstimator meter;
  EXPECT_EQ(meter.Estimate(kStart), Duration::zero());
  meter.OnBusy(kStart);
  const TimePoint now = Feed(meter, kStart, 50ms, 10);
  EXPECT_NEAR(static_cast<double>(ToMillis(meter.Estimate(now))), 49, 2);
  SECTION("one long step does not mark the target as slow")
  {
    const TimePoint later = Feed(meter, now, 200ms, 1);
    EXPECT_LT(meter.Estimate(later), 100ms);
  }
  SECTION("six do")
  {
    const TimePoint later = Feed(meter, now, 600ms, 6);
    EXPECT_GT(meter.Estimate(later), 400ms);
    SECTION("and the estimate decays within seconds, so that it is tried again")
    {
      EXPECT_LT(meter.Estimate(later + 4s), 50ms);
    }
  }
  SECTION("idle time is not counted")
  {
    StepTimeEstimator idle;
    idle.OnBusy(kStart);
    const TimePoint end = Feed(idle, kStart, 50ms, 10);
    idle.OnBusy(end + 900ms);
    idle.OnBytes(end + 950ms);
    EXPECT_LT(idle.Estimate(end + 950ms), 60ms);
  }
}

// If heads were compared by the number of requests alone, a slow head would get a new request
// whenever one ends. Half of the answers would be late while the other of two heads is idle half of
// the time.
TEST(TargetSelector, ASlowHeadGetsFewRequests)
{
  std::uint64_t random = 0;
  TargetSelector board(FailureDomainId("a"), [&] { return random++; });
  const InstanceId healthy("sound");
  const InstanceId slow("slow");
  board.Replace(TimePoint{},
                std::vector<ServedTarget>{
                  { healthy, "assist", "1:1", FailureDomainId("a"), 34, false, "large" },
                  { slow, "assist", "2:2", FailureDomainId("a"), 34, false, "large" } });
  const std::set<InstanceId> none;
  TimePoint now = kStart;
  board.OnSent(now, { healthy, {} });
  board.OnSent(now, { slow, {} });
  for (int step = 0; step < 24; ++step) {
    now += 50ms;
    board.OnBytes(now, { healthy, {} });
    if (step % 6 == 5) {
      board.OnBytes(now, { slow, {} });
    }
  }
  int toSlow = 0;
  for (int request = 0; request < 10; ++request) {
    const ServedTarget* chosen = board.Choose(now, { "assist", "large", none });
    ASSERT_NE(chosen, nullptr);
    toSlow += chosen->instance == slow ? 1 : 0;
    board.OnSent(now, { chosen->instance, {} });
  }
  EXPECT_LE(toSlow, 3);
}

} // namespace
} // namespace gooseberrysail
