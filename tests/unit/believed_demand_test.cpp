#include "support/feed_world.hpp"
#include "support/section.hpp"

#include <gtest/gtest.h>
#include <random>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using tests::FeedWorld;

constexpr Duration kQueryInterval = 500ms;
constexpr double kUsual = 1000; ///< Requests a second of all callers together.

/// \brief Entries that count the requests of their callers, with links to control that can be cut.
class Fleet
{
public:
  Fleet(std::size_t entries, std::uint64_t seed)
    : m_entries(entries)
    , m_random(seed)
  {
  }

  /// \brief Runs entries and control; `rate` is a factor on the callers' usual requests.
  void Run(Duration duration, double rate = 1)
  {
    const TimePoint until = world.now + duration;
    while (world.now < until) {
      world.now += kQueryInterval;
      std::poisson_distribution<std::uint64_t> arrivals(
        rate * kUsual / static_cast<double>(m_entries.size()) *
        std::chrono::duration<double>(kQueryInterval).count());
      for (std::size_t number = 0; number < m_entries.size(); ++number) {
        Entry& entry = m_entries[number];
        entry.requests += arrivals(m_random);
        entry.queue.push_back(world.Query(entry.requests));
        if (!entry.isCut) {
          Deliver(number);
        }
      }
      world.Tick();
      m_highest = std::max(m_highest, Believed() / kUsual);
    }
  }

  void Cut(std::size_t first, std::size_t count)
  {
    for (std::size_t number = first; number < first + count; ++number) {
      m_entries[number].isCut = true;
      world.feed.OnPeerDown(Name(number));
    }
  }

  /// \brief All links are back at the same moment, with all queries that were held up.
  void Heal()
  {
    for (std::size_t number = 0; number < m_entries.size(); ++number) {
      m_entries[number].isCut = false;
      Deliver(number);
    }
    m_highest = std::max(m_highest, Believed() / kUsual);
  }

  void Restart(std::size_t number) { m_entries[number].requests = 0; }

  /// \brief What control believes that callers ask for in a second.
  [[nodiscard]] double Believed() const
  {
    const auto demand = world.feed.Demand();
    const auto found = demand.find("large");
    return found == demand.end() ? 0 : found->second.requests;
  }
  /// \brief The highest demand that control believed since the latest call, as a factor.
  double TakeHighest() { return std::exchange(m_highest, 0); }

  FeedWorld world;

private:
  struct Entry
  {
    std::uint64_t requests = 0;
    bool isCut = false;
    std::vector<wire::ServingQueryT> queue;
  };

  static ProcessId Name(std::size_t number) { return ProcessId("e" + std::to_string(number)); }

  void Deliver(std::size_t number)
  {
    for (wire::ServingQueryT& query : std::exchange(m_entries[number].queue, {})) {
      world.now += 20us; // Queries that were held up arrive one right after the other.
      world.Ask(Name(number).Get(), std::move(query));
    }
  }

  std::vector<Entry> m_entries;
  std::mt19937_64 m_random;
  double m_highest = 0;
};

/// Bounds on the demand that control believes, as factors on what callers sent.
constexpr double kHighest = 1.1;
constexpr double kLowest = 0.9;

// Guards against groups that are ended for a demand that nobody had: requests counted over seconds
// are taken for those of the microseconds in which the counts arrived.
TEST(BelievedDemand, DoesNotJumpWhenLinksAreBack)
{
  for (const std::size_t entries : { 5U, 100U }) {
    for (const Duration cut : { 1s, 2s, 5s, 10s }) {
      Fleet fleet(entries, 1);
      fleet.Run(20s);
      fleet.TakeHighest();
      fleet.Cut(0, entries * 2 / 5);
      fleet.Run(cut);
      fleet.Heal();
      fleet.Run(10s);
      EXPECT_LE(fleet.TakeHighest(), kHighest) << entries << " entries, " << cut.count() << " ns";
      EXPECT_GE(fleet.Believed() / kUsual, kLowest)
        << entries << " entries, " << cut.count() << " ns";
    }
  }
}

TEST(BelievedDemand, StaysNearWhatCallersSentDuringChanges)
{
  Fleet fleet(100, 2);
  fleet.Run(20s);
  fleet.TakeHighest();
  SECTION("a new leader")
  {
    fleet.world.feed.OnLeaderStart();
    fleet.Run(5s);
  }
  SECTION("entries that start again, and count from zero")
  {
    for (std::size_t number = 0; number < 30; ++number) {
      fleet.Restart(number);
    }
    fleet.Run(5s);
  }
  SECTION("an entry whose clock stands still, and one whose clock goes back")
  {
    for (const std::uint64_t clock : { 3'000'000'000ULL, 5ULL }) {
      for (std::uint64_t requests = 1000; requests < 100'000; requests += 1000) {
        wire::ServingQueryT query = fleet.world.Query(requests);
        query.countedAtMillis = clock;
        fleet.world.Ask("odd", std::move(query));
      }
    }
    fleet.Run(5s);
  }
  EXPECT_LE(fleet.TakeHighest(), kHighest);
  EXPECT_GE(fleet.Believed() / kUsual, kLowest);
}

TEST(BelievedDemand, FollowsABurst)
{
  Fleet fleet(100, 3);
  fleet.Run(20s);
  const double before = fleet.Believed();
  constexpr double kBurst = 1.7;
  fleet.Run(1s, kBurst);
  EXPECT_GE(fleet.Believed(), before + 0.25 * (kBurst - 1) * kUsual);
  fleet.Run(2s, kBurst);
  EXPECT_GE(fleet.Believed(), before + 0.55 * (kBurst - 1) * kUsual);
}

} // namespace
} // namespace gooseberrysail
