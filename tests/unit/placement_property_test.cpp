#include "support/placement_tables.hpp"
#include "support/section.hpp"

#include <gtest/gtest.h>
#include <random>
#include <set>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using test::PlacementTables;

/// Random fleets, losses, returns, drains and catalogue changes, with a log delay of up to three
/// seconds.
class Scenario
{
public:
  explicit Scenario(std::uint32_t seed)
    : m_random(seed)
  {
    m_tables.policy.weightLoadsAtOnce = 1 + UniformBelow(4);
    m_tables.policy.repairPatience = std::chrono::seconds(1 + UniformBelow(60));
    const std::uint32_t models = 1 + UniformBelow(3);
    for (std::uint32_t model = 0; model < models; ++model) {
      m_tables.AddModel("m" + std::to_string(model),
                        1 + UniformBelow(4),
                        1 + UniformBelow(4),
                        static_cast<PriorityClass>(UniformBelow(3)));
    }
    const std::uint32_t fabrics = 1 + UniformBelow(4);
    for (std::uint32_t fabric = 0; fabric < fabrics; ++fabric) {
      m_tables.AddVms("fabric-" + std::to_string(fabric),
                      std::string(1, static_cast<char>('a' + fabric)),
                      2 + UniformBelow(10));
    }
  }

  void Run(int seconds)
  {
    for (int second = 0; second < seconds && !::testing::Test::HasFailure(); ++second) {
      ApplyRandomFault();
      const auto actions = m_tables.Plan();
      CheckNoDuplicates(actions);
      for (const PlannerAction& action : actions) {
        Check(action);
        if (const GroupId group = Ended(action); !group.IsNone()) {
          m_pendingEnds.insert(group);
        }
        m_log.emplace_back(m_tables.now + std::chrono::seconds(UniformBelow(4)), action);
      }
      ApplyLog();
    }
  }

private:
  std::uint32_t UniformBelow(std::uint32_t count)
  {
    return std::uniform_int_distribution<std::uint32_t>(0, count - 1)(m_random);
  }

  VmView& RandomVm()
  {
    return m_tables.vms[UniformBelow(static_cast<std::uint32_t>(m_tables.vms.size()))];
  }

  void ApplyRandomFault()
  {
    const std::string vm = RandomVm().vm.Get();
    switch (UniformBelow(12)) {
      case 0:
        m_tables.Lose(vm);
        break;
      case 1:
      case 2:
        if (!m_tables.Vm(vm).reachable) {
          m_tables.Return(vm, UniformBelow(2) == 0);
        }
        break;
      case 3:
        m_tables.Vm(vm).draining = UniformBelow(4) == 0;
        break;
      case 4:
        m_tables.Vm(vm).straggler = UniformBelow(4) == 0;
        break;
      case 5:
        if (!m_tables.groups.empty()) {
          m_tables.LoadWeights(
            m_tables.groups[UniformBelow(static_cast<std::uint32_t>(m_tables.groups.size()))]
              .view.group);
        }
        break;
      case 6:
        ChangeRandomly(
          m_tables.specs[UniformBelow(static_cast<std::uint32_t>(m_tables.specs.size()))]);
        break;
      case 7:
        LoseFabricAtRandom(RandomVm().fabricDomain);
        break;
      default:
        break;
    }
  }

  void ChangeRandomly(ModelSpec& spec)
  {
    if (UniformBelow(10) == 0) {
      spec.version = "v" + std::to_string(UniformBelow(3));
      spec.replicas = UniformBelow(5);
      spec.membersPerReplica = 1 + UniformBelow(4);
    }
  }

  void LoseFabricAtRandom(const FabricDomainId& fabric)
  {
    if (UniformBelow(8) != 0) {
      return;
    }
    for (VmView& vm : m_tables.vms) {
      if (vm.fabricDomain == fabric) {
        m_tables.Lose(vm.vm.Get());
      }
    }
  }

  static GroupId Ended(const PlannerAction& action)
  {
    if (const auto* dissolve = std::get_if<DissolveGroupAction>(&action)) {
      return dissolve->group;
    }
    const auto* drain = std::get_if<DrainGroupAction>(&action);
    return drain == nullptr ? GroupId() : drain->group;
  }

  void CheckNoDuplicates(const std::vector<PlannerAction>& actions)
  {
    std::set<VmId> vms;
    std::set<GroupId> ended;
    for (const PlannerAction& action : actions) {
      if (const auto* form = std::get_if<FormGroupAction>(&action)) {
        for (const VmId& vm : form->members) {
          EXPECT_TRUE(vms.insert(vm).second) << vm << " is in two actions";
        }
      } else {
        const GroupId group = Ended(action);
        EXPECT_TRUE(ended.insert(group).second) << group << " is ended twice";
        EXPECT_TRUE(m_tables.Find(group)) << group << " doesn't exist";
        EXPECT_FALSE(m_pendingEnds.contains(group))
          << group << " has an end action pending already";
      }
    }
  }

  void Check(const PlannerAction& action)
  {
    const auto* form = std::get_if<FormGroupAction>(&action);
    if (form == nullptr) {
      return;
    }
    const auto model = std::ranges::find(m_tables.models, form->entry, &ModelView::entry);
    ASSERT_NE(model, m_tables.models.end());
    EXPECT_EQ(form->members.size(), model->spec->membersPerReplica);
    EXPECT_EQ(form->modelVersion, model->spec->version);
    for (const VmId& id : form->members) {
      const VmView& vm = m_tables.Vm(id.Get());
      EXPECT_TRUE(vm.group.IsNone()) << id << " is in a group";
      EXPECT_TRUE(vm.reachable) << id << " is unreachable";
      EXPECT_FALSE(vm.draining) << id << " is draining";
      EXPECT_EQ(vm.fabricDomain, m_tables.Vm(form->members.front().Get()).fabricDomain);
      for (const auto& [at, other] : m_log) {
        const auto* pending = std::get_if<FormGroupAction>(&other);
        EXPECT_FALSE(pending != nullptr &&
                     std::ranges::find(pending->members, id) != pending->members.end())
          << id << " is already assigned to a group";
      }
    }
  }

  void ApplyLog()
  {
    std::vector<PlannerAction> due;
    std::erase_if(m_log, [&](const auto& entry) {
      if (entry.first <= m_tables.now) {
        due.push_back(entry.second);
        return true;
      }
      return false;
    });
    m_tables.Apply(due);
    for (const PlannerAction& action : due) {
      m_pendingEnds.erase(Ended(action));
    }
  }

  std::mt19937 m_random;
  PlacementTables m_tables;
  std::vector<std::pair<TimePoint, PlannerAction>> m_log;
  std::set<GroupId> m_pendingEnds;
};

TEST(PlacementProperty, ActionsKeepInvariants)
{
  for (std::uint32_t seed = 0; seed < 300 && !HasFailure(); ++seed) {
    SECTION("seed " + std::to_string(seed))
    {
      Scenario(seed).Run(400);
    }
  }
}

} // namespace
} // namespace gooseberrysail
