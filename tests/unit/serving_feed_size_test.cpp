#include "gooseberrysail/wire/envelope.hpp"
#include "support/feed_world.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>
#include <map>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using tests::FeedWorld;

constexpr std::size_t kEntries = 60;
constexpr std::size_t kTargets = 500;

std::string EntryName(std::size_t number)
{
  return "entry-" + std::to_string(number);
}

ServedTarget Target(std::size_t number)
{
  const std::string name = "i-" + std::to_string(100'000 + number);
  return { InstanceId(name), "assist", name + ":8080", FailureDomainId("a"), 28, false, "large" };
}

std::size_t BytesOf(const std::vector<FrameOut>& frames)
{
  std::size_t bytes = 0;
  for (const FrameOut& frame : frames) {
    bytes += EncodeEnvelope(*frame.envelope).size();
  }
  return bytes;
}

// Guards against control processes that exceed their memory limit of 256 MB when all targets
// announce themselves within a second or two. If each changed row sends the whole list to every
// entry, traffic grows with entries x targets x changes, the leader's link saturates, and the send
// queues use up the memory. With 52 entries and 391 targets, 21,884 lists of about 50 kB were sent
// in 49 s: control processes exited 6 times, 121 configurations were read back late, and 108 valid
// requests were refused.
TEST(ServingFeedSize, WhatIsSentIsNearWhatChanged)
{
  FeedWorld world;
  world.feed.SetTargetsComplete(true);
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    world.Ask(EntryName(entry), {});
  }
  world.TakeFrames();
  std::vector<ServedTarget> targets;
  std::size_t sent = 0;
  constexpr auto kGap = 2ms; // All targets announce themselves within one second.
  for (std::size_t number = 0; number < kTargets; ++number) {
    targets.push_back(Target(number));
    world.now += kGap;
    world.feed.SetTargets(targets);
    world.Tick();
    sent += BytesOf(world.TakeFrames());
  }
  world.now += 1s;
  world.Tick();
  sent += BytesOf(world.TakeFrames());

  wire::ServingStateT whole;
  for (const ServedTarget& target : targets) {
    whole.targets.push_back(std::make_unique<wire::ServingTargetT>(ToWire(TimePoint(1h), target)));
  }
  const std::size_t wholeBytes = EncodeEnvelope(*MakeEnvelope(std::move(whole))).size();
  // Each entry receives each row once; the frames may take as much again.
  EXPECT_LT(sent, 2 * kEntries * wholeBytes);
}

// Guards against unbounded memory growth of a control process while one entry reads slowly: the
// entry reads a few kB a second while rows change a thousand times. This happens if each change is
// queued regardless of what is queued already; the entry then receives one outdated state after
// another.
TEST(ServingFeedSize, ASlowReaderReceivesTheLatestState)
{
  constexpr std::size_t kReadEachStep = 100;                 // Bytes in 5 ms.
  constexpr std::size_t kMostQueued = 64 * 1024 + 64 * 1024; // One write and one list.
  FeedWorld world;
  std::size_t queued = 0;
  std::size_t mostQueued = 0;
  world.queuedBytes = [&](const ProcessId&) { return queued; };
  world.feed.SetTargetsComplete(true);
  std::vector<ServedTarget> targets;
  for (std::size_t number = 0; number < kTargets; ++number) {
    targets.push_back(Target(number));
  }
  world.feed.SetTargets(targets);
  world.Ask(EntryName(0), {});
  std::map<std::string, std::uint32_t> held;
  std::uint64_t heldSequence = 0;
  std::size_t steps = 0;
  const auto run = [&] {
    world.now += 5ms;
    if (++steps % 100 == 0) {
      wire::ServingQueryT query;
      query.haveTargets = heldSequence;
      world.Ask(EntryName(0), std::move(query));
    }
    world.feed.SetTargets(targets);
    world.Tick();
    for (const FrameOut& frame : world.TakeFrames()) {
      queued += EncodeEnvelope(*frame.envelope).size();
      const wire::ServingStateT& state = *frame.envelope->body.AsServingState();
      heldSequence = std::max(heldSequence, state.targetsSequence);
      for (const auto& target : state.targets) {
        held[target->instance] = target->slots;
      }
    }
    mostQueued = std::max(mostQueued, queued);
    queued -= std::min(queued, kReadEachStep);
  };
  constexpr std::size_t kChanges = 1000;
  constexpr std::size_t kChangedEach = 20;
  for (std::size_t change = 0; change < kChanges; ++change) {
    for (std::size_t row = 0; row < kChangedEach; ++row) {
      targets[(change * kChangedEach + row) % kTargets].slots = static_cast<std::uint32_t>(change);
      targets[(change * kChangedEach + row) % kTargets].leaving = change % 2 == 0;
    }
    run();
  }
  EXPECT_LE(mostQueued, kMostQueued);
  SECTION("the entry finally has the current table")
  {
    for (std::size_t step = 0; step < 2 * kMostQueued / kReadEachStep; ++step) {
      run();
    }
    for (const ServedTarget& target : targets) {
      EXPECT_EQ(held[target.instance.Get()], target.slots);
    }
  }
}

} // namespace
} // namespace gooseberrysail
