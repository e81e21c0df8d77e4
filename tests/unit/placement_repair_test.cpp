#include "support/placement_tables.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using test::ActionsOfType;
using test::PlacementTables;
using ::testing::Contains;
using ::testing::ElementsAre;
using ::testing::IsEmpty;
using ::testing::Not;
using ::testing::SizeIs;

std::vector<std::string> Names(const std::vector<VmId>& vms)
{
  std::vector<std::string> names;
  std::ranges::transform(vms, std::back_inserter(names), [](const VmId& vm) { return vm.Get(); });
  return names;
}

/// Groups of four on one fabric domain, with VMs named a0, a1 and so on, after the planner's
/// startup grace period.
PlacementTables MakeTables(std::uint32_t groups, std::uint32_t spares)
{
  PlacementTables tables;
  tables.policy.repairPatience = 10min;
  tables.AddModel("m", groups);
  tables.AddVms("fabric-a", "a", groups * 4 + spares);
  for (std::uint32_t group = 0; group < groups; ++group) {
    std::vector<std::string> members;
    for (std::uint32_t member = 0; member < 4; ++member) {
      members.push_back("a" + std::to_string(group * 4 + member));
    }
    tables.AddGroup("m", members);
  }
  tables.Run(10s);
  return tables;
}

/// Runs `count` outages of this duration that keep the weights, so that the planner expects such.
void SimulateShortOutages(PlacementTables& tables, const std::string& vm, int count, Duration lasts)
{
  for (int index = 0; index < count; ++index) {
    tables.Lose(vm);
    for (Duration gone{}; gone < lasts; gone += 1s) {
      static_cast<void>(tables.Plan());
    }
    tables.Return(vm);
    static_cast<void>(tables.Plan());
    tables.now += 40min;
    static_cast<void>(tables.Plan());
    tables.Run(6s);
  }
}

TEST(PlacementRepair, ASpareTakesOverFromADeadMember)
{
  PlacementTables tables = MakeTables(2, 2);
  tables.Lose("a1");
  const auto actions = tables.Run(5min);
  ASSERT_THAT(ActionsOfType<DissolveGroupAction>(actions), SizeIs(1));
  const auto forms = ActionsOfType<FormGroupAction>(actions);
  ASSERT_THAT(forms, SizeIs(1));
  EXPECT_THAT(Names(forms[0].members), ::testing::IsSupersetOf({ "a0", "a2", "a3" }));
  EXPECT_THAT(Names(forms[0].members), Not(Contains("a1")));
}

TEST(PlacementRepair, ASecondFailureAfterARepairDoesNotUndoIt)
{
  // Guards against another load, or the loss of other groups, when a second failure follows a
  // repair: the spare fails while it loads, and the first member is back by then with its weights.
  // A repair that only follows its former plan would not use that member.
  PlacementTables tables = MakeTables(2, 1);
  tables.Lose("a1");
  tables.Run(30s);
  ASSERT_TRUE(tables.Vm("a8").group != GroupId()) << "the spare replaced the lost member";
  tables.Return("a1");
  EXPECT_THAT(tables.Run(20s), IsEmpty())
    << "the repair continues although the first member is back";
  tables.Lose("a8");
  const auto actions = tables.Run(30s);
  const auto forms = ActionsOfType<FormGroupAction>(actions);
  ASSERT_THAT(forms, SizeIs(1));
  EXPECT_THAT(Names(forms[0].members), ::testing::UnorderedElementsAre("a0", "a1", "a2", "a3"));
  EXPECT_TRUE(tables.Find(GroupId(2))) << "the other group is unchanged";
}

TEST(PlacementRepair, AMemberThatJustCameBackKeepsItsGroup)
{
  // Guards against dissolving a group that is about to be complete. Of several lost members some
  // are back, which shows that the others may follow.
  PlacementTables tables = MakeTables(2, 2);
  tables.Lose("a0");
  tables.Lose("a1");
  tables.Lose("a2");
  static_cast<void>(tables.Plan());
  tables.Return("a0");
  tables.Return("a1");
  EXPECT_THAT(tables.Run(10s), IsEmpty());
}

TEST(PlacementRepair, AFabricDomainThatReturnsKeepsItsGroups)
{
  // Guards against dissolving all groups of a fabric domain that is unreachable for 30 s. Its VMs
  // are lost over about a second, so the outage first looks like one of a few single VMs.
  PlacementTables tables = MakeTables(4, 2);
  tables.AddVms("fabric-b", "b", 2);
  const auto plan = [&](const char* part) {
    SECTION(part)
    {
      EXPECT_THAT(ActionsOfType<DissolveGroupAction>(tables.Run(1s)), IsEmpty());
    }
  };
  tables.Lose("a0");
  tables.Lose("a4");
  plan("two VMs are lost");
  for (int vm = 0; vm < 18; ++vm) {
    tables.Lose("a" + std::to_string(vm));
  }
  for (int second = 0; second < 28; ++second) {
    plan("all VMs are lost");
  }
  for (int vm = 0; vm < 18; ++vm) {
    tables.Return("a" + std::to_string(vm));
  }
  EXPECT_THAT(tables.Run(60s), IsEmpty());
  for (const auto& group : tables.groups) {
    EXPECT_TRUE(group.view.serving);
  }
}

TEST(PlacementRepair, SurvivorsOfTwoBrokenGroupsMakeUpOne)
{
  // Guards against two replicas that stay down with six healthy VMs between them. Each has lost one
  // member permanently, no spare is left, and each would wait for its own member.
  PlacementTables tables = MakeTables(3, 0);
  tables.Lose("a0");
  tables.Run(20s);
  tables.Lose("a4");
  const auto actions = tables.Run(10min);
  EXPECT_THAT(ActionsOfType<DissolveGroupAction>(actions), SizeIs(2));
  const auto forms = ActionsOfType<FormGroupAction>(actions);
  ASSERT_THAT(forms, SizeIs(1));
  for (const VmId& vm : forms[0].members) {
    EXPECT_TRUE(tables.Vm(vm.Get()).reachable);
  }
  SECTION("the two remaining survivors form a group once two VMs are back")
  {
    tables.Return("a0", false);
    tables.Return("a4", false);
    EXPECT_THAT(ActionsOfType<FormGroupAction>(tables.Run(2s)), SizeIs(1));
  }
}

TEST(PlacementRepair, NoGroupIsDissolvedWithoutAGain)
{
  PlacementTables tables = MakeTables(2, 0);
  tables.Lose("a0");
  EXPECT_THAT(tables.Run(30min), IsEmpty()) << "no spare, no other broken group";
}

TEST(PlacementRepair, TheLastSpareIsNotUsedForAShortOutage)
{
  // Guards against using the only spare for an outage of 4 s when such outages are common: the
  // spare would load for two minutes, and the next lost VM could not be replaced.
  PlacementTables tables = MakeTables(3, 1);
  for (int vm = 0; vm < 12; ++vm) {
    SimulateShortOutages(tables, "a" + std::to_string(vm), 8, 4s);
  }
  ASSERT_TRUE(tables.Vm("a12").group.IsNone());
  tables.Vm("a12").loadedModel.clear();
  tables.Lose("a6");
  EXPECT_THAT(tables.Run(4s), IsEmpty());
  SECTION("but it is used for a long outage")
  {
    EXPECT_THAT(ActionsOfType<FormGroupAction>(tables.Run(3min)), SizeIs(1));
  }
}

TEST(PlacementRepair, ANewPlannerRepairsNothingAtFirst)
{
  // Guards against dissolving serving groups after a change of the control leader: the new leader
  // has had no contact with most VMs yet, so they look lost.
  PlacementTables tables;
  tables.AddModel("m", 1);
  tables.AddVms("fabric-a", "a", 5);
  tables.AddGroup("m", { "a0", "a1", "a2", "a3" });
  tables.Vm("a0").reachable = false;
  tables.Vm("a0").lastHeard = TimePoint{};
  EXPECT_THAT(tables.Run(4s), IsEmpty());
}

TEST(PlacementRepair, GroupsWhoseMembersOnlyMissEachOtherAreReplaced)
{
  // Guards against a group that never serves again although control reaches all four members: the
  // fabric between them is cut, which control can't detect, and the head can't reach one of them.
  const auto cut = [](PlacementTables& tables) {
    tables.groups.front().view.serving = false;
    tables.groups.front().view.brokenSince = tables.now;
    EXPECT_THAT(tables.Run(25s), IsEmpty()) << "the links may recover";
  };
  SECTION("by other VMs, when there are enough")
  {
    PlacementTables tables = MakeTables(1, 4);
    cut(tables);
    const auto forms = ActionsOfType<FormGroupAction>(tables.Run(3min));
    ASSERT_THAT(forms, SizeIs(1));
    EXPECT_THAT(Names(forms[0].members), ::testing::UnorderedElementsAre("a4", "a5", "a6", "a7"));
    tables.LoadWeights(tables.groups.back().view.group);
    EXPECT_THAT(ActionsOfType<DissolveGroupAction>(tables.Run(5s)), SizeIs(1));
  }
  SECTION("with the one spare in place of a member")
  {
    PlacementTables tables = MakeTables(1, 1);
    cut(tables);
    const auto actions = tables.Run(10min);
    EXPECT_THAT(ActionsOfType<DissolveGroupAction>(actions), SizeIs(1));
    const auto forms = ActionsOfType<FormGroupAction>(actions);
    ASSERT_THAT(forms, SizeIs(1));
    EXPECT_THAT(Names(forms[0].members), Contains("a4"));
  }
}

TEST(PlacementRepair, AReplicaElsewhereSubstitutesForAnUnreachableOne)
{
  PlacementTables tables = MakeTables(2, 0);
  tables.AddVms("fabric-b", "b", 4);
  tables.Run(10s);
  for (int vm = 0; vm < 8; ++vm) {
    tables.Lose("a" + std::to_string(vm));
  }
  const auto actions = tables.Run(5min);
  EXPECT_THAT(ActionsOfType<DissolveGroupAction>(actions), IsEmpty())
    << "the unreachable groups may come back";
  const auto forms = ActionsOfType<FormGroupAction>(actions);
  ASSERT_THAT(forms, SizeIs(1));
  EXPECT_THAT(Names(forms[0].members), ElementsAre("b0", "b1", "b2", "b3"));
  tables.LoadWeights(tables.groups.back().view.group);
  for (int vm = 0; vm < 8; ++vm) {
    tables.Return("a" + std::to_string(vm));
  }
  tables.Run(1min);
  EXPECT_THAT(tables.groups, SizeIs(2)) << "the surplus group is ended";
}

TEST(PlacementRepair, FurtherSubstitutesAreFormedWithinTheLoadBudget)
{
  // Guards against too few substitutes when several groups are unreachable. If the spares used by
  // the first substitutes were not counted, the wanted number would fall below the existing one.
  PlacementTables tables = MakeTables(2, 0);
  tables.policy.weightLoadsAtOnce = 1;
  tables.AddVms("fabric-b", "b", 8);
  tables.Run(10s);
  for (int vm = 0; vm < 8; ++vm) {
    tables.Lose("a" + std::to_string(vm));
  }
  ASSERT_THAT(ActionsOfType<FormGroupAction>(tables.Run(2min)), SizeIs(1));
  tables.LoadWeights(tables.groups.back().view.group);
  EXPECT_THAT(ActionsOfType<FormGroupAction>(tables.Run(2min)), SizeIs(1));
}

TEST(PlacementRepair, AFlappingVmIsKeptOutForAWhile)
{
  // Guards against a flapping VM that takes a group of four out of service with each outage.
  PlacementTables tables = MakeTables(1, 0);
  tables.AddVms("fabric-b", "b", 4);
  tables.specs.front().replicas = 2;
  const auto flap = [&] {
    tables.Lose("b0");
    static_cast<void>(tables.Plan());
    tables.Return("b0");
    static_cast<void>(tables.Plan());
  };
  tables.specs.front().replicas = 1;
  for (int count = 0; count < 3; ++count) {
    flap();
  }
  tables.specs.front().replicas = 2;
  EXPECT_THAT(tables.Run(100s), IsEmpty()) << "quarantined for two minutes";
  EXPECT_THAT(ActionsOfType<FormGroupAction>(tables.Run(40s)), SizeIs(1));
  SECTION("twice as long with the next outage")
  {
    tables.specs.front().replicas = 1;
    tables.Run(5s);
    flap();
    tables.specs.front().replicas = 2;
    EXPECT_THAT(tables.Run(220s), IsEmpty());
    EXPECT_THAT(ActionsOfType<FormGroupAction>(tables.Run(40s)), SizeIs(1));
  }
}

TEST(PlacementRepair, AStragglerIsReplacedByASpareButNotTheLast)
{
  PlacementTables tables = MakeTables(1, 2);
  tables.Vm("a2").straggler = true;
  EXPECT_THAT(tables.Run(55s), IsEmpty()) << "load reports are delayed and noisy";
  const auto actions = tables.Run(10s);
  ASSERT_THAT(ActionsOfType<DrainGroupAction>(actions), SizeIs(1));
  const auto forms = ActionsOfType<FormGroupAction>(actions);
  ASSERT_THAT(forms, SizeIs(1));
  EXPECT_THAT(Names(forms[0].members), Not(Contains("a2")));
  SECTION("the last spare is not used")
  {
    tables.LoadWeights(tables.groups.back().view.group);
    tables.Vm("a3").straggler = true;
    EXPECT_THAT(tables.Run(5min), IsEmpty());
  }
}

TEST(PlacementLoads, ConcurrentLoadsAreLimited)
{
  PlacementTables tables;
  tables.policy.weightLoadsAtOnce = 2;
  tables.AddModel("m", 6, 1);
  tables.AddVms("fabric-a", "a", 6);
  EXPECT_THAT(ActionsOfType<FormGroupAction>(tables.Run(1min)), SizeIs(2));
  tables.LoadWeights(tables.groups.front().view.group);
  EXPECT_THAT(ActionsOfType<FormGroupAction>(tables.Run(10s)), SizeIs(1));
}

TEST(PlacementLoads, ARepairThatNeedsALoadWaitsForTheStore)
{
  // Guards against dissolving a group for a repair that can't start, as the weight store's budget
  // is used up.
  PlacementTables tables = MakeTables(2, 1);
  tables.policy.weightLoadsAtOnce = 1;
  tables.AddModel("other", 1, 2);
  tables.AddVms("fabric-b", "b", 2);
  ASSERT_THAT(ActionsOfType<FormGroupAction>(tables.Run(5s)), SizeIs(1));
  tables.Lose("a1");
  EXPECT_THAT(tables.Run(2min), IsEmpty());
  tables.LoadWeights(tables.groups.back().view.group);
  EXPECT_THAT(ActionsOfType<DissolveGroupAction>(tables.Run(10s)), SizeIs(1));
}

TEST(PlacementLoads, RepairsOfSeveralFabricDomainsShareTheStore)
{
  PlacementTables tables;
  tables.policy.weightLoadsAtOnce = 1;
  tables.AddModel("m", 2, 2);
  tables.AddVms("fabric-a", "a", 3);
  tables.AddVms("fabric-b", "b", 3);
  tables.AddGroup("m", { "a0", "a1" });
  tables.AddGroup("m", { "b0", "b1" });
  tables.Run(10s);
  tables.Lose("a0");
  tables.Lose("b0");
  EXPECT_THAT(ActionsOfType<DissolveGroupAction>(tables.Run(2min)), SizeIs(1));
}

TEST(PlacementLoads, SparesPreloadWeights)
{
  PlacementTables tables = MakeTables(2, 3);
  tables.policy.weightLoadsAtOnce = 4;
  const auto requested = [&] {
    std::vector<VmId> vms;
    for (const PreloadRequest& request : tables.planner.Preloads()) {
      EXPECT_EQ(request.entry.Get() + "@" + request.modelVersion, "m@v1");
      vms.push_back(request.vm);
    }
    return Names(vms);
  };
  EXPECT_THAT(requested(), ElementsAre("a8", "a9")) << "half of the store's budget";
  SECTION("a request that was carried out is followed by the next, and the others stay")
  {
    tables.Vm("a8").loadedModel = "m@v1";
    tables.Run(1s);
    EXPECT_THAT(requested(), ElementsAre("a9", "a10"));
  }
  SECTION("a lost spare loads nothing")
  {
    tables.Lose("a9");
    tables.Run(1s);
    EXPECT_THAT(requested(), ElementsAre("a10"));
  }
  SECTION("groups that have to load go first")
  {
    tables.policy.weightLoadsAtOnce = 1;
    tables.AddModel("other", 1, 1, PriorityClass::kBatch);
    tables.AddVms("fabric-b", "b", 1);
    tables.Run(3s);
    EXPECT_THAT(requested(), IsEmpty());
  }
}

TEST(PlacementLoads, GroupsThatReturnWithoutWeightsLoadInTurn)
{
  // Guards against concurrent loads of all groups of a failure domain that returns without weights:
  // they would share the weight store's rate, and the first would serve only when the last does.
  PlacementTables tables = MakeTables(6, 0);
  tables.policy.weightLoadsAtOnce = 2;
  for (int vm = 0; vm < 24; ++vm) {
    tables.Lose("a" + std::to_string(vm));
  }
  tables.Run(20s);
  for (int vm = 0; vm < 24; ++vm) {
    tables.Return("a" + std::to_string(vm), false);
  }
  EXPECT_THAT(ActionsOfType<DissolveGroupAction>(tables.Run(3s)), SizeIs(4));
  EXPECT_THAT(tables.groups, SizeIs(2));
  EXPECT_THAT(tables.Run(10s), IsEmpty());
  tables.LoadWeights(tables.groups.front().view.group);
  EXPECT_THAT(ActionsOfType<FormGroupAction>(tables.Run(5s)), SizeIs(1));
}

TEST(PlacementLoads, AGroupThatNeverServesIsGivenUp)
{
  PlacementTables tables;
  tables.AddModel("m", 1, 2);
  tables.AddVms("fabric-a", "a", 4);
  ASSERT_THAT(ActionsOfType<FormGroupAction>(tables.Run(1s)), SizeIs(1));
  EXPECT_THAT(tables.Run(15min), IsEmpty());
  const auto actions = tables.Run(10min);
  EXPECT_THAT(ActionsOfType<DissolveGroupAction>(actions), SizeIs(1));
  const auto forms = ActionsOfType<FormGroupAction>(actions);
  ASSERT_THAT(forms, SizeIs(1));
  EXPECT_THAT(Names(forms[0].members), ElementsAre("a2", "a3")) << "other VMs are tried first";
}

TEST(PlacementRollout, AModelOfOneReplicaGetsItsNewVersionBesideTheOld)
{
  PlacementTables tables = MakeTables(1, 4);
  tables.specs.front().version = "v2";
  const auto actions = tables.Run(10s);
  EXPECT_THAT(ActionsOfType<DrainGroupAction>(actions), IsEmpty());
  ASSERT_THAT(ActionsOfType<FormGroupAction>(actions), SizeIs(1));
  tables.LoadWeights(tables.groups.back().view.group);
  EXPECT_THAT(ActionsOfType<DrainGroupAction>(tables.Run(10s)), SizeIs(1));
  ASSERT_THAT(tables.groups, SizeIs(1));
  EXPECT_EQ(tables.groups.front().view.modelVersion, "v2");
}

} // namespace
} // namespace gooseberrysail
