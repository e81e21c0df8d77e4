#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <boost/json.hpp>

namespace gooseberrysail::test {
namespace {

std::string Outcome(const HttpReply& reply)
{
  boost::system::error_code error;
  const auto value = boost::json::parse(reply.body, error);
  if (error || !value.is_object() || !value.as_object().contains("error")) {
    return "";
  }
  const auto& details = value.at("error").as_object();
  return details.contains("outcome") ? std::string(details.at("outcome").as_string()) : "";
}

// Sends one request through separate processes: a caller, an entry, the agent of a head VM and its
// engine, in a group that control formed.
TEST(ThinPath, ServesARequestEndToEndAndReportsItsOutcome)
{
  TestCluster cluster({ .controls = 1, .entries = 1 });
  cluster.AddEngineVms("vm", 4, "fabric-a");
  cluster.AddServiceVm("vm-portal", "booking-portal");
  const HttpReply applied = cluster.Apply(TestCluster::DefaultCatalogue());
  ASSERT_EQ(applied.status, 200U) << applied.body << cluster.Outputs();

  SECTION("the group forms and a chat completion is answered whole")
  {
    ASSERT_TRUE(cluster.WaitServing()) << cluster.Outputs();
    const HttpReply answer = cluster.Chat(0, "Is a roller free on Friday?");
    EXPECT_EQ(answer.status, 200U);
    EXPECT_TRUE(answer.whole);
    EXPECT_NE(answer.body.find("chat.completion"), std::string::npos) << answer.body;

    SECTION("the record of the request can be read")
    {
      const std::string id = answer.Header("X-Request-Id");
      const HttpReply record = cluster.Admin("GET", "/admin/v1/requests/" + id);
      ASSERT_EQ(record.status, 200U) << record.body;
      EXPECT_NE(record.body.find("completed"), std::string::npos) << record.body;
    }
  }
  SECTION("a streamed answer arrives in parts and ends whole")
  {
    const HttpReply answer = cluster.Chat(0, "Draft a hire agreement.", true);
    EXPECT_EQ(answer.status, 200U);
    EXPECT_TRUE(answer.whole) << answer.failure;
    EXPECT_NE(answer.body.find("data: [DONE]"), std::string::npos) << answer.body;
  }
  SECTION("a plain service answers")
  {
    ASSERT_TRUE(cluster.WaitService("/services/booking-portal/stock/kingston"));
  }
  SECTION("a wrong token and an unknown model get clear errors")
  {
    const HttpReply unknown =
      cluster.CallEntry(0, "POST", "/v1/chat/completions", R"({"model":"nobody","messages":[]})");
    EXPECT_EQ(unknown.status, 404U);
    EXPECT_NE(unknown.body.find("nobody"), std::string::npos) << unknown.body;
    const HttpReply denied = Call({ .address = cluster.EntryAddress(0),
                                    .target = "/v1/models",
                                    .headers = { { "Authorization", "Bearer wrong" } } });
    EXPECT_EQ(denied.status, 401U);
  }
}

// Guards against a 404 for the record of a request that another entry handled. The balancer may
// send the request to one entry and the query for its record to another. Entries have no
// connections with each other, so that the query must go through control.
TEST(ThinPath, AnyEntryReturnsTheRecordOfARequest)
{
  TestCluster cluster({ .controls = 1, .entries = 2 });
  cluster.AddEngineVms("vm", 4, "fabric-a");
  ASSERT_EQ(cluster.Apply(TestCluster::DefaultCatalogue()).status, 200U);
  ASSERT_TRUE(cluster.WaitServing()) << cluster.Outputs();
  const HttpReply answer = cluster.Chat(0, "Is a crane free?");
  ASSERT_EQ(answer.status, 200U);
  const std::string path = "/requests/" + answer.Header("X-Request-Id");
  for (const std::size_t entry : { 0UL, 1UL }) {
    const HttpReply record = cluster.CallEntry(entry, "GET", path);
    EXPECT_EQ(record.status, 200U) << entry << record.body;
    EXPECT_NE(record.body.find("completed"), std::string::npos) << record.body;
  }
  const HttpReply unknown = cluster.CallEntry(1, "GET", "/requests/entry-1.1.999999");
  EXPECT_EQ(unknown.status, 404U) << unknown.body;
}

// Guards against a replica that answers with garbage or hangs after the loss of one of its VMs. One
// member's agent is killed while the group serves, then a request arrives. Only the heartbeats of
// its members show the head that one is gone.
TEST(ThinPath, AKilledMemberStopsTheReplicaAndCallersGetNotRun)
{
  TestCluster cluster({ .controls = 1, .entries = 1 });
  cluster.AddEngineVms("vm", 4, "fabric-a");
  ASSERT_EQ(cluster.Apply(TestCluster::DefaultCatalogue()).status, 200U);
  ASSERT_TRUE(cluster.WaitServing()) << cluster.Outputs();

  cluster.Process("agent-vm-4").Kill();
  HttpReply refused;
  const bool closed = WaitUntil(
    [&] {
      refused = cluster.Chat(0, "anyone?");
      return refused.status == 503;
    },
    std::chrono::seconds(15));
  ASSERT_TRUE(closed) << refused.status << refused.body << cluster.Outputs();
  EXPECT_EQ(Outcome(refused), "not-run") << refused.body;
  EXPECT_NE(refused.Header("Retry-After"), "");
}

// Guards against an acknowledged catalogue change that is lost with the power of control's VM.
// Control is killed right after the acknowledgement and started again. A change acknowledged before
// the sync might exist in the page cache alone.
TEST(ThinPath, TheCatalogueSurvivesKillAndRestartOfControl)
{
  TestCluster cluster({ .controls = 1, .entries = 1 });
  ASSERT_EQ(cluster.Apply(TestCluster::DefaultCatalogue()).status, 200U);
  cluster.Process("control-1").Kill();
  cluster.Restart("control-1");
  const HttpReply entry = cluster.Admin("GET", "/admin/v1/catalogue/model/hire-assist");
  EXPECT_EQ(entry.status, 200U) << entry.body;
  EXPECT_NE(entry.body.find("2026-11"), std::string::npos) << entry.body;
}

} // namespace
} // namespace gooseberrysail::test
