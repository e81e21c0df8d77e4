#include "fakes/fake_fleet.hpp"
#include "gooseberrysail/control/engine_groups.hpp"
#include "support/memory_watch.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMostBytes = std::size_t{ 16 } * 1024 * 1024;
constexpr std::uint64_t kHeartbeats = 2000;
constexpr Duration kInterval = 10ms;
constexpr std::uint32_t kHighRank = 1000;

// Guards against a leader without memory: one target names another group in each heartbeat, with a
// rank far above the size of any model.
TEST(GroupBounds, ATargetThatNamesManyGroupsTakesLittleMemory)
{
  const ServingDocument document = fakes::TwoModelDocument();
  EngineGroups groups;
  groups.OnLeaderStart();
  TargetTable targets;
  TimePoint now{ 1h };
  TargetAnnouncement target;
  target.instance = InstanceId("i-1");
  target.service = "assist";
  target.address = "10.0.0.9:80";
  const std::size_t before = test::MeasureMemory(getpid(), {}).residentBytes;
  for (std::uint64_t heartbeat = 1; heartbeat <= kHeartbeats; ++heartbeat) {
    target.sequence = heartbeat;
    target.membership = {
      "g-" + std::to_string(heartbeat), Epoch(1), kHighRank, wire::MemberState::Open
    };
    targets.Update(now, target);
    std::vector<GroupOrder> orders;
    std::vector<EventOut> events;
    groups.Tick(
      { now, Term(1), targets, document, true, true, {}, {}, {}, {}, {} }, orders, events);
    now += kInterval;
  }
  const std::size_t after = test::MeasureMemory(getpid(), {}).residentBytes;
  EXPECT_LE(after, before + kMostBytes);
}

} // namespace
} // namespace gooseberrysail
