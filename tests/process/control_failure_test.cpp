#include "support/section.hpp"
#include "support/test_cluster.hpp"

#include <boost/json.hpp>
#include <csignal>
#include <filesystem>

namespace gooseberrysail::test {
namespace {

constexpr std::size_t kChanges = 40;

std::string PolicyEntry(std::size_t number)
{
  return R"([{"kind":"policy","name":"policy-)" + std::to_string(number) +
         R"(","owner":"ops","class":"standard","spec":{"downtimeWeight":2}}])";
}

std::string Leader(TestCluster& cluster)
{
  std::string leader;
  const bool found = WaitUntil(
    [&] {
      const HttpReply status = cluster.Admin("GET", "/admin/v1/status");
      boost::system::error_code error;
      const auto view = boost::json::parse(status.body, error);
      if (error || status.status != 200) {
        return false;
      }
      leader = view.at("leader").at("process").as_string();
      return true;
    },
    kReadyTimeout);
  return found ? leader : "";
}

std::size_t CountPresent(TestCluster& cluster, std::size_t upTo)
{
  std::size_t present = 0;
  for (std::size_t number = 0; number < upTo; ++number) {
    const std::string target = "/admin/v1/catalogue/policy/policy-" + std::to_string(number);
    present += cluster.Admin("GET", target).status == 200 ? 1 : 0;
  }
  return present;
}

/// Whether a learner was let in and then became a voter, by the leader's log.
bool WasPromoted(const std::string& output)
{
  const auto joined = output.rfind("(learner)");
  return joined != std::string::npos &&
         output.find("RaftMembershipChanged", joined) != std::string::npos;
}

// Symptom: an operator was told that a change is in, and after a crash of control it is gone.
// Sequence: changes go in one after another; the leader is killed between two of them; the other
// two elect a new one.
// Cause: an acknowledgement before a quorum synced the change would rest on the killed disk alone.
TEST(ControlFailure, AcknowledgedChangesOutliveAKilledLeader)
{
  TestCluster cluster({ .controls = 3, .entries = 0 });
  for (std::size_t number = 0; number < kChanges; ++number) {
    if (number == kChanges / 2) {
      const std::string leader = Leader(cluster);
      ASSERT_NE(leader, "") << cluster.Outputs();
      cluster.Process(leader).Kill();
    }
    const HttpReply applied = cluster.Apply(PolicyEntry(number));
    ASSERT_EQ(applied.status, 200U) << number << applied.body << cluster.Outputs();
  }
  EXPECT_EQ(CountPresent(cluster, kChanges), kChanges);
}

// Symptom: a control VM that froze for a while comes back and answers operators from old state.
// Sequence: the leader is stopped by SIGSTOP; the others lead on and take a change; it is thawed.
// Cause: a leader that doesn't know how long it slept still believes in its term.
TEST(ControlFailure, AThawedLeaderAnswersNothingFromItsFormerTerm)
{
  TestCluster cluster({ .controls = 3, .entries = 0 });
  ASSERT_EQ(cluster.Apply(PolicyEntry(0)).status, 200U) << cluster.Outputs();
  const std::string frozen = Leader(cluster);
  ASSERT_NE(frozen, "");
  cluster.Process(frozen).Signal(SIGSTOP);
  ASSERT_EQ(cluster.Apply(PolicyEntry(1)).status, 200U) << cluster.Outputs();
  cluster.Process(frozen).Signal(SIGCONT);

  const std::size_t index = static_cast<std::size_t>(frozen.back() - '1');
  const HttpReply reply =
    Call({ .address = cluster.ControlAddress(index),
           .target = "/admin/v1/catalogue/policy/policy-1",
           .headers = { { "Authorization", "Bearer " + std::string(kOperatorToken) } } });
  EXPECT_TRUE(reply.status == 200 || reply.status == 421 || reply.status == 503)
    << reply.status << reply.body;
  EXPECT_NE(reply.status, 404U) << "it answered from the time before its freeze";
  EXPECT_EQ(CountPresent(cluster, 2), 2U);
}

// Symptom: a control VM whose disk was replaced votes as if it still knew what it had promised.
// Sequence: one of three loses its data folder and starts empty; later another one dies.
// Cause: under its old name, an empty voter could elect a leader that lacks acknowledged changes.
TEST(ControlFailure, AWipedVoterIsLetInAgainAndThenCarriesItsPart)
{
  TestCluster cluster({ .controls = 3, .entries = 0 });
  for (std::size_t number = 0; number < 5; ++number) {
    ASSERT_EQ(cluster.Apply(PolicyEntry(number)).status, 200U) << cluster.Outputs();
  }
  const std::string leader = Leader(cluster);
  const std::string wiped = leader == "control-3" ? "control-2" : "control-3";
  cluster.Process(wiped).Kill();
  std::filesystem::remove_all(cluster.DataFolder(static_cast<std::size_t>(wiped.back() - '1')));
  cluster.Restart(wiped);
  SECTION("the two others go on meanwhile")
  {
    EXPECT_EQ(cluster.Apply(PolicyEntry(5)).status, 200U) << cluster.Outputs();
  }
  SECTION("with a second loss, the one that was let in again makes the quorum")
  {
    const auto promoted = [&] { return WasPromoted(cluster.Process(leader).Output()); };
    ASSERT_TRUE(WaitUntil(promoted, kReadyTimeout)) << cluster.Outputs();
    cluster.Process(leader).Kill();
    EXPECT_EQ(cluster.Apply(PolicyEntry(6)).status, 200U) << cluster.Outputs();
    EXPECT_EQ(CountPresent(cluster, 7), 7U);
  }
}

// Symptom: control can't be started after a power cut, or starts and has forgotten a change.
// Sequence: the process is killed; the last record of its log is cut short; it starts again. Then
// a byte in the middle is damaged.
// Cause: a write that was under way is torn; a damaged middle means that synced data was lost.
TEST(ControlFailure, ATornTailIsCutAndADamagedMiddleIsRefusedWithItsPlace)
{
  TestCluster cluster({ .controls = 1, .entries = 0 });
  for (std::size_t number = 0; number < 5; ++number) {
    ASSERT_EQ(cluster.Apply(PolicyEntry(number)).status, 200U) << cluster.Outputs();
  }
  ChildProcess& control = cluster.Process("control-1");
  control.Kill();
  std::string newest;
  for (const auto& file : std::filesystem::recursive_directory_iterator(cluster.DataFolder(0))) {
    if (file.path().filename().string().starts_with("log-") && file.path().string() > newest) {
      newest = file.path().string();
    }
  }
  ASSERT_NE(newest, "") << "no log file";
  SECTION("a torn tail")
  {
    std::FILE* log = std::fopen(newest.c_str(), "ab");
    ASSERT_NE(log, nullptr);
    std::fputs("\x40\x01", log);
    std::fclose(log);
    cluster.Restart("control-1");
    EXPECT_EQ(CountPresent(cluster, 5), 5U) << cluster.Outputs();
  }
  SECTION("a damaged middle")
  {
    cluster.Process("control-1").Kill();
    std::FILE* log = std::fopen(newest.c_str(), "rb+");
    ASSERT_NE(log, nullptr);
    std::fseek(log, 60, SEEK_SET);
    std::fputc(0x5a, log);
    std::fputc(0xa5, log);
    std::fclose(log);
    cluster.Restart("control-1");
    EXPECT_NE(cluster.Process("control-1").WaitForExit(kReadyTimeout), 0);
    const std::string output = cluster.Process("control-1").Output();
    EXPECT_NE(output.find(std::filesystem::path(newest).filename().string()), std::string::npos)
      << output;
    EXPECT_NE(output.find("offset"), std::string::npos) << output;
  }
}

} // namespace
} // namespace gooseberrysail::test
