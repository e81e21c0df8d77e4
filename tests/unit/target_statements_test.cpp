#include "gooseberrysail/gateway/target_statements.hpp"
#include "support/section.hpp"

#include <gtest/gtest.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;

TEST(TargetStatements, KeepTheLatestEndOfABackoff)
{
  TargetStatements statements;
  const TargetIncarnation life{ InstanceId("h1"), Incarnation(1) };
  const TimePoint now{ 1h };
  const auto until = [&] { return statements.Find(life.instance, life.born)->backoffUntil; };
  EXPECT_EQ(statements.OnBackoff(now, life, { 3s }), BackoffChange::kRequested);

  SECTION("a shorter one changes nothing")
  {
    EXPECT_EQ(statements.OnBackoff(now, life, { 1s }), BackoffChange::kNone);
    EXPECT_EQ(until(), now + 3s);
  }
  SECTION("nor does an answer without one")
  {
    EXPECT_EQ(statements.OnBackoff(now + 1s, life, {}), BackoffChange::kNone);
    EXPECT_EQ(until(), now + 3s);
  }
  SECTION("nor an invalid one, which is reported once")
  {
    EXPECT_EQ(statements.OnBackoff(now, life, { std::nullopt, true }), BackoffChange::kInvalid);
    EXPECT_EQ(statements.OnBackoff(now, life, { std::nullopt, true }), BackoffChange::kNone);
    EXPECT_EQ(until(), now + 3s);
  }
  SECTION("a later one extends it")
  {
    EXPECT_EQ(statements.OnBackoff(now + 1s, life, { 3s }), BackoffChange::kNone);
    EXPECT_EQ(until(), now + 4s);
  }
  SECTION("after its end it is reported again")
  {
    EXPECT_EQ(statements.OnBackoff(now + 4s, life, { 1s }), BackoffChange::kRequested);
  }
  SECTION("at most an hour")
  {
    statements.OnBackoff(now, life, { 1'000'000'000s });
    EXPECT_EQ(until(), now + 1h);
  }
}

TEST(TargetStatements, HoldForOneIncarnation)
{
  TargetStatements statements;
  const InstanceId target("h1");
  const TimePoint now{ 1h };
  statements.OnBackoff(now, { target, Incarnation(1) }, { 3s });
  EXPECT_EQ(statements.Find(target, Incarnation(2)), nullptr);
  EXPECT_EQ(statements.Find(InstanceId("h2"), Incarnation(1)), nullptr);

  SECTION("an answer of the former one is ignored")
  {
    statements.OnBackoff(now, { target, Incarnation(2) }, { 1s });
    EXPECT_EQ(statements.OnBackoff(now, { target, Incarnation(1) }, { 5s }), BackoffChange::kNone);
    EXPECT_EQ(statements.Find(target, Incarnation(2))->backoffUntil, now + 1s);
  }
  SECTION("they are dropped long after the latest one")
  {
    const TimePoint later = now + TargetStatements::kKeptFor + 1s;
    statements.OnBackoff(later, { InstanceId("h2"), Incarnation(1) }, { 3s });
    EXPECT_EQ(statements.Find(target, Incarnation(1)), nullptr);
  }
}

} // namespace
} // namespace gooseberrysail
