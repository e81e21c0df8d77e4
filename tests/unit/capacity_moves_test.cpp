#include "gooseberrysail/control/capacity_moves.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <gmock/gmock.h>
#include <numbers>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using ::testing::IsEmpty;
using ::testing::Not;
using ::testing::SizeIs;

constexpr Duration kStep = 100ms;
/// Control knows the mean demand of this time.
constexpr Duration kMeanDemand = 3s;
constexpr Duration kDay = 60s;

const EngineSpec kEngine = [] {
  EngineSpec engine;
  engine.slots = 48;
  engine.stepTime = 6450us;
  engine.stepTimePerRequest = 95us;
  engine.tokensPerEvent = 5;
  engine.usualOutputTokens = 110;
  engine.openTime = 300ms;
  engine.models = { { "large", 12, 0.5, 1.0, 16s, 1600ms }, { "small", 6, 0.5, 0.6, 12s, 1100ms } };
  return engine;
}();

/// \brief How groups are ended for another model.
enum class Rule
{
  kNever,
  kPresentLoad,
  kWeighed,
};

/// \brief Offered loads of the large and the small model at a time since the start.
using Load = std::function<std::array<double, 2>(double seconds)>;

struct Move
{
  TimePoint at{};
  std::string donor;
  std::string receiver;
};

/// \brief Groups of two models in three domains of 27 targets, each planned anew every 100 ms.
class Pool
{
public:
  Pool(Rule rule, Load load)
    : m_rule(rule)
    , m_load(std::move(load))
  {
    for (const char* domain : { "a", "b", "c" }) {
      Form("large", domain, m_start);
      Form("small", domain, m_start);
      Form("small", domain, m_start);
    }
  }

  /// \brief The domain's groups are lost until it is back, empty.
  void Lose(const std::string& domain, Duration at, Duration back)
  {
    m_lost = { domain, m_start + at, m_start + back };
  }

  /// \brief Another process leads from then on.
  void ChangeLeader(Duration at) { m_leaderAt = m_start + at; }

  void Run()
  {
    for (m_now = m_start; m_now < m_start + kDay; m_now += kStep) {
      if (m_now == m_lost.at) {
        std::erase_if(m_groups, [&](const Group& group) { return group.domain == m_lost.domain; });
        m_moves.OnGroupLost(m_now, "large");
        m_moves.OnGroupLost(m_now, "small");
      }
      if (m_now == m_leaderAt) {
        m_moves.Clear();
      }
      if (m_now == m_lost.back) {
        Form("large", m_lost.domain, m_now);
        Form("small", m_lost.domain, m_now);
        Form("small", m_lost.domain, m_now);
      }
      const std::array<double, 2> load = m_load(SecondsSinceStart());
      for (std::size_t model = 0; model < load.size(); ++model) {
        const GroupModel& each = kEngine.models[model];
        m_lostWork += load.at(model) * each.size *
                      (1 - ServedFraction(CountServing(each.name), load.at(model))) *
                      std::chrono::duration<double>(kStep).count();
      }
      Plan();
    }
  }

  /// \brief Work that was not served, in target-seconds.
  [[nodiscard]] double LostWork() const { return m_lostWork; }
  [[nodiscard]] TimePoint Start() const { return m_start; }
  [[nodiscard]] const std::vector<Move>& Moves() const { return m_made; }
  [[nodiscard]] std::size_t CountOpposite() const
  {
    std::size_t count = 0;
    for (std::size_t i = 1; i < m_made.size(); ++i) {
      count += m_made[i].donor == m_made[i - 1].receiver ? 1 : 0;
    }
    return count;
  }

private:
  struct Group
  {
    std::string name;
    std::string model;
    std::string domain;
    TimePoint servesAt{};
  };

  struct Loss
  {
    std::string domain;
    TimePoint at{};
    TimePoint back{};
  };

  [[nodiscard]] double SecondsSinceStart() const
  {
    return std::chrono::duration<double>(m_now - m_start).count();
  }

  void Form(const std::string& model, const std::string& domain, TimePoint servesAt)
  {
    m_groups.push_back({ "g" + std::to_string(++m_formed), model, domain, servesAt });
  }

  [[nodiscard]] double CountServing(const std::string& model) const
  {
    return static_cast<double>(std::ranges::count_if(m_groups, [&](const Group& group) {
      return group.model == model && group.servesAt <= m_now;
    }));
  }

  /// The mean of the load that control knows.
  [[nodiscard]] double KnownLoad(std::size_t model) const
  {
    double sum = 0;
    int count = 0;
    for (Duration age{}; age < kMeanDemand; age += kStep) {
      const double at = SecondsSinceStart() - std::chrono::duration<double>(age).count();
      sum += m_load(at).at(model);
      ++count;
    }
    return sum / count;
  }

  void Plan()
  {
    std::vector<ModelNeed> needs;
    for (std::size_t model = 0; model < kEngine.models.size(); ++model) {
      const GroupModel& each = kEngine.models[model];
      ModelNeed need{ &each, 0, 0, KnownLoad(model) };
      need.groups =
        static_cast<std::uint32_t>(std::ranges::count(m_groups, each.name, &Group::model));
      need.wanted = WantedGroups(need.offeredLoad);
      needs.push_back(need);
    }
    std::vector<ServingGroup> serving;
    for (const Group& group : m_groups) {
      if (group.servesAt <= m_now) {
        serving.push_back(Describe(group));
      }
    }
    m_moves.RecordLoads(m_now, kEngine, needs);
    const std::vector<RecentMove> recent = m_moves.ListRecent(m_now);
    const std::vector<std::string> lossy = m_moves.ListLossy(m_now, kEngine);
    const MoveInput moves{ m_now, kEngine, m_moves.History(), recent, lossy };
    PoolInput input{ {}, needs, serving };
    input.mayTakeOver = m_rule != Rule::kNever && m_now - m_start > kMeanDemand;
    input.moves = m_rule == Rule::kWeighed ? &moves : nullptr;
    for (const PlannedTakeover& planned : PlanPool(input).takeovers) {
      Take(planned);
    }
  }

  void Take(const PlannedTakeover& planned)
  {
    const GroupModel& donor = ModelOf(planned.donor);
    const GroupModel& receiver = ModelOf(planned.group.model);
    std::string domain;
    std::uint32_t targets = 0;
    for (const std::string& name : planned.releases) {
      const auto group = std::ranges::find(m_groups, name, &Group::name);
      domain = group->domain;
      targets += donor.size;
      m_groups.erase(group);
    }
    const TimePoint servesAt = m_now + MoveDuration(kEngine, donor, receiver);
    for (; targets >= receiver.size; targets -= receiver.size) {
      Form(receiver.name, domain, servesAt);
    }
    m_made.push_back({ m_now, donor.name, receiver.name });
    m_moves.RecordMove(m_now, { donor.name, receiver.name }, planned.estimate);
  }

  static const GroupModel& ModelOf(const std::string& name)
  {
    return *std::ranges::find(kEngine.models, name, &GroupModel::name);
  }

  /// The hosts hold the weights of both models.
  static ServingGroup Describe(const Group& group)
  {
    ServingGroup serving{ group.name, group.model, FabricDomainId(group.domain), {} };
    for (std::uint32_t i = 0; i < ModelOf(group.model).size; ++i) {
      FreeTarget member;
      member.instance = InstanceId(group.name + "-" + std::to_string(i));
      member.fabricDomain = serving.fabricDomain;
      member.lastModel = group.model;
      member.stagedModels = { group.model == "large" ? "small" : "large" };
      serving.members.push_back(member);
    }
    return serving;
  }

  Rule m_rule;
  Load m_load;
  const TimePoint m_start{ 1h };
  TimePoint m_now{};
  std::vector<Group> m_groups;
  CapacityMoves m_moves;
  Loss m_lost;
  TimePoint m_leaderAt{};
  double m_lostWork = 0;
  std::vector<Move> m_made;
  int m_formed = 0;
};

/// The offered load swings around a mean that the groups serve.
Load Wave(double swing, double shift)
{
  return [=](double seconds) {
    const double angle = 2 * std::numbers::pi * seconds / 11;
    return std::array{ 1.9 * (1 + swing * std::sin(angle)),
                       4.2 * (1 + swing * std::sin(angle + shift)) };
  };
}

std::array<double, 2> Burst(double seconds)
{
  return std::array{ 1.9, seconds >= 20 && seconds < 23 ? 10.5 : 4.2 };
}

/// Callers of the large model go over to the small one.
std::array<double, 2> Shift(double seconds)
{
  return seconds < 20 ? std::array{ 1.9, 4.2 } : std::array{ 0.7, 6.5 };
}

Pool Play(Rule rule, const Load& load)
{
  Pool pool(rule, load);
  pool.Run();
  return pool;
}

Pool PlayLostDomain(Rule rule)
{
  // The small model has lost twice as much as the large one.
  Pool pool(rule, [](double) { return std::array{ 0.5, 4.2 }; });
  pool.Lose("a", 20s, 35s);
  pool.Run();
  return pool;
}

struct LoadCase
{
  const char* name;
  std::function<Pool(Rule)> play;
};

std::function<Pool(Rule)> PlayOf(Load load)
{
  return [load = std::move(load)](Rule rule) { return Play(rule, load); };
}

/// Loads that swing and pass before a move for them has paid off.
std::vector<LoadCase> Waves()
{
  return {
    { "a wave, both models at once", PlayOf(Wave(0.55, 0)) },
    { "a wave, the models by turns", PlayOf(Wave(0.55, std::numbers::pi)) },
    { "a small wave by turns", PlayOf(Wave(0.3, std::numbers::pi)) },
  };
}

std::vector<LoadCase> LastingLoads()
{
  return { { "a step that lasts", PlayOf(Shift) }, { "a lost domain", PlayLostDomain } };
}

// Guards against capacity that is away at the peak of a wave, as each peak takes a group and the
// next trough gives it back.
TEST(CapacityMoves, NoMoveIsMadeForAWave)
{
  for (const LoadCase& each : Waves()) {
    EXPECT_THAT(each.play(Rule::kWeighed).Moves(), IsEmpty()) << each.name;
    EXPECT_GT(each.play(Rule::kPresentLoad).CountOpposite(), 0U) << each.name;
  }
}

// Guards against a model that stays short because no group is ever ended for it, and against one
// that is given groups and loses them again.
TEST(CapacityMoves, ALastingLoadMovesGroupsOnce)
{
  for (const LoadCase& each : LastingLoads()) {
    const Pool weighed = each.play(Rule::kWeighed);
    EXPECT_THAT(weighed.Moves(), Not(IsEmpty())) << each.name;
    EXPECT_EQ(weighed.CountOpposite(), 0U) << each.name;
    EXPECT_LT(weighed.LostWork(), each.play(Rule::kNever).LostWork()) << each.name;
  }
}

// Guards against moves that cost callers more than they gain.
TEST(CapacityMoves, LoseLessThanByThePresentLoadUnderAWave)
{
  for (const LoadCase& each : Waves()) {
    const double weighed = each.play(Rule::kWeighed).LostWork();
    EXPECT_LT(weighed, each.play(Rule::kPresentLoad).LostWork()) << each.name;
    EXPECT_LE(weighed, each.play(Rule::kNever).LostWork()) << each.name;
  }
}

// Guards against capacity that is away when a burst is over, after which it is moved back.
TEST(CapacityMoves, LoseNoMoreThanWithoutMovesInABurst)
{
  const double weighed = Play(Rule::kWeighed, Burst).LostWork();
  EXPECT_LT(weighed, Play(Rule::kPresentLoad, Burst).LostWork());
  EXPECT_LE(weighed, Play(Rule::kNever, Burst).LostWork());
}

// Guards against a decision that takes longer than that by the present load where the load lasts.
TEST(CapacityMoves, LoseNoMoreThanByThePresentLoadWhereTheLoadLasts)
{
  for (const LoadCase& each : LastingLoads()) {
    const double weighed = each.play(Rule::kWeighed).LostWork();
    EXPECT_LE(weighed, each.play(Rule::kPresentLoad).LostWork()) << each.name;
  }
}

// Guards against a new leader that takes the peak of a wave, of which it has seen nothing else, for
// a lasting load.
TEST(CapacityMoves, ANewLeaderDecidesNothingByAShortHistory)
{
  Pool pool(Rule::kWeighed, Shift);
  pool.ChangeLeader(21s);
  pool.Run();
  ASSERT_THAT(pool.Moves(), Not(IsEmpty()));
  EXPECT_GT(pool.Moves().front().at - pool.Start(), 21s + LongestMove(kEngine));
}

// Guards against a domain that is lost around a change of the leader and whose models wait for the
// history of a whole term.
TEST(CapacityMoves, ANewLeaderMovesAtOnceAfterALoss)
{
  Pool pool(Rule::kWeighed, [](double) { return std::array{ 0.5, 4.2 }; });
  pool.Lose("a", 20s, 35s);
  pool.ChangeLeader(19500ms);
  pool.Run();
  ASSERT_THAT(pool.Moves(), Not(IsEmpty()));
  EXPECT_LT(pool.Moves().front().at - pool.Start(), 20s + LongestMove(kEngine));
}

// Guards against undoing a move before it has made up for what it cost.
TEST(CapacityMoves, NoMoveIsUndoneBeforeItHasPaidOff)
{
  CapacityMoves moves;
  MoveEstimate estimate;
  estimate.duration = 4s;
  estimate.loss = 30;
  estimate.gainPerSecond = 10;
  const TimePoint start(1h);
  moves.RecordMove(start, { "large", "small" }, estimate);
  EXPECT_THAT(moves.ListRecent(start + 6900ms), SizeIs(1));
  EXPECT_THAT(moves.ListRecent(start + 7s), IsEmpty());
  SECTION("unless capacity is lost meanwhile")
  {
    moves.RecordMove(start, { "large", "small" }, estimate);
    moves.OnGroupLost(start + 1s, "small");
    EXPECT_THAT(moves.ListRecent(start + 1s), IsEmpty());
  }
}

} // namespace
} // namespace gooseberrysail
