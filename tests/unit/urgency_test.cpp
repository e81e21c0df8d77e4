#include "gooseberrysail/gateway/wait_queue.hpp"
#include "support/loaded_entries.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using ::testing::ElementsAre;
using ::testing::IsEmpty;
using tests::CallerRecord;
using tests::LoadedEntries;

const ServedKind kLarge{ "assist", "large" };
constexpr Duration kObjective = 300ms;
constexpr QueueRank kUrgent{ 0 };
constexpr QueueRank kPatient{ 2 };

/// A queue of a model whose slots come free every 50 ms and whose first events arrive 100 ms after
/// sending, so that four requests can wait.
WaitQueue BusyQueue(TimePoint now)
{
  WaitQueue queue;
  for (int slot = 40; slot > 0; --slot) {
    queue.OnSlotFreed(now - 50ms * slot, kLarge);
    queue.OnFirstEvent(kLarge, 100ms);
  }
  return queue;
}

bool Enqueue(WaitQueue& queue, TimePoint now, std::uint64_t exchange, const QueueRank& rank)
{
  return queue.TryEnqueue(now, kLarge, ExchangeId(exchange), kObjective, std::nullopt, rank);
}

// Guards against less urgent requests that take the slots for which more urgent ones wait.
TEST(Urgency, DecidesTheOrderOfTheQueue)
{
  const TimePoint now{ 1h };
  WaitQueue queue = BusyQueue(now);
  ASSERT_TRUE(Enqueue(queue, now, 1, kPatient));
  ASSERT_TRUE(Enqueue(queue, now + 1ms, 2, kUrgent));
  EXPECT_EQ(queue.First(kLarge), ExchangeId(2));
  SECTION("a caller's retry goes before a first attempt of the same urgency only")
  {
    ASSERT_TRUE(Enqueue(queue, now + 2ms, 3, { 2, 500ms }));
    queue.Dequeue(ExchangeId(2));
    EXPECT_EQ(queue.First(kLarge), ExchangeId(3));
  }
}

// Guards against a request that goes on waiting in vain when more urgent ones have come before it.
TEST(Urgency, RequestsThatCanNoLongerBeInTimeAreRefusedAtOnce)
{
  const TimePoint now{ 1h };
  WaitQueue queue = BusyQueue(now);
  ASSERT_TRUE(Enqueue(queue, now, 1, kPatient));
  for (std::uint64_t exchange = 2; exchange <= 4; ++exchange) {
    ASSERT_TRUE(Enqueue(queue, now, exchange, kUrgent));
  }
  EXPECT_THAT(queue.TakeDisplaced(), ElementsAre(ExchangeId(1)));
  EXPECT_FALSE(Enqueue(queue, now, 5, kPatient));
  SECTION("but none of equal urgency")
  {
    EXPECT_TRUE(Enqueue(queue, now, 6, { 0, 500ms })); // It is first, and delays the others.
    EXPECT_THAT(queue.TakeDisplaced(), IsEmpty());
  }
}

// Guards against requests that are never served because more urgent ones alone exceed the capacity.
TEST(Urgency, OneOfFourSlotsGoesToTheLessUrgent)
{
  const TimePoint now{ 1h };
  WaitQueue queue = BusyQueue(now);
  ASSERT_TRUE(Enqueue(queue, now, 1, kPatient));
  std::vector<ExchangeId> served;
  for (std::uint64_t exchange = 2; exchange <= 9; ++exchange) {
    queue.OnSlotFreed(now, kLarge);
    Enqueue(queue, now, exchange, kUrgent);
    served.push_back(queue.First(kLarge));
    queue.Dequeue(served.back());
  }
  EXPECT_EQ(std::ranges::count(served, ExchangeId(1)), 1);
  EXPECT_EQ(served[3], ExchangeId(1));
}

/// Fraction of the requests of a route that were served.
double ServedPart(const LoadedEntries& world, const std::string& route)
{
  double all = 0;
  double served = 0;
  for (const CallerRecord& record : world.Records()) {
    all += record.route == route ? 1 : 0;
    served += record.route == route && record.isServed ? 1 : 0;
  }
  return served / all;
}

LoadedEntries::Options TwoKinds(std::uint32_t priorityOfA, std::uint32_t priorityOfB)
{
  LoadedEntries::Options options;
  options.entries = 4;
  options.headPaces = { 1, 1, 1 };
  options.priorityOfA = priorityOfA;
  options.priorityOfB = priorityOfB;
  return options;
}

/// Two kinds of requests of one model at 1.5 times its capacity, half of them of each kind.
void Overload(LoadedEntries& world)
{
  const double perSecond = 1.5 * LoadedEntries::CapacityOf(674, 130, 3);
  for (const char* route : { "/a/", "/b/" }) {
    CallerRecord request;
    request.route = route;
    request.promptTokens = 674;
    request.outputTokens = 130;
    world.AskSteadily(request, perSecond / 2, 15s);
  }
  world.Run(25s);
}

// Guards against refusals that hit urgent and less urgent requests alike.
TEST(Urgency, LessUrgentRequestsAreRefusedFirst)
{
  LoadedEntries world(TwoKinds(0, 2));
  Overload(world);
  EXPECT_GT(ServedPart(world, "/a/"), ServedPart(world, "/b/") + 0.1);
  SECTION("and are still served at a quarter of the average rate")
  {
    const double average = (ServedPart(world, "/a/") + ServedPart(world, "/b/")) / 2;
    EXPECT_GT(ServedPart(world, "/b/"), average / 4);
  }
}

// Guards against requests that are not served at all, because more urgent ones alone exceed the
// capacity.
TEST(Urgency, LessUrgentRequestsAreServedWhereTheOthersExceedTheCapacity)
{
  LoadedEntries world(TwoKinds(0, 2));
  CallerRecord request;
  request.promptTokens = 674;
  request.outputTokens = 130;
  const double capacity = LoadedEntries::CapacityOf(674, 130, 3);
  request.route = "/a/";
  world.AskSteadily(request, 1.5 * capacity, 15s);
  request.route = "/b/";
  world.AskSteadily(request, 0.5 * capacity, 15s);
  world.Run(25s);
  const double average = (3 * ServedPart(world, "/a/") + ServedPart(world, "/b/")) / 4;
  EXPECT_GT(ServedPart(world, "/b/"), average / 4);
}

// Guards against a preference where the configuration states none.
TEST(Urgency, EqualUrgenciesAreServedAlike)
{
  LoadedEntries world(TwoKinds(1, 1));
  Overload(world);
  EXPECT_NEAR(ServedPart(world, "/a/"), ServedPart(world, "/b/"), 0.05);
}

} // namespace
} // namespace gooseberrysail
