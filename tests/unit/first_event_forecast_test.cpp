#include "gooseberrysail/admission/first_event_forecast.hpp"
#include "gooseberrysail/gateway/head_forecasts.hpp"
#include "support/loaded_entries.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <gmock/gmock.h>
#include <limits>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using tests::CallerRecord;
using tests::LoadedEntries;

EngineSpec Engine()
{
  EngineSpec engine;
  engine.slots = 48;
  engine.stepTime = 6ms;
  engine.stepTimePerRequest = 100us;
  engine.tokensPerEvent = 5;
  engine.promptTokensPerSecond = 50'000;
  engine.promptTokensPerPass = 2000;
  return engine;
}

double Millis(Duration duration)
{
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Guards against a prediction that leaves out prompts ahead, or the decoding between them.
TEST(FirstEventForecast, CountsThePassesBeforeIt)
{
  SECTION("an idle head reads the prompt and writes an event")
  {
    EXPECT_NEAR(Millis(ForecastFirstEvent(Engine(), {}, 1000, 1).firstEvent), 20 + 30, 1);
  }
  SECTION("while others run, each pass that reads writes an event of theirs as well")
  {
    // Half of the present pass, 6000 tokens in three passes, and the pass of its event; a step
    // takes 8 ms.
    const EventForecast forecast = ForecastFirstEvent(Engine(), { 5000, 20 }, 1000, 1);
    EXPECT_NEAR(Millis(forecast.firstEvent), (40 + 40) / 2 + 120 + 3 * 40 + 40 + 40, 1);
    EXPECT_NEAR(Millis(forecast.pause), 40 + 40, 1);
  }
  SECTION("a slow head takes longer by its pace")
  {
    EXPECT_NEAR(Millis(ForecastFirstEvent(Engine(), {}, 1000, 4).firstEvent), 200, 1);
  }
  SECTION("without a limit of tokens all prompts are read in one pass")
  {
    EngineSpec engine = Engine();
    engine.promptTokensPerPass = 0;
    EXPECT_NEAR(Millis(ForecastFirstEvent(engine, { 5000, 20 }, 1000, 1).pause), 120 + 40, 1);
  }
}

// Guards against a slow head that keeps the pace of a sound one, or the other way round.
TEST(ObservedPace, FollowsTheObservations)
{
  const TimePoint now{ 1h };
  ObservedPace pace;
  for (int i = 0; i < 20; ++i) {
    pace.Observe(now, 100ms, 400ms);
  }
  EXPECT_NEAR(pace.At(now), 4, 0.1);
  SECTION("a head that was slow is tried again")
  {
    EXPECT_NEAR(pace.At(now + 2s), 2.5, 0.1);
    EXPECT_NEAR(pace.At(now + 20s), 1, 0.01);
  }
}

// Guards against an observation without sense that makes a head useless, or all others.
TEST(ObservedPace, IgnoresInvalidObservations)
{
  const TimePoint now{ 1h };
  ObservedPace pace;
  pace.Observe(now, 0ms, 100ms);
  pace.Observe(now, 100ms, 0ms);
  pace.Observe(now, 100ms, -5ms);
  pace.Observe(now, 100ms, 1100ms);
  EXPECT_EQ(pace.At(now), 1);
}

TargetIncarnation HeadOf(const std::string& name)
{
  return { InstanceId(name), {} };
}

// Guards against a pace that grows with each first event, because the pace that a prediction
// already holds is counted again.
TEST(HeadForecasts, ThePaceSettlesWhileManyAreUnderWay)
{
  HeadForecasts forecasts;
  const EngineSpec engine = Engine();
  const HeadForecasts::Prompt prompt{ engine, 1, 1000 };
  TimePoint now{ 1h };
  const auto forecast = [&] { return forecasts.Forecast(now, HeadOf("h"), 1, 0, prompt); };
  const EventForecast usual = ForecastFirstEvent(engine, {}, 1000, 1);
  std::deque<std::pair<TimePoint, ExchangeId>> due;
  for (std::uint64_t number = 1; number <= 100; ++number, now += 20ms) {
    while (!due.empty() && due.front().first <= now) {
      forecasts.OnFirstEvent(now, due.front().second);
      due.pop_front();
    }
    const EventForecast sent = forecast();
    forecasts.OnSent(now, ExchangeId(number), HeadOf("h"), 0, sent);
    due.emplace_back(now + 4 * usual.firstEvent, ExchangeId(number));
  }
  EXPECT_NEAR(forecast().firstEvent / usual.firstEvent, 4, 1);
}

struct Outcome
{
  double late = 0; ///< Part of the answers.
  double served = 0;
  double inTime = 0;
  double servedAtOnce = 0; ///< By the first attempt.
};

/// Prompts of 500 to 2,000 tokens at heads of which three in ten are four times slower, at this
/// many times their capacity.
Outcome Play(std::size_t entries, bool usesForecasts, double load)
{
  LoadedEntries::Options options;
  options.entries = entries;
  options.headPaces = { 4, 1, 1, 4, 1, 1, 4, 1, 1, 1 };
  options.setUp = [usesForecasts](Dispatcher& dispatcher) {
    dispatcher.SetForecasts(usesForecasts);
    dispatcher.SetRetryPlaces(true);
  };
  LoadedEntries world(options);
  constexpr std::array<std::uint32_t, 4> kPrompts{ 500, 1000, 1500, 2000 };
  const double heads = 7 + 3.0 / 4;
  for (const std::uint32_t prompt : kPrompts) {
    CallerRecord request;
    request.promptTokens = prompt;
    request.outputTokens = 100;
    const double perSecond = load * LoadedEntries::CapacityOf(1250, 100, heads) / kPrompts.size();
    world.AskSteadily(request, perSecond, 4s);
  }
  world.Run(10s);
  Outcome outcome;
  double served = 0;
  double inTime = 0;
  for (const CallerRecord& record : world.Records()) {
    served += record.isServed ? 1 : 0;
    inTime += record.IsInTime(LoadedEntries::kObjective) ? 1 : 0;
  }
  const auto all = static_cast<double>(world.Records().size());
  const auto atOnce =
    static_cast<double>(std::ranges::count_if(world.Records(), [](const CallerRecord& record) {
      return record.isServed && record.attempts == 1;
    }));
  return { 1 - inTime / served, served / all, inTime / all, atOnce / all };
}

constexpr std::array<std::size_t, 3> kEntryCounts{ 1, 5, 14 };

// Guards against heads that are filled by the number of requests, where most can only be late.
TEST(FirstEventForecast, MoreIsServedAndInTimeThanByCount)
{
  for (const std::size_t entries : kEntryCounts) {
    const Outcome byCount = Play(entries, false, 1.5);
    const Outcome predicted = Play(entries, true, 1.5);
    EXPECT_GE(predicted.served, byCount.served) << entries << " entries";
    EXPECT_GT(predicted.inTime, byCount.inTime) << entries << " entries";
  }
}

// Guards against heads that take more than they can answer in time.
TEST(FirstEventForecast, FewAnswersAreLateAtOneAndAHalfTimesTheCapacity)
{
  for (const std::size_t entries : kEntryCounts) {
    EXPECT_LT(Play(entries, true, 1.5).late, 0.1) << entries << " entries";
  }
}

// Guards against requests that are refused although heads have room.
TEST(FirstEventForecast, NoneIsRefusedAtHalfTheCapacity)
{
  for (const std::size_t entries : kEntryCounts) {
    EXPECT_GT(Play(entries, true, 0.5).servedAtOnce, 0.99) << entries << " entries";
  }
}

// Guards against slow heads that get work while others have room.
TEST(FirstEventForecast, FewAnswersAreLateAtHalfTheCapacity)
{
  for (const std::size_t entries : kEntryCounts) {
    EXPECT_LT(Play(entries, true, 0.5).late, 0.1) << entries << " entries";
  }
}

} // namespace
} // namespace gooseberrysail
