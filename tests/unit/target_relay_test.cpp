#include "gooseberrysail/control/target_relay.hpp"
#include "support/control_world.hpp"
#include "support/section.hpp"

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
      sent.emplace(frame.peer.Get(), names);
    }
    return sent;
  }

  TargetRelay relay;
  TargetTable targets;
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

} // namespace
} // namespace gooseberrysail
