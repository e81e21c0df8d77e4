#include "gooseberrysail/gateway/waiting_line.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using ::testing::ElementsAre;
using ::testing::IsEmpty;

const ServedKind kLarge{ "assist", "large" };
constexpr Duration kObjective = 300ms;

/// A model of which a place comes free each 50 ms, and a first event comes 100 ms after the
/// sending.
WaitingLine BusyLine(TimePoint now)
{
  WaitingLine line;
  for (int place = 40; place > 0; --place) {
    line.OnRoom(now - 50ms * place, kLarge);
    line.OnFirstEvent(kLarge, 100ms);
  }
  return line;
}

TEST(WaitingLine, LetsThoseWaitWhoWillBeInTime)
{
  const TimePoint now{ 1h };
  WaitingLine line = BusyLine(now);
  SECTION("the wait is that of those before and one's own place")
  {
    EXPECT_NEAR(static_cast<double>(ToMillis(*line.ExpectedWait(now, kLarge))), 50, 10);
    EXPECT_TRUE(line.TryJoin(now, kLarge, ExchangeId(1), kObjective));
    EXPECT_NEAR(static_cast<double>(ToMillis(*line.ExpectedWait(now, kLarge))), 100, 20);
  }
  SECTION("no longer than leaves time for an answer within the objective")
  {
    EXPECT_TRUE(line.TryJoin(now, kLarge, ExchangeId(2), kObjective));
    EXPECT_TRUE(line.TryJoin(now, kLarge, ExchangeId(3), kObjective));
    EXPECT_FALSE(line.TryJoin(now, kLarge, ExchangeId(4), kObjective));
    EXPECT_THAT(line.TakeExpired(now + 199ms), IsEmpty());
    EXPECT_THAT(line.TakeExpired(now + 201ms),
                ElementsAre(ExchangeId(1), ExchangeId(2), ExchangeId(3)));
    EXPECT_TRUE(line.First(kLarge).IsNone());
  }
  SECTION("whoever has least time goes first")
  {
    EXPECT_TRUE(line.TryJoin(now, kLarge, ExchangeId(5), kObjective));
    EXPECT_TRUE(line.TryJoin(now, kLarge, ExchangeId(6), 250ms));
    EXPECT_EQ(line.First(kLarge), ExchangeId(6));
    line.Remove(ExchangeId(6));
    EXPECT_EQ(line.First(kLarge), ExchangeId(5));
    EXPECT_THAT(line.ListWaiting(), ElementsAre(kLarge));
  }
}

// Symptom: callers of a model whose groups all stand still wait for nothing. Sequence: no place
// came free for a while. Cause: the line was judged by what once was.
TEST(WaitingLine, NobodyWaitsWhereNoPlaceComesFree)
{
  const TimePoint now{ 1h };
  WaitingLine line = BusyLine(now);
  EXPECT_FALSE(line.TryJoin(now + 5s, kLarge, ExchangeId(1), kObjective));
  EXPECT_FALSE(line.TryJoin(now, { "assist", "small" }, ExchangeId(2), kObjective));
}

} // namespace
} // namespace gooseberrysail
