#include "fakes/fake_callers.hpp"
#include "support/section.hpp"

#include <gtest/gtest.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using fakes::FakeGateways;
using fakes::RunCallers;

constexpr std::size_t kAllowedInBackoff = 2;

// Guards against a target that asks an entry to back off and goes on getting its requests.
TEST(TargetBackoff, GetsNoRequestsUntilItIsOver)
{
  const auto run = [](const std::vector<std::string>& targets, Duration backoff) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      FakeGateways fleet(5, 4, seed);
      RunCallers(fleet, 2s, 100);
      for (const std::string& target : targets) {
        fleet.SetBackoff(target, backoff);
      }
      RunCallers(fleet, 12s, 100);
      for (const std::string& target : targets) {
        EXPECT_LE(fleet.MostDuringBackoff(target), kAllowedInBackoff)
          << target << ", " << ToMillis(backoff) << " ms, seed " << seed;
      }
    }
  };
  for (const Duration backoff : { Duration(400ms), Duration(3s), Duration(30s) }) {
    SECTION("one head and one plain target")
    {
      run({ "head-0", "plain-0" }, backoff);
    }
    SECTION("half of the heads")
    {
      run({ "head-0", "head-1" }, backoff);
    }
    SECTION("all of them")
    {
      run({ "head-0", "head-1", "head-2", "head-3", "plain-0", "plain-1", "plain-2" }, backoff);
    }
  }
}

// Guards against an entry that forgets what a target asked for when something else changes.
TEST(TargetBackoff, OutlastsChanges)
{
  const auto run = [](const auto& change) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      FakeGateways fleet(5, 4, seed);
      RunCallers(fleet, 2s, 100);
      fleet.SetBackoff("head-0", 3s);
      fleet.SetBackoff("plain-0", 3s);
      for (int count = 0; count < 3; ++count) {
        RunCallers(fleet, 1s, 100);
        change(fleet);
      }
      RunCallers(fleet, 3s, 100);
      EXPECT_LE(fleet.MostDuringBackoff("head-0"), kAllowedInBackoff) << "seed " << seed;
      EXPECT_LE(fleet.MostDuringBackoff("plain-0"), kAllowedInBackoff) << "seed " << seed;
    }
  };
  SECTION("a list without the target")
  {
    run([](FakeGateways& fleet) {
      fleet.SetListed("head-0", false);
      fleet.SetListed("plain-0", false);
      fleet.Run(100ms);
      fleet.SetListed("head-0", true);
      fleet.SetListed("plain-0", true);
    });
  }
  SECTION("a new leader")
  {
    run([](FakeGateways& fleet) { fleet.ChangeLeader(); });
  }
  SECTION("an entry without control")
  {
    run([](FakeGateways& fleet) { fleet.SetCut(1, true); });
  }
  SECTION("an entry that restarts")
  {
    run([](FakeGateways& fleet) { fleet.RestartEntry(1); });
  }
  SECTION("other heads are lost")
  {
    run([](FakeGateways& fleet) { fleet.Crash(fleet.ListRunning("head").back()); });
  }
  SECTION("closed connections")
  {
    run([](FakeGateways& fleet) { fleet.CloseConnections("head-0"); });
  }
}

// Guards against requests that are refused although other targets have room.
TEST(TargetBackoff, LeavesTheWorkToOthers)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    FakeGateways fleet(5, 4, seed);
    fleet.SetBackoff("plain-0", 3s);
    fleet.SetBackoff("plain-1", 3s);
    constexpr std::size_t kRequests = 200;
    for (std::size_t number = 0; number < kRequests; ++number) {
      fleet.Ask(fleet.Draw(fleet.CountEntries()), { .path = "/safe/1", .body = "look-up" });
      fleet.Run(50ms);
    }
    fleet.Run(2s);
    EXPECT_EQ(fleet.Answers("look-up")[200], kRequests) << "seed " << seed;
  }
}

// Guards against a target that stays idle after the time for which it wanted no requests.
TEST(TargetBackoff, EndsByItself)
{
  FakeGateways fleet(5, 4, 1);
  RunCallers(fleet, 2s, 100);
  fleet.SetBackoff("head-0", 2s);
  RunCallers(fleet, 1s, 100);
  fleet.SetBackoff("head-0", std::nullopt);
  RunCallers(fleet, 5s, 100);
  const std::size_t after = fleet.CountArrivals("head-0", fleet.now - 2s);
  const std::size_t other = fleet.CountArrivals("head-1", fleet.now - 2s);
  EXPECT_GE(2 * after, other);
}

// Guards against requests that reach a target in its backoff since connecting took long.
TEST(TargetBackoff, CoversRequestsThatAreNotOnTheWireYet)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    FakeGateways fleet(5, 4, seed);
    fleet.SetDialTime("plain-0", 900ms);
    std::size_t asked = 0;
    const auto runLookups = [&](Duration duration) {
      for (const TimePoint until = fleet.now + duration; fleet.now < until; ++asked) {
        fleet.Ask(fleet.Draw(fleet.CountEntries()), { .path = "/safe/1", .body = "look-up" });
        fleet.Run(10ms);
      }
    };
    runLookups(2s);
    fleet.SetBackoff("plain-0", 3s);
    runLookups(6s);
    fleet.Run(2s);
    EXPECT_LE(fleet.MostDuringBackoff("plain-0"), kAllowedInBackoff) << "seed " << seed;
    EXPECT_EQ(fleet.Answers("look-up")[200], asked) << "seed " << seed;
  }
}

} // namespace
} // namespace gooseberrysail
