#include "gooseberrysail/control/target_relay.hpp"
#include "gooseberrysail/wire/envelope.hpp"
#include "net/frame_codec.hpp"
#include "support/control_world.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <gmock/gmock.h>
#include <map>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using ::testing::ElementsAre;
using ::testing::IsEmpty;

/// \brief One of three control processes, with its target table.
class RelayWorld : public tests::ControlWorld
{
public:
  RelayWorld()
  {
    settings.process = ProcessId("control-1");
    for (const char* name : { "control-1", "control-2", "control-3" }) {
      controls.push_back({ ProcessId(name), "" });
      peers[ProcessId(name)].up = true;
    }
  }

  void Announce(const std::string& name, std::uint64_t sequence)
  {
    TargetAnnouncement announcement;
    announcement.instance = InstanceId(name);
    announcement.address = name + ":8080";
    announcement.sequence = sequence;
    const bool isUrgent = targets.Update(now, announcement) == TargetTable::Change::kState;
    relay.Enqueue(Context(), announcement.instance, isUrgent);
  }

  void Leave(const std::string& name)
  {
    targets.MarkLeft(now, InstanceId(name));
    relay.Enqueue(Context(), InstanceId(name), true);
  }

  void SetUp(const std::string& name, bool up)
  {
    peers[ProcessId(name)].up = up;
    if (up) {
      relay.OnPeerUp(Context(), ProcessId(name), targets);
    } else {
      relay.OnPeerDown(ProcessId(name));
    }
  }

  /// The targets in each frame sent in this tick, by the receiving process.
  std::multimap<std::string, std::vector<std::string>> Tick()
  {
    ControlContext context = Context();
    relay.Tick(context, targets);
    std::multimap<std::string, std::vector<std::string>> sent;
    for (const FrameOut& frame : TakeFrames()) {
      std::vector<std::string> names;
      for (const auto& heard : frame.envelope->body.AsTargetsHeard()->heard) {
        names.push_back(heard->instance + (heard->left ? " left" : ""));
      }
      for (const auto& alive : frame.envelope->body.AsTargetsHeard()->alive) {
        names.push_back(alive->instance);
      }
      std::ranges::sort(names);
      sent.emplace(frame.peer.Get(), names);
    }
    return sent;
  }

  TargetRelay relay;
  TargetTable targets;
  std::uint64_t random = 4; ///< State of a generator.
};

// Guards against sending each announcement to each other control process in a frame of its own.
// With 391 targets that report about once a second, that used most of the processes' links and
// processors.
TEST(TargetRelay, HeartbeatsOfManyTargetsShareOneFrame)
{
  RelayWorld world;
  world.Announce("i-1", 1);
  EXPECT_EQ(world.Tick().size(), 2U); // State changes are sent at once.
  for (std::uint64_t sequence = 2; sequence <= 4; ++sequence) {
    world.Announce("i-1", sequence);
    EXPECT_THAT(world.Tick(), IsEmpty());
    world.now += 20ms;
  }
  SECTION("after the batch delay, or with the next state change")
  {
    world.Announce("i-2", 1);
    const auto sent = world.Tick();
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_THAT(sent.find("control-2")->second, ElementsAre("i-1", "i-2"));
    world.Announce("i-1", 5);
    world.now += TargetRelay::kBatchDelay;
    EXPECT_EQ(world.Tick().size(), 2U);
  }
}

// Guards against queueing each heartbeat separately for a slow process, which makes memory grow.
TEST(TargetRelay, ASlowProcessIsSentOnlyTheLatestState)
{
  RelayWorld world;
  world.queuedBytes = [](const ProcessId& peer) {
    return peer.Get() == "control-2" ? std::size_t{ 1 } << 20U : 0;
  };
  for (std::uint64_t sequence = 1; sequence <= 50; ++sequence) {
    world.Announce("i-1", sequence);
    EXPECT_EQ(world.Tick().count("control-2"), 0U);
    world.now += TargetRelay::kBatchDelay;
  }
  world.queuedBytes = {};
  const auto sent = world.Tick();
  ASSERT_EQ(sent.count("control-2"), 1U);
  EXPECT_THAT(sent.find("control-2")->second, ElementsAre("i-1"));
}

// Guards against losing the announcement that a target leaves, which is sent only once. It may
// reach a process whose connection with the leader just broke; entries would keep the target.
TEST(TargetRelay, AReconnectedProcessIsSentWhatItMissed)
{
  RelayWorld world;
  world.Announce("i-1", 1);
  world.Announce("i-2", 1);
  world.Announce("i-silent", 1);
  world.Tick();
  world.SetUp("control-2", false);
  world.now += 3s;
  world.Announce("i-2", 2);
  world.Leave("i-1");
  EXPECT_EQ(world.Tick().count("control-2"), 0U);
  world.SetUp("control-2", true);
  const auto sent = world.Tick();
  ASSERT_EQ(sent.count("control-2"), 1U);
  EXPECT_THAT(sent.find("control-2")->second, ElementsAre("i-1 left", "i-2"));
}

/// \brief A control process that knows targets only by what the world's process forwards.
class Receiver
{
public:
  /// \brief Applies the frames for control-2 that are sent in this tick.
  /// \returns The targets whose whole state it lacks.
  std::vector<std::string> Receive(RelayWorld& world)
  {
    std::vector<std::string> lacking;
    ControlContext context = world.Context();
    world.relay.Tick(context, world.targets);
    for (const FrameOut& frame : world.TakeFrames()) {
      if (frame.peer.Get() != "control-2") {
        continue;
      }
      const std::vector<std::string> unknown = Apply(world, frame);
      lacking.insert(lacking.end(), unknown.begin(), unknown.end());
    }
    return lacking;
  }

  /// \returns The targets in the frame whose whole state it lacks.
  std::vector<std::string> Apply(const RelayWorld& world, const FrameOut& frame)
  {
    std::vector<std::string> lacking;
    const wire::TargetsHeardT& heard = *frame.envelope->body.AsTargetsHeard();
    whole += heard.heard.size();
    for (const auto& row : heard.heard) {
      targets.Update(world.now, FromWire(*row));
    }
    for (const auto& row : heard.alive) {
      if (targets.Update(world.now, *row) == TargetTable::Refresh::kUnknownState) {
        lacking.push_back(row->instance);
      }
    }
    return lacking;
  }

  [[nodiscard]] const TargetRow& Row(const std::string& name) const
  {
    return *targets.Find(InstanceId(name));
  }

  TargetTable targets;
  std::size_t whole = 0; ///< Rows that were forwarded with the target's state.
};

// Guards against traffic of targets x control processes: each heartbeat forwarded with all that the
// receiver knows already.
TEST(TargetRelay, ForwardsHeartbeatsWithoutTheStateThatTheReceiverHas)
{
  RelayWorld world;
  Receiver receiver;
  world.Announce("i-1", 1);
  EXPECT_THAT(receiver.Receive(world), IsEmpty());
  for (std::uint64_t sequence = 2; sequence <= 20; ++sequence) {
    world.now += 1200ms;
    world.Announce("i-1", sequence);
    world.now += TargetRelay::kBatchDelay;
    EXPECT_THAT(receiver.Receive(world), IsEmpty());
    EXPECT_EQ(receiver.Row("i-1").lastSeenAt, world.now);
    EXPECT_EQ(receiver.Row("i-1").latest.sequence, sequence);
  }
  EXPECT_EQ(receiver.whole, 1U);
}

// Guards against a target that counts as alive in a state that it has left: the process that was
// told of the change ended before it told all others.
TEST(TargetRelay, AStateThatTheReceiverLacksIsRequested)
{
  RelayWorld world;
  Receiver receiver;
  world.Announce("i-1", 1);
  receiver.Receive(world);
  const TimePoint seen = receiver.Row("i-1").lastSeenAt;
  TargetAnnouncement changed = world.targets.Find(InstanceId("i-1"))->latest;
  changed.sequence = 2;
  changed.draining = true;
  world.targets.Update(world.now, changed); // Told by a process that ended since.
  world.now += 1200ms;
  changed.sequence = 3;
  EXPECT_EQ(world.targets.Update(world.now, changed), TargetTable::Change::kRefresh);
  world.relay.Enqueue(world.Context(), InstanceId("i-1"), false);
  world.now += TargetRelay::kBatchDelay;
  EXPECT_THAT(receiver.Receive(world), ElementsAre("i-1"));
  EXPECT_EQ(receiver.Row("i-1").lastSeenAt, seen);
  SECTION("and sent")
  {
    world.relay.OnRequest(world.Context(), ProcessId("control-2"), InstanceId("i-1"));
    EXPECT_THAT(receiver.Receive(world), IsEmpty());
    EXPECT_TRUE(receiver.Row("i-1").latest.draining);
    EXPECT_EQ(receiver.Row("i-1").lastSeenAt, world.now);
  }
  SECTION("an older heartbeat than the latest changes nothing")
  {
    wire::TargetAliveT late = ToAlive(receiver.Row("i-1").latest);
    late.sequence = 2;
    EXPECT_EQ(receiver.targets.Update(world.now, late), TargetTable::Refresh::kLate);
  }
  SECTION("one of an unknown target is requested, one of a target that left changes nothing")
  {
    wire::TargetAliveT other = ToAlive(receiver.Row("i-1").latest);
    other.instance = "i-2";
    EXPECT_EQ(receiver.targets.Update(world.now, other), TargetTable::Refresh::kUnknownState);
    receiver.targets.MarkLeft(world.now, InstanceId("i-1"));
    wire::TargetAliveT next = ToAlive(receiver.Row("i-1").latest);
    next.sequence = 9;
    receiver.targets.Update(world.now, next);
    EXPECT_TRUE(receiver.Row("i-1").latest.left);
  }
}

// Guards against a process that connects and is told nothing: the rows of all targets together
// exceed the largest frame, which is dropped.
TEST(TargetRelay, ManyLongRowsAreSentInSeveralFrames)
{
  constexpr int kTargets = 6000;
  constexpr std::size_t kModelBytes = 3000;
  constexpr int kTicks = 100;
  RelayWorld world;
  Receiver receiver;
  for (int target = 0; target < kTargets; ++target) {
    TargetAnnouncement announcement;
    announcement.instance = InstanceId("i-" + std::to_string(target));
    announcement.sequence = 1;
    // Not compressible, so that the frame is as large as its rows.
    for (std::size_t byte = 0; byte < kModelBytes; ++byte) {
      world.random = world.random * 6364136223846793005U + 1442695040888963407U;
      announcement.loadedModel.push_back(static_cast<char>(world.random >> 56U));
    }
    world.targets.Update(world.now, announcement);
  }
  world.SetUp("control-2", true);
  std::size_t largest = 0;
  for (int tick = 0; tick < kTicks; ++tick) {
    ControlContext context = world.Context();
    world.relay.Tick(context, world.targets);
    for (const FrameOut& frame : world.TakeFrames()) {
      largest = std::max(largest, impl::EncodeFrame(*frame.envelope).size());
      receiver.Apply(world, frame);
    }
  }
  EXPECT_LE(largest, kMaxFrameBytes);
  EXPECT_EQ(receiver.targets.Rows().size(), static_cast<std::size_t>(kTargets));
  EXPECT_EQ(receiver.whole, static_cast<std::size_t>(kTargets));
}

} // namespace
} // namespace gooseberrysail
