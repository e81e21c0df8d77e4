#include "adversary/dispatcher_schedule.hpp"
#include "support/section.hpp"

#include <chrono>
#include <gtest/gtest.h>
#include <iostream>
#include <set>

namespace gooseberrysail::adversary {
namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr std::uint64_t kSchedules = 4'000;
#else
constexpr std::uint64_t kSchedules = 100'000;
#endif
constexpr std::uint64_t kFirstSeed = 1;
constexpr std::size_t kMostReported = 5;

void Report(std::uint64_t seed, const std::vector<std::uint32_t>& recorded)
{
  Choices shortest(Shorten(recorded));
  const Outcome outcome = PlayDispatcher(shortest, Trace::kWritten);
  std::string text = "seed " + std::to_string(seed) + ", shortened:\n";
  for (const std::string& line : outcome.trace) {
    text += "  " + line + "\n";
  }
  for (const std::string& violation : outcome.violations) {
    text += "  broken: " + violation + "\n";
  }
  ADD_FAILURE() << text;
}

// Guards against promises that a dispatcher breaks when its peers do anything that the protocol
// allows.
TEST(Adversary, FindsNoBrokenPromiseOfADispatcher)
{
  std::set<const Row*> drawn;
  std::size_t reported = 0;
  std::uint64_t broken = 0;
  std::chrono::duration<double> took{};
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSchedules; ++seed) {
    Choices choices(seed);
    const auto begin = std::chrono::steady_clock::now();
    const Outcome outcome = PlayDispatcher(choices);
    took += std::chrono::steady_clock::now() - begin;
    drawn.insert(choices.DrawnRows().begin(), choices.DrawnRows().end());
    if (!outcome.violations.empty()) {
      ++broken;
      if (reported++ < kMostReported) {
        Report(seed, choices.Recorded());
      }
    }
  }
  std::cout << kSchedules << " schedules from seed " << kFirstSeed << ", " << broken
            << " broken; rows drawn: " << drawn.size() << " of " << AllRows().size() << "; "
            << static_cast<std::uint64_t>(static_cast<double>(kSchedules) / took.count())
            << " schedules a second\n";
  EXPECT_EQ(broken, 0U);
  for (const Row& row : AllRows()) {
    EXPECT_TRUE(drawn.contains(&row)) << row.peer << ": " << row.conduct;
  }
}

// Guards against a recorded schedule that does something else when it is played again.
TEST(Adversary, PlaysRecordedChoicesAgain)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    SECTION("seed " + std::to_string(seed))
    {
      Choices drawn(seed);
      const Outcome first = PlayDispatcher(drawn, Trace::kWritten);
      Choices given(drawn.Recorded());
      EXPECT_EQ(PlayDispatcher(given, Trace::kWritten).trace, first.trace);
    }
  }
}

} // namespace
} // namespace gooseberrysail::adversary
