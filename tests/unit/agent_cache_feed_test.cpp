#include "gooseberrysail/agent/cache_feed.hpp"
#include "support/agent_harness.hpp"
#include "support/section.hpp"

namespace gooseberrysail::test {
namespace {

using std::chrono::seconds;

// Events lost in a gap may have been removals, and a restarted engine has an empty cache. Unless
// entries learn of both, they keep sending prompts for prefixes that the group has evicted.
TEST(AgentCacheFeed, PassesEventsOnAndShowsGapsAndRestarts)
{
  AgentHarness agent;
  agent.cacheEvents =
    R"({"latest":2,"events":[{"sequence":1,"block":11,"kind":"added"},{"sequence":2,"block":12,"kind":"added"}]})";
  agent.FormGroup(7);
  ASSERT_TRUE(agent.Serves());
  agent.Advance(seconds(1));
  ASSERT_EQ(agent.Sent<wire::CacheReportT>("entry-1").size(), 1U);
  const auto* first = agent.Last<wire::CacheReportT>();
  EXPECT_EQ(first->sequence, 1U);
  EXPECT_TRUE(first->reset) << "a new group starts from nothing";
  EXPECT_EQ(first->added, (std::vector<std::uint64_t>{ 11, 12 }));
  SECTION("events that were already reported are not sent again")
  {
    agent.Advance(seconds(2));
    EXPECT_EQ(agent.Sent<wire::CacheReportT>().size(), 1U);
  }
  SECTION("a gap leaves a number out")
  {
    agent.cacheEvents = R"({"latest":5,"events":[{"sequence":5,"block":11,"kind":"removed"}]})";
    agent.Advance(seconds(1));
    EXPECT_EQ(agent.Last<wire::CacheReportT>()->sequence, 3U);
    EXPECT_EQ(agent.Last<wire::CacheReportT>()->removed, std::vector<std::uint64_t>{ 11 });
    EXPECT_FALSE(agent.Last<wire::CacheReportT>()->reset);
  }
  SECTION("a restart of the engine is reported as a reset")
  {
    agent.cacheEvents = R"({"latest":1,"events":[{"sequence":1,"block":30,"kind":"added"}]})";
    agent.Advance(seconds(2));
    EXPECT_TRUE(agent.Last<wire::CacheReportT>()->reset);
    EXPECT_EQ(agent.Last<wire::CacheReportT>()->added, std::vector<std::uint64_t>{ 30 });
  }
}

TEST(AgentCacheFeed, AnEngineWithoutAFeedIsAskedSeldom)
{
  AgentHarness agent;
  agent.FormGroup(7);
  std::size_t asked = 0;
  agent.onOutput = [&asked](TimePoint, const AgentOutput& output) {
    const auto* call = std::get_if<TargetCallOut>(&output);
    asked += call != nullptr && call->path.starts_with("/cache_events") ? 1 : 0;
  };
  ASSERT_TRUE(agent.Serves());
  agent.Advance(seconds(20));
  EXPECT_EQ(asked, 1U);
}

} // namespace
} // namespace gooseberrysail::test
