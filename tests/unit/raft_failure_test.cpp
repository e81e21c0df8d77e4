#include "fakes/raft_cluster.hpp"
#include "gooseberrysail/observe/event_catalog.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <array>

namespace gooseberrysail {
namespace {

using fakes::CrashPoint;
using fakes::RaftCluster;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTimeout = seconds(10);

RaftCluster MakeCluster(std::size_t voters, std::uint64_t seed = 1)
{
  RaftCluster::Options options;
  options.voters = voters;
  options.seed = seed;
  return RaftCluster(options);
}

// Runs until a leader has committed an entry of its own term.
std::size_t WaitForLeader(RaftCluster& cluster)
{
  const bool found = cluster.RunUntil(kTimeout, [&] {
    const auto leader = cluster.Leader();
    return leader && cluster.At(*leader).node->Status().quorumHeardAt != TimePoint{};
  });
  EXPECT_TRUE(found) << "no leader";
  return cluster.Leader().value_or(0);
}

bool CommitEverywhere(RaftCluster& cluster, std::uint64_t value)
{
  const std::size_t leader = WaitForLeader(cluster);
  return cluster.Propose(leader, value) && cluster.RunUntil(kTimeout, [&] {
    return cluster.IsAcknowledged(value) && cluster.Converged();
  });
}

std::array<std::size_t, 2> OthersOfThree(std::size_t index)
{
  return { (index + 1) % 3, (index + 2) % 3 };
}

// Guards against an outage that lasts for an election timeout longer than needed: after the restart
// of all processes there is no leader whose timeout must pass.
TEST(RaftFailure, ALeaderIsElectedSoonAfterAllProcessesRestart)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    RaftCluster cluster = MakeCluster(5, seed);
    ASSERT_TRUE(CommitEverywhere(cluster, 1));
    for (std::size_t process = 0; process < cluster.Size(); ++process) {
      cluster.Crash(process);
    }
    cluster.Advance(seconds(1));
    for (std::size_t process = 0; process < cluster.Size(); ++process) {
      cluster.Restart(process);
    }
    EXPECT_TRUE(cluster.RunUntil(RaftSettings().electionTimeout,
                                 [&] { return cluster.Leader().has_value(); }))
      << "seed " << seed;
  }
}

// Guards against a restarted process that deposes the leader because it campaigns early.
TEST(RaftFailure, ARestartedProcessDoesNotDisturbTheLeader)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    RaftCluster cluster = MakeCluster(3, seed);
    const std::size_t leader = WaitForLeader(cluster);
    ASSERT_TRUE(CommitEverywhere(cluster, 1));
    const Term term = cluster.At(leader).node->Status().term;
    const std::size_t restarted = OthersOfThree(leader).front();
    cluster.Crash(restarted);
    cluster.Restart(restarted);
    cluster.RunUntil(seconds(3), [] { return false; });
    EXPECT_EQ(cluster.Leader(), leader) << "seed " << seed;
    EXPECT_EQ(cluster.At(leader).node->Status().term, term) << "seed " << seed;
  }
}

TEST(RaftFailure, ALeaderKilledDuringAChange)
{
  // Symptom: an acknowledged change is lost, or an unacknowledged one is applied on some processes
  // only.
  // Sequence: the leader receives a change and is killed before, during or after storing and
  // sending it; another process becomes leader; the killed one restarts.
  // Cause: acknowledging before a majority has synced, or an old leader that keeps its log tail.
  for (int point = 0; point <= static_cast<int>(CrashPoint::kAfterSending); ++point) {
    SECTION("killed at point " + std::to_string(point))
    {
      RaftCluster cluster = MakeCluster(3, 10 + static_cast<std::uint64_t>(point));
      ASSERT_TRUE(CommitEverywhere(cluster, 1));
      const std::size_t old = *cluster.Leader();
      cluster.CrashDuringNextReady(old, static_cast<CrashPoint>(point));
      cluster.Propose(old, 2);
      ASSERT_FALSE(cluster.At(old).node);
      EXPECT_FALSE(cluster.IsAcknowledged(2));
      EXPECT_NE(WaitForLeader(cluster), old);
      ASSERT_TRUE(cluster.Propose(*cluster.Leader(), 3));
      cluster.Restart(old);
      ASSERT_TRUE(cluster.RunUntil(
        kTimeout, [&] { return cluster.IsAcknowledged(3) && cluster.Converged(); }));
      EXPECT_TRUE(cluster.IsCommitted(1));
      EXPECT_EQ(cluster.Violation(), "");
    }
  }
}

TEST(RaftFailure, AnEntryOfAnEarlierTermIsNotCommittedByCountingAlone)
{
  // Symptom: an entry that a majority stores, and that was applied, is replaced.
  // Sequence: a leader stores two entries on one follower only, and both stop. Another leader
  // appends one entry of its own and stops. The first two restart, win an election and replicate
  // the older entry to a third process, but no entry of the new term; then they stop again.
  // Cause: the second leader, whose last entry has a later term, wins and replaces the older entry.
  RaftCluster::Options options;
  options.voters = 5;
  options.settings.maxAppendBytes = 8; // One command in each message.
  RaftCluster cluster(options);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  const auto isAppend = [](const wire::RaftMessageT& message) {
    return message.kind == wire::RaftKind::Append;
  };
  const auto lastOf = [&](std::size_t index) {
    return cluster.At(index).node->Entries().back().index.Get();
  };
  const std::size_t first = *cluster.Leader();
  const std::size_t follower = (first + 1) % 5;
  const std::uint64_t older = lastOf(first) + 1;
  const Term firstTerm = cluster.At(first).node->Status().term;
  SECTION("two entries reach one follower")
  {
    cluster.SetFilter([&](const wire::RaftMessageT& message) {
      return isAppend(message) && message.to != cluster.At(follower).name;
    });
    ASSERT_TRUE(cluster.Propose(first, 2));
    ASSERT_TRUE(cluster.Propose(first, 3));
    ASSERT_TRUE(cluster.RunUntil(milliseconds(500), [&] { return lastOf(follower) == older + 1; }));
    cluster.Crash(first);
    cluster.Crash(follower);
  }
  std::size_t second = first;
  SECTION("another leader appends an entry that reaches nobody")
  {
    cluster.SetFilter(isAppend);
    ASSERT_TRUE(cluster.RunUntil(kTimeout, [&] { return cluster.Leader().has_value(); }));
    second = *cluster.Leader();
    ASSERT_EQ(lastOf(second), older);
    cluster.Crash(second);
    cluster.RunUntil(milliseconds(20), [] { return false; }); // No message of it is in flight.
  }
  std::size_t third = 0;
  while (third == first || third == follower || third == second) {
    ++third;
  }
  SECTION("the older entry reaches a majority, without one of the new term")
  {
    cluster.SetFilter([&](const wire::RaftMessageT& message) {
      const bool toThird = message.to == cluster.At(third).name && message.lastIndex != older;
      return isAppend(message) && !toThird && message.to != cluster.At(follower).name &&
             message.to != cluster.At(first).name;
    });
    cluster.Restart(first);
    cluster.Restart(follower);
    ASSERT_TRUE(cluster.RunUntil(kTimeout, [&] { return lastOf(third) == older; }));
    cluster.RunUntil(milliseconds(100), [] { return false; });
    EXPECT_EQ(cluster.At(third).node->Entries().back().term, firstTerm);
    EXPECT_FALSE(cluster.IsCommitted(2));
    cluster.Crash(first);
    cluster.Crash(follower);
  }
  SECTION("the second leader wins and replaces it")
  {
    cluster.SetFilter(nullptr);
    cluster.Restart(second);
    EXPECT_EQ(WaitForLeader(cluster), second);
    cluster.Restart(first);
    cluster.Restart(follower);
    EXPECT_TRUE(CommitEverywhere(cluster, 4));
    EXPECT_EQ(cluster.Violation(), "");
  }
}

TEST(RaftFailure, AVoterFrozenForSeveralTermsDoesNotDeposeTheLeader)
{
  // Symptom: control is interrupted by an election each time a suspended VM resumes.
  // Sequence: a voter is frozen; the others go through several terms; it resumes with an expired
  // election timer.
  // Cause: campaigning with a new term without a pre-vote.
  RaftCluster cluster = MakeCluster(5);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  const std::size_t frozen = (*cluster.Leader() + 1) % 5;
  cluster.Freeze(frozen);
  for (std::uint64_t round = 0; round < 3; ++round) {
    const std::size_t leader = WaitForLeader(cluster);
    cluster.Crash(leader);
    ASSERT_NE(WaitForLeader(cluster), leader);
    ASSERT_TRUE(cluster.Propose(*cluster.Leader(), 10 + round));
    cluster.Restart(leader);
    cluster.RunUntil(seconds(1), [] { return false; });
  }
  const std::size_t leader = *cluster.Leader();
  const std::uint64_t term = cluster.HighestTerm();
  EXPECT_GE(term, cluster.At(frozen).node->Status().term.Get() + 3);
  cluster.Unfreeze(frozen);
  cluster.RunUntil(seconds(5), [] { return false; });
  EXPECT_TRUE(cluster.Converged());
  EXPECT_EQ(cluster.HighestTerm(), term);
  EXPECT_EQ(cluster.Leader(), leader);
  EXPECT_EQ(cluster.Violation(), "");
}

TEST(RaftFailure, AnIsolatedVoterDoesNotDeposeTheLeaderWhenReconnected)
{
  // Symptom: the leader steps down when an isolated control VM is reconnected.
  // Sequence: a voter is isolated for ten seconds, campaigns without success, and is reconnected.
  // Cause: it increased its term with each campaign.
  RaftCluster cluster = MakeCluster(3);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  const std::size_t leader = *cluster.Leader();
  const std::uint64_t term = cluster.HighestTerm();
  cluster.Isolate(OthersOfThree(leader)[0]);
  cluster.RunUntil(seconds(10), [] { return false; });
  cluster.RestoreLinks();
  cluster.RunUntil(seconds(5), [] { return false; });
  EXPECT_EQ(cluster.HighestTerm(), term);
  EXPECT_EQ(cluster.Leader(), leader);
  EXPECT_TRUE(CommitEverywhere(cluster, 2));
}

TEST(RaftFailure, AFrozenLeaderDoesNotServeAfterItResumes)
{
  // Symptom: a process that led before a pause serves reads or accepts changes with its old state.
  // Sequence: the leader is frozen; the others elect another one and commit a change; it resumes.
  // Cause: relying on a leadership that was not confirmed since the pause.
  RaftCluster cluster = MakeCluster(3);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  const std::size_t old = *cluster.Leader();
  cluster.Freeze(old);
  const std::size_t next = WaitForLeader(cluster);
  ASSERT_NE(next, old);
  ASSERT_TRUE(cluster.Propose(next, 2));
  ASSERT_TRUE(cluster.RunUntil(kTimeout, [&] { return cluster.IsAcknowledged(2); }));
  cluster.Unfreeze(old);
  cluster.Propose(old, 3);
  cluster.Advance(milliseconds(1));
  EXPECT_FALSE(cluster.At(old).node->Status().leader);
  cluster.RunUntil(seconds(5), [] { return false; });
  EXPECT_FALSE(cluster.IsCommitted(3));
  EXPECT_TRUE(cluster.Converged());
  EXPECT_EQ(cluster.Violation(), "");
}

TEST(RaftFailure, AMinorityAcceptsNothing)
{
  // Symptom: an operator's change is accepted by the minority of a partition and lost.
  // Sequence: the leader is isolated from both others; changes are proposed on both sides.
  // Cause: a leader that does not detect the loss of its quorum.
  RaftCluster cluster = MakeCluster(3);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  const std::size_t old = *cluster.Leader();
  cluster.Isolate(old);
  SECTION("the old leader accepts a change at first, but does not acknowledge it")
  {
    EXPECT_TRUE(cluster.Propose(old, 2));
  }
  SECTION("after an election timeout it rejects changes")
  {
    cluster.RunUntil(milliseconds(1100), [] { return false; });
    EXPECT_FALSE(cluster.Propose(old, 3));
    EXPECT_TRUE(cluster.HasEvent(old, EventNumber::kRaftSteppedDown));
  }
  SECTION("the majority elects a leader and acknowledges a change")
  {
    ASSERT_TRUE(cluster.RunUntil(kTimeout, [&] { return cluster.Leader().has_value(); }));
    ASSERT_NE(*cluster.Leader(), old);
    ASSERT_TRUE(cluster.Propose(*cluster.Leader(), 4));
    ASSERT_TRUE(cluster.RunUntil(kTimeout, [&] { return cluster.IsAcknowledged(4); }));
  }
  SECTION("after the partition the minority's change is not committed anywhere")
  {
    cluster.RestoreLinks();
    EXPECT_TRUE(CommitEverywhere(cluster, 5));
    EXPECT_FALSE(cluster.IsAcknowledged(2));
    EXPECT_FALSE(cluster.IsCommitted(2));
    EXPECT_EQ(cluster.Violation(), "");
  }
}

TEST(RaftFailure, ALeaderThatReceivesNoMessagesStepsDown)
{
  // Symptom: changes hang forever although two of three processes are healthy.
  // Sequence: no messages reach the leader, but its heartbeats reach the followers.
  // Cause: followers that receive heartbeats start no election; only the leader can detect this.
  RaftCluster cluster = MakeCluster(3);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  const std::size_t unreachable = *cluster.Leader();
  cluster.Block(OthersOfThree(unreachable)[0], unreachable);
  cluster.Block(OthersOfThree(unreachable)[1], unreachable);
  ASSERT_TRUE(cluster.RunUntil(kTimeout, [&] {
    const auto leader = cluster.Leader();
    return leader && *leader != unreachable;
  }));
  ASSERT_TRUE(cluster.Propose(*cluster.Leader(), 2));
  EXPECT_TRUE(cluster.RunUntil(kTimeout, [&] { return cluster.IsAcknowledged(2); }));
  EXPECT_EQ(cluster.Violation(), "");
}

TEST(RaftFailure, AWipedDiskDoesNotVoteUnderItsOldName)
{
  // Symptom: an acknowledged change is lost although only one disk was lost.
  // Sequence: a change is committed on two of three processes; one of these loses its disk, the
  // other one stops. The third process and the one with the empty disk are a majority by name.
  // Cause: counting the vote of a process that lost the entries that it acknowledged.
  RaftCluster cluster = MakeCluster(3);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  const std::size_t leader = *cluster.Leader();
  const auto [lagging, lost] = OthersOfThree(leader);
  cluster.Isolate(lagging);
  ASSERT_TRUE(cluster.Propose(leader, 2));
  ASSERT_TRUE(cluster.RunUntil(kTimeout, [&] { return cluster.IsAcknowledged(2); }));
  SECTION("the disk is lost, the leader stops")
  {
    cluster.Crash(lost);
    cluster.Wipe(lost);
    cluster.Crash(leader);
    cluster.RestoreLinks();
    cluster.Restart(lost);
    EXPECT_FALSE(cluster.RunUntil(kTimeout, [&] { return cluster.Leader().has_value(); }));
    EXPECT_TRUE(cluster.HasEvent(lost, EventNumber::kRaftWaitingToJoin));
  }
  SECTION("the leader restarts and adds the new disk by a membership change")
  {
    cluster.Restart(leader);
    EXPECT_EQ(WaitForLeader(cluster), leader);
    ASSERT_TRUE(cluster.RunUntil(
      kTimeout, [&] { return cluster.WipedAndNotVoting() == 0 && cluster.Converged(); }));
    EXPECT_TRUE(cluster.HasEvent(leader, EventNumber::kRaftNewDisk));
  }
  SECTION("the process is a voter again, so the leader may stop")
  {
    cluster.Crash(leader);
    EXPECT_TRUE(cluster.Propose(WaitForLeader(cluster), 3));
    ASSERT_TRUE(cluster.RunUntil(kTimeout, [&] { return cluster.IsAcknowledged(3); }));
    EXPECT_TRUE(cluster.IsCommitted(2));
    EXPECT_EQ(cluster.Violation(), "");
  }
}

TEST(RaftFailure, AWipedMajorityDoesNotFoundANewCluster)
{
  // Symptom: control starts with an empty catalogue although one disk still has the data.
  // Sequence: two of three disks are lost while the third process is down; both processes restart.
  // Cause: founding a cluster because a majority of the disks is empty.
  RaftCluster cluster = MakeCluster(3);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  for (const std::size_t index : { 0U, 1U, 2U }) {
    cluster.Crash(index);
  }
  SECTION("the two empty processes wait")
  {
    for (const std::size_t index : { 0U, 1U }) {
      cluster.Wipe(index);
      cluster.At(index).events.clear();
    }
    cluster.Restart(0);
    cluster.Restart(1);
    EXPECT_FALSE(cluster.RunUntil(kTimeout, [&] { return cluster.Leader().has_value(); }));
    EXPECT_FALSE(cluster.HasEvent(0, EventNumber::kRaftFounded));
    EXPECT_TRUE(cluster.HasEvent(0, EventNumber::kRaftWaitingToJoin));
  }
  SECTION("with the third process no leader is elected either, and its data is kept")
  {
    cluster.Restart(2);
    EXPECT_FALSE(cluster.RunUntil(kTimeout, [&] { return cluster.Leader().has_value(); }));
    EXPECT_FALSE(cluster.At(2).disk.entries.empty());
  }
}

TEST(RaftFailure, TheFirstStartNeedsEveryConfiguredProcess)
{
  RaftCluster cluster = MakeCluster(3);
  cluster.Crash(2);
  EXPECT_FALSE(cluster.RunUntil(seconds(5), [&] { return cluster.Leader().has_value(); }));
  cluster.Restart(2);
  EXPECT_TRUE(CommitEverywhere(cluster, 1));
  EXPECT_TRUE(cluster.HasEvent(0, EventNumber::kRaftFounded));
}

TEST(RaftFailure, AProcessFarBehindInstallsTheSnapshot)
{
  // Symptom: a control VM that was down for long never catches up, or replays all changes.
  // Sequence: a voter is down during 700 changes; the others compact their logs.
  // Cause: the missing entries no longer exist, so a snapshot must be sent in several chunks.
  RaftCluster::Options options;
  options.settings.snapshotEvery = 100;
  options.settings.keepEntries = 50;
  options.settings.snapshotChunkBytes = 64;
  RaftCluster cluster(options);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  const std::size_t leader = *cluster.Leader();
  const std::size_t down = OthersOfThree(leader)[0];
  cluster.Crash(down);
  for (std::uint64_t value = 2; value < 702; ++value) {
    ASSERT_TRUE(cluster.Propose(leader, value));
    cluster.Advance(milliseconds(5));
  }
  cluster.Restart(down);
  ASSERT_TRUE(
    cluster.RunUntil(kTimeout, [&] { return cluster.IsAcknowledged(701) && cluster.Converged(); }));
  EXPECT_GE(cluster.At(down).restores, 1U);
  EXPECT_LT(cluster.At(down).appliedCommands, 160U);
  EXPECT_TRUE(cluster.HasEvent(down, EventNumber::kRaftSnapshotReceived));
  EXPECT_EQ(cluster.Violation(), "");
}

TEST(RaftFailure, ARemovedVoterNoLongerCounts)
{
  RaftCluster cluster = MakeCluster(5);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  const std::size_t leader = *cluster.Leader();
  const std::size_t first = (leader + 1) % 5;
  const std::size_t second = (leader + 2) % 5;
  SECTION("two voters stop permanently and are removed one at a time")
  {
    for (const std::size_t stopped : { first, second }) {
      cluster.Crash(stopped);
      const ProcessId name(cluster.At(stopped).name);
      EXPECT_TRUE(cluster.At(leader).node->RemoveMember(name));
      const ProcessId other(cluster.At((leader + 3) % 5).name);
      const Result<LogIndex> tooEarly = cluster.At(leader).node->RemoveMember(other);
      ASSERT_FALSE(tooEarly) << "one change at a time";
      EXPECT_EQ(tooEarly.error().code, ErrorCode::kUnavailable);
      cluster.RunUntil(seconds(1), [] { return false; });
    }
    EXPECT_EQ(cluster.At(leader).node->CurrentMembership().VoterCount(), 3U);
  }
  SECTION("after a third failure two of the remaining three voters are a majority")
  {
    cluster.Crash((leader + 3) % 5);
    ASSERT_TRUE(cluster.Propose(leader, 2));
    EXPECT_TRUE(cluster.RunUntil(kTimeout, [&] { return cluster.IsAcknowledged(2); }));
    EXPECT_EQ(cluster.Violation(), "");
  }
}

TEST(RaftFailure, MessagesOfAnotherClusterAreDropped)
{
  // Symptom: two clusters overwrite each other's logs.
  // Sequence: a process of another cluster is configured with this cluster's addresses and sends a
  // message with a higher term.
  // Cause: terms and indexes do not identify the cluster that they belong to.
  RaftCluster cluster = MakeCluster(3);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  const std::size_t leader = *cluster.Leader();
  const std::uint64_t term = cluster.HighestTerm();
  wire::RaftMessageT foreign;
  foreign.kind = wire::RaftKind::Append;
  foreign.term = term + 10;
  foreign.from = cluster.At(OthersOfThree(leader)[0]).name;
  foreign.to = cluster.At(leader).name;
  foreign.cluster = 4711;
  cluster.At(leader).node->Step(TimePoint{}, foreign);
  EXPECT_TRUE(CommitEverywhere(cluster, 2));
  EXPECT_EQ(cluster.HighestTerm(), term);
  EXPECT_TRUE(cluster.HasEvent(leader, EventNumber::kRaftOtherCluster));
}

TEST(RaftFailure, ProposalsOverTheLimitsAreRejected)
{
  RaftCluster::Options options;
  options.settings.maxCommandBytes = 100;
  options.settings.maxBacklogBytes = 150;
  RaftCluster cluster(options);
  const std::size_t leader = WaitForLeader(cluster);
  RaftNode& node = *cluster.At(leader).node;
  EXPECT_EQ(node.Propose(std::vector<std::uint8_t>(101)).error().code, ErrorCode::kTooLarge);
  EXPECT_TRUE(node.Propose(std::vector<std::uint8_t>(100)));
  EXPECT_EQ(node.Propose(std::vector<std::uint8_t>(100)).error().code, ErrorCode::kUnavailable);
  const Result<LogIndex> elsewhere =
    cluster.At(OthersOfThree(leader)[0]).node->Propose(std::vector<std::uint8_t>(1));
  EXPECT_EQ(elsewhere.error().peer, cluster.At(leader).name) << "the error names the leader";
}

} // namespace
} // namespace gooseberrysail
