#include "support/admission.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace gooseberrysail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::AdmissionFixture;

constexpr std::uint32_t kSlots = 100;

/// 100 slots and a service time of two seconds: when all slots are in use, 50 requests end per
/// second.
class AdmissionOverload : public ::testing::Test
{
protected:
  void SetUp() override
  {
    fixture.RecordServiceTime(seconds(2));
    fixture.admission.SetCapacity(AdmissionFixture::Model(), kSlots);
  }

  void Occupy(double inFlight)
  {
    fixture.admission.SetOccupancy(AdmissionFixture::Model(), inFlight);
  }

  AdmissionFixture fixture;
};

// Guards against callers that wait for half a minute and get no answer, while engines work on
// requests that have expired: more requests arrive than end, those that can't be served in time are
// admitted, and queues grow until each wait is longer than the deadline.
TEST_F(AdmissionOverload, RefusesEarlyWithTheExpectedWait)
{
  Occupy(kSlots * 0.5);
  EXPECT_TRUE(fixture.Decide().Admitted());

  Occupy(kSlots * 2);
  const AdmissionDecision refused = fixture.Decide();
  EXPECT_EQ(refused.reason, RefusalReason::kOverload);
  // 100 requests must end first; with 200 in flight, 100 end per second.
  EXPECT_GE(refused.retryAfter, milliseconds(700));
  EXPECT_LE(refused.retryAfter, milliseconds(1500));

  SECTION("a longer queue gives a longer Retry-After")
  {
    Occupy(kSlots * 8);
    EXPECT_GT(fixture.Decide().retryAfter, refused.retryAfter);
  }
  SECTION("a request whose deadline allows no wait is admitted only to a free slot")
  {
    fixture.deadline = seconds(1);
    Occupy(kSlots);
    EXPECT_FALSE(fixture.Decide().Admitted());
    Occupy(kSlots * 0.5);
    EXPECT_TRUE(fixture.Decide().Admitted());
  }
}

// Guards against interactive requests that wait behind batch work: batch work takes the last slots
// just before interactive work arrives, if all classes are admitted up to the same bound.
TEST_F(AdmissionOverload, LowerPriorityClassesAreRefusedFirst)
{
  const auto admitted = [&](PriorityClass priorityClass) {
    return fixture.Decide(AdmissionFixture::Registre(), priorityClass).Admitted();
  };
  SECTION("nearly full: batch work is refused")
  {
    Occupy(kSlots * 0.95);
    EXPECT_FALSE(admitted(PriorityClass::kBatch));
    EXPECT_TRUE(admitted(PriorityClass::kStandard));
  }
  SECTION("a short queue: only interactive work is admitted")
  {
    Occupy(kSlots * 1.07);
    EXPECT_FALSE(admitted(PriorityClass::kStandard));
    EXPECT_TRUE(admitted(PriorityClass::kInteractive));
  }
}

// Guards against a small workspace that is always refused because a large one floods the model: the
// workspace that sends most requests takes each slot as it becomes free.
TEST_F(AdmissionOverload, AWorkspaceWithFewInFlightIsPreferredOverAFlood)
{
  const WorkspaceId large("large");
  const WorkspaceId small("small");
  Occupy(0);
  for (std::uint32_t i = 0; i < kSlots - 1; ++i) {
    ASSERT_TRUE(fixture.Decide(large).Admitted());
  }
  ASSERT_TRUE(fixture.Decide(small).Admitted());
  Occupy(kSlots * 1.07);
  EXPECT_FALSE(fixture.Decide(large).Admitted());
  EXPECT_TRUE(fixture.Decide(small).Admitted());
}

// Guards against synchronised retries: with a constant Retry-After, callers refused at one moment
// all retry at once, most are refused again, and slots are idle in between.
TEST_F(AdmissionOverload, RetriesAreSpreadOverTheServiceTime)
{
  Occupy(kSlots * 2);
  std::vector<Duration> returns;
  returns.reserve(200);
  for (int i = 0; i < 200; ++i) {
    returns.push_back(fixture.Decide().retryAfter);
  }
  std::map<std::int64_t, int> perSecond;
  for (const Duration after : returns) {
    ++perSecond[ToMillis(after) / 1000];
  }
  int most = 0;
  for (const auto& [second, count] : perSecond) {
    most = std::max(most, count);
  }
  EXPECT_LE(most, 60); // 50 to 100 requests end per second.
  std::ranges::sort(returns);
  EXPECT_EQ(std::ranges::adjacent_find(returns), returns.end());
  EXPECT_LE(returns.back(), AdmissionPolicy{}.maxRetryAfter * 5 / 4);
}

TEST_F(AdmissionOverload, WithoutOccupancyReportsOwnRequestsCount)
{
  AdmissionFixture alone;
  alone.RecordServiceTime(seconds(2));
  alone.admission.SetCapacity(AdmissionFixture::Model(), 10);
  int admitted = 0;
  for (int i = 0; i < 50; ++i) {
    admitted += alone.Decide().Admitted() ? 1 : 0;
  }
  EXPECT_GE(admitted, 10);
  EXPECT_LE(admitted, 12);
}

TEST_F(AdmissionOverload, ARequestThatDidNotRunAddsNoServiceTime)
{
  Occupy(kSlots * 2);
  const Duration before = fixture.Decide().retryAfter;
  Occupy(0);
  for (int i = 0; i < 50; ++i) {
    ASSERT_TRUE(fixture.Decide().Admitted());
    fixture.Finish(AdmissionFixture::Registre(), Duration{}, 0);
  }
  Occupy(kSlots * 2);
  fixture.now += seconds(60);
  EXPECT_GE(fixture.Decide().retryAfter, before / 2);
}

} // namespace
} // namespace gooseberrysail
