#include "fakes/raft_cluster.hpp"
#include "support/section.hpp"

#include <cstdlib>
#include <iostream>
#include <string>

namespace gooseberrysail {
namespace {

using fakes::BrokenPromises;
using fakes::CrashPoint;
using fakes::RaftCluster;

constexpr std::size_t kSteps = 220;
constexpr std::uint64_t kBouncePercent = 25;
constexpr std::size_t kSchedulesPerTest = 1000;

std::optional<std::uint64_t> FromEnvironment(const char* name)
{
  const char* text = std::getenv(name);
  return text == nullptr ? std::nullopt : std::optional(std::strtoull(text, nullptr, 10));
}

// Small limits, so that each schedule meets snapshots, chunks, batches and full windows.
RaftSettings TightSettings()
{
  RaftSettings settings;
  settings.heartbeat = std::chrono::milliseconds(50);
  settings.electionTimeout = std::chrono::milliseconds(200);
  settings.snapshotEvery = 12;
  settings.keepEntries = 6;
  settings.snapshotChunkBytes = 64;
  settings.maxAppendBytes = 24;
  settings.maxInFlight = 3;
  return settings;
}

/// \brief One seeded run of faults, then peace; returns the broken invariant or "".
class Schedule
{
public:
  Schedule(std::uint64_t seed, std::size_t voters, BrokenPromises broken, bool trace)
    : m_cluster(RaftCluster::Options{ voters, seed, TightSettings(), broken, trace })
    , m_tolerated((voters - 1) / 2)
    , m_restless(seed % 2 == 0)
  {
  }

  std::string Run()
  {
    for (std::size_t step = 0; step < kSteps && m_cluster.Violation().empty(); ++step) {
      Act();
      m_cluster.Advance(std::chrono::milliseconds(5 + m_cluster.Random() % 60));
    }
    if (!m_cluster.Violation().empty()) {
      return m_cluster.Violation();
    }
    return Recover();
  }

  [[nodiscard]] RaftCluster& Cluster() { return m_cluster; }

private:
  void Act()
  {
    const std::size_t target = m_cluster.Random() % m_cluster.Size();
    const std::uint64_t choice = m_cluster.Random() % 100;
    if (m_restless && m_cluster.Random() % 100 < kBouncePercent) {
      m_cluster.Crash(target);
      m_cluster.Restart(target);
      return;
    }
    if (choice < 40) {
      ProposeEverywhere();
    } else if (choice < 46) {
      CrashOne(target);
    } else if (choice < 62) {
      RestartOne(target);
    } else if (choice < 65) {
      WipeOne(target);
    } else if (choice < 68) {
      m_cluster.Freeze(target);
    } else if (choice < 76) {
      ThawAll();
    } else if (choice < 80) {
      m_cluster.Isolate(target);
    } else if (choice < 83) {
      m_cluster.Block(target, m_cluster.Random() % m_cluster.Size());
    } else if (choice < 90) {
      m_cluster.HealLinks();
    } else if (choice < 94) {
      m_cluster.SetNetwork(static_cast<unsigned>(m_cluster.Random() % 30),
                           static_cast<unsigned>(m_cluster.Random() % 30),
                           std::chrono::milliseconds(1 + m_cluster.Random() % LongestDelay()));
    }
  }

  // In the restless half of the schedules elections overlap again and again, with messages that
  // outlive the process that sent them.
  [[nodiscard]] std::uint64_t LongestDelay() const { return m_restless ? 600 : 150; }

  // Also at a process that only believes that it leads: it must not acknowledge.
  void ProposeEverywhere()
  {
    const std::size_t count = 1 + m_cluster.Random() % 4;
    for (std::size_t i = 0; i < m_cluster.Size() * count; ++i) {
      m_cluster.Propose(i % m_cluster.Size(), m_nextValue++);
    }
  }

  void CrashOne(std::size_t target)
  {
    if (m_cluster.Random() % 2 == 0) {
      m_cluster.Crash(target);
    } else {
      m_cluster.CrashDuringNextReady(target, static_cast<CrashPoint>(m_cluster.Random() % 5));
    }
  }

  void RestartOne(std::size_t target)
  {
    for (std::size_t i = 0; i < m_cluster.Size(); ++i) {
      const std::size_t each = (target + i) % m_cluster.Size();
      if (!m_cluster.At(each).node) {
        m_cluster.Restart(each);
        return;
      }
    }
  }

  // More lost disks at once than a minority lose data by any means.
  void WipeOne(std::size_t target)
  {
    if (m_cluster.WipedAndNotVoting() < m_tolerated) {
      m_cluster.Crash(target);
      m_cluster.Wipe(target);
    }
  }

  void ThawAll()
  {
    for (std::size_t i = 0; i < m_cluster.Size(); ++i) {
      if (m_cluster.At(i).frozen) {
        m_cluster.Thaw(i);
      }
    }
  }

  std::string Recover()
  {
    m_cluster.Note("peace");
    m_cluster.HealLinks();
    m_cluster.SetNetwork(0, 0, std::chrono::milliseconds(2));
    ThawAll();
    for (std::size_t i = 0; i < m_cluster.Size(); ++i) {
      m_cluster.At(i).crashAt.reset();
      if (!m_cluster.At(i).node) {
        m_cluster.Restart(i);
      }
    }
    const std::uint64_t last = m_nextValue++;
    const bool settled = m_cluster.RunUntil(std::chrono::seconds(20), [&] {
      const auto leader = m_cluster.Leader();
      if (leader && !m_cluster.IsCommitted(last)) {
        m_cluster.Propose(*leader, last);
      }
      return !m_cluster.Violation().empty() ||
             (m_cluster.IsCommitted(last) && m_cluster.Converged() &&
              m_cluster.WipedAndNotVoting() == 0);
    });
    if (!m_cluster.Violation().empty()) {
      return m_cluster.Violation();
    }
    if (!settled) {
      return "no progress: 20 s without faults did not bring all processes together";
    }
    for (const auto& [value, index] : m_cluster.Acknowledged()) {
      if (!m_cluster.IsCommitted(value)) {
        return "the acknowledged change " + std::to_string(value) + " at index " +
               std::to_string(index) + " is lost";
      }
    }
    return "";
  }

  RaftCluster m_cluster;
  std::size_t m_tolerated;
  bool m_restless;
  std::uint64_t m_nextValue = 1;
};

struct Failure
{
  std::uint64_t seed = 0;
  std::string what;
};

std::optional<Failure> FirstFailure(std::uint64_t first,
                                    std::size_t count,
                                    std::size_t voters,
                                    BrokenPromises broken = {})
{
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    Schedule schedule(seed, voters, broken, false);
    const std::string what = schedule.Run();
    if (!what.empty()) {
      return Failure{ seed, what };
    }
  }
  return std::nullopt;
}

void PrintSchedule(const Failure& failure, std::size_t voters)
{
  Schedule again(failure.seed, voters, {}, true);
  (void)again.Run();
  for (const std::string& line : again.Cluster().Trace()) {
    std::cerr << line << "\n";
  }
}

// Symptom: an acknowledged change is gone, two processes lead one term, or logs differ.
// Sequence: any: messages lost, doubled and out of order, links cut one way, kills at each point
// of writing, frozen processes, wiped disks, changes proposed meanwhile.
// Cause: whichever rule of the protocol is missing; the schedule that is printed tells.
// GOOSEBERRYSAIL_SEED=<n> runs one schedule again and prints it, GOOSEBERRYSAIL_SCHEDULES=<n> that
// many.
void RunSchedules(std::uint64_t first, std::size_t voters)
{
  const auto one = FromEnvironment("GOOSEBERRYSAIL_SEED");
  const std::size_t count = FromEnvironment("GOOSEBERRYSAIL_SCHEDULES").value_or(kSchedulesPerTest);
  if (one) {
    PrintSchedule({ *one, "" }, voters);
  }
  const auto failure = one ? FirstFailure(*one, 1, voters) : FirstFailure(first, count, voters);
  if (failure) {
    PrintSchedule(*failure, voters);
    FAIL() << "seed " << failure->seed << " with " << voters << " voters: " << failure->what;
  }
}

TEST(RaftSchedules, ThreeVoters)
{
  RunSchedules(1, 3);
}

TEST(RaftSchedules, ThreeVotersMore)
{
  RunSchedules(100001, 3);
}

TEST(RaftSchedules, FiveVoters)
{
  RunSchedules(200001, 5);
}

// The checks would be worth nothing if they passed whatever the processes do.
TEST(RaftSchedules, BrokenPromisesAreFound)
{
  constexpr std::size_t kEnough = 2000;
  SECTION("votes that do not outlive a crash")
  {
    BrokenPromises broken;
    broken.forgetVote = true;
    EXPECT_TRUE(FirstFailure(1, kEnough, 3, broken));
  }
  SECTION("messages sent before what they promise is synced")
  {
    BrokenPromises broken;
    broken.sendBeforePersist = true;
    EXPECT_TRUE(FirstFailure(1, kEnough, 3, broken));
  }
  SECTION("a wiped disk that comes back under its old identity")
  {
    BrokenPromises broken;
    broken.keepIdentity = true;
    EXPECT_TRUE(FirstFailure(1, kEnough, 3, broken));
  }
}

} // namespace
} // namespace gooseberrysail
