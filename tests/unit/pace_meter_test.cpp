#include "gooseberrysail/gateway/pace_meter.hpp"
#include "gooseberrysail/gateway/target_board.hpp"
#include "support/section.hpp"

#include <gtest/gtest.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{ 1h };

/// Events of several streams at each step of `step`; the time of the last.
TimePoint Feed(PaceMeter& meter, TimePoint now, Duration step, int steps)
{
  for (int i = 0; i < steps; ++i) {
    now += step;
    meter.OnBytes(now);
    meter.OnBytes(now + 1ms);
    meter.OnBytes(now + 2ms);
  }
  return now;
}

TEST(PaceMeter, TellsTheTimeOfAStepWhateverTheNumberOfStreams)
{
  PaceMeter meter;
  EXPECT_EQ(meter.Step(kStart), Duration::zero());
  meter.OnBusy(kStart);
  const TimePoint now = Feed(meter, kStart, 50ms, 10);
  EXPECT_NEAR(static_cast<double>(ToMillis(meter.Step(now))), 49, 2);
  SECTION("one long step is no slow target")
  {
    const TimePoint later = Feed(meter, now, 200ms, 1);
    EXPECT_LT(meter.Step(later), 100ms);
  }
  SECTION("six are")
  {
    const TimePoint later = Feed(meter, now, 600ms, 6);
    EXPECT_GT(meter.Step(later), 400ms);
    SECTION("and it is tried again after some seconds")
    {
      EXPECT_LT(meter.Step(later + 4s), 50ms);
    }
  }
  SECTION("idle time is not counted")
  {
    PaceMeter idle;
    idle.OnBusy(kStart);
    const TimePoint end = Feed(idle, kStart, 50ms, 10);
    idle.OnBusy(end + 900ms);
    idle.OnBytes(end + 950ms);
    EXPECT_LT(idle.Step(end + 950ms), 60ms);
  }
}

// Symptom: half of the answers are late although one of two heads is idle half of the time.
// Sequence: one head becomes slow; its requests stay long, and new ones follow whenever one ends.
// Cause: heads were compared by the number of requests alone.
TEST(TargetBoard, ASlowHeadGetsLittleWork)
{
  std::uint64_t random = 0;
  TargetBoard board(FailureDomainId("a"), [&] { return random++; });
  const InstanceId sound("sound");
  const InstanceId slow("slow");
  board.Replace(std::vector<ServedTarget>{
    { sound, "assist", "1:1", FailureDomainId("a"), 34, false, "large" },
    { slow, "assist", "2:2", FailureDomainId("a"), 34, false, "large" } });
  const std::set<InstanceId> none;
  TimePoint now = kStart;
  board.OnSent(now, { sound, {} });
  board.OnSent(now, { slow, {} });
  for (int step = 0; step < 24; ++step) {
    now += 50ms;
    board.OnBytes(now, { sound, {} });
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
