#include "gooseberrysail/gateway/target_selector.hpp"
#include "support/section.hpp"

#include <gtest/gtest.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;

TEST(TargetLimits, AreLearnedFromAnswers)
{
  TargetSelector selector{ FailureDomainId("a"), [] { return 0; } };
  ServedTarget head{ InstanceId("h1"), "assist",      "h1:80", FailureDomainId("a"), 28, false,
                     "large",          Incarnation(1) };
  selector.Replace(TimePoint{}, std::vector<ServedTarget>{ head });
  const TargetIncarnation life{ head.instance, head.born };
  TimePoint now{ 1h };
  const auto limitOf = [&] {
    const TargetStatements::Row* stated = selector.Statements().Find(head.instance, head.born);
    return stated == nullptr ? std::nullopt : stated->limit;
  };
  EXPECT_EQ(selector.OnLimit(now, life, now, { 3.4 }), LimitChange::kNamed);
  EXPECT_EQ(limitOf(), 3.4);
  EXPECT_EQ(selector.OnLimit(now, life, now, { 3.4 }), LimitChange::kNone);

  SECTION("an answer to an earlier request without the limit doesn't end it")
  {
    EXPECT_EQ(selector.OnLimit(now, life, now - 1s, {}), LimitChange::kNone);
    EXPECT_EQ(limitOf(), 3.4);
  }
  SECTION("an invalid one changes nothing and is reported once")
  {
    EXPECT_EQ(selector.OnLimit(now, life, now, { std::nullopt, true }), LimitChange::kInvalid);
    EXPECT_EQ(selector.OnLimit(now, life, now, { std::nullopt, true }), LimitChange::kNone);
    EXPECT_EQ(limitOf(), 3.4);
  }
  SECTION("an answer to a later request without the limit ends it")
  {
    EXPECT_EQ(selector.OnLimit(now, life, now + 1s, {}), LimitChange::kEnded);
    EXPECT_EQ(limitOf(), std::nullopt);
  }
  SECTION("a restart of the target ends it")
  {
    selector.OnLimit(now, life, now, { 2.0 });
    head.born = Incarnation(2);
    selector.Replace(TimePoint{}, std::vector<ServedTarget>{ head });
    EXPECT_EQ(limitOf(), std::nullopt);
    EXPECT_EQ(selector.OnLimit(now, life, now, { 2.0 }), LimitChange::kNone);
  }
}

} // namespace
} // namespace gooseberrysail
