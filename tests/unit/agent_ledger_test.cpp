#include "gooseberrysail/agent/held_output.hpp"
#include "gooseberrysail/agent/ledger.hpp"
#include "support/section.hpp"

namespace gooseberrysail {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

AttemptKey Key(std::uint64_t sequence, const std::string& life = "entry-1.17")
{
  return AttemptKey{ RequestId(life + "." + std::to_string(sequence)), 1 };
}

// Symptom: a request that ran is told "not run".
// Sequence: it ran and was forgotten for the ledger's bound; its entry, cut off for long, seals it.
// Cause: an empty place in a bounded ledger looks like "never seen".
TEST(RequestLedger, WhatMayHaveBeenForgottenIsNeverClaimed)
{
  RequestLedger ledger({ .lines = 3 });
  for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
    ledger.Note(kStart, Key(sequence), Verdict::kStarted);
  }
  EXPECT_EQ(ledger.Size(), 3U);
  EXPECT_FALSE(ledger.Find(Key(2)).has_value());
  EXPECT_TRUE(ledger.MayHaveForgotten(Key(2).request));
  EXPECT_EQ(ledger.Find(Key(5)), Verdict::kStarted);
  EXPECT_FALSE(ledger.MayHaveForgotten(Key(6).request));
  SECTION("another life of the entry is not concerned")
  {
    EXPECT_FALSE(ledger.MayHaveForgotten(Key(1, "entry-1.18").request));
  }
}

TEST(RequestLedger, LinesAreForgottenByAge)
{
  RequestLedger ledger({ .lines = 100, .keepFor = std::chrono::minutes(10) });
  ledger.Note(kStart, Key(1), Verdict::kNeverStarted);
  ledger.Expire(kStart + std::chrono::minutes(10));
  EXPECT_EQ(ledger.Size(), 1U);
  ledger.Expire(kStart + std::chrono::minutes(11));
  EXPECT_EQ(ledger.Size(), 0U);
  EXPECT_TRUE(ledger.MayHaveForgotten(Key(1).request));
}

TEST(RequestLedger, TheFirstVerdictStands)
{
  RequestLedger ledger;
  ledger.Note(kStart, Key(1), Verdict::kNeverStarted);
  ledger.Note(kStart, Key(1), Verdict::kStarted);
  EXPECT_EQ(ledger.Find(Key(1)), Verdict::kNeverStarted);
}

TEST(RequestLedger, WithTooManyLivesNothingIsClaimedAboutUnknownOnes)
{
  RequestLedger ledger({ .lines = 1, .origins = 2 });
  for (int life = 1; life <= 4; ++life) {
    ledger.Note(kStart, Key(1, "entry-1." + std::to_string(life)), Verdict::kStarted);
  }
  EXPECT_TRUE(ledger.MayHaveForgotten(Key(9, "entry-1.3").request));
  EXPECT_FALSE(ledger.MayHaveForgotten(Key(9, "entry-1.1").request));
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
