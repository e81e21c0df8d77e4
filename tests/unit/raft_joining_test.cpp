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

/// \brief One seeded run: voters go for good one after the other, each replaced by an empty process
/// with a new name, while messages are lost, doubled and late and the living are killed and frozen.
class Replacements
{
public:
  explicit Replacements(std::uint64_t seed)
    : m_cluster(MakeOptions(seed))
  {
    for (std::size_t newcomer = kFounders; newcomer < kProcesses; ++newcomer) {
      m_cluster.Crash(newcomer);
    }
  }

  /// \returns The broken invariant or what did not come about; "" when all held.
  std::string Run()
  {
    WaitForLeader(m_cluster); // The first start needs every founder.
    for (std::size_t newcomer = kFounders; newcomer < kProcesses; ++newcomer) {
      Disturb();
      const std::string replaced = ReplaceOne(newcomer);
      if (!replaced.empty()) {
        return replaced;
      }
    }
    return CheckEnd();
  }

private:
  static constexpr std::size_t kFounders = 3;
  static constexpr std::size_t kProcesses = 6;
  static constexpr int kSteps = 30;
  static constexpr Duration kPatience = seconds(60);

  static RaftCluster::Options MakeOptions(std::uint64_t seed)
  {
    RaftCluster::Options options;
    options.voters = kProcesses;
    options.founders = kFounders;
    options.seed = seed;
    options.settings.wantedVoters = kFounders;
    options.settings.snapshotEvery = 12;
    options.settings.keepEntries = 6;
    return options;
  }

  [[nodiscard]] bool IsUp(std::size_t index) { return m_cluster.At(index).node != nullptr; }

  /// Some steps of changes and faults among those that are in use.
  void Disturb()
  {
    m_cluster.SetNetwork(static_cast<unsigned>(m_cluster.Random() % 20),
                         static_cast<unsigned>(m_cluster.Random() % 20),
                         std::chrono::milliseconds(1 + m_cluster.Random() % 150));
    for (int step = 0; step < kSteps; ++step) {
      const std::size_t target = m_cluster.Random() % m_cluster.Size();
      const std::uint64_t choice = m_cluster.Random() % 100;
      if (choice < 60) {
        Propose();
      } else if (choice < 66 && IsUp(target)) {
        m_cluster.Crash(target);
        m_cluster.Restart(target);
      } else if (choice < 70 && IsUp(target)) {
        m_cluster.Freeze(target);
      } else if (choice < 80) {
        ThawAll();
      }
      m_cluster.Advance(std::chrono::milliseconds(10 + m_cluster.Random() % 100));
    }
    ThawAll();
  }

  void ThawAll()
  {
    for (std::size_t index = 0; index < m_cluster.Size(); ++index) {
      m_cluster.Thaw(index);
    }
  }

  void Propose()
  {
    for (std::size_t index = 0; index < m_cluster.Size(); ++index) {
      if (IsUp(index)) {
        m_cluster.Propose(index, ++m_lastValue);
      }
    }
  }

  /// A voter that lives goes for good, now and then the leader; the newcomer must get its place.
  std::string ReplaceOne(std::size_t newcomer)
  {
    std::vector<std::size_t> living;
    std::vector<ProcessId> seeds;
    for (std::size_t index = 0; index < newcomer; ++index) {
      if (IsUp(index)) {
        living.push_back(index);
        seeds.emplace_back(m_cluster.At(index).name);
      }
    }
    // Seeds are those of a moment ago: one of them is dead by now.
    m_cluster.NameSeeds(newcomer, seeds);
    m_cluster.Crash(living[m_cluster.Random() % living.size()]);
    m_cluster.Advance(std::chrono::milliseconds(m_cluster.Random() % 3000));
    m_cluster.Restart(newcomer);
    const std::string name = m_cluster.At(newcomer).name;
    const bool voted = m_cluster.RunUntil(kPatience, [&] {
      const auto leader = m_cluster.Leader();
      return !m_cluster.Violation().empty() || (leader && IsVoter(m_cluster, *leader, name));
    });
    return !m_cluster.Violation().empty() ? m_cluster.Violation()
           : voted                        ? ""
                                          : name + " got no vote";
  }

  std::string CheckEnd()
  {
    m_cluster.SetNetwork(0, 0, std::chrono::milliseconds(5));
    const std::uint64_t last = ++m_lastValue;
    const bool served = m_cluster.RunUntil(kPatience, [&] {
      const auto leader = m_cluster.Leader();
      return (leader && m_cluster.Propose(*leader, last) && false) ||
             m_cluster.IsAcknowledged(last) || !m_cluster.Violation().empty();
    });
    if (!m_cluster.Violation().empty()) {
      return m_cluster.Violation();
    }
    if (!served) {
      return "no change is acknowledged in the end";
    }
    for (const auto& [value, index] : m_cluster.Acknowledged()) {
      if (!m_cluster.IsCommitted(value)) {
        return "the acknowledged change " + std::to_string(value) + " is gone";
      }
    }
    const std::size_t leader = *m_cluster.Leader();
    return VotersAt(m_cluster, leader) == kFounders ? "" : "too many or too few voters";
  }

  RaftCluster m_cluster;
  std::uint64_t m_lastValue = 0;
};

// Symptom: after the third replaced machine an acknowledged change is missing, or nothing is
// acknowledged any more. Sequence: each voter of the first start is replaced by an empty process.
// Cause: a change of the voters that overtakes another, or an empty disk that votes too early.
TEST(RaftJoining, AllFoundersAreReplacedOneAfterTheOther)
{
  constexpr std::uint64_t kSeeds = 300;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const std::string broken = Replacements(seed).Run();
    ASSERT_EQ(broken, "") << "seed " << seed;
  }
}

} // namespace
} // namespace gooseberrysail
