#include "adversary/dispatcher_schedule.hpp"
#include "gooseberrysail/cli/read_file.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrysail::adversary {
namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr std::uint64_t kSchedules = 4'000;
#else
constexpr std::uint64_t kSchedules = 100'000;
#endif
constexpr std::uint64_t kFirstSeed = 1;
constexpr std::size_t kMostReported = 5;

/// \brief The number of schedules in GOOSEBERRYSAIL_SCHEDULES, or kSchedules; 0 if it is invalid.
std::uint64_t CountSchedules()
{
  const char* given = std::getenv("GOOSEBERRYSAIL_SCHEDULES");
  if (given == nullptr) {
    return kSchedules;
  }
  const std::string_view text = given;
  std::uint64_t count = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
  return error == std::errc() && end == text.data() + text.size() ? count : 0;
}

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
  const std::uint64_t schedules = CountSchedules();
  ASSERT_GT(schedules, 0U) << "GOOSEBERRYSAIL_SCHEDULES is no number of schedules";
  std::set<const Row*> drawn;
  std::map<std::string, std::uint64_t> firstSeeds; ///< By promise.
  std::size_t reported = 0;
  std::uint64_t broken = 0;
  std::chrono::duration<double> took{};
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + schedules; ++seed) {
    Choices choices(seed);
    const auto begin = std::chrono::steady_clock::now();
    const Outcome outcome = PlayDispatcher(choices);
    took += std::chrono::steady_clock::now() - begin;
    drawn.insert(choices.DrawnRows().begin(), choices.DrawnRows().end());
    for (const std::string& violation : outcome.violations) {
      firstSeeds.emplace(violation.substr(violation.find(": ") + 2), seed);
    }
    if (!outcome.violations.empty()) {
      ++broken;
      if (reported++ < kMostReported) {
        Report(seed, choices.Recorded());
      }
    }
  }
  std::cout << schedules << " schedules from seed " << kFirstSeed << ", " << broken
            << " broken; rows drawn: " << drawn.size() << " of " << AllRows().size() << "; "
            << static_cast<std::uint64_t>(static_cast<double>(schedules) / took.count())
            << " schedules a second\n";
  for (const auto& [promise, seed] : firstSeeds) {
    std::cout << "first broken by seed " << seed << ": " << promise << "\n";
  }
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

constexpr std::array kElementNames{ "status",      "statement",    "answered id",  "seal",
                                    "framing",     "pieces",       "end",          "delay",
                                    "connection",  "retry after",  "limit",        "leaving",
                                    "second copy", "repeat",       "max attempts", "deadline",
                                    "patience",    "request body", "list",         "clock" };

std::vector<std::vector<std::string>> RowsOfPage()
{
  constexpr std::string_view kLine = "|---";
  const auto page = ReadWholeFile(GOOSEBERRYSAIL_SOURCE_DIR "/docs/design/adversary.md");
  if (!page) {
    return {};
  }
  std::istringstream lines(page.value());
  std::string line;
  while (std::getline(lines, line) && !line.starts_with(kLine)) {
  }
  std::vector<std::vector<std::string>> rows;
  while (std::getline(lines, line) && line.starts_with("| ")) {
    std::vector<std::string> cells;
    for (std::size_t from = 2, bar = line.find(" |", from); bar != std::string::npos;
         from = bar + 3, bar = line.find(" |", std::min(from, line.size()))) {
      cells.push_back(line.substr(from, bar - from));
    }
    rows.push_back(std::move(cells));
  }
  return rows;
}

bool IsTest(const std::string& name)
{
  const testing::UnitTest& tests = *testing::UnitTest::GetInstance();
  for (int suite = 0; suite < tests.total_test_suite_count(); ++suite) {
    const testing::TestSuite& known = *tests.GetTestSuite(suite);
    for (int test = 0; test < known.total_test_count(); ++test) {
      if (known.name() + ("." + std::string(known.GetTestInfo(test)->name())) == name) {
        return true;
      }
    }
  }
  return false;
}

// Guards against a page that describes other rows than those that schedules draw.
TEST(Adversary, ItsPageHasTheRowsOfItsTable)
{
  const std::vector<std::vector<std::string>> written = RowsOfPage();
  ASSERT_EQ(written.size(), AllRows().size());
  for (std::size_t number = 0; number < written.size(); ++number) {
    const Row& row = AllRows()[number];
    const std::vector<std::string>& cells = written[number];
    SECTION(std::string(row.peer) + ": " + row.conduct)
    {
      ASSERT_EQ(cells.size(), 6U);
      EXPECT_EQ(cells[0], kElementNames.at(static_cast<std::size_t>(row.element)));
      EXPECT_EQ(cells[1], std::to_string(row.value));
      EXPECT_EQ(cells[2], row.peer);
      EXPECT_EQ(cells[3], row.conduct);
      EXPECT_FALSE(cells[4].empty());
      const std::string& shown = cells[5];
      const std::string name =
        shown.substr(std::min<std::size_t>(1, shown.size()), shown.find('`', 1) - 1);
      EXPECT_TRUE(shown == "no" || shown == "soak" || IsTest(name)) << shown;
    }
  }
}

} // namespace
} // namespace gooseberrysail::adversary
