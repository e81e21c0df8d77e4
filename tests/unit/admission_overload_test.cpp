#include "support/admission.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace gooseberrysail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::AdmissionWorld;

constexpr std::uint32_t kSlots = 100;

/// Slots all taken, answers of two seconds, so 50 end each second.
class AdmissionOverload : public ::testing::Test
{
protected:
  void SetUp() override
  {
    world.Learn(seconds(2));
    world.admission.SetCapacity(AdmissionWorld::Model(), kSlots);
  }

  void Occupy(double inFlight) { world.admission.SetOccupancy(AdmissionWorld::Model(), inFlight); }

  AdmissionWorld world;
};

// Symptom: callers wait for half a minute and then get nothing, while engines work on answers
// that nobody waits for any more.
// Sequence: more arrives than ends; queues grow until each wait is longer than the deadline.
// Cause: what can't be served in time was let in.
TEST_F(AdmissionOverload, RefusesEarlyAndTellsWhenThereIsRoom)
{
  Occupy(kSlots * 0.5);
  EXPECT_TRUE(world.Decide().Admitted());

  Occupy(kSlots * 2);
  const AdmissionDecision refused = world.Decide();
  EXPECT_EQ(refused.reason, RefusalReason::kOverload);
  // A hundred must end first, at a hundred a second while two hundred are in flight.
  EXPECT_GE(refused.retryAfter, milliseconds(700));
  EXPECT_LE(refused.retryAfter, milliseconds(1500));

  SECTION("a longer queue, a later return")
  {
    Occupy(kSlots * 8);
    EXPECT_GT(world.Decide().retryAfter, refused.retryAfter);
  }
  SECTION("a request whose deadline allows no wait gets in only on a free slot")
  {
    world.deadline = seconds(1);
    Occupy(kSlots);
    EXPECT_FALSE(world.Decide().Admitted());
    Occupy(kSlots * 0.5);
    EXPECT_TRUE(world.Decide().Admitted());
  }
}

// Symptom: a foreman waits behind nightly summaries.
// Sequence: batch work fills the last slots just before interactive work arrives.
// Cause: all classes are let in up to the same bound.
TEST_F(AdmissionOverload, LessUrgentClassesGiveWayFirst)
{
  const auto admitted = [&](PriorityClass priorityClass) {
    return world.Decide(AdmissionWorld::Registre(), priorityClass).Admitted();
  };
  SECTION("nearly full: batch work leaves room")
  {
    Occupy(kSlots * 0.95);
    EXPECT_FALSE(admitted(PriorityClass::kBatch));
    EXPECT_TRUE(admitted(PriorityClass::kStandard));
  }
  SECTION("a short queue: only interactive work joins it")
  {
    Occupy(kSlots * 1.07);
    EXPECT_FALSE(admitted(PriorityClass::kStandard));
    EXPECT_TRUE(admitted(PriorityClass::kInteractive));
  }
}

// Symptom: a small team gets refusals all day because a large one floods the model.
// Sequence: the large workspace takes each slot as it comes free.
// Cause: whoever asks most often gets what there is.
TEST_F(AdmissionOverload, AWorkspaceWithLittleInFlightGoesBeforeAFlood)
{
  const WorkspaceId large("large");
  const WorkspaceId small("small");
  Occupy(0);
  for (std::uint32_t i = 0; i < kSlots - 1; ++i) {
    ASSERT_TRUE(world.Decide(large).Admitted());
  }
  ASSERT_TRUE(world.Decide(small).Admitted());
  Occupy(kSlots * 1.07);
  EXPECT_FALSE(world.Decide(large).Admitted());
  EXPECT_TRUE(world.Decide(small).Admitted());
}

// Symptom: a wave of callers returns each second, most are refused again, and slots lie idle in
// between.
// Sequence: many are refused at one moment and told the same time.
// Cause: Retry-After is a constant.
TEST_F(AdmissionOverload, ReturnsAreSpreadOverTheTimeThatServingThemTakes)
{
  Occupy(kSlots * 2);
  std::vector<Duration> returns;
  returns.reserve(200);
  for (int i = 0; i < 200; ++i) {
    returns.push_back(world.Decide().retryAfter);
  }
  std::map<std::int64_t, int> perSecond;
  for (const Duration after : returns) {
    ++perSecond[ToMillis(after) / 1000];
  }
  int most = 0;
  for (const auto& [second, count] : perSecond) {
    most = std::max(most, count);
  }
  EXPECT_LE(most, 60); // 50 to 100 end in a second.
  std::ranges::sort(returns);
  EXPECT_EQ(std::ranges::adjacent_find(returns), returns.end());
  EXPECT_LE(returns.back(), AdmissionPolicy{}.mostRetryAfter * 5 / 4);
}

TEST_F(AdmissionOverload, WithoutReportsOwnRequestsCount)
{
  AdmissionWorld alone;
  alone.Learn(seconds(2));
  alone.admission.SetCapacity(AdmissionWorld::Model(), 10);
  int admitted = 0;
  for (int i = 0; i < 50; ++i) {
    admitted += alone.Decide().Admitted() ? 1 : 0;
  }
  EXPECT_GE(admitted, 10);
  EXPECT_LE(admitted, 12);
}

TEST_F(AdmissionOverload, ARequestThatDidNotRunTeachesNoServiceTime)
{
  Occupy(kSlots * 2);
  const Duration before = world.Decide().retryAfter;
  Occupy(0);
  for (int i = 0; i < 50; ++i) {
    ASSERT_TRUE(world.Decide().Admitted());
    world.Finish(AdmissionWorld::Registre(), Duration{}, 0);
  }
  Occupy(kSlots * 2);
  world.now += seconds(60);
  EXPECT_GE(world.Decide().retryAfter, before / 2);
}

} // namespace
} // namespace gooseberrysail
