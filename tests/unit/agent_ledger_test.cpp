#include "gooseberrysail/agent/held_output.hpp"
#include "gooseberrysail/agent/ledger.hpp"
#include "support/section.hpp"

namespace gooseberrysail {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

AttemptKey Key(std::uint64_t sequence, const std::string& incarnation = "entry-1.17")
{
  return AttemptKey{ RequestId(incarnation + "." + std::to_string(sequence)), 1 };
}

// A request ran and its record was evicted; then its entry, disconnected for long, seals it. A
// missing record must not be taken for a request that never ran.
TEST(RequestLedger, NoOutcomeIsReportedForEvictedRecords)
{
  RequestLedger ledger({ .maxRecords = 3 });
  for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
    ledger.Record(kStart, Key(sequence), AttemptOutcome::kStarted);
  }
  EXPECT_EQ(ledger.Size(), 3U);
  EXPECT_FALSE(ledger.Find(Key(2)).has_value());
  EXPECT_TRUE(ledger.MayHaveEvicted(Key(2).request));
  EXPECT_EQ(ledger.Find(Key(5)), AttemptOutcome::kStarted);
  EXPECT_FALSE(ledger.MayHaveEvicted(Key(6).request));
  SECTION("another incarnation of the entry is not affected")
  {
    EXPECT_FALSE(ledger.MayHaveEvicted(Key(1, "entry-1.18").request));
  }
}

TEST(RequestLedger, RecordsAreEvictedByAge)
{
  RequestLedger ledger({ .maxRecords = 100, .retention = std::chrono::minutes(10) });
  ledger.Record(kStart, Key(1), AttemptOutcome::kNeverStarted);
  ledger.Expire(kStart + std::chrono::minutes(10));
  EXPECT_EQ(ledger.Size(), 1U);
  ledger.Expire(kStart + std::chrono::minutes(11));
  EXPECT_EQ(ledger.Size(), 0U);
  EXPECT_TRUE(ledger.MayHaveEvicted(Key(1).request));
}

TEST(RequestLedger, TheFirstOutcomeIsFinal)
{
  RequestLedger ledger;
  ledger.Record(kStart, Key(1), AttemptOutcome::kNeverStarted);
  ledger.Record(kStart, Key(1), AttemptOutcome::kStarted);
  EXPECT_EQ(ledger.Find(Key(1)), AttemptOutcome::kNeverStarted);
}

TEST(RequestLedger, UnknownIncarnationsMayBeEvictedOnceTheLimitIsReached)
{
  RequestLedger ledger({ .maxRecords = 1, .maxOrigins = 2 });
  for (int incarnation = 1; incarnation <= 4; ++incarnation) {
    ledger.Record(
      kStart, Key(1, "entry-1." + std::to_string(incarnation)), AttemptOutcome::kStarted);
  }
  EXPECT_TRUE(ledger.MayHaveEvicted(Key(9, "entry-1.3").request));
  EXPECT_FALSE(ledger.MayHaveEvicted(Key(9, "entry-1.1").request));
}

TEST(HeldOutput, ReadsFromEveryOffsetThatIsNotAcknowledged)
{
  HeldOutput output;
  output.Begin(200, {});
  output.Append("0123456789");
  EXPECT_EQ(output.Acknowledge(4), 4U);
  EXPECT_EQ(output.FirstOffset(), 4U);
  EXPECT_EQ(output.Read(4, 3), "456");
  EXPECT_EQ(output.Read(9, 100), "9");
  EXPECT_EQ(output.Read(2, 1), "");
  EXPECT_EQ(output.Acknowledge(7), 3U);
  EXPECT_EQ(output.Read(7, 100), "789");
  output.TruncateTo(8);
  EXPECT_EQ(output.EndOffset(), 8U);
  EXPECT_EQ(output.Acknowledge(100), 1U) << "an offset beyond the end frees what is there";
  EXPECT_EQ(output.HeldBytes(), 0U);
}

} // namespace
} // namespace gooseberrysail
