#include "gooseberrysail/control/refused_calls.hpp"
#include "support/section.hpp"

#include <gtest/gtest.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;

std::string FieldOf(const EventOut& event, const std::string& name)
{
  for (const auto& [field, value] : event.fields) {
    if (field == name) {
      return value;
    }
  }
  return "";
}

// Symptom: the log of control is full of one writer's entries, and what happened before is lost.
// Sequence: it sends what can't be read, many times a second. Cause: a line for each call.
TEST(RefusedCalls, OneLineASecondCountsThemAll)
{
  RefusedCalls refused;
  TimePoint now{ 1h };
  EXPECT_FALSE(refused.TakeReport(now).has_value());
  int lines = 0;
  int counted = 0;
  for (int call = 0; call < 3000; ++call) {
    refused.Note("i-" + std::to_string(call), "state is not known");
    now += 1ms;
    if (const std::optional<EventOut> report = refused.TakeReport(now)) {
      ++lines;
      counted += std::stoi(FieldOf(*report, "calls"));
    }
  }
  EXPECT_EQ(lines, 3);
  SECTION("the last ones are told within a second")
  {
    const std::optional<EventOut> report = refused.TakeReport(now + RefusedCalls::kInterval);
    ASSERT_TRUE(report.has_value());
    EXPECT_EQ(counted + std::stoi(FieldOf(*report, "calls")), 3000);
    EXPECT_EQ(FieldOf(*report, "caller"), "i-2999");
    EXPECT_FALSE(refused.TakeReport(now + 5s).has_value());
  }
}

} // namespace
} // namespace gooseberrysail
