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

// Symptom: control processes went over their memory limit of 256 MB and were ended, at the first
// announcements already; configurations were read back late and proper requests were refused
// ("CONFIG 121, DENIED 108; 6 exits of its own": 52 entries, 391 targets). Sequence: the targets
// announce themselves within a second or two. Cause: for each row that changed, every entry was
// sent the whole list: what is sent grows with entries x targets x changes (21,884 lists of some 50
// kB in 49 s), the leader's link is full, and what waits for it takes all memory.
TEST(ServingFeedSize, WhatIsSentIsNearWhatChanged)
{
  FeedWorld world;
  world.feed.SetWhole(true);
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    world.Ask(EntryName(entry), {});
  }
  world.TakeFrames();
  std::vector<ServedTarget> targets;
  std::size_t sent = 0;
  constexpr auto kGap = 2ms; // All of them within a second.
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
    whole.targets.push_back(std::make_unique<wire::ServingTargetT>(ToWire(target)));
  }
  const std::size_t wholeBytes = EncodeEnvelope(*MakeEnvelope(std::move(whole))).size();
  // Each entry is told each row once; as much again for the frames around them.
  EXPECT_LT(sent, 2 * kEntries * wholeBytes);
}

// Symptom: memory of a control process rises without end while one entry reads slowly. Sequence:
// the entry takes a few kB a second, rows change a thousand times. Cause: each change was queued as
// soon as it was known, whatever waited already, and the entry was told old states one after the
// other.
TEST(ServingFeedSize, ASlowReaderIsToldTheLatestState)
{
  constexpr std::size_t kReadEachStep = 100;                 // Bytes in 5 ms.
  constexpr std::size_t kMostQueued = 64 * 1024 + 64 * 1024; // One write, and one list behind it.
  FeedWorld world;
  std::size_t queued = 0;
  std::size_t mostQueued = 0;
  world.queuedBytes = [&](const ProcessId&) { return queued; };
  world.feed.SetWhole(true);
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
  SECTION("and ends with what the table holds")
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
