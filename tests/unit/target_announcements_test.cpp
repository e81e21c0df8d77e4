#include "platform/control_adapter.hpp"
#include "support/control_cluster.hpp"
#include "support/section.hpp"

namespace gooseberrysail::test {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;

// Guards against a final refusal (400) of a target of a new service by a process that has not got
// the document that adds the service.
TEST(TargetAnnouncements, AreNotInvalidForAProcessThatMayLackADocument)
{
  const auto log = std::make_shared<ScriptedLog>();
  ControlNode leader("control-1", log, MakeControlSettings("control-1"));
  ControlNode follower("control-2", log, MakeControlSettings("control-2"));
  for (ControlNode* node : { &leader, &follower }) {
    node->outside = platform::MakeOutsideApi("127.0.0.1:7340");
    node->Restart();
  }
  std::uint64_t exchange = 0;
  const auto announce = [&](ControlNode& node, const std::string& service) {
    ++exchange;
    const std::string body = R"({"service":")" + service +
                             R"(","address":"10.0.0.9:80","zone":"z","version":"v1","slots":3,)" +
                             R"("state":"ready","coldLeftMs":0,"seq":1})";
    const std::string path = "/api/instances/i-" + std::to_string(exchange);
    const auto answer = AnswerOf(node.Tick({ Called(exchange, "PUT", path, body) }), exchange);
    return answer ? answer->status : 0;
  };
  const auto put = [&](const std::string& services, std::uint64_t version) {
    const std::string body =
      R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[)" + services + "]}";
    leader.Tick({ Called(++exchange, "PUT", "/api/config", body) });
    leader.Tick();
  };
  leader.Lead(1);
  follower.leaderHint = ProcessId("control-1");
  put(R"({"name":"a"})", 1);
  follower.Tick();
  follower.cutOff = true;
  put(R"({"name":"a"},{"name":"b"})", 2);
  EXPECT_EQ(announce(leader, "b"), kOk);
  EXPECT_EQ(announce(follower, "a"), kOk);
  EXPECT_EQ(announce(follower, "b"), kUnavailable);
  SECTION("the leader knows that no document names a service")
  {
    EXPECT_EQ(announce(leader, "c"), 400U);
  }
  SECTION("a leader that no quorum confirms does not")
  {
    leader.cutOff = true;
    leader.Run(seconds(2));
    EXPECT_EQ(announce(leader, "c"), kUnavailable);
  }
}

} // namespace
} // namespace gooseberrysail::test
