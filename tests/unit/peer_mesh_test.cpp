#include "fakes/relay.hpp"
#include "support/mesh_process.hpp"
#include "support/section.hpp"

#include <memory>
#include <numeric>
#include <thread>

namespace gooseberrysail {
namespace {

using fakes::Relay;
using tests::Field;
using tests::MeshProcess;

constexpr Duration kSilence = std::chrono::milliseconds(800);

void QuickHeartbeats(PeerMeshSettings& settings)
{
  settings.heartbeatInterval = kSilence / 4;
  settings.silenceTimeout = kSilence;
}

std::vector<std::uint64_t> UpTo(std::uint64_t last)
{
  std::vector<std::uint64_t> numbers(last);
  std::iota(numbers.begin(), numbers.end(), 1);
  return numbers;
}

TEST(PeerMesh, FramesGoInOrderOverOneConnection)
{
  IoRuntime runtime;
  MeshProcess entry(runtime, "entry-1");
  MeshProcess agent(runtime, "agent-1");
  ASSERT_TRUE(entry.started && agent.started);

  SECTION("the first frame dials, and those sent before the connection stands follow it")
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

// Symptom: frames lost and connections replaced right after two processes meet.
// Sequence: both dial each other at one moment; each side keeps one connection and closes the
// other. Cause: without a common rule each keeps the one that the other closes.
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
    EXPECT_EQ(left.diary, std::vector<std::string>{ "up control-2" });
    EXPECT_EQ(right.diary, std::vector<std::string>{ "up control-1" });
    EXPECT_EQ(left.mesh.ConnectionCount(), 1U);
    EXPECT_EQ(right.mesh.ConnectionCount(), 1U);
  }
}

// Symptom: requests wait for ever although both processes are well and nothing was closed.
// Sequence: a device between the two forgets an open connection and drops its bytes; writes still
// succeed until the kernel's buffers are full.
// Cause: TCP alone notices a silent connection only after many minutes.
TEST(PeerMesh, ASilentConnectionIsReplacedWithinTheTimeout)
{
  for (const auto swallow :
       { Relay::Direction::kBoth, Relay::Direction::kToTarget, Relay::Direction::kToCaller }) {
    IoRuntime runtime;
    MeshProcess entry(runtime, "entry-1", QuickHeartbeats);
    MeshProcess agent(runtime, "agent-1", QuickHeartbeats);
    Relay relay(runtime, agent.mesh.ListenAddress());
    ASSERT_TRUE(relay.Start());
    entry.SendNumber(agent, 1, relay.ListenAddress());
    ASSERT_TRUE(agent.WaitFor([&] { return agent.numbers.size() == 1; }));

    const TimePoint swallowed = BootNow();
    relay.BlackholeExisting(swallow);
    SECTION("both notice, and the old connection is down before the new one is up")
    {
      ASSERT_TRUE(entry.WaitForTransition("up agent-1", 2));
      ASSERT_TRUE(agent.WaitForTransition("up entry-1", 2));
      const std::vector<std::string> story{ "up agent-1", "down agent-1", "up agent-1" };
      EXPECT_EQ(entry.diary, story);
    }
    SECTION("within the timeout, with room for a busy machine")
    {
      EXPECT_LT(BootNow() - swallowed, 2 * kSilence);
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

// Symptom: an agent's answers vanish while its entry still seems well.
// Sequence: only the way back to the dialler is lost, and the dialler is slow to give up; its
// heartbeats go on arriving.
// Cause: taking what arrives as proof that what leaves arrives, too.
TEST(PeerMesh, TheAcceptingSideNoticesByItselfThatItsBytesAreLost)
{
  for (const auto swallow : { Relay::Direction::kToCaller, Relay::Direction::kToTarget }) {
    IoRuntime runtime;
    MeshProcess entry(runtime, "entry-1", [](PeerMeshSettings& settings) {
      settings.heartbeatInterval = kSilence / 4;
      settings.silenceTimeout = 10 * tests::kPatience;
    });
    MeshProcess agent(runtime, "agent-1", QuickHeartbeats);
    Relay relay(runtime, agent.mesh.ListenAddress());
    ASSERT_TRUE(relay.Start());
    entry.SendNumber(agent, 1, relay.ListenAddress());
    ASSERT_TRUE(agent.WaitFor([&] { return agent.numbers.size() == 1; }));
    runtime.SleepFor(2 * kSilence);
    EXPECT_EQ(agent.diary, std::vector<std::string>{ "up entry-1" });
    relay.BlackholeExisting(swallow);
    ASSERT_TRUE(agent.WaitForTransition("up entry-1", 2));
    EXPECT_EQ(agent.mesh.Counters().silent, 1U);
  }
}

// Symptom: a peer that is cut off for good is still taken as connected.
// Sequence: the open connection goes silent, and new ones can't be made either.
TEST(PeerMesh, ASilentPeerThatCannotBeDialledGoesDown)
{
  IoRuntime runtime;
  // Nothing listens at the announced addresses, so that only the relay leads from one to the other.
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
  EXPECT_EQ(entry.diary, (std::vector<std::string>{ "up agent-1", "down agent-1" }));
  EXPECT_EQ(entry.mesh.ConnectionCount(), 0U);
}

// Symptom: after a VM was paused, all its connections are replaced and all its requests resent.
// Sequence: the process stands still for longer than the silence timeout and goes on.
// Cause: it missed the answers itself, and takes every peer for silent.
TEST(PeerMesh, AfterAPauseOfTheProcessItsConnectionsStay)
{
  IoRuntime runtime;
  MeshProcess entry(runtime, "entry-1", QuickHeartbeats);
  MeshProcess agent(runtime, "agent-1", QuickHeartbeats);
  entry.SendNumber(agent, 1, agent.mesh.ListenAddress());
  ASSERT_TRUE(agent.WaitFor([&] { return agent.numbers.size() == 1; }));
  std::this_thread::sleep_for(2 * kSilence);
  runtime.SleepFor(2 * kSilence);
  EXPECT_EQ(entry.diary, std::vector<std::string>{ "up agent-1" });
  EXPECT_EQ(agent.diary, std::vector<std::string>{ "up entry-1" });
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
  runtime.SleepFor(2 * kSilence);
  EXPECT_EQ(relay.Accepted(), 1U);
  entry.SendNumber(agent, 2, relay.ListenAddress());
  ASSERT_TRUE(agent.WaitFor([&] { return agent.numbers.size() == 2; }));
  EXPECT_EQ(entry.diary, (std::vector<std::string>{ "up agent-1", "down agent-1", "up agent-1" }));
}

TEST(PeerMesh, AFailedDialSaysThatItsFramesAreLost)
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

TEST(PeerMesh, ARestartedPeerReplacesItsFormerLife)
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
  EXPECT_TRUE(entry.diary.empty());
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

// Symptom: a process grows until it is killed while one peer is slow.
// Cause: frames queue up for a peer that stopped reading; its connection looks well.
TEST(PeerMesh, AFullQueueClosesTheConnectionAndSaysSo)
{
  IoRuntime runtime;
  MeshProcess entry(
    runtime, "entry-1", [](PeerMeshSettings& settings) { settings.maxQueuedBytes = 1024 * 1024; });
  MeshProcess agent(runtime, "agent-1");
  entry.SendNumber(agent, 1, agent.mesh.ListenAddress());
  ASSERT_TRUE(entry.WaitForTransition("up agent-1"));
  wire::OutputT output;
  output.bytes.resize(300 * 1024);
  for (int i = 0; i < 4; ++i) {
    entry.mesh.Send(FrameOut{ agent.name, "", MakeEnvelope(output) });
  }
  EXPECT_EQ(entry.Events(EventNumber::kPeerQueueFull).size(), 1U);
  EXPECT_EQ(entry.diary.back(), "down agent-1");
}

// Symptom: a process grows until it is killed although no queue is full. Sequence: its own link is
// slow, and what waits for each of dozens of peers is within the limit of one. Cause: no limit for
// all of them together.
TEST(PeerMesh, WhatWaitsForAllPeersIsBoundedAsWell)
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
  output.bytes.resize(300 * 1024);
  const auto send = [&](const MeshProcess& to) {
    control.mesh.Send(FrameOut{ to.name, "", MakeEnvelope(output) });
  };
  send(first);
  send(second);
  send(second);
  EXPECT_TRUE(control.Events(EventNumber::kPeerQueueFull).empty());
  send(second);
  EXPECT_EQ(control.Events(EventNumber::kPeerQueueFull).size(), 1U);
  EXPECT_EQ(control.diary.back(), "down entry-2");
  SECTION("and those with less than their part go on")
  {
    control.SendNumber(first, 2, "");
    ASSERT_TRUE(first.WaitFor([&] { return first.numbers.size() == 3; }));
    EXPECT_EQ(first.numbers.back(), 2U);
  }
}

// Symptom: followers take a leader for dead that is only busy ("nine terms on one day, of which two
// were planned"). Sequence: its link is full of lists for others. Cause: the replicated log's
// frames waited behind all that was queued before them.
TEST(PeerMesh, TheReplicatedLogGoesFirst)
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
  SECTION("and the others stay in order")
  {
    follower.numbers.erase(log);
    EXPECT_EQ(follower.numbers, UpTo(kFrames));
  }
}

// Symptom: a cluster of three never founds itself, each caller is refused ("no serving document is
// known yet"); 203 PeerDialFailed "another message came instead" over and over. Sequence: a process
// accepts a connection from one that it has a vote or an append for. Cause: the log's frames went
// before all others, the proof of the handshake among them.
TEST(PeerMesh, TheReplicatedLogWaitsForTheHandshake)
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
      EXPECT_NE(Field(event, "reason"), "another message came instead");
    }
  }
}

// An operator who asks what fills a link gets it by kind of message.
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

TEST(PeerMesh, AFrameOverTheLimitIsNotSentAndTheConnectionLives)
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

TEST(PeerMesh, ALargeFrameArrivesWhole)
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
