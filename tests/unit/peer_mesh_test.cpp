#include "fakes/relay.hpp"
#include "support/mesh_process.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <memory>
#include <numeric>
#include <random>
#include <thread>

namespace gooseberrysail {
namespace {

using fakes::Relay;
using tests::Field;
using tests::MeshProcess;

constexpr Duration kSilenceTimeout = std::chrono::milliseconds(800);

void QuickHeartbeats(PeerMeshSettings& settings)
{
  settings.heartbeatInterval = kSilenceTimeout / 4;
  settings.silenceTimeout = kSilenceTimeout;
}

std::vector<std::uint64_t> UpTo(std::uint64_t last)
{
  std::vector<std::uint64_t> numbers(last);
  std::iota(numbers.begin(), numbers.end(), 1);
  return numbers;
}

/// Bytes that compression does not make smaller.
std::vector<std::uint8_t> RandomBytes(std::size_t size)
{
  std::mt19937 random(1);
  std::vector<std::uint8_t> bytes(size);
  std::ranges::generate(bytes, [&] { return static_cast<std::uint8_t>(random()); });
  return bytes;
}

TEST(PeerMesh, FramesGoInOrderOverOneConnection)
{
  IoRuntime runtime;
  MeshProcess entry(runtime, "entry-1");
  MeshProcess agent(runtime, "agent-1");
  ASSERT_TRUE(entry.started && agent.started);

  SECTION("the first frame dials, and frames sent before the connection is established follow it")
  {
    for (const std::uint64_t number : UpTo(1000)) {
      entry.SendNumber(agent, number, agent.mesh.ListenAddress());
    }
    ASSERT_TRUE(agent.WaitFor([&] { return agent.numbers.size() == 1000; }));
    EXPECT_EQ(agent.numbers, UpTo(1000));
  }
  SECTION("each learns who the other is")
  {
    ASSERT_EQ(agent.ups.size(), 1U);
    EXPECT_EQ(agent.ups[0].peer, entry.name);
    EXPECT_EQ(agent.ups[0].address, entry.mesh.ListenAddress());
    EXPECT_EQ(agent.ups[0].incarnation, Incarnation(1));
  }
  SECTION("the answer takes the same connection and needs no address")
  {
    agent.SendNumber(entry, 7, "");
    ASSERT_TRUE(entry.WaitFor([&] { return !entry.numbers.empty(); }));
    EXPECT_EQ(entry.mesh.Counters().dials, 1U);
    EXPECT_EQ(agent.mesh.Counters().dials, 0U);
  }
  SECTION("many frames share one write")
  {
    EXPECT_LT(entry.mesh.Counters().writes, 20U);
  }
}

// Guards against lost frames and replaced connections when two processes dial each other at the
// same time: without a common rule, each side keeps the connection that the other closes.
TEST(PeerMesh, TwoThatDialEachOtherAgreeOnOneConnection)
{
  IoRuntime runtime;
  for (int round = 0; round < 30; ++round) {
    MeshProcess left(runtime, "control-1");
    MeshProcess right(runtime, "control-2");
    for (const std::uint64_t number : UpTo(100)) {
      left.SendNumber(right, number, right.mesh.ListenAddress());
      right.SendNumber(left, number, left.mesh.ListenAddress());
    }
    ASSERT_TRUE(left.WaitFor([&] { return left.numbers.size() >= 100; }));
    ASSERT_TRUE(right.WaitFor([&] { return right.numbers.size() >= 100; }));
    EXPECT_EQ(left.numbers, UpTo(100));
    EXPECT_EQ(right.numbers, UpTo(100));
    EXPECT_EQ(left.transitions, std::vector<std::string>{ "up control-2" });
    EXPECT_EQ(right.transitions, std::vector<std::string>{ "up control-1" });
    EXPECT_EQ(left.mesh.ConnectionCount(), 1U);
    EXPECT_EQ(right.mesh.ConnectionCount(), 1U);
  }
}

// Guards against requests that wait forever because a network device silently drops the bytes of an
// open connection. Writes still succeed until the kernel's buffers are full, and TCP alone detects
// the loss only after many minutes.
TEST(PeerMesh, ASilentConnectionIsReplacedWithinTheTimeout)
{
  for (const auto direction :
       { Relay::Direction::kBoth, Relay::Direction::kToTarget, Relay::Direction::kToCaller }) {
    IoRuntime runtime;
    MeshProcess entry(runtime, "entry-1", QuickHeartbeats);
    MeshProcess agent(runtime, "agent-1", QuickHeartbeats);
    Relay relay(runtime, agent.mesh.ListenAddress());
    ASSERT_TRUE(relay.Start());
    entry.SendNumber(agent, 1, relay.ListenAddress());
    ASSERT_TRUE(agent.WaitFor([&] { return agent.numbers.size() == 1; }));

    const TimePoint blackholedAt = BootNow();
    relay.BlackholeExisting(direction);
    SECTION("both detect it, and the old connection is down before the new one is up")
    {
      ASSERT_TRUE(entry.WaitForTransition("up agent-1", 2));
      ASSERT_TRUE(agent.WaitForTransition("up entry-1", 2));
      const std::vector<std::string> expected{ "up agent-1", "down agent-1", "up agent-1" };
      EXPECT_EQ(entry.transitions, expected);
    }
    SECTION("within the timeout, with room for a busy machine")
    {
      EXPECT_LT(BootNow() - blackholedAt, 2 * kSilenceTimeout);
    }
    SECTION("the new connection carries frames both ways")
    {
      entry.SendNumber(agent, 2, relay.ListenAddress());
      agent.SendNumber(entry, 3, "");
      EXPECT_TRUE(agent.WaitFor([&] { return agent.numbers.back() == 2; }));
      EXPECT_TRUE(entry.WaitFor([&] { return entry.numbers == std::vector<std::uint64_t>{ 3 }; }));
    }
  }
}

// Guards against undetected loss of an agent's responses when only the direction back to the
// dialler fails and the dialler has a long timeout. Its heartbeats still arrive, which does not
// prove that bytes in the other direction do.
TEST(PeerMesh, TheAcceptingSideDetectsByItselfThatItsBytesAreLost)
{
  for (const auto direction : { Relay::Direction::kToCaller, Relay::Direction::kToTarget }) {
    IoRuntime runtime;
    MeshProcess entry(runtime, "entry-1", [](PeerMeshSettings& settings) {
      settings.heartbeatInterval = kSilenceTimeout / 4;
      settings.silenceTimeout = 10 * tests::kTestTimeout;
    });
    MeshProcess agent(runtime, "agent-1", QuickHeartbeats);
    Relay relay(runtime, agent.mesh.ListenAddress());
    ASSERT_TRUE(relay.Start());
    entry.SendNumber(agent, 1, relay.ListenAddress());
    ASSERT_TRUE(agent.WaitFor([&] { return agent.numbers.size() == 1; }));
    runtime.SleepFor(2 * kSilenceTimeout);
    EXPECT_EQ(agent.transitions, std::vector<std::string>{ "up entry-1" });
    relay.BlackholeExisting(direction);
    ASSERT_TRUE(agent.WaitForTransition("up entry-1", 2));
    EXPECT_EQ(agent.mesh.Counters().silent, 1U);
  }
}

// Guards against treating an unreachable peer as connected when its connection goes silent and new
// connections fail, too.
TEST(PeerMesh, ASilentPeerThatCannotBeDialledGoesDown)
{
  IoRuntime runtime;
  // Nothing listens at the announced addresses, so the peers can only connect through the relay.
  const auto unreachable = [](PeerMeshSettings& settings) {
    QuickHeartbeats(settings);
    settings.announcedAddress = "127.0.0.1:1";
  };
  MeshProcess entry(runtime, "entry-1", unreachable);
  MeshProcess agent(runtime, "agent-1", unreachable);
  Relay relay(runtime, agent.mesh.ListenAddress());
  ASSERT_TRUE(relay.Start());
  entry.SendNumber(agent, 1, relay.ListenAddress());
  ASSERT_TRUE(agent.WaitFor([&] { return agent.numbers.size() == 1; }));
  relay.RefuseNew(true);
  relay.BlackholeExisting(Relay::Direction::kBoth);
  ASSERT_TRUE(entry.WaitForTransition("down agent-1"));
  EXPECT_EQ(entry.transitions, (std::vector<std::string>{ "up agent-1", "down agent-1" }));
  EXPECT_EQ(entry.mesh.ConnectionCount(), 0U);
}

// Guards against replacing all connections and resending all requests after a VM was paused for
// longer than the silence timeout: the process missed the heartbeat answers itself.
TEST(PeerMesh, AfterAPauseOfTheProcessItsConnectionsStay)
{
  IoRuntime runtime;
  MeshProcess entry(runtime, "entry-1", QuickHeartbeats);
  MeshProcess agent(runtime, "agent-1", QuickHeartbeats);
  entry.SendNumber(agent, 1, agent.mesh.ListenAddress());
  ASSERT_TRUE(agent.WaitFor([&] { return agent.numbers.size() == 1; }));
  std::this_thread::sleep_for(2 * kSilenceTimeout);
  runtime.SleepFor(2 * kSilenceTimeout);
  EXPECT_EQ(entry.transitions, std::vector<std::string>{ "up agent-1" });
  EXPECT_EQ(agent.transitions, std::vector<std::string>{ "up entry-1" });
}

TEST(PeerMesh, ACutConnectionIsDialledAgainOnlyForANewFrame)
{
  IoRuntime runtime;
  MeshProcess entry(runtime, "entry-1", QuickHeartbeats);
  MeshProcess agent(runtime, "agent-1", QuickHeartbeats);
  Relay relay(runtime, agent.mesh.ListenAddress());
  ASSERT_TRUE(relay.Start());
  entry.SendNumber(agent, 1, relay.ListenAddress());
  ASSERT_TRUE(agent.WaitFor([&] { return agent.numbers.size() == 1; }));
  relay.ResetExisting();
  ASSERT_TRUE(entry.WaitForTransition("down agent-1"));
  ASSERT_TRUE(agent.WaitForTransition("down entry-1"));
  runtime.SleepFor(2 * kSilenceTimeout);
  EXPECT_EQ(relay.Accepted(), 1U);
  entry.SendNumber(agent, 2, relay.ListenAddress());
  ASSERT_TRUE(agent.WaitFor([&] { return agent.numbers.size() == 2; }));
  EXPECT_EQ(entry.transitions,
            (std::vector<std::string>{ "up agent-1", "down agent-1", "up agent-1" }));
}

TEST(PeerMesh, AFailedDialReportsThatItsFramesAreLost)
{
  IoRuntime runtime;
  MeshProcess entry(runtime, "entry-1");
  auto agent = std::make_unique<MeshProcess>(runtime, "agent-1");
  const std::string address = agent->mesh.ListenAddress();
  agent->mesh.Close();
  entry.SendNumber(*agent, 1, address);
  ASSERT_TRUE(entry.WaitForTransition("down agent-1"));
  ASSERT_EQ(entry.Events(EventNumber::kPeerDialFailed).size(), 1U);
  const EventOut event = entry.Events(EventNumber::kPeerDialFailed)[0];
  EXPECT_EQ(Field(event, "peer"), "agent-1");
  EXPECT_EQ(Field(event, "step"), "connect");
  EXPECT_EQ(Field(event, "address"), address);
}

TEST(PeerMesh, ARestartedPeerReplacesItsPreviousIncarnation)
{
  IoRuntime runtime;
  MeshProcess entry(runtime, "entry-1");
  auto first = std::make_unique<MeshProcess>(runtime, "agent-1");
  first->SendNumber(entry, 1, entry.mesh.ListenAddress());
  ASSERT_TRUE(entry.WaitForTransition("up agent-1"));
  MeshProcess second(
    runtime, "agent-1", [](PeerMeshSettings& settings) { settings.incarnation = Incarnation(2); });
  second.SendNumber(entry, 2, entry.mesh.ListenAddress());
  ASSERT_TRUE(entry.WaitForTransition("up agent-1", 2));
  ASSERT_EQ(entry.downs.size(), 1U);
  EXPECT_EQ(entry.downs[0].incarnation, Incarnation(1));
  EXPECT_EQ(entry.ups[1].incarnation, Incarnation(2));
}

TEST(PeerMesh, AnotherClusterKeyIsRefused)
{
  IoRuntime runtime;
  MeshProcess entry(runtime, "entry-1");
  MeshProcess stranger(
    runtime, "stranger", [](PeerMeshSettings& settings) { settings.clusterKey = "another key"; });
  stranger.SendNumber(entry, 1, entry.mesh.ListenAddress());
  ASSERT_TRUE(stranger.WaitForTransition("down entry-1"));
  ASSERT_TRUE(entry.WaitFor([&] { return !entry.Events(EventNumber::kPeerRefused).empty(); }));
  const EventOut event = entry.Events(EventNumber::kPeerRefused)[0];
  EXPECT_EQ(Field(event, "step"), "read proof");
  EXPECT_EQ(Field(event, "peer"), "stranger");
  EXPECT_TRUE(entry.transitions.empty());
  EXPECT_TRUE(stranger.ups.empty());
}

TEST(PeerMesh, ADialThatReachesAnotherProcessFails)
{
  IoRuntime runtime;
  MeshProcess entry(runtime, "entry-1");
  MeshProcess agent(runtime, "agent-1");
  MeshProcess other(runtime, "agent-2");
  entry.SendNumber(agent, 1, other.mesh.ListenAddress());
  ASSERT_TRUE(entry.WaitForTransition("down agent-1"));
  EXPECT_TRUE(other.numbers.empty());
  EXPECT_TRUE(entry.ups.empty());
}

// Guards against unbounded memory use when frames queue up for a peer that stopped reading while
// its connection stays open.
TEST(PeerMesh, AFullQueueClosesTheConnectionAndIsReported)
{
  IoRuntime runtime;
  MeshProcess entry(
    runtime, "entry-1", [](PeerMeshSettings& settings) { settings.maxQueuedBytes = 1024 * 1024; });
  MeshProcess agent(runtime, "agent-1");
  entry.SendNumber(agent, 1, agent.mesh.ListenAddress());
  ASSERT_TRUE(entry.WaitForTransition("up agent-1"));
  wire::OutputT output;
  output.bytes = RandomBytes(300 * 1024);
  for (int i = 0; i < 4; ++i) {
    entry.mesh.Send(FrameOut{ agent.name, "", MakeEnvelope(output) });
  }
  EXPECT_EQ(entry.Events(EventNumber::kPeerQueueFull).size(), 1U);
  EXPECT_EQ(entry.transitions.back(), "down agent-1");
}

// Guards against unbounded memory use when the process's own link is slow and the queues of dozens
// of peers grow, each within the limit for one peer.
TEST(PeerMesh, TheQueuesOfAllPeersTogetherAreLimited)
{
  IoRuntime runtime;
  MeshProcess control(runtime, "control-1", [](PeerMeshSettings& settings) {
    settings.maxQueuedBytes = 1024 * 1024;
    settings.maxAllQueuedBytes = 1024 * 1024;
  });
  MeshProcess first(runtime, "entry-1");
  MeshProcess second(runtime, "entry-2");
  control.SendNumber(first, 1, first.mesh.ListenAddress());
  control.SendNumber(second, 1, second.mesh.ListenAddress());
  ASSERT_TRUE(control.WaitFor([&] { return control.ups.size() == 2; }));
  wire::OutputT output;
  output.bytes = RandomBytes(300 * 1024);
  const auto send = [&](const MeshProcess& to) {
    control.mesh.Send(FrameOut{ to.name, "", MakeEnvelope(output) });
  };
  send(first);
  send(second);
  send(second);
  EXPECT_TRUE(control.Events(EventNumber::kPeerQueueFull).empty());
  send(second);
  EXPECT_EQ(control.Events(EventNumber::kPeerQueueFull).size(), 1U);
  EXPECT_EQ(control.transitions.back(), "down entry-2");
  SECTION("a peer within its share keeps its connection")
  {
    control.SendNumber(first, 2, "");
    ASSERT_TRUE(first.WaitFor([&] { return first.numbers.size() == 3; }));
    EXPECT_EQ(first.numbers.back(), 2U);
  }
}

// Guards against needless elections while the leader's link is busy; seven of nine terms were once
// unplanned for this reason. Frames of the replicated log must not wait behind other queued frames.
TEST(PeerMesh, ReplicatedLogFramesAreSentFirst)
{
  IoRuntime runtime;
  MeshProcess leader(runtime, "control-1");
  MeshProcess follower(runtime, "control-2");
  leader.SendNumber(follower, 1, follower.mesh.ListenAddress());
  ASSERT_TRUE(follower.WaitFor([&] { return follower.numbers.size() == 1; }));
  constexpr std::uint64_t kFrames = 5000;
  for (std::uint64_t number = 2; number <= kFrames; ++number) {
    leader.SendNumber(follower, number, "");
  }
  leader.mesh.Send(FrameOut{ follower.name, "", MakeEnvelope(wire::RaftMessageT()) });
  ASSERT_TRUE(follower.WaitFor([&] { return follower.numbers.size() == kFrames + 1; }));
  const auto log = std::find(follower.numbers.begin(), follower.numbers.end(), 0U);
  EXPECT_LT(log - follower.numbers.begin(), 3);
  SECTION("the other frames stay in order")
  {
    follower.numbers.erase(log);
    EXPECT_EQ(follower.numbers, UpTo(kFrames));
  }
}

// Guards against a cluster that is never founded and refuses all callers, because each handshake
// fails with PeerDialFailed. A process that accepts a connection must send its handshake proof
// before queued frames of the replicated log, although these have priority.
TEST(PeerMesh, ReplicatedLogFramesWaitForTheHandshake)
{
  IoRuntime runtime;
  MeshProcess first(runtime, "control-1");
  MeshProcess second(runtime, "control-2");
  const auto send = [](MeshProcess& from, const MeshProcess& to) {
    from.mesh.Send(
      FrameOut{ to.name, to.mesh.ListenAddress(), MakeEnvelope(wire::RaftMessageT()) });
  };
  send(first, second);
  send(second, first);
  ASSERT_TRUE(first.WaitFor([&] { return !first.numbers.empty(); }));
  ASSERT_TRUE(second.WaitFor([&] { return !second.numbers.empty(); }));
  for (const MeshProcess* process : { &first, &second }) {
    for (const EventOut& event : process->Events(EventNumber::kPeerDialFailed)) {
      EXPECT_NE(Field(event, "reason"), "expected a HelloProof message");
    }
  }
}

// Shows operators which message types cause the load of a link.
TEST(PeerMesh, TrafficIsCountedByKind)
{
  IoRuntime runtime;
  MeshProcess entry(runtime, "entry-1");
  MeshProcess agent(runtime, "agent-1");
  entry.SendNumber(agent, 1, agent.mesh.ListenAddress());
  ASSERT_TRUE(agent.WaitFor([&] { return agent.numbers.size() == 1; }));
  constexpr auto kKind = static_cast<std::size_t>(wire::Body::InForce);
  EXPECT_EQ(entry.mesh.Counters().sentByKind.at(kKind).frames, 1U);
  EXPECT_EQ(agent.mesh.Counters().receivedByKind.at(kKind).frames, 1U);
  EXPECT_GT(agent.mesh.Counters().receivedByKind.at(kKind).bytes, 0U);
}

TEST(PeerMesh, AFrameOverTheLimitIsNotSentAndTheConnectionStaysOpen)
{
  IoRuntime runtime;
  MeshProcess entry(runtime, "entry-1");
  MeshProcess agent(runtime, "agent-1");
  entry.SendNumber(agent, 1, agent.mesh.ListenAddress());
  ASSERT_TRUE(agent.WaitFor([&] { return agent.numbers.size() == 1; }));
  wire::OutputT output;
  output.bytes.resize(kMaxFrameBytes);
  entry.mesh.Send(FrameOut{ agent.name, "", MakeEnvelope(std::move(output)) });
  EXPECT_EQ(entry.Events(EventNumber::kPeerFrameTooLarge).size(), 1U);
  entry.SendNumber(agent, 2, "");
  ASSERT_TRUE(agent.WaitFor([&] { return agent.numbers.size() == 2; }));
}

TEST(PeerMesh, ALargeFrameArrivesComplete)
{
  IoRuntime runtime;
  MeshProcess entry(runtime, "entry-1");
  MeshProcess agent(runtime, "agent-1");
  wire::OutputT output;
  output.bytes.assign(kMaxFrameBytes - 4096, 42);
  entry.mesh.Send(
    FrameOut{ agent.name, agent.mesh.ListenAddress(), MakeEnvelope(std::move(output)) });
  entry.SendNumber(agent, 9, agent.mesh.ListenAddress());
  ASSERT_TRUE(agent.WaitFor([&] { return agent.numbers.size() == 2; }));
  EXPECT_EQ(agent.numbers[1], 9U);
}

} // namespace
} // namespace gooseberrysail
