#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <gmock/gmock.h>
#include <set>

namespace gooseberrysail::test {
namespace {

using ::testing::HasSubstr;

std::vector<boost::json::value> EventsOf(const HttpReply& reply)
{
  boost::system::error_code error;
  const auto value = boost::json::parse(reply.body, error);
  if (error || !value.is_object() || !value.as_object().contains("events")) {
    return {};
  }
  const auto& events = value.at("events").as_array();
  return { events.begin(), events.end() };
}

// Checks what operators can read about one request that ran through real processes: the merged
// timeline of events, and the metrics of each process.
TEST(Observe, TimelineAndMetricsCoverAllProcessesOfARequest)
{
  TestCluster cluster({ .controls = 1, .entries = 1 });
  cluster.AddEngineVms("vm", 4, "fabric-a");
  ASSERT_EQ(cluster.Apply(TestCluster::DefaultCatalogue()).status, 200U);
  ASSERT_TRUE(cluster.WaitServing()) << cluster.Outputs();
  const HttpReply answer = cluster.Chat(0, "Is a roller free on Friday?");
  ASSERT_EQ(answer.status, 200U);
  const std::string id = answer.Header("X-Request-Id");

  SECTION("the timeline of the request has events of the entry and the agent")
  {
    const HttpReply reply = cluster.Admin("GET", "/admin/v1/timeline?request=" + id);
    ASSERT_EQ(reply.status, 200U) << reply.body;
    std::set<std::string> names;
    std::set<std::string> roles;
    for (const auto& event : EventsOf(reply)) {
      names.emplace(event.at("name").as_string());
      const std::string process(event.at("process").as_string());
      roles.insert(process.substr(0, process.find('-')));
    }
    EXPECT_TRUE(names.contains("AttemptSent")) << reply.body;
    EXPECT_TRUE(names.contains("TargetCallStarted")) << reply.body;
    EXPECT_TRUE(names.contains("CallerAnswered")) << reply.body;
    EXPECT_EQ(roles, (std::set<std::string>{ "agent", "entry" }));
  }
  SECTION("control contributes its own events and no process is missing")
  {
    const HttpReply reply = cluster.Admin("GET", "/admin/v1/timeline");
    EXPECT_THAT(reply.body, HasSubstr("LeadershipTaken"));
    EXPECT_THAT(reply.body, HasSubstr("\"notReached\":[]"));
  }
  SECTION("the entry's metrics count the request, control's show the leader")
  {
    const HttpReply entry = Call({ .address = cluster.EntryAddress(0), .target = "/metrics" });
    EXPECT_EQ(entry.status, 200U);
    EXPECT_THAT(entry.body, HasSubstr("gooseberrysail_requests_total{outcome=\"completed\"}"));
    const HttpReply control = Call({ .address = cluster.ControlAddress(0), .target = "/metrics" });
    EXPECT_THAT(control.body, HasSubstr("gooseberrysail_raft_leader 1"));
  }
}

} // namespace
} // namespace gooseberrysail::test
