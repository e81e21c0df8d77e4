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

/// \brief One of three control processes, with the table of what it heard.
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

  void Hear(const std::string& name, std::uint64_t sequence)
  {
    TargetAnnouncement announcement;
    announcement.instance = InstanceId(name);
    announcement.address = name + ":8080";
    announcement.sequence = sequence;
    const bool isNews = targets.Update(now, announcement) == TargetTable::Change::kState;
    relay.Note(Context(), announcement.instance, isNews);
  }

  void Leave(const std::string& name)
  {
    targets.MarkLeft(now, InstanceId(name));
    relay.Note(Context(), InstanceId(name), true);
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

  /// Who was told of which targets in this tick, by the frames sent.
  std::multimap<std::string, std::vector<std::string>> Tick()
  {
    ControlContext context = Context();
    relay.Tick(context, targets);
    std::multimap<std::string, std::vector<std::string>> told;
    for (const FrameOut& frame : TakeFrames()) {
      std::vector<std::string> names;
      for (const auto& heard : frame.envelope->body.AsTargetsHeard()->heard) {
        names.push_back(heard->instance + (heard->left ? " left" : ""));
      }
      told.emplace(frame.peer.Get(), names);
    }
    return told;
  }

  TargetRelay relay;
  TargetTable targets;
};

// Symptom: control processes spend most of their links and processors on each other. Sequence: 391
// targets speak about once a second. Cause: each word went to each other process in a frame of its
// own.
TEST(TargetRelay, SignsOfLifeOfManyTargetsShareOneFrame)
{
  RelayWorld world;
  world.Hear("i-1", 1);
  EXPECT_EQ(world.Tick().size(), 2U); // News goes at once.
  for (std::uint64_t sequence = 2; sequence <= 4; ++sequence) {
    world.Hear("i-1", sequence);
    EXPECT_THAT(world.Tick(), IsEmpty());
    world.now += 20ms;
  }
  SECTION("after a moment, or with the next news")
  {
    world.Hear("i-2", 1);
    const auto told = world.Tick();
    ASSERT_EQ(told.size(), 2U);
    EXPECT_THAT(told.find("control-2")->second, ElementsAre("i-1", "i-2"));
    world.Hear("i-1", 5);
    world.now += TargetRelay::kJoinTime;
    EXPECT_EQ(world.Tick().size(), 2U);
  }
}

// Symptom: memory rises while a process is slow. Cause: each heartbeat waited for it by itself.
TEST(TargetRelay, ASlowProcessIsToldTheLatestOnce)
{
  RelayWorld world;
  world.queuedBytes = [](const ProcessId& peer) {
    return peer.Get() == "control-2" ? std::size_t{ 1 } << 20U : 0;
  };
  for (std::uint64_t sequence = 1; sequence <= 50; ++sequence) {
    world.Hear("i-1", sequence);
    EXPECT_EQ(world.Tick().count("control-2"), 0U);
    world.now += TargetRelay::kJoinTime;
  }
  world.queuedBytes = {};
  const auto told = world.Tick();
  ASSERT_EQ(told.count("control-2"), 1U);
  EXPECT_THAT(told.find("control-2")->second, ElementsAre("i-1"));
}

// Symptom: entries keep a target that said farewell. Sequence: it tells a process whose connection
// with the leader just broke. Cause: a farewell is said once, and was lost with the connection.
TEST(TargetRelay, AProcessThatIsConnectedAgainIsToldWhatItMissed)
{
  RelayWorld world;
  world.Hear("i-1", 1);
  world.Hear("i-2", 1);
  world.Hear("i-silent", 1);
  world.Tick();
  world.SetUp("control-2", false);
  world.now += 3s;
  world.Hear("i-2", 2);
  world.Leave("i-1");
  EXPECT_EQ(world.Tick().count("control-2"), 0U);
  world.SetUp("control-2", true);
  const auto told = world.Tick();
  ASSERT_EQ(told.count("control-2"), 1U);
  EXPECT_THAT(told.find("control-2")->second, ElementsAre("i-1 left", "i-2"));
}

} // namespace
} // namespace gooseberrysail
