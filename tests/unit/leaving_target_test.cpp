#include "fakes/fake_gateways.hpp"
#include "support/section.hpp"

#include <gtest/gtest.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using fakes::FakeGateways;

constexpr Duration kDrainTime = 2s;

/// \brief Sends requests to all entries evenly; every third one is a look-up at the plain targets.
void RunCallers(FakeGateways& fleet, Duration duration)
{
  const TimePoint until = fleet.now + duration;
  for (std::size_t number = 0; fleet.now < until; ++number) {
    const std::size_t entry = fleet.Draw(fleet.CountEntries());
    if (number % 3 == 0) {
      fleet.Ask(entry, { .path = "/safe/1", .body = "look-up" });
    } else {
      fleet.Ask(entry, { .path = "/stream/1", .body = "draft" });
    }
    fleet.Run(20ms);
  }
}

// Guards against requests to a target that says it leaves, which control doesn't know of.
TEST(LeavingTarget, GetsNoRequestsAfterItsDrainTime)
{
  const auto run = [](const auto& change) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      FakeGateways fleet(5, 4, seed);
      RunCallers(fleet, 2s);
      fleet.SetLeaving("head-0");
      fleet.SetLeaving("plain-0");
      RunCallers(fleet, 1s);
      change(fleet);
      RunCallers(fleet, 8s);
      EXPECT_EQ(fleet.CountAfterLeaving("head-0", kDrainTime), 0U) << "seed " << seed;
      EXPECT_EQ(fleet.CountAfterLeaving("plain-0", kDrainTime), 0U) << "seed " << seed;
      EXPECT_EQ(fleet.Answers("look-up")[503], 0U) << "seed " << seed;
    }
  };
  SECTION("without any change")
  {
    run([](FakeGateways&) {});
  }
  SECTION("a new leader, whose list has it as usual")
  {
    run([](FakeGateways& fleet) { fleet.ChangeLeader(); });
  }
  SECTION("an entry without control")
  {
    run([](FakeGateways& fleet) { fleet.SetCut(1, true); });
  }
  SECTION("a list without the target")
  {
    run([](FakeGateways& fleet) {
      fleet.SetListed("head-0", false);
      fleet.Run(100ms);
      fleet.SetListed("head-0", true);
    });
  }
}

// Guards against callers that are refused although a leaving target still serves them.
TEST(LeavingTarget, ServesUntilItsDrainTimeIsOverIfNoOtherHasRoom)
{
  FakeGateways fleet(5, 4, 1);
  RunCallers(fleet, 1s);
  for (const char* target : { "plain-0", "plain-1", "plain-2" }) {
    fleet.SetLeaving(target);
  }
  RunCallers(fleet, 1s);
  EXPECT_EQ(fleet.Answers("look-up")[503], 0U);
  RunCallers(fleet, 5s);
  for (const char* target : { "plain-0", "plain-1", "plain-2" }) {
    EXPECT_EQ(fleet.CountAfterLeaving(target, kDrainTime), 0U) << target;
  }
  EXPECT_GT(fleet.Answers("look-up")[503], 0U);
}

} // namespace
} // namespace gooseberrysail
