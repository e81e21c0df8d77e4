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

// Guards against a log that one caller fills, which evicts earlier entries: the caller sends calls
// that can't be parsed, many times a second. This happens if each call is logged on its own line.
TEST(RefusedCalls, OneEventASecondCountsAllCalls)
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
  SECTION("the last calls are reported within a second")
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
