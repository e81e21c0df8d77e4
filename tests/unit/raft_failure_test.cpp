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

constexpr Duration kLongEnough = seconds(10);

RaftCluster MakeCluster(std::size_t voters, std::uint64_t seed = 1)
{
  RaftCluster::Options options;
  options.voters = voters;
  options.seed = seed;
  return RaftCluster(options);
}

// Runs until someone leads and its first entry committed everywhere.
std::size_t WaitForLeader(RaftCluster& cluster)
{
  const bool found = cluster.RunUntil(kLongEnough, [&] {
    const auto leader = cluster.Leader();
    return leader && cluster.At(*leader).node->Status().quorumHeardAt != TimePoint{};
  });
  EXPECT_TRUE(found) << "no leader";
  return cluster.Leader().value_or(0);
}

bool CommitEverywhere(RaftCluster& cluster, std::uint64_t value)
{
  const std::size_t leader = WaitForLeader(cluster);
  return cluster.Propose(leader, value) && cluster.RunUntil(kLongEnough, [&] {
    return cluster.IsAcknowledged(value) && cluster.Converged();
  });
}

std::array<std::size_t, 2> OthersOfThree(std::size_t index)
{
  return { (index + 1) % 3, (index + 2) % 3 };
}

TEST(RaftFailure, TheLeaderIsKilledInTheMiddleOfAChange)
{
  // Symptom: a change that was acknowledged is gone, or one that was not counts on some processes
  // only.
  // Sequence: the leader takes a change and is killed before, while or after storing and sending
  // it; another process takes over; the killed one comes back.
  // Cause: acknowledging before a majority synced, or an old leader that keeps its own tail.
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
        kLongEnough, [&] { return cluster.IsAcknowledged(3) && cluster.Converged(); }));
      EXPECT_TRUE(cluster.IsCommitted(1));
      EXPECT_EQ(cluster.Violation(), "");
    }
  }
}

TEST(RaftFailure, AnEntryOfAnEarlierTermIsNotCommittedByCountingAlone)
{
  // Symptom: an entry that a majority holds, and that was applied, is replaced.
  // Sequence: a leader stores two entries on one follower only, and both stop. Another leader
  // appends one entry of its own and stops. The first two come back, lead, and bring the older of
  // the two entries to a third process, but none of their own term; then they stop again.
  // Cause: the second leader, with the later term at the end of its log, wins and replaces it.
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
    ASSERT_TRUE(cluster.RunUntil(kLongEnough, [&] { return cluster.Leader().has_value(); }));
    second = *cluster.Leader();
    ASSERT_EQ(lastOf(second), older);
    cluster.Crash(second);
    cluster.RunUntil(milliseconds(20), [] { return false; }); // Nothing of it is on its way.
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
    ASSERT_TRUE(cluster.RunUntil(kLongEnough, [&] { return lastOf(third) == older; }));
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

TEST(RaftFailure, AVoterFrozenPastSeveralTermsDisturbsNobodyWhenItThaws)
{
  // Symptom: control stops for an election each time a suspended VM wakes up.
  // Sequence: a voter is frozen; the others go through several terms; it thaws with an expired
  // election timer.
  // Cause: campaigning with a new term without asking first.
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
  cluster.Thaw(frozen);
  cluster.RunUntil(seconds(5), [] { return false; });
  EXPECT_TRUE(cluster.Converged());
  EXPECT_EQ(cluster.HighestTerm(), term);
  EXPECT_EQ(cluster.Leader(), leader);
  EXPECT_EQ(cluster.Violation(), "");
}

TEST(RaftFailure, AVoterThatWasCutOffDisturbsNobodyWhenItComesBack)
{
  // Symptom: the leader steps down when a cut-off control VM is reached again.
  // Sequence: a voter is cut off for ten seconds, campaigns in vain, and is connected again.
  // Cause: it raised its term with each campaign.
  RaftCluster cluster = MakeCluster(3);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  const std::size_t leader = *cluster.Leader();
  const std::uint64_t term = cluster.HighestTerm();
  cluster.Isolate(OthersOfThree(leader)[0]);
  cluster.RunUntil(seconds(10), [] { return false; });
  cluster.HealLinks();
  cluster.RunUntil(seconds(5), [] { return false; });
  EXPECT_EQ(cluster.HighestTerm(), term);
  EXPECT_EQ(cluster.Leader(), leader);
  EXPECT_TRUE(CommitEverywhere(cluster, 2));
}

TEST(RaftFailure, AFrozenLeaderAnswersNothingAfterItThaws)
{
  // Symptom: a process that led before a pause answers reads or changes from its old state.
  // Sequence: the leader is frozen; the others elect another one and commit a change; it thaws.
  // Cause: trusting a leadership that was not confirmed since the pause.
  RaftCluster cluster = MakeCluster(3);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  const std::size_t old = *cluster.Leader();
  cluster.Freeze(old);
  const std::size_t next = WaitForLeader(cluster);
  ASSERT_NE(next, old);
  ASSERT_TRUE(cluster.Propose(next, 2));
  ASSERT_TRUE(cluster.RunUntil(kLongEnough, [&] { return cluster.IsAcknowledged(2); }));
  cluster.Thaw(old);
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
  // Symptom: an operator's change is accepted on the small side of a partition and vanishes.
  // Sequence: the leader is cut off from both others; changes are proposed on both sides.
  // Cause: a leader that does not notice that it lost its quorum.
  RaftCluster cluster = MakeCluster(3);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  const std::size_t old = *cluster.Leader();
  cluster.Isolate(old);
  SECTION("at first it still believes that it leads: accepted, never acknowledged")
  {
    EXPECT_TRUE(cluster.Propose(old, 2));
  }
  SECTION("after an election timeout it refuses")
  {
    cluster.RunUntil(milliseconds(1100), [] { return false; });
    EXPECT_FALSE(cluster.Propose(old, 3));
    EXPECT_TRUE(cluster.HasEvent(old, EventNumber::kRaftSteppedDown));
  }
  SECTION("the majority goes on")
  {
    ASSERT_TRUE(cluster.RunUntil(kLongEnough, [&] { return cluster.Leader().has_value(); }));
    ASSERT_NE(*cluster.Leader(), old);
    ASSERT_TRUE(cluster.Propose(*cluster.Leader(), 4));
    ASSERT_TRUE(cluster.RunUntil(kLongEnough, [&] { return cluster.IsAcknowledged(4); }));
  }
  SECTION("joined again, the minority's change is gone everywhere")
  {
    cluster.HealLinks();
    EXPECT_TRUE(CommitEverywhere(cluster, 5));
    EXPECT_FALSE(cluster.IsAcknowledged(2));
    EXPECT_FALSE(cluster.IsCommitted(2));
    EXPECT_EQ(cluster.Violation(), "");
  }
}

TEST(RaftFailure, ALeaderThatIsHeardButHearsNobodyStepsDown)
{
  // Symptom: changes hang for ever although two of three processes are well.
  // Sequence: nothing reaches the leader any more, but its heartbeats still go out.
  // Cause: followers that see heartbeats never elect; only the leader can notice.
  RaftCluster cluster = MakeCluster(3);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  const std::size_t deaf = *cluster.Leader();
  cluster.Block(OthersOfThree(deaf)[0], deaf);
  cluster.Block(OthersOfThree(deaf)[1], deaf);
  ASSERT_TRUE(cluster.RunUntil(kLongEnough, [&] {
    const auto leader = cluster.Leader();
    return leader && *leader != deaf;
  }));
  ASSERT_TRUE(cluster.Propose(*cluster.Leader(), 2));
  EXPECT_TRUE(cluster.RunUntil(kLongEnough, [&] { return cluster.IsAcknowledged(2); }));
  EXPECT_EQ(cluster.Violation(), "");
}

TEST(RaftFailure, AWipedDiskDoesNotVoteUnderItsOldName)
{
  // Symptom: an acknowledged change is gone although only one disk was lost.
  // Sequence: a change commits on two of three processes; one of these loses its disk, the other
  // one stops. The third process and the empty disk are a majority by name.
  // Cause: counting the vote of a disk that has forgotten what it acknowledged.
  RaftCluster cluster = MakeCluster(3);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  const std::size_t leader = *cluster.Leader();
  const auto [lagging, lost] = OthersOfThree(leader);
  cluster.Isolate(lagging);
  ASSERT_TRUE(cluster.Propose(leader, 2));
  ASSERT_TRUE(cluster.RunUntil(kLongEnough, [&] { return cluster.IsAcknowledged(2); }));
  SECTION("the disk is lost, the leader stops")
  {
    cluster.Crash(lost);
    cluster.Wipe(lost);
    cluster.Crash(leader);
    cluster.HealLinks();
    cluster.Restart(lost);
    EXPECT_FALSE(cluster.RunUntil(kLongEnough, [&] { return cluster.Leader().has_value(); }));
    EXPECT_TRUE(cluster.HasEvent(lost, EventNumber::kRaftWaitingToJoin));
  }
  SECTION("the leader comes back and lets the new disk in by a committed change")
  {
    cluster.Restart(leader);
    EXPECT_EQ(WaitForLeader(cluster), leader);
    ASSERT_TRUE(cluster.RunUntil(
      kLongEnough, [&] { return cluster.WipedAndNotVoting() == 0 && cluster.Converged(); }));
    EXPECT_TRUE(cluster.HasEvent(leader, EventNumber::kRaftNewDisk));
  }
  SECTION("it is a full voter again: the leader may stop now")
  {
    cluster.Crash(leader);
    EXPECT_TRUE(cluster.Propose(WaitForLeader(cluster), 3));
    ASSERT_TRUE(cluster.RunUntil(kLongEnough, [&] { return cluster.IsAcknowledged(3); }));
    EXPECT_TRUE(cluster.IsCommitted(2));
    EXPECT_EQ(cluster.Violation(), "");
  }
}

TEST(RaftFailure, AWipedMajorityDoesNotStartAfresh)
{
  // Symptom: control comes up with an empty catalogue while the last good disk is elsewhere.
  // Sequence: two of three disks are lost while the third process is down; both start again.
  // Cause: founding a cluster because a majority is empty.
  RaftCluster cluster = MakeCluster(3);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  for (const std::size_t index : { 0U, 1U, 2U }) {
    cluster.Crash(index);
  }
  SECTION("the two empty ones wait")
  {
    for (const std::size_t index : { 0U, 1U }) {
      cluster.Wipe(index);
      cluster.At(index).events.clear();
    }
    cluster.Restart(0);
    cluster.Restart(1);
    EXPECT_FALSE(cluster.RunUntil(kLongEnough, [&] { return cluster.Leader().has_value(); }));
    EXPECT_FALSE(cluster.HasEvent(0, EventNumber::kRaftFounded));
    EXPECT_TRUE(cluster.HasEvent(0, EventNumber::kRaftWaitingToJoin));
  }
  SECTION("nor with the third one, which keeps its data")
  {
    cluster.Restart(2);
    EXPECT_FALSE(cluster.RunUntil(kLongEnough, [&] { return cluster.Leader().has_value(); }));
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

TEST(RaftFailure, AProcessHundredsOfChangesBehindTakesTheSnapshot)
{
  // Symptom: a control VM that was away for long never catches up, or replays everything.
  // Sequence: a voter is down during 700 changes; the others have compacted their logs.
  // Cause: the entries that it lacks are gone, so the snapshot must be sent, in several chunks.
  RaftCluster::Options options;
  options.settings.snapshotEvery = 100;
  options.settings.keepEntries = 50;
  options.settings.snapshotChunkBytes = 64;
  RaftCluster cluster(options);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  const std::size_t leader = *cluster.Leader();
  const std::size_t away = OthersOfThree(leader)[0];
  cluster.Crash(away);
  for (std::uint64_t value = 2; value < 702; ++value) {
    ASSERT_TRUE(cluster.Propose(leader, value));
    cluster.Advance(milliseconds(5));
  }
  cluster.Restart(away);
  ASSERT_TRUE(cluster.RunUntil(kLongEnough,
                               [&] { return cluster.IsAcknowledged(701) && cluster.Converged(); }));
  EXPECT_GE(cluster.At(away).restores, 1U);
  EXPECT_LT(cluster.At(away).replayed, 160U);
  EXPECT_TRUE(cluster.HasEvent(away, EventNumber::kRaftSnapshotReceived));
  EXPECT_EQ(cluster.Violation(), "");
}

TEST(RaftFailure, ARemovedVoterNoLongerCounts)
{
  RaftCluster cluster = MakeCluster(5);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  const std::size_t leader = *cluster.Leader();
  const std::size_t first = (leader + 1) % 5;
  const std::size_t second = (leader + 2) % 5;
  SECTION("two voters stop for good and are taken out, one change after the other")
  {
    for (const std::size_t gone : { first, second }) {
      cluster.Crash(gone);
      const ProcessId name(cluster.At(gone).name);
      EXPECT_TRUE(cluster.At(leader).node->RemoveMember(name));
      const ProcessId other(cluster.At((leader + 3) % 5).name);
      const Result<LogIndex> tooEarly = cluster.At(leader).node->RemoveMember(other);
      ASSERT_FALSE(tooEarly) << "one change at a time";
      EXPECT_EQ(tooEarly.error().code, ErrorCode::kUnavailable);
      cluster.RunUntil(seconds(1), [] { return false; });
    }
    EXPECT_EQ(cluster.At(leader).node->CurrentMembership().VoterCount(), 3U);
  }
  SECTION("a third loss leaves a majority of the remaining three")
  {
    cluster.Crash((leader + 3) % 5);
    ASSERT_TRUE(cluster.Propose(leader, 2));
    EXPECT_TRUE(cluster.RunUntil(kLongEnough, [&] { return cluster.IsAcknowledged(2); }));
    EXPECT_EQ(cluster.Violation(), "");
  }
}

TEST(RaftFailure, MessagesOfAnotherClusterAreDropped)
{
  // Symptom: two clusters overwrite each other's logs.
  // Sequence: a process of another cluster was given our addresses and sends with a higher term.
  // Cause: terms and indexes say nothing about the cluster that they belong to.
  RaftCluster cluster = MakeCluster(3);
  ASSERT_TRUE(CommitEverywhere(cluster, 1));
  const std::size_t leader = *cluster.Leader();
  const std::uint64_t term = cluster.HighestTerm();
  wire::RaftMessageT stranger;
  stranger.kind = wire::RaftKind::Append;
  stranger.term = term + 10;
  stranger.from = cluster.At(OthersOfThree(leader)[0]).name;
  stranger.to = cluster.At(leader).name;
  stranger.cluster = 4711;
  cluster.At(leader).node->Step(TimePoint{}, stranger);
  EXPECT_TRUE(CommitEverywhere(cluster, 2));
  EXPECT_EQ(cluster.HighestTerm(), term);
  EXPECT_TRUE(cluster.HasEvent(leader, EventNumber::kRaftOtherCluster));
}

TEST(RaftFailure, ProposalsOverTheLimitsAreRefused)
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
  EXPECT_EQ(elsewhere.error().peer, cluster.At(leader).name) << "names whom to ask instead";
}

} // namespace
} // namespace gooseberrysail
