#include "gooseberrysail/gateway/recent_minimum.hpp"
#include "gooseberrysail/serving/prompt_suspects.hpp"
#include "support/section.hpp"

#include <string>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;

constexpr RequestFingerprint kPart{ 1, 2 };
constexpr RequestFingerprint kOther{ 3, 4 };
constexpr TimePoint kStart{ 1h };

TargetIncarnation Target(int number)
{
  return { InstanceId("t" + std::to_string(number)), Incarnation(1) };
}

/// \brief Attempts of 200 ms, each sent when the one before has crashed.
void Crash(PromptSuspects& suspects, const RequestFingerprint& part, int first, int count)
{
  for (int number = first; number < first + count; ++number) {
    const TimePoint sent = kStart + number * 200ms;
    suspects.RecordCrash(part, Target(number), { sent, sent + 200ms });
  }
}

TEST(PromptSuspects, HoldsAPartAfterSuccessiveCrashes)
{
  PromptSuspects suspects;
  Crash(suspects, kPart, 0, 2);
  EXPECT_FALSE(suspects.IsHeld(kPart));
  SECTION("a third target")
  {
    PromptSuspects third = suspects;
    Crash(third, kPart, 2, 1);
    EXPECT_TRUE(third.IsHeld(kPart));
  }
  SECTION("the same target once more")
  {
    PromptSuspects same = suspects;
    Crash(same, kPart, 1, 1);
    EXPECT_FALSE(same.IsHeld(kPart));
  }
  SECTION("attempts that overlap with another may have the same other cause")
  {
    PromptSuspects overlapping = suspects;
    const TimePoint sent = kStart + 300ms;
    overlapping.RecordCrash(kPart, Target(7), { sent, sent + 100ms });
    EXPECT_FALSE(overlapping.IsHeld(kPart));
  }
  SECTION("an answer that began in between, and went on")
  {
    PromptSuspects proven = suspects;
    EXPECT_TRUE(proven.RecordProof(kStart + 1s, kPart, kStart + 250ms));
    Crash(proven, kPart, 2, 1);
    EXPECT_FALSE(proven.IsHeld(kPart));
  }
  SECTION("an answer that began before says nothing")
  {
    PromptSuspects before = suspects;
    EXPECT_FALSE(before.RecordProof(kStart + 1s, kPart, kStart + 100ms));
    Crash(before, kPart, 2, 1);
    EXPECT_TRUE(before.IsHeld(kPart));
  }
}

TEST(PromptSuspects, ReleasesBystandersOfAnotherPart)
{
  PromptSuspects suspects;
  Crash(suspects, kPart, 0, 3);
  Crash(suspects, kOther, 0, 3);
  EXPECT_EQ(suspects.Held().size(), 2U);
  Crash(suspects, kPart, 3, 1);
  EXPECT_TRUE(suspects.IsHeld(kPart));
  EXPECT_FALSE(suspects.IsHeld(kOther));
}

TEST(PromptSuspects, TriesAHeldPartMoreAndMoreSeldom)
{
  PromptSuspects suspects;
  Crash(suspects, kPart, 0, 3);
  const TimePoint latest = kStart + 600ms;
  EXPECT_EQ(suspects.TrialDueAt(kPart), latest + PromptSuspects::kFirstTrialAfter);
  suspects.RecordCrash(kPart, Target(10), { latest + 2s, latest + 3s, true });
  EXPECT_EQ(suspects.TrialDueAt(kPart),
            latest + 3s + PromptSuspects::kTrialFactor * PromptSuspects::kFirstTrialAfter);
  EXPECT_TRUE(suspects.RecordProof(latest + 20s, kPart, latest + 19s));
  EXPECT_FALSE(suspects.IsHeld(kPart));
}

TEST(PromptSuspects, MergesRowsInAnyOrder)
{
  const TimePoint now = kStart + 1s;
  PromptSuspects crashes;
  Crash(crashes, kPart, 0, 3);
  PromptSuspects proofs;
  Crash(proofs, kPart, 1, 1);
  proofs.RecordProof(now, kPart, now);
  const auto send = [&](const PromptSuspects& from, PromptSuspects& to) {
    bool hasChanged = false;
    for (const wire::PromptSuspectT& row : from.ListChanged(now, 0, 1)) {
      hasChanged = to.Merge(now, row) || hasChanged;
    }
    return hasChanged;
  };
  SECTION("crashes, then the proof")
  {
    PromptSuspects table;
    EXPECT_TRUE(send(crashes, table));
    EXPECT_TRUE(table.IsHeld(kPart));
    EXPECT_FALSE(send(crashes, table));
    EXPECT_TRUE(send(proofs, table));
    EXPECT_FALSE(table.IsHeld(kPart));
  }
  SECTION("the proof, then crashes before it")
  {
    PromptSuspects table;
    send(proofs, table);
    EXPECT_FALSE(send(crashes, table));
    EXPECT_FALSE(table.IsHeld(kPart));
  }
  SECTION("a cleared row is told as long as it was once suspected")
  {
    EXPECT_EQ(proofs.ListChanged(now, 0, 1).size(), 1U);
    EXPECT_EQ(proofs.SequenceOf(1), proofs.Sequence());
  }
}

TEST(PromptSuspects, ForgetsWhatIsOldOrTooMuch)
{
  PromptSuspects suspects;
  Crash(suspects, kPart, 0, 3);
  Crash(suspects, kOther, 0, 1);
  SECTION("old")
  {
    PromptSuspects old = suspects;
    old.RemoveExpired(kStart + PromptSuspects::kRetention + 1s);
    EXPECT_EQ(old.Find(kOther), nullptr);
    EXPECT_TRUE(old.IsHeld(kPart));
    old.RemoveExpired(kStart + PromptSuspects::kHeldRetention + 1s);
    EXPECT_FALSE(old.IsHeld(kPart));
  }
  SECTION("too much: those with the fewest crashes go first")
  {
    for (std::uint64_t number = 0; number < 2 * PromptSuspects::kMaxRows; ++number) {
      suspects.RecordCrash({ number, 9 }, Target(1), { kStart, kStart + 1s });
    }
    EXPECT_TRUE(suspects.IsHeld(kPart));
    EXPECT_LE(suspects.ListChanged(kStart + 1s, 0, 0).size(), PromptSuspects::kMaxRows);
  }
}

TEST(RecentMinimum, ForgetsAfterTwoWindows)
{
  RecentMinimum minimum;
  EXPECT_FALSE(minimum.Get(kStart).has_value());
  minimum.Add(kStart, 30ms);
  minimum.Add(kStart, 50ms);
  minimum.Add(kStart + RecentMinimum::kWindow, 40ms);
  EXPECT_EQ(minimum.Get(kStart + RecentMinimum::kWindow), std::optional<Duration>(30ms));
  EXPECT_EQ(minimum.Get(kStart + 2 * RecentMinimum::kWindow), std::optional<Duration>(40ms));
  EXPECT_FALSE(minimum.Get(kStart + 5 * RecentMinimum::kWindow).has_value());
}

} // namespace
} // namespace gooseberrysail
