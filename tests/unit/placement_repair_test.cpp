#include "support/placement_tables.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using test::Only;
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

/// Groups of four on one fabric domain, with VMs named a0, a1 and so on, settled.
PlacementTables MakeGroups(std::uint32_t groups, std::uint32_t spares)
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

/// Outages of `lasts` seconds that keep the weights, until the planner expects no others.
void TeachPauses(PlacementTables& tables, const std::string& vm, int count, Duration lasts)
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
  PlacementTables tables = MakeGroups(2, 2);
  tables.Lose("a1");
  const auto actions = tables.Run(5min);
  ASSERT_THAT(Only<DissolveGroupAction>(actions), SizeIs(1));
  const auto forms = Only<FormGroupAction>(actions);
  ASSERT_THAT(forms, SizeIs(1));
  EXPECT_THAT(Names(forms[0].members), ::testing::IsSupersetOf({ "a0", "a2", "a3" }));
  EXPECT_THAT(Names(forms[0].members), Not(Contains("a1")));
}

TEST(PlacementRepair, ASecondFailureAfterARepairDoesNotUndoIt)
{
  // Symptom: after a repair the group is down for another whole load, or other groups are taken
  // apart. The spare that took over fails while it loads; meanwhile the first member is back and
  // still holds its weights. Cause: a repair that only looks at what it planned before.
  PlacementTables tables = MakeGroups(2, 1);
  tables.Lose("a1");
  tables.Run(30s);
  ASSERT_TRUE(tables.Vm("a8").group != GroupId()) << "the spare took over";
  tables.Return("a1");
  EXPECT_THAT(tables.Run(20s), IsEmpty()) << "the repair goes on though the first member is back";
  tables.Lose("a8");
  const auto actions = tables.Run(30s);
  const auto forms = Only<FormGroupAction>(actions);
  ASSERT_THAT(forms, SizeIs(1));
  EXPECT_THAT(Names(forms[0].members), ::testing::UnorderedElementsAre("a0", "a1", "a2", "a3"));
  EXPECT_TRUE(tables.Find(GroupId(2))) << "the other group was left alone";
}

TEST(PlacementRepair, AMemberThatJustCameBackKeepsItsGroup)
{
  // Symptom: a group is given up in the second in which it becomes whole. Two members were away;
  // one is back, the other is about to be. Cause: the first one's return counted for nothing.
  PlacementTables tables = MakeGroups(2, 2);
  tables.Lose("a0");
  tables.Lose("a1");
  tables.Lose("a2");
  static_cast<void>(tables.Plan());
  tables.Return("a0");
  tables.Return("a1");
  EXPECT_THAT(tables.Run(10s), IsEmpty());
}

TEST(PlacementRepair, ADarkFabricDomainThatComesBackLosesNothing)
{
  // Symptom: a fabric domain is dark for 30 s, and afterwards all its groups form and load anew.
  // Its VMs are lost over about a second, so at first it looks like one VM, then like several.
  PlacementTables tables = MakeGroups(4, 2);
  tables.AddVms("fabric-b", "b", 2);
  const auto plan = [&](const char* part) {
    SECTION(part)
    {
      EXPECT_THAT(Only<DissolveGroupAction>(tables.Run(1s)), IsEmpty());
    }
  };
  tables.Lose("a0");
  tables.Lose("a4");
  plan("two are lost");
  for (int vm = 0; vm < 18; ++vm) {
    tables.Lose("a" + std::to_string(vm));
  }
  for (int second = 0; second < 28; ++second) {
    plan("all of it is lost");
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
  // Symptom: two replicas are down for hours, with six healthy VMs between them. Each lost one
  // member for good, and no spare is left. Cause: each group waits for its own member.
  PlacementTables tables = MakeGroups(3, 0);
  tables.Lose("a0");
  tables.Run(20s);
  tables.Lose("a4");
  const auto actions = tables.Run(10min);
  EXPECT_THAT(Only<DissolveGroupAction>(actions), SizeIs(2));
  const auto forms = Only<FormGroupAction>(actions);
  ASSERT_THAT(forms, SizeIs(1));
  for (const VmId& vm : forms[0].members) {
    EXPECT_TRUE(tables.Vm(vm.Get()).reachable);
  }
  SECTION("the two left over serve again once two are back")
  {
    tables.Return("a0", false);
    tables.Return("a4", false);
    EXPECT_THAT(Only<FormGroupAction>(tables.Run(2s)), SizeIs(1));
  }
}

TEST(PlacementRepair, NothingIsGivenUpWhereNothingIsGained)
{
  PlacementTables tables = MakeGroups(2, 0);
  tables.Lose("a0");
  EXPECT_THAT(tables.Run(30min), IsEmpty()) << "no spare, no other broken group";
}

TEST(PlacementRepair, TheLastSpareIsNotSpentOnAPause)
{
  // Symptom: a VM pauses for 4 s, as it often does here, and the only spare is gone for a load of
  // two minutes, in which the next death finds none.
  PlacementTables tables = MakeGroups(3, 1);
  for (int vm = 0; vm < 12; ++vm) {
    TeachPauses(tables, "a" + std::to_string(vm), 8, 4s);
  }
  ASSERT_TRUE(tables.Vm("a12").group.IsNone());
  tables.Vm("a12").loadedModel.clear();
  tables.Lose("a6");
  EXPECT_THAT(tables.Run(4s), IsEmpty());
  SECTION("but it is spent on one that lasts")
  {
    EXPECT_THAT(Only<FormGroupAction>(tables.Run(3min)), SizeIs(1));
  }
}

TEST(PlacementRepair, ANewPlannerFirstListens)
{
  // Symptom: after each change of the control leader, groups that serve are taken apart. The new
  // leader has not heard most VMs yet and takes them for lost.
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
  // Symptom: control hears all four members, but the head misses one; the group never serves
  // again. Cause: the fabric between them is cut, which control can't see.
  const auto cut = [](PlacementTables& tables) {
    tables.groups.front().view.serving = false;
    tables.groups.front().view.brokenSince = tables.now;
    EXPECT_THAT(tables.Run(25s), IsEmpty()) << "links heal";
  };
  SECTION("by other VMs, where there are enough")
  {
    PlacementTables tables = MakeGroups(1, 4);
    cut(tables);
    const auto forms = Only<FormGroupAction>(tables.Run(3min));
    ASSERT_THAT(forms, SizeIs(1));
    EXPECT_THAT(Names(forms[0].members), ::testing::UnorderedElementsAre("a4", "a5", "a6", "a7"));
    tables.Load(tables.groups.back().view.group);
    EXPECT_THAT(Only<DissolveGroupAction>(tables.Run(5s)), SizeIs(1));
  }
  SECTION("with the one spare in place of a member")
  {
    PlacementTables tables = MakeGroups(1, 1);
    cut(tables);
    const auto actions = tables.Run(10min);
    EXPECT_THAT(Only<DissolveGroupAction>(actions), SizeIs(1));
    const auto forms = Only<FormGroupAction>(actions);
    ASSERT_THAT(forms, SizeIs(1));
    EXPECT_THAT(Names(forms[0].members), Contains("a4"));
  }
}

TEST(PlacementRepair, AReplicaElsewhereStandsInForADarkOne)
{
  PlacementTables tables = MakeGroups(2, 0);
  tables.AddVms("fabric-b", "b", 4);
  tables.Run(10s);
  for (int vm = 0; vm < 8; ++vm) {
    tables.Lose("a" + std::to_string(vm));
  }
  const auto actions = tables.Run(5min);
  EXPECT_THAT(Only<DissolveGroupAction>(actions), IsEmpty()) << "the dark ones may come back";
  const auto forms = Only<FormGroupAction>(actions);
  ASSERT_THAT(forms, SizeIs(1));
  EXPECT_THAT(Names(forms[0].members), ElementsAre("b0", "b1", "b2", "b3"));
  tables.Load(tables.groups.back().view.group);
  for (int vm = 0; vm < 8; ++vm) {
    tables.Return("a" + std::to_string(vm));
  }
  tables.Run(1min);
  EXPECT_THAT(tables.groups, SizeIs(2)) << "one too many is ended";
}

TEST(PlacementRepair, AFlappingVmIsKeptOutForAWhile)
{
  // Symptom: one VM comes and goes for an hour, and each time takes a group of four down with it.
  PlacementTables tables = MakeGroups(1, 0);
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
  EXPECT_THAT(tables.Run(100s), IsEmpty()) << "kept out for two minutes";
  EXPECT_THAT(Only<FormGroupAction>(tables.Run(40s)), SizeIs(1));
  SECTION("twice as long with the next outage")
  {
    tables.specs.front().replicas = 1;
    tables.Run(5s);
    flap();
    tables.specs.front().replicas = 2;
    EXPECT_THAT(tables.Run(220s), IsEmpty());
    EXPECT_THAT(Only<FormGroupAction>(tables.Run(40s)), SizeIs(1));
  }
}

TEST(PlacementRepair, AStragglerGivesWayToASpareButNotToTheLast)
{
  PlacementTables tables = MakeGroups(1, 2);
  tables.Vm("a2").straggler = true;
  EXPECT_THAT(tables.Run(55s), IsEmpty()) << "reports are late and noisy";
  const auto actions = tables.Run(10s);
  ASSERT_THAT(Only<DrainGroupAction>(actions), SizeIs(1));
  const auto forms = Only<FormGroupAction>(actions);
  ASSERT_THAT(forms, SizeIs(1));
  EXPECT_THAT(Names(forms[0].members), Not(Contains("a2")));
  SECTION("one spare is left, and it stays")
  {
    tables.Load(tables.groups.back().view.group);
    tables.Vm("a3").straggler = true;
    EXPECT_THAT(tables.Run(5min), IsEmpty());
  }
}

TEST(PlacementLoads, OnlySoManyGroupsLoadAtOnce)
{
  PlacementTables tables;
  tables.policy.weightLoadsAtOnce = 2;
  tables.AddModel("m", 6, 1);
  tables.AddVms("fabric-a", "a", 6);
  EXPECT_THAT(Only<FormGroupAction>(tables.Run(1min)), SizeIs(2));
  tables.Load(tables.groups.front().view.group);
  EXPECT_THAT(Only<FormGroupAction>(tables.Run(10s)), SizeIs(1));
}

TEST(PlacementLoads, ARepairThatNeedsALoadWaitsForTheStore)
{
  // Symptom: a group is given up for a spare, then neither is used, as the store has no room.
  PlacementTables tables = MakeGroups(2, 1);
  tables.policy.weightLoadsAtOnce = 1;
  tables.AddModel("other", 1, 2);
  tables.AddVms("fabric-b", "b", 2);
  ASSERT_THAT(Only<FormGroupAction>(tables.Run(5s)), SizeIs(1));
  tables.Lose("a1");
  EXPECT_THAT(tables.Run(2min), IsEmpty());
  tables.Load(tables.groups.back().view.group);
  EXPECT_THAT(Only<DissolveGroupAction>(tables.Run(10s)), SizeIs(1));
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
  EXPECT_THAT(Only<DissolveGroupAction>(tables.Run(2min)), SizeIs(1));
}

TEST(PlacementLoads, SparesAreToLoadAheadOfNeed)
{
  PlacementTables tables = MakeGroups(2, 3);
  tables.policy.weightLoadsAtOnce = 4;
  const auto wished = [&] {
    std::vector<VmId> vms;
    for (const PreloadWish& wish : tables.planner.Preloads()) {
      EXPECT_EQ(wish.entry.Get() + "@" + wish.modelVersion, "m@v1");
      vms.push_back(wish.vm);
    }
    return Names(vms);
  };
  EXPECT_THAT(wished(), ElementsAre("a8", "a9")) << "half of the store's budget";
  SECTION("a wish that came true makes room for the next, and the others stay")
  {
    tables.Vm("a8").loadedModel = "m@v1";
    tables.Run(1s);
    EXPECT_THAT(wished(), ElementsAre("a9", "a10"));
  }
  SECTION("a lost spare loads nothing")
  {
    tables.Lose("a9");
    tables.Run(1s);
    EXPECT_THAT(wished(), ElementsAre("a10"));
  }
  SECTION("groups that have to load go first")
  {
    tables.policy.weightLoadsAtOnce = 1;
    tables.AddModel("other", 1, 1, PriorityClass::kBatch);
    tables.AddVms("fabric-b", "b", 1);
    tables.Run(3s);
    EXPECT_THAT(wished(), IsEmpty());
  }
}

TEST(PlacementLoads, GroupsThatComeBackEmptyLoadInTurns)
{
  // Symptom: a failure domain comes back empty, and its first group serves only when the last
  // one does, since all of them share the store's rate.
  PlacementTables tables = MakeGroups(6, 0);
  tables.policy.weightLoadsAtOnce = 2;
  for (int vm = 0; vm < 24; ++vm) {
    tables.Lose("a" + std::to_string(vm));
  }
  tables.Run(20s);
  for (int vm = 0; vm < 24; ++vm) {
    tables.Return("a" + std::to_string(vm), false);
  }
  EXPECT_THAT(Only<DissolveGroupAction>(tables.Run(3s)), SizeIs(4));
  EXPECT_THAT(tables.groups, SizeIs(2));
  EXPECT_THAT(tables.Run(10s), IsEmpty());
  tables.Load(tables.groups.front().view.group);
  EXPECT_THAT(Only<FormGroupAction>(tables.Run(5s)), SizeIs(1));
}

TEST(PlacementLoads, AGroupThatNeverServesIsGivenUp)
{
  PlacementTables tables;
  tables.AddModel("m", 1, 2);
  tables.AddVms("fabric-a", "a", 4);
  ASSERT_THAT(Only<FormGroupAction>(tables.Run(1s)), SizeIs(1));
  EXPECT_THAT(tables.Run(15min), IsEmpty());
  const auto actions = tables.Run(10min);
  EXPECT_THAT(Only<DissolveGroupAction>(actions), SizeIs(1));
  const auto forms = Only<FormGroupAction>(actions);
  ASSERT_THAT(forms, SizeIs(1));
  EXPECT_THAT(Names(forms[0].members), ElementsAre("a2", "a3")) << "other VMs are tried first";
}

TEST(PlacementRollout, AModelOfOneReplicaGetsItsNewVersionBesideTheOld)
{
  PlacementTables tables = MakeGroups(1, 4);
  tables.specs.front().version = "v2";
  const auto actions = tables.Run(10s);
  EXPECT_THAT(Only<DrainGroupAction>(actions), IsEmpty());
  ASSERT_THAT(Only<FormGroupAction>(actions), SizeIs(1));
  tables.Load(tables.groups.back().view.group);
  EXPECT_THAT(Only<DrainGroupAction>(tables.Run(10s)), SizeIs(1));
  ASSERT_THAT(tables.groups, SizeIs(1));
  EXPECT_EQ(tables.groups.front().view.modelVersion, "v2");
}

} // namespace
} // namespace gooseberrysail
