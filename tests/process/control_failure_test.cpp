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

/// Whether the leader's log shows that a learner joined and was then promoted to a voter.
bool WasPromoted(const std::string& output)
{
  const auto joined = output.rfind("(learner)");
  return joined != std::string::npos &&
         output.find("RaftMembershipChanged", joined) != std::string::npos;
}

// Guards against the loss of an acknowledged change after a crash of control. Changes are applied
// one after another; the leader is killed between two of them, and the other two processes elect a
// new one. A change acknowledged before a quorum synced it would be stored by the killed leader
// alone.
TEST(ControlFailure, AcknowledgedChangesSurviveAKilledLeader)
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

// Guards against stale reads from a former leader. The leader is stopped by SIGSTOP; the others
// elect a new leader and commit a change; then the former leader continues. It can't tell how long
// it was stopped and still acts as the leader of its old term.
TEST(ControlFailure, AFormerLeaderServesNoStaleReads)
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
  EXPECT_NE(reply.status, 404U) << "answered from state older than its freeze";
  EXPECT_EQ(CountPresent(cluster, 2), 2U);
}

// Guards against a control process that lost its disk and votes without its former votes and log.
// One of three loses its data folder and starts empty; later another one is killed. An empty voter
// under its old name could elect a leader that lacks acknowledged changes.
TEST(ControlFailure, AWipedVoterIsReadmittedAndCountsForTheQuorum)
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
  SECTION("the other two commit changes meanwhile")
  {
    EXPECT_EQ(cluster.Apply(PolicyEntry(5)).status, 200U) << cluster.Outputs();
  }
  SECTION("after a second loss, the readmitted process completes the quorum")
  {
    const auto promoted = [&] { return WasPromoted(cluster.Process(leader).Output()); };
    ASSERT_TRUE(WaitUntil(promoted, kReadyTimeout)) << cluster.Outputs();
    cluster.Process(leader).Kill();
    EXPECT_EQ(cluster.Apply(PolicyEntry(6)).status, 200U) << cluster.Outputs();
    EXPECT_EQ(CountPresent(cluster, 7), 7U);
  }
}

// Guards against a control process that can't start after a power cut, or that starts without an
// acknowledged change. The process is killed, a partial record is appended to its log, and it
// starts again; then two bytes in the middle are overwritten. A torn tail is an unfinished write
// and is truncated; damage in the middle means that synced data was lost.
TEST(ControlFailure, ATornTailIsTruncatedAndADamagedMiddleIsReportedWithItsOffset)
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
