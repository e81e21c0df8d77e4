#include "fakes/fake_fleet.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <cstdlib>
#include <gmock/gmock.h>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using fakes::FakeFleet;
using ::testing::IsEmpty;

constexpr unsigned kDefaultSeeds = 40;
constexpr int kSteps = 40;

unsigned Seeds()
{
  const char* given = std::getenv("GOOSEBERRYSAIL_SCHEDULES");
  return given == nullptr ? kDefaultSeeds : static_cast<unsigned>(std::stoul(given));
}

/// \brief A fleet whose targets are cut off from control for seconds, leave orders unanswered and
/// carry them out late, restart and leave, while leaders change.
class LateOrders
{
public:
  LateOrders(unsigned seed, bool changesLeaders)
    : m_random(seed)
    , m_fleet(fakes::ServingFleet())
    , m_changesLeaders(changesLeaders)
  {
    for (const auto& [instance, row] : m_fleet.Table().Rows()) {
      m_names.push_back(instance.Get());
    }
    const ModelDemand demand{ 150, 150 * 714.0, 150 * 146.0 };
    m_fleet.demand = { { "large", demand }, { "small", demand } };
  }

  void Play()
  {
    for (int step = 0; step < kSteps; ++step) {
      Disturb();
      for (std::uint64_t rest = 3 + Below(20); rest > 0; --rest) {
        m_fleet.Run(100ms);
        EndDisturbances();
      }
    }
  }

  [[nodiscard]] const FakeFleet& Fleet() const { return m_fleet; }

private:
  struct Disturbance
  {
    std::string target;
    TimePoint until{};
    bool isCut = false;
  };

  std::uint64_t Below(std::uint64_t count) { return m_random() % count; }
  Duration Seconds(std::uint64_t least, std::uint64_t most)
  {
    return std::chrono::milliseconds(least * 1000 + Below((most - least) * 1000));
  }
  const std::string& Any() { return m_names[Below(m_names.size())]; }

  void Disturb()
  {
    switch (Below(10)) {
      case 0:
        Restart();
        break;
      case 1:
        m_fleet.At(Any()).self.draining = Below(2) == 0;
        break;
      case 2:
        if (m_changesLeaders) {
          m_fleet.ChangeLeader(Below(2) == 0);
        }
        break;
      case 3:
      case 4:
        for (std::uint64_t count = 1 + Below(8); count > 0; --count) {
          DelayOrders(Any());
        }
        break;
      case 5:
        IsolateHead();
        break;
      case 6:
        DelayJoins();
        break;
      default:
        for (std::uint64_t count = 1 + Below(4); count > 0; --count) {
          CutOff();
        }
        break;
    }
  }

  void Restart()
  {
    FakeFleet::Target& target = m_fleet.At(Any());
    target.self.draining = false;
    m_fleet.Restart(target.self.instance.Get());
  }

  void DelayOrders(const std::string& name)
  {
    FakeFleet::Target& target = m_fleet.At(name);
    for (const GroupOrderKind kind : { GroupOrderKind::kJoin,
                                       GroupOrderKind::kOpen,
                                       GroupOrderKind::kClose,
                                       GroupOrderKind::kLeave }) {
      if (Below(2) == 0) {
        target.lateOrders[kind] = Seconds(2, 12);
      }
    }
    m_disturbances.push_back({ name, m_fleet.now + Seconds(2, 12), false });
  }

  void DelayOrders(const std::string& name, GroupOrderKind kind)
  {
    m_fleet.At(name).lateOrders[kind] = Seconds(2, 12);
    m_disturbances.push_back({ name, m_fleet.now + Seconds(6, 14), false });
  }

  /// Cuts off a head whose members are heard and leave their orders to leave unanswered.
  void IsolateHead()
  {
    const std::string head = AnyHead();
    for (const InstanceId& member : m_fleet.At(head).members) {
      if (member != InstanceId(head)) {
        DelayOrders(member.Get(), GroupOrderKind::kLeave);
      }
    }
    CutOff(head, Seconds(6, 10));
  }

  /// The targets of a domain that work in no group join the next ones late.
  void DelayJoins()
  {
    const std::string prefix = Any().substr(0, 1);
    for (const std::string& name : m_names) {
      if (name.starts_with(prefix) &&
          m_fleet.At(name).self.membership.state != wire::MemberState::Open) {
        DelayOrders(name, GroupOrderKind::kJoin);
      }
    }
  }

  std::string AnyHead()
  {
    const auto heads = m_fleet.Groups().ServingHeads();
    return heads.empty()
             ? Any()
             : std::next(heads.begin(), static_cast<long>(Below(heads.size())))->first.Get();
  }

  /// Cuts off heads more often than others, as their groups then have to be ended.
  void CutOff() { CutOff(Below(3) > 0 ? AnyHead() : Any(), Seconds(1, 8)); }

  void CutOff(const std::string& name, Duration duration)
  {
    m_fleet.failing.insert(InstanceId(name));
    m_fleet.At(name).reachesControl = false;
    m_disturbances.push_back({ name, m_fleet.now + duration, true });
  }

  void EndDisturbances()
  {
    std::erase_if(m_disturbances, [&](const Disturbance& disturbance) {
      if (m_fleet.now < disturbance.until) {
        return false;
      }
      FakeFleet::Target& target = m_fleet.At(disturbance.target);
      if (disturbance.isCut) {
        target.reachesControl = true;
        target.nextReportAt = m_fleet.now;
        m_fleet.failing.erase(InstanceId(disturbance.target));
      } else {
        target.lateOrders.clear();
      }
      return true;
    });
  }

  std::mt19937_64 m_random;
  FakeFleet m_fleet;
  bool m_changesLeaders;
  std::vector<std::string> m_names;
  std::vector<Disturbance> m_disturbances;
};

// Guards against joining a member to another group while its head is open, after orders that were
// not answered in time and are carried out later.
TEST(LateGroupOrders, NoTargetWorksForTwoGroups)
{
  for (const bool changesLeaders : { false, true }) {
    SECTION(changesLeaders ? "leaders change" : "one leader")
    {
      for (unsigned seed = 1; seed <= Seeds(); ++seed) {
        LateOrders world(seed, changesLeaders);
        world.Play();
        EXPECT_THAT(world.Fleet().Violations(), IsEmpty()) << "seed " << seed;
      }
    }
  }
}

// Guards against giving away a member that is heard and says that it is in its group, because its
// head can't be reached and its orders to leave aren't answered.
TEST(LateGroupOrders, AMemberThatIsHeardStaysInItsGroup)
{
  FakeFleet fleet = fakes::ServingFleet();
  const std::string head = fakes::AnyHead(fleet, "large");
  const std::string group = fleet.At(head).self.membership.group;
  const std::vector<InstanceId> members = fleet.At(head).members;
  for (const InstanceId& member : members) {
    fleet.At(member.Get()).lateOrders[GroupOrderKind::kLeave] = 20s;
    fleet.At(member.Get()).lateOrders[GroupOrderKind::kJoin] = 20s;
  }
  const std::size_t before = fleet.Orders().size();
  fleet.failing.insert(InstanceId(head));
  fleet.At(head).reachesControl = false;
  fleet.demand["small"] = { 400, 400 * 714.0, 400 * 146.0 };
  fleet.Run(15s);
  for (const GroupOrder& order : std::span(fleet.Orders()).subspan(before)) {
    const bool isMember = std::ranges::find(members, order.target) != members.end();
    EXPECT_FALSE(isMember && order.kind == GroupOrderKind::kJoin && order.group != group)
      << order.target.Get() << " joined to " << order.group;
  }
}

} // namespace
} // namespace gooseberrysail
