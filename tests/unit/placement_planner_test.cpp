#include "support/placement_tables.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using test::ActionsOfType;
using test::PlacementTables;
using ::testing::IsEmpty;
using ::testing::SizeIs;

std::vector<std::string> Names(const std::vector<VmId>& vms)
{
  std::vector<std::string> names;
  std::ranges::transform(vms, std::back_inserter(names), [](const VmId& vm) { return vm.Get(); });
  return names;
}

TEST(Placement, FormsGroupsWithinOneFabricDomain)
{
  PlacementTables tables;
  tables.AddModel("m", 2);
  tables.AddVms("fabric-a", "a", 3);
  tables.AddVms("fabric-b", "b", 4);
  tables.AddVms("fabric-c", "c", 3);
  const auto forms = ActionsOfType<FormGroupAction>(tables.Plan());
  ASSERT_THAT(forms, SizeIs(1)) << "ten VMs, but only fabric-b has four";
  EXPECT_THAT(Names(forms[0].members), ::testing::UnorderedElementsAre("b0", "b1", "b2", "b3"));
}

TEST(Placement, FormsTheUrgentModelFirst)
{
  PlacementTables tables;
  tables.AddModel("a-batch", 1, 4, PriorityClass::kBatch);
  tables.AddModel("z-urgent", 1, 4, PriorityClass::kInteractive);
  tables.AddVms("fabric-a", "a", 4);
  const auto forms = ActionsOfType<FormGroupAction>(tables.Plan());
  ASSERT_THAT(forms, SizeIs(1));
  EXPECT_EQ(forms[0].entry.Get(), "z-urgent");
}

TEST(Placement, PrefersVmsThatHoldTheWeights)
{
  PlacementTables tables;
  tables.AddModel("m", 1, 2);
  tables.AddVms("fabric-a", "a", 6);
  tables.Vm("a3").loadedModel = "m@v1";
  tables.Vm("a5").loadedModel = "m@v1";
  tables.Vm("a0").loadedModel = "m@v0";
  const auto forms = ActionsOfType<FormGroupAction>(tables.Plan());
  ASSERT_THAT(forms, SizeIs(1));
  EXPECT_THAT(Names(forms[0].members), ::testing::ElementsAre("a3", "a5"));
}

TEST(Placement, SpreadsReplicasOverFailureDomains)
{
  PlacementTables tables;
  tables.AddModel("m", 3, 2);
  tables.AddVms("fabric-a", "a", 8);
  tables.AddVms("fabric-b", "b", 6);
  tables.AddVms("fabric-c", "c", 4);
  std::set<char> used;
  for (const FormGroupAction& form : ActionsOfType<FormGroupAction>(tables.Plan())) {
    used.insert(form.members.front().Get().front());
  }
  EXPECT_THAT(used, ::testing::ElementsAre('a', 'b', 'c'));
}

TEST(Placement, AssignsAVmOnceWhileTheLogIsSlow)
{
  // Guards against two FormGroup commands for one VM, of which the second is refused. The planner
  // runs each second, but a command takes longer than that to be visible in the tables.
  PlacementTables tables;
  tables.AddModel("m", 2, 2);
  tables.AddVms("fabric-a", "a", 4);
  tables.policy.weightLoadsAtOnce = 1;
  std::set<std::string> named;
  for (int second = 0; second < 3; ++second) {
    for (const FormGroupAction& form : ActionsOfType<FormGroupAction>(tables.Plan())) {
      for (const VmId& vm : form.members) {
        EXPECT_TRUE(named.insert(vm.Get()).second) << vm << " was assigned twice";
      }
    }
  }
  SECTION("a command that was lost is repeated")
  {
    EXPECT_THAT(ActionsOfType<FormGroupAction>(tables.Plan(10s)), SizeIs(1));
  }
}

TEST(Placement, DrainsAGroupWithALeavingMember)
{
  PlacementTables tables;
  tables.AddModel("m", 1);
  tables.AddVms("fabric-a", "a", 5);
  const GroupId group = tables.AddGroup("m", { "a0", "a1", "a2", "a3" });
  tables.Vm("a1").draining = true;
  const auto drains = ActionsOfType<DrainGroupAction>(tables.Plan());
  ASSERT_THAT(drains, SizeIs(1));
  EXPECT_EQ(drains[0].group, group);
  tables.FreeMembers(group);
  const auto forms = ActionsOfType<FormGroupAction>(tables.Plan());
  ASSERT_THAT(forms, SizeIs(1));
  EXPECT_THAT(Names(forms[0].members), ::testing::Not(::testing::Contains("a1")));
}

TEST(Placement, EndsReplicasBeyondThoseWanted)
{
  PlacementTables tables;
  ModelSpec& spec = tables.AddModel("m", 2, 2);
  tables.AddVms("fabric-a", "a", 4);
  tables.AddGroup("m", { "a0", "a1" });
  const GroupId broken = tables.AddGroup("m", { "a2", "a3" });
  EXPECT_THAT(tables.Plan(), IsEmpty());
  spec.replicas = 1;
  tables.Lose("a2");
  const auto dissolved = ActionsOfType<DissolveGroupAction>(tables.Plan());
  ASSERT_THAT(dissolved, SizeIs(1)) << "the broken group ends, the serving one stays";
  EXPECT_EQ(dissolved[0].group, broken);
}

TEST(Placement, DrainsGroupsOfAModelThatIsNoLongerWanted)
{
  PlacementTables tables;
  tables.AddModel("m", 1, 2);
  tables.AddVms("fabric-a", "a", 2);
  tables.AddGroup("m", { "a0", "a1" });
  tables.models.clear();
  EXPECT_THAT(ActionsOfType<DrainGroupAction>(tables.Plan()), SizeIs(1));
}

TEST(Placement, ARolloutDrainsABoundedShare)
{
  // Guards against a rollout that drains all groups at once: the model would be out of service
  // until the groups of the new version have loaded their weights.
  PlacementTables tables;
  ModelSpec& spec = tables.AddModel("m", 20, 1);
  tables.AddVms("fabric-a", "a", 20);
  for (int index = 0; index < 20; ++index) {
    tables.AddGroup("m", { "a" + std::to_string(index) });
  }
  spec.version = "v2";
  const auto drains = ActionsOfType<DrainGroupAction>(tables.Plan());
  EXPECT_THAT(drains, SizeIs(2)) << "a tenth of 20";
  for (const DrainGroupAction& drain : drains) {
    tables.FreeMembers(drain.group);
  }
  SECTION("the next groups wait until the first ones serve again")
  {
    const auto forms = ActionsOfType<FormGroupAction>(tables.Plan());
    EXPECT_THAT(forms, SizeIs(2));
    for (const FormGroupAction& form : forms) {
      EXPECT_EQ(form.modelVersion, "v2");
      tables.Form(form);
    }
    EXPECT_THAT(tables.Run(10s), IsEmpty());
  }
}

} // namespace
} // namespace gooseberrysail
