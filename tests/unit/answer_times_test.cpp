#include "gooseberrysail/gateway/answer_times.hpp"
#include "support/section.hpp"

#include <gtest/gtest.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;

TEST(AnswerTimes, TellHowLongMostAnswersTook)
{
  AnswerTimes times;
  SECTION("nothing of a route without answers")
  {
    EXPECT_FALSE(times.Within("quote", 1).has_value());
  }
  for (int answer = 1; answer <= 10; ++answer) {
    times.Add("quote", answer * 100ms);
  }
  SECTION("by their share")
  {
    EXPECT_EQ(times.Within("quote", 0), 100ms);
    EXPECT_EQ(times.Within("quote", 0.9), 900ms);
    EXPECT_EQ(times.Within("quote", 1), 1000ms);
  }
  SECTION("of the latest only")
  {
    for (std::size_t answer = 0; answer < AnswerTimes::kAnswers; ++answer) {
      times.Add("quote", 50ms);
    }
    EXPECT_EQ(times.Within("quote", 1), 50ms);
  }
  SECTION("of the routes that are kept")
  {
    times.Add("booking", 1s);
    times.KeepOnly([](const std::string& route) { return route == "quote"; });
    EXPECT_EQ(times.CountRoutes(), 1U);
    EXPECT_TRUE(times.Within("quote", 1).has_value());
  }
}

} // namespace
} // namespace gooseberrysail
