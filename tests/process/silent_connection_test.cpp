#include "fakes/relay.hpp"
#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <boost/asio/post.hpp>
#include <future>
#include <thread>

namespace gooseberrysail::test {
namespace {

/// A relay on a thread of its own, so that a blocking test can stand beside it.
class RelayThread
{
public:
  explicit RelayThread(const std::string& target)
  {
    std::promise<std::string> address;
    std::future<std::string> started = address.get_future();
    m_thread = std::thread([this, target, &address] { Serve(target, address); });
    m_address = started.get();
  }
  ~RelayThread()
  {
    boost::asio::post(m_runtime->Io(), [this] { m_runtime->Stop(); });
    m_thread.join();
  }
  RelayThread(const RelayThread&) = delete;
  RelayThread& operator=(const RelayThread&) = delete;

  [[nodiscard]] const std::string& Address() const { return m_address; }

  /// The connections open now lose all bytes from now on; new ones work.
  void SwallowExisting()
  {
    std::promise<void> done;
    boost::asio::post(m_runtime->Io(), [&] {
      m_relay->SwallowExisting(fakes::Relay::Swallow::kBoth);
      done.set_value();
    });
    done.get_future().wait();
  }

private:
  void Serve(const std::string& target, std::promise<std::string>& address)
  {
    IoRuntime runtime;
    fakes::Relay relay(runtime, target);
    m_runtime = &runtime;
    m_relay = &relay;
    const Result<void> started = relay.Start();
    address.set_value(started ? relay.ListenAddress() : "");
    runtime.Run();
    relay.Close();
  }

  std::thread m_thread;
  std::string m_address;
  IoRuntime* m_runtime = nullptr;
  fakes::Relay* m_relay = nullptr;
};

// Symptom: a foreman's draft stops in the middle and never goes on, though every process is well.
// Sequence: an answer streams; something between entry and agent loses track of their connection
// and swallows its bytes both ways, without closing it; new connections work. Cause: no end of such
// a connection ever hears of an error; only heartbeats tell.
TEST(SilentConnection, TheStreamGoesOnOverANewConnectionByteForByte)
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
      relay.SwallowExisting();
    }
  };
  const HttpReply answer = Call(call);
  EXPECT_TRUE(swallowed);
  EXPECT_EQ(answer.status, 200U);
  EXPECT_TRUE(answer.whole) << answer.failure << cluster.Outputs();
  EXPECT_EQ(answer.body, direct.body);
  EXPECT_NE(cluster.Process("entry-1").Output().find("AttemptResumed"), std::string::npos)
    << "it never lost the connection";
}

} // namespace
} // namespace gooseberrysail::test
