#include "fakes/fake_gateways.hpp"
#include "support/section.hpp"

#include <gtest/gtest.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using fakes::FakeGateways;

constexpr const char* kPart = "deadly";
constexpr Duration kContact = 3s; ///< Within it a process in touch learns what others know.
constexpr std::size_t kAllowedArrivals = 3;
constexpr std::size_t kRequestsASecond = 80;
constexpr Duration kInterval = 50ms;

/// \brief Requests of one caller, no two alike, some of which have parts that crash targets.
class Traffic
{
public:
  Traffic(std::size_t entries, std::size_t targets, std::uint64_t seed)
    : fleet(entries, targets, seed)
  {
  }

  /// \param percent The share of requests with one of `parts`, beside parts that all share.
  void Run(Duration duration, unsigned percent, const std::vector<std::string>& parts = { kPart })
  {
    const TimePoint until = fleet.now + duration;
    while (fleet.now < until) {
      for (std::size_t request = 0; request < kRequestsASecond / 20; ++request) {
        const bool isSound = fleet.Draw(100) >= percent;
        AskOne(isSound ? std::string() : parts[fleet.Draw(parts.size())]);
      }
      fleet.Run(kInterval);
    }
  }

  [[nodiscard]] std::size_t ServedSound() const { return fleet.CountServed("sound "); }

  FakeGateways fleet;
  std::size_t asked = 0; ///< Sound requests.

private:
  void AskOne(const std::string& part)
  {
    const std::string number = std::to_string(++m_number);
    fakes::CallerRequest request;
    request.body = (part.empty() ? "sound " : "with ") + part + number;
    request.parts = { "system prompt", "instructions " + std::to_string(fleet.Draw(20)) };
    if (!part.empty()) {
      request.parts.push_back(part);
    }
    asked += part.empty() ? 1 : 0;
    fleet.Ask(fleet.Draw(fleet.CountEntries()), request);
  }

  std::size_t m_number = 0;
};

std::size_t ArrivalsAfterTheBound(const FakeGateways& fleet)
{
  const std::vector<TimePoint>& crashes = fleet.Crashes();
  return crashes.size() < 5 ? 0 : fleet.CountArrivalsSince(crashes[4] + kContact);
}

void ExpectHeld(const FakeGateways& fleet, const std::set<std::string>& parts)
{
  std::set<std::string> names;
  for (const std::string& part : parts) {
    names.insert(FakeGateways::NameOf(part));
  }
  EXPECT_EQ(fleet.HeldParts(), names);
}

// Guards against a part of a prompt that takes down target after target, as no two requests with it
// are alike.
TEST(CrashingPart, ReachesNoFurtherTargets)
{
  for (const unsigned percent : { 1U, 5U, 30U }) {
    SECTION(std::to_string(percent) + " in 100 requests have the part")
    {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        SECTION("seed " + std::to_string(seed))
        {
          Traffic traffic(5, 12, seed);
          traffic.Run(3s, 0);
          traffic.fleet.SetDeadly(kPart, true);
          traffic.Run(20s, percent);
          EXPECT_LE(ArrivalsAfterTheBound(traffic.fleet), kAllowedArrivals);
          ExpectHeld(traffic.fleet, { kPart });
        }
      }
    }
  }
}

// Guards against targets whose crashes show as the ends of their answers.
TEST(CrashingPart, ReachesNoFurtherTargetsWhereAnswersHaveNoFraming)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Traffic traffic(5, 12, seed);
    traffic.fleet.SetCrashSign(fakes::CrashSign::kEndOfAll);
    traffic.fleet.SetListLag(1s);
    traffic.fleet.SetDeadly(kPart, true);
    traffic.Run(20s, 5);
    EXPECT_LE(ArrivalsAfterTheBound(traffic.fleet), kAllowedArrivals) << "seed " << seed;
  }
}

// Guards against sound requests that are rejected, or never served, since they share their caller
// and their other parts with those that crash targets.
TEST(CrashingPart, LeavesSoundRequestsAlone)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Traffic calm(5, 12, seed);
    calm.Run(20s, 0);
    calm.fleet.Run(2s);
    Traffic troubled(5, 12, seed);
    troubled.fleet.SetDeadly(kPart, true);
    troubled.Run(6s, 5);
    const std::size_t servedBefore = troubled.ServedSound();
    const std::size_t askedBefore = troubled.asked;
    troubled.Run(14s, 5);
    troubled.fleet.Run(2s);
    const double share = static_cast<double>(troubled.ServedSound() - servedBefore) /
                         static_cast<double>(troubled.asked - askedBefore);
    const double usual = static_cast<double>(calm.ServedSound()) / static_cast<double>(calm.asked);
    EXPECT_GE(share, 0.9 * usual) << "seed " << seed;
  }
}

// Guards against a part that stays rejected when it has become harmless, and against one that is
// never rejected as it was harmless before.
TEST(CrashingPart, IsServedAgainWhenItIsHarmless)
{
  Traffic traffic(5, 12, 1);
  traffic.Run(5s, 5);
  EXPECT_TRUE(traffic.fleet.HeldParts().empty());
  traffic.fleet.SetDeadly(kPart, true);
  traffic.Run(8s, 5);
  ExpectHeld(traffic.fleet, { kPart });
  traffic.fleet.SetDeadly(kPart, false);
  traffic.Run(60s, 5);
  const std::size_t served = traffic.fleet.CountServed("with ");
  traffic.Run(5s, 5);
  traffic.fleet.Run(2s);
  EXPECT_GE(traffic.fleet.CountServed("with ") - served, 5U);
  EXPECT_LE(ArrivalsAfterTheBound(traffic.fleet), kAllowedArrivals);
}

// Guards against two such parts that hide one another.
TEST(CrashingPart, IsFoundBesideAnother)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Traffic traffic(5, 12, seed);
    traffic.fleet.SetDeadly("first", true);
    traffic.fleet.SetDeadly("second", true);
    traffic.Run(20s, 6, { "first", "second" });
    ExpectHeld(traffic.fleet, { "first", "second" });
  }
}

// Guards against sound parts that are rejected because targets crash for another reason.
TEST(CrashingPart, IsNoneWhereTargetsCrashForAnotherReason)
{
  const auto run = [](const auto& disturb) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      Traffic traffic(5, 12, seed);
      for (int round = 0; round < 6; ++round) {
        traffic.Run(1500ms, 50, { "half", "rare" + std::to_string(round) });
        disturb(traffic.fleet);
      }
      traffic.Run(5s, 50, { "half" });
      EXPECT_TRUE(traffic.fleet.HeldParts().empty()) << "seed " << seed;
    }
  };
  SECTION("half of the heads are lost at once")
  {
    run([](FakeGateways& fleet) {
      const std::vector<std::string> heads = fleet.ListRunning("head");
      for (std::size_t head = 0; head < heads.size() / 2; ++head) {
        fleet.Crash(heads[head]);
      }
    });
  }
  SECTION("heads are lost one after the other")
  {
    run([](FakeGateways& fleet) {
      for (int loss = 0; loss < 3; ++loss) {
        const std::vector<std::string> heads = fleet.ListRunning("head");
        fleet.Crash(heads[fleet.Draw(heads.size())]);
        fleet.Run(300ms);
      }
    });
  }
  SECTION("all connections to heads are reset")
  {
    run([](FakeGateways& fleet) {
      for (const std::string& head : fleet.ListRunning("head")) {
        fleet.CloseConnections(head);
      }
    });
  }
}

// Guards against knowledge of a part that ends with the process that has it.
TEST(CrashingPart, StaysHeld)
{
  Traffic traffic(5, 12, 1);
  traffic.fleet.SetDeadly(kPart, true);
  traffic.Run(4s, 5);
  ExpectHeld(traffic.fleet, { kPart });
  SECTION("when control has a new leader")
  {
    traffic.fleet.ChangeLeader();
    traffic.Run(4s, 5);
  }
  SECTION("at an entry that has restarted")
  {
    traffic.fleet.RestartEntry(0);
    traffic.fleet.Run(1s);
    traffic.Run(4s, 5);
  }
  SECTION("at an entry that was cut off and comes back")
  {
    traffic.fleet.SetCut(2, true);
    traffic.Run(2s, 5);
    traffic.fleet.SetCut(2, false);
    traffic.Run(4s, 5);
  }
  EXPECT_LE(ArrivalsAfterTheBound(traffic.fleet), kAllowedArrivals);
}

} // namespace
} // namespace gooseberrysail
