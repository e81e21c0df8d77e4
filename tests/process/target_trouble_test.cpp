#include "support/section.hpp"
#include "support/serving_installation.hpp"

#include <algorithm>
#include <gmock/gmock.h>
#include <sstream>
#include <thread>

namespace gooseberrysail::test {
namespace {

using namespace std::chrono_literals;
using ::testing::HasSubstr;

constexpr const char* kOnceConfig =
  R"({"version":1,"routes":[{"name":"r1","host":"hire.example","pathPrefix":"/a/","kind":"safe",)"
  R"("timeoutMs":3000,"service":"desk","maxAttempts":2},)"
  R"({"name":"r2","host":"hire.example","pathPrefix":"/once/","kind":"unsafe",)"
  R"("timeoutMs":3000,"service":"desk","maxAttempts":2}],)"
  R"("services":[{"name":"desk","healthPath":"/health"}],)"
  R"("tenants":[{"name":"t1","apiKeys":["key-of-t1"]}]})";

/// Sends requests that may run once at most, from several callers.
void AskOnceEach(ServingInstallation& serving, const std::string& prefix)
{
  constexpr int kCallers = 4;
  constexpr int kRequests = 60;
  std::vector<std::thread> callers;
  for (int caller = 1; caller <= kCallers; ++caller) {
    callers.emplace_back([&serving, from = prefix + "-" + std::to_string(caller) + "-"] {
      for (int number = 1; number <= kRequests; ++number) {
        const std::string id = from + std::to_string(number);
        serving.ledger.OnRequestSent(id, false);
        const HttpReply reply = serving.site.CallEntry("/once/x", "key-of-t1", id);
        serving.ledger.OnReply(id, reply.status, soak::IsAnswerTo(id, reply));
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
}

/// The lines of a log that name a request.
std::string LinesOf(const std::string& log, const std::string& request)
{
  std::istringstream lines(log);
  std::string found;
  for (std::string line; std::getline(lines, line);) {
    if (line.find("request=" + request + " ") != std::string::npos) {
      found += line + "\n";
    }
  }
  return found;
}

/// Expects that no request ran of which its caller was told that it did not, and none ran twice.
void ExpectPromisesKept(ServingInstallation& serving)
{
  constexpr std::size_t kShown = 3;
  const std::vector<std::string> violations = serving.ledger.Violations();
  const auto refused = std::ranges::count_if(violations, [](const std::string& text) {
    return text.find("was refused") != std::string::npos;
  });
  EXPECT_EQ(violations.size(), 0U) << refused << " were refused and ran";
  for (std::size_t number = 0; number < std::min(violations.size(), kShown); ++number) {
    const std::string& violation = violations[number];
    ADD_FAILURE() << violation << "\n"
                  << LinesOf(serving.site.entry->Output(),
                             violation.substr(0, violation.find(' ')));
  }
}

/// Lets all replicas give untrue answers, and expects that callers are told the truth.
template<class SetUntrue>
void ExpectPromisesKeptBeside(const std::string& prefix, const SetUntrue& setUntrue)
{
  constexpr std::uint64_t kLeast = 20;
  ServingInstallation serving(kOnceConfig);
  serving.WaitUntilServed();
  for (const auto& replica : serving.replicas) {
    setUntrue(*replica);
  }
  AskOnceEach(serving, prefix);
  std::uint64_t untrue = 0;
  for (const auto& replica : serving.replicas) {
    untrue += replica->UntrueAnswers();
  }
  EXPECT_GE(untrue, kLeast);
  ExpectPromisesKept(serving);
}

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

// Guards against a promise that a request did not run, copied from a target that ran it.
TEST(TargetTrouble, AStatusThatPromisesTooMuchIsNotPassedOn)
{
  for (const unsigned status : { 408U, 429U, 503U }) {
    SECTION("status " + std::to_string(status))
    {
      ExpectPromisesKeptBeside(std::to_string(status), [status](soak::Replica& replica) {
        replica.SetUnstatedRefusals(0.3, status);
      });
    }
  }
}

// Guards against a request that is refused, or sent once more, because its target ran it and said
// that it is misdirected.
TEST(TargetTrouble, ARequestThatRanIsNotCalledMisdirected)
{
  ExpectPromisesKeptBeside("421",
                           [](soak::Replica& replica) { replica.SetUnstatedRefusals(0.3, 421); });
}

// Guards against a success that states that the request did not run, taken for a refusal.
TEST(TargetTrouble, ASuccessThatDeniesItselfIsNoRefusal)
{
  ExpectPromisesKeptBeside("200",
                           [](soak::Replica& replica) { replica.SetContradictionRate(0.3); });
}

} // namespace
} // namespace gooseberrysail::test
