#include "support/serving_installation.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail::test {
namespace {

using namespace std::chrono_literals;
using ::testing::HasSubstr;

// Guards against a request that takes down target after target, with the daemon's own connections.
TEST(TargetTrouble, ARequestThatCrashesTargetsIsRejected)
{
  ServingInstallation serving;
  for (const auto& replica : serving.replicas) {
    replica->SetCrashBody("crashes");
  }
  serving.WaitUntilServed();
  HttpReply last;
  for (int repeat = 0; repeat < 12; ++repeat) {
    last = serving.Ask("crashes");
    serving.WaitUntilServed();
  }
  std::uint64_t crashes = 0;
  for (const auto& replica : serving.replicas) {
    crashes += replica->Crashes();
  }
  EXPECT_EQ(crashes, 3U);
  EXPECT_EQ(last.status, 502U);
  EXPECT_EQ(last.Header("Retry-After"), "");
  EXPECT_THAT(last.body, HasSubstr("the same request"));
}

// Guards against a target in need that gets its usual requests, with the platform's own header.
TEST(TargetTrouble, ALimitThatATargetNamesIsKept)
{
  ServingInstallation serving;
  serving.replicas[0]->SetLimit("1");
  serving.WaitUntilServed();
  EXPECT_TRUE(WaitUntil(
    [&] {
      EXPECT_EQ(serving.Ask("sound").status, 200U);
      return serving.replicas[0]->Runs() > 0;
    },
    PlatformInstallation::kTimeout));
  const std::uint64_t before = serving.replicas[0]->Runs();
  const auto until = std::chrono::steady_clock::now() + 4s;
  while (std::chrono::steady_clock::now() < until) {
    EXPECT_EQ(serving.Ask("sound").status, 200U);
  }
  constexpr std::uint64_t kAllowed = 11; // One and a half times 1 a second for 4 s, and 5.
  EXPECT_LE(serving.replicas[0]->Runs() - before, kAllowed);
  EXPECT_GT(serving.replicas[1]->Runs() + serving.replicas[2]->Runs(), 4 * kAllowed);
}

// Guards against a target that asks to back off and gets requests, with the platform's own header.
TEST(TargetTrouble, ATargetThatAsksToBackOffGetsNoRequests)
{
  ServingInstallation serving;
  soak::Replica& busy = *serving.replicas[0];
  busy.SetRetryAfter("3");
  serving.WaitUntilServed();
  const auto askFor = [&](std::chrono::milliseconds duration) {
    const auto until = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < until) {
      EXPECT_EQ(serving.Ask("sound").status, 200U);
    }
  };
  EXPECT_TRUE(WaitUntil(
    [&] {
      EXPECT_EQ(serving.Ask("sound").status, 200U);
      return busy.Rejections() > 0;
    },
    PlatformInstallation::kTimeout));
  askFor(500ms);
  const std::uint64_t rejections = busy.Rejections();
  askFor(2s);
  EXPECT_EQ(busy.Rejections(), rejections);

  busy.SetRetryAfter("");
  EXPECT_TRUE(WaitUntil(
    [&] {
      EXPECT_EQ(serving.Ask("sound").status, 200U);
      return busy.Runs() > 0;
    },
    PlatformInstallation::kTimeout));
}

// Guards against a target that says it leaves and gets requests, with the platform's own header.
TEST(TargetTrouble, ATargetThatSaysItLeavesGetsNoRequests)
{
  ServingInstallation serving;
  soak::Replica& leaving = *serving.replicas[0];
  serving.WaitUntilServed();
  leaving.SetLeaving();
  const std::uint64_t runs = leaving.Runs();
  EXPECT_TRUE(WaitUntil(
    [&] {
      EXPECT_EQ(serving.Ask("sound").status, 200U);
      return leaving.Runs() > runs;
    },
    PlatformInstallation::kTimeout));
  const std::uint64_t told = leaving.Runs();
  const auto until = std::chrono::steady_clock::now() + 3s;
  while (std::chrono::steady_clock::now() < until) {
    EXPECT_EQ(serving.Ask("sound").status, 200U);
  }
  EXPECT_EQ(leaving.Runs(), told);
}

} // namespace
} // namespace gooseberrysail::test
