#include "gooseberrysail/gateway/wait_queue.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using ::testing::ElementsAre;
using ::testing::IsEmpty;

const ServedKind kLarge{ "assist", "large" };
constexpr Duration kObjective = 300ms;

/// A queue of a model whose slots come free every 50 ms and whose first events arrive 100 ms after
/// sending.
WaitQueue BusyQueue(TimePoint now)
{
  WaitQueue queue;
  for (int slot = 40; slot > 0; --slot) {
    queue.OnSlotFreed(now - 50ms * slot, kLarge);
    queue.OnFirstEvent(kLarge, 100ms);
  }
  return queue;
}

TEST(WaitQueue, QueuesRequestsThatWillMeetTheirObjective)
{
  const TimePoint now{ 1h };
  WaitQueue queue = BusyQueue(now);
  SECTION("the wait covers the requests ahead and the request itself")
  {
    EXPECT_NEAR(static_cast<double>(ToMillis(*queue.ExpectedWait(now, kLarge))), 50, 10);
    EXPECT_TRUE(queue.TryEnqueue(now, kLarge, ExchangeId(1), kObjective));
    EXPECT_NEAR(static_cast<double>(ToMillis(*queue.ExpectedWait(now, kLarge))), 100, 20);
  }
  SECTION("only as long as leaves time for an answer within the objective")
  {
    EXPECT_TRUE(queue.TryEnqueue(now, kLarge, ExchangeId(2), kObjective));
    EXPECT_TRUE(queue.TryEnqueue(now, kLarge, ExchangeId(3), kObjective));
    EXPECT_FALSE(queue.TryEnqueue(now, kLarge, ExchangeId(4), kObjective));
    EXPECT_THAT(queue.TakeExpired(now + 199ms), IsEmpty());
    EXPECT_THAT(queue.TakeExpired(now + 201ms),
                ElementsAre(ExchangeId(1), ExchangeId(2), ExchangeId(3)));
    EXPECT_TRUE(queue.First(kLarge).IsNone());
  }
  SECTION("the request with the least time left is first")
  {
    EXPECT_TRUE(queue.TryEnqueue(now, kLarge, ExchangeId(5), kObjective));
    EXPECT_TRUE(queue.TryEnqueue(now, kLarge, ExchangeId(6), 250ms));
    EXPECT_EQ(queue.First(kLarge), ExchangeId(6));
    queue.Remove(ExchangeId(6));
    EXPECT_EQ(queue.First(kLarge), ExchangeId(5));
    EXPECT_THAT(queue.ListWaiting(), ElementsAre(kLarge));
  }
}

// When all groups of a model are stalled, no slots come free. The expected wait must not be based
// on slots that came free long ago, or callers would wait in vain.
TEST(WaitQueue, QueuesNothingWhenNoSlotsComeFree)
{
  const TimePoint now{ 1h };
  WaitQueue queue = BusyQueue(now);
  EXPECT_FALSE(queue.TryEnqueue(now + 5s, kLarge, ExchangeId(1), kObjective));
  EXPECT_FALSE(queue.TryEnqueue(now, { "assist", "small" }, ExchangeId(2), kObjective));
}

} // namespace
} // namespace gooseberrysail
