#include "gooseberrysail/admission/caller_retries.hpp"
#include "gooseberrysail/admission/retry_places.hpp"
#include "support/loaded_entries.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <gmock/gmock.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using tests::CallerRecord;
using tests::LoadedEntries;

constexpr std::size_t kWaiting = 3;

/// \brief Places of an entry at which a request begins each 50 ms.
RetryPlaces BusyPlaces(TimePoint now)
{
  RetryPlaces places;
  for (int request = 400; request > 0; --request) {
    places.OnFirstEvent(now - 50ms * request);
  }
  return places;
}

// Guards against callers who come back together and are refused again.
TEST(RetryPlaces, AreTakenAtTheRateOfFreeSlots)
{
  const TimePoint now{ 1h };
  RetryPlaces places = BusyPlaces(now);
  std::vector<Duration> told;
  for (int caller = 0; caller < 10; ++caller) {
    told.push_back(places.Next(now, kWaiting, 8s).value());
  }
  // Three requests wait, and one begins each 50 ms.
  EXPECT_NEAR(static_cast<double>(ToMillis(told.front())), 200, 10);
  SECTION("of which half are left to first attempts")
  {
    EXPECT_NEAR(static_cast<double>(ToMillis(told.back() - told.front())), 900, 50);
  }
  SECTION("but no caller is told more than a third of its time left")
  {
    for (int caller = 0; caller < 100; ++caller) {
      EXPECT_LE(places.Next(now, kWaiting, 6s).value(), 2s);
    }
  }
}

// Guards against a time to come back at which the caller's deadline has passed.
TEST(RetryPlaces, NoneIsToldToACallerWhoseTimeIsOverBefore)
{
  const TimePoint now{ 1h };
  RetryPlaces places = BusyPlaces(now);
  EXPECT_FALSE(places.Next(now, kWaiting, 100ms));
  EXPECT_TRUE(places.Next(now, kWaiting, 700ms));
}

TEST(RetryPlaces, NeedAKnownRate)
{
  const TimePoint now{ 1h };
  EXPECT_FALSE(RetryPlaces().IsKnown(now));
  EXPECT_TRUE(BusyPlaces(now).IsKnown(now));
  EXPECT_FALSE(BusyPlaces(now).IsKnown(now + 10s));
}

// Guards against callers' retries that are taken for first attempts, and the other way round.
TEST(CallerRetries, AreToldByTheirTimeLeft)
{
  const TimePoint now{ 1h };
  CallerRetries retries;
  EXPECT_FALSE(retries.Observe(now, "draft", 8s));
  EXPECT_TRUE(retries.Observe(now, "draft", 7600ms));
  EXPECT_FALSE(retries.Observe(now, "draft", 7950ms));
  EXPECT_FALSE(retries.Observe(now, "other", 6s));
  SECTION("the usual time left is that of the last seconds")
  {
    EXPECT_TRUE(retries.Observe(now + 6s, "draft", 6s));
    EXPECT_FALSE(retries.Observe(now + 20s, "draft", 6s));
  }
}

LoadedEntries::Options Entries(std::size_t count, bool usesPlaces)
{
  LoadedEntries::Options options;
  options.entries = count;
  options.headPaces = { 1, 1, 1 };
  options.setUp = [usesPlaces](Dispatcher& dispatcher) { dispatcher.SetRetryPlaces(usesPlaces); };
  return options;
}

struct Outcome
{
  double servedOfRetries = 0; ///< Of those who came back when they were told.
  double served = 0;
  double inTime = 0;
};

/// Two thirds of the capacity, and `factor` times as much for eight seconds.
Outcome PlaySurge(std::size_t entries, bool usesPlaces, double factor)
{
  LoadedEntries world(Entries(entries, usesPlaces));
  CallerRecord request;
  request.promptTokens = 674;
  request.outputTokens = 130;
  const double perSecond = LoadedEntries::CapacityOf(674, 130, 3) * 2 / 3;
  world.AskSteadily(request, perSecond, 25s);
  world.Run(8s);
  world.AskSteadily(request, perSecond * (factor - 1), 8s);
  world.Run(30s);
  Outcome outcome;
  double retries = 0;
  for (const CallerRecord& record : world.Records()) {
    retries += record.hasWaited ? 1 : 0;
    outcome.servedOfRetries += record.hasWaited && record.isServed ? 1 : 0;
    outcome.served += record.isServed ? 1 : 0;
    outcome.inTime += record.IsInTime(LoadedEntries::kObjective) ? 1 : 0;
  }
  outcome.servedOfRetries /= std::max(retries, 1.0);
  outcome.served /= static_cast<double>(world.Records().size());
  outcome.inTime /= static_cast<double>(world.Records().size());
  return outcome;
}

// Guards against callers who come back at the time that they were told and are refused again.
TEST(RetryPlaces, CallersWhoComeBackWhenToldAreServed)
{
  for (const std::size_t entries : { 1U, 4U, 14U }) {
    for (const double factor : { 3.0, 6.0 }) {
      const Outcome fixed = PlaySurge(entries, false, factor);
      const Outcome places = PlaySurge(entries, true, factor);
      EXPECT_GT(places.servedOfRetries, 0.8) << entries << " entries, " << factor << " times";
      EXPECT_GE(places.served, fixed.served) << entries << " entries, " << factor << " times";
    }
  }
}

} // namespace
} // namespace gooseberrysail
