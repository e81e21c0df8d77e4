#include "support/relay_thread.hpp"
#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <thread>

namespace gooseberrysail::test {
namespace {

// Guards against a streamed answer that stalls forever although all processes work. While an answer
// streams, the network silently drops all data of the connection between entry and agent, in both
// directions; new connections work. Neither end gets an error, so that only missing heartbeats show
// the failure.
TEST(SilentConnection, TheStreamContinuesOverANewConnectionByteForByte)
{
  const std::string agentAddress = FreeAddress();
  RelayThread relay(agentAddress);
  ASSERT_NE(relay.Address(), "");
  TestCluster cluster({ .controls = 1, .entries = 1 });
  cluster.AddForwardedEngineVm("vm-1", agentAddress, relay.Address());
  std::string catalogue = TestCluster::DefaultCatalogue();
  const std::string four = R"("membersPerReplica":4)";
  catalogue.replace(catalogue.find(four), four.size(), R"("membersPerReplica":1)");
  ASSERT_EQ(cluster.Apply(catalogue).status, 200U);
  ASSERT_TRUE(cluster.WaitServing()) << cluster.Outputs();

  const std::string body =
    R"({"model":"hire-assist","stream":true,"messages":[{"role":"user","content":"Draft it."}]})";
  const HttpReply direct = cluster.CallTarget("vm-1", "POST", "/v1/chat/completions", body);
  ASSERT_TRUE(direct.whole);
  static_cast<void>(cluster.CallTarget("vm-1", "POST", "/switch", R"({"tokenDelayMs":200})"));

  bool swallowed = false;
  HttpCall call{ .address = cluster.EntryAddress(0), .method = "POST" };
  call.target = "/v1/chat/completions";
  call.headers = { { "Authorization", "Bearer " + std::string(kWorkspaceToken) },
                   { "Content-Type", "application/json" } };
  call.body = body;
  call.onBody = [&](const std::string& soFar) {
    if (!soFar.empty() && !swallowed) {
      swallowed = true;
      relay.BlackholeExisting();
    }
  };
  const HttpReply answer = Call(call);
  EXPECT_TRUE(swallowed);
  EXPECT_EQ(answer.status, 200U);
  EXPECT_TRUE(answer.whole) << answer.failure << cluster.Outputs();
  EXPECT_EQ(answer.body, direct.body);
  EXPECT_NE(cluster.Process("entry-1").Output().find("AttemptResumed"), std::string::npos)
    << "the attempt was not resumed on another connection";
}

} // namespace
} // namespace gooseberrysail::test
