#include "fakes/raft_cluster.hpp"
#include "support/section.hpp"

#include <algorithm>

namespace gooseberrysail {
namespace {

using fakes::RaftCluster;
using std::chrono::seconds;

constexpr Duration kLongEnough = seconds(20);

/// Three processes found the cluster; further ones wait for a place.
RaftCluster MakeCluster(std::size_t founders, std::size_t all)
{
  RaftCluster::Options options;
  options.voters = all;
  options.founders = founders;
  options.settings.wantedVoters = founders;
  return RaftCluster(options);
}

std::size_t VotersAt(RaftCluster& cluster, std::size_t index)
{
  return cluster.At(index).node->CurrentMembership().VoterCount();
}

bool IsVoter(RaftCluster& cluster, std::size_t at, const std::string& name)
{
  const Member* member = cluster.At(at).node->CurrentMembership().Find(ProcessId(name));
  return member != nullptr && member->voter;
}

std::size_t WaitForLeader(RaftCluster& cluster)
{
  EXPECT_TRUE(cluster.RunUntil(kLongEnough, [&] {
    const auto leader = cluster.Leader();
    return leader && cluster.At(*leader).node->Status().quorumHeardAt != TimePoint{};
  }));
  return cluster.Leader().value_or(0);
}

// Symptom: after a machine of the core was replaced at another address, the next loss ended all
// changes.
// Sequence: a voter is gone for good; an empty process with a new name comes.
// Cause: only processes of the settings could vote.
TEST(RaftJoining, ANewcomerTakesTheVoteOfOneThatIsGone)
{
  RaftCluster cluster = MakeCluster(3, 4);
  cluster.Crash(3);
  const std::size_t leader = WaitForLeader(cluster);
  EXPECT_TRUE(cluster.Propose(leader, 1));
  EXPECT_TRUE(cluster.RunUntil(kLongEnough, [&] { return cluster.IsAcknowledged(1); }));
  const std::size_t gone = (leader + 1) % 3;
  const std::string goneName = cluster.At(gone).name;
  cluster.Crash(gone);
  cluster.Restart(3);
  const std::string newName = cluster.At(3).name;
  EXPECT_TRUE(cluster.RunUntil(kLongEnough, [&] {
    const std::size_t now = cluster.Leader().value_or(leader);
    return IsVoter(cluster, now, newName) && !IsVoter(cluster, now, goneName);
  }));
  SECTION("and another loss is borne")
  {
    const std::size_t now = WaitForLeader(cluster);
    const std::size_t other = now == 3 ? 3 - gone : 3;
    EXPECT_EQ(VotersAt(cluster, now), 3U);
    cluster.Crash(other == 3 && now != 3 ? (3 - gone - now) : other);
    const std::size_t next = WaitForLeader(cluster);
    EXPECT_TRUE(cluster.Propose(next, 2));
    EXPECT_TRUE(cluster.RunUntil(kLongEnough, [&] { return cluster.IsAcknowledged(2); }));
  }
}

TEST(RaftJoining, WhileAllVotersLiveANewcomerOnlyWaits)
{
  RaftCluster cluster = MakeCluster(3, 4);
  const std::size_t leader = WaitForLeader(cluster);
  const std::string newName = cluster.At(3).name;
  EXPECT_TRUE(cluster.RunUntil(kLongEnough, [&] {
    const std::size_t now = cluster.Leader().value_or(leader);
    return cluster.At(now).node->CurrentMembership().Find(ProcessId(newName)) != nullptr;
  }));
  cluster.RunUntil(seconds(5), [] { return false; });
  const std::size_t now = WaitForLeader(cluster);
  EXPECT_EQ(VotersAt(cluster, now), 3U);
  EXPECT_FALSE(IsVoter(cluster, now, newName));
}

// Symptom: two clusters, each with its own configuration.
// Sequence: all disks of the seeds are lost long after the first start, and all processes restart.
// Cause: empty disks that were taken for a first start.
TEST(RaftJoining, NobodyFoundsASecondCluster)
{
  RaftCluster::Options options;
  options.voters = 3;
  options.founders = 3;
  options.settings.wantedVoters = 3;
  options.settings.mayFound = false;
  RaftCluster cluster(options);
  cluster.RunUntil(seconds(10), [] { return false; });
  EXPECT_FALSE(cluster.Leader().has_value());
}

} // namespace
} // namespace gooseberrysail
