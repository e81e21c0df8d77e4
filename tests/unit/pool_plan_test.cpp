#include "gooseberrysail/placement/model_work.hpp"
#include "gooseberrysail/placement/pool_plan.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using ::testing::IsEmpty;
using ::testing::SizeIs;

const GroupModel kLarge{ "large", 4, 0.5, 1.0, 16s, 1600ms };
const GroupModel kSmall{ "small", 2, 0.5, 0.6, 12s, 1100ms };

/// Adds free targets of one domain; `staged` is "" for cold ones.
void Add(std::vector<FreeTarget>& free,
         std::size_t count,
         const std::string& domain,
         const std::string& staged)
{
  for (std::size_t i = 0; i < count; ++i) {
    FreeTarget target;
    target.instance = InstanceId(domain + std::to_string(free.size()));
    target.fabricDomain = FabricDomainId(domain);
    if (!staged.empty()) {
      target.stagedModels = { staged };
    }
    free.push_back(target);
  }
}

TEST(PoolPlan, FormsTheLargeModelsGroupsBeforeTheSmallOnesTakeTheirRoom)
{
  std::vector<FreeTarget> free;
  Add(free, 8, "a", "");
  const std::vector<ModelNeed> needs{ { &kSmall, 0, 4 }, { &kLarge, 0, 2 } };
  const PoolPlan plan = PlanPool({ free, needs, {}, 100, 100, true });
  ASSERT_THAT(plan.groups, SizeIs(2));
  EXPECT_EQ(plan.groups[0].model, "large");
  EXPECT_EQ(plan.groups[1].model, "large");
}

TEST(PoolPlan, SpreadsOneModelOverTheDomains)
{
  std::vector<FreeTarget> free;
  Add(free, 10, "a", "");
  Add(free, 10, "b", "");
  const std::vector<ModelNeed> needs{ { &kLarge, 0, 2 } };
  const PoolPlan plan = PlanPool({ free, needs, {}, 100, 100, true });
  ASSERT_THAT(plan.groups, SizeIs(2));
  EXPECT_NE(plan.groups[0].members[0].Get()[0], plan.groups[1].members[0].Get()[0]);
}

// Guards against warm targets that wait 16 s in a group: when a cold target replaces a lost member
// under traffic and loads inside the group, all other members wait for it.
TEST(PoolPlan, UnderLoadColdTargetsLoadBeforeTheyJoin)
{
  std::vector<FreeTarget> free;
  Add(free, 3, "a", "large");
  Add(free, 1, "a", "");
  const std::vector<ModelNeed> needs{ { &kLarge, 0, 1 } };
  SECTION("the missing target's weights are staged")
  {
    const PoolPlan plan = PlanPool({ free, needs, {}, 5, 5, false });
    EXPECT_THAT(plan.groups, IsEmpty());
    ASSERT_THAT(plan.stages, SizeIs(1));
    EXPECT_EQ(plan.stages[0].target, free[3].instance);
    EXPECT_EQ(plan.stages[0].model, "large");
  }
  SECTION("once only, while its host loads")
  {
    free[3].staging = "large";
    const PoolPlan plan = PlanPool({ free, needs, {}, 5, 5, false });
    EXPECT_THAT(plan.stages, IsEmpty());
  }
  SECTION("not beyond the store's rate")
  {
    const PoolPlan plan = PlanPool({ free, needs, {}, 0, 0, false });
    EXPECT_THAT(plan.stages, IsEmpty());
  }
  SECTION("and then it joins")
  {
    free[3].stagedModels = { "large" };
    const PoolPlan plan = PlanPool({ free, needs, {}, 5, 5, false });
    ASSERT_THAT(plan.groups, SizeIs(1));
    EXPECT_EQ(plan.groups[0].loads, 0U);
  }
}

TEST(PoolPlan, SparesHoldWeightsOfBothModelsMoreOfTheLargeOne)
{
  std::vector<FreeTarget> free;
  Add(free, 4, "a", "");
  const std::vector<ModelNeed> needs{ { &kLarge, 1, 1 }, { &kSmall, 1, 1 } };
  const PoolPlan plan = PlanPool({ free, needs, {}, 100, 100, true });
  ASSERT_THAT(plan.stages, SizeIs(4));
  const auto large = std::ranges::count(plan.stages, "large", &PlannedStage::model);
  EXPECT_EQ(large, 3);
}

/// A group of `count` members whose hosts hold the weights that it serves with.
ServingGroup Serving(const std::string& name,
                     const std::string& model,
                     const std::string& domain,
                     std::size_t count)
{
  ServingGroup group{ name, model, FabricDomainId(domain), {} };
  for (std::size_t i = 0; i < count; ++i) {
    FreeTarget member;
    member.instance = InstanceId(name + "-" + std::to_string(i));
    member.fabricDomain = group.fabricDomain;
    member.stagedModels = { model };
    member.lastModel = model;
    group.members.push_back(member);
  }
  return group;
}

// Guards against refused requests for the large model while the small one has more groups than it
// needs: after losses each domain has one or two free targets, too few for a large group, so a
// serving group has to release its targets.
TEST(PoolPlan, AModelThatLacksLeastGivesTargetsToTheOneThatLacksMost)
{
  std::vector<FreeTarget> free;
  Add(free, 2, "a", "large");
  std::vector<ServingGroup> serving{ Serving("g1", "small", "a", 2) };
  const std::vector<ModelNeed> needs{ { &kLarge, 1, 3, 2.4 }, { &kSmall, 7, 6, 4.4 } };
  SECTION("its targets load while they serve")
  {
    const PoolPlan plan = PlanPool({ free, needs, serving, 5, 5, false });
    EXPECT_THAT(plan.takeovers, IsEmpty());
    ASSERT_THAT(plan.stages, SizeIs(2));
    EXPECT_EQ(plan.stages[0].target, serving[0].members[0].instance);
    EXPECT_EQ(plan.stages[0].model, "large");
  }
  SECTION("and the group is closed once they hold the weights")
  {
    for (FreeTarget& member : serving[0].members) {
      member.stagedModels = { "large" };
    }
    const PoolPlan plan = PlanPool({ free, needs, serving, 5, 5, false });
    ASSERT_THAT(plan.takeovers, SizeIs(1));
    EXPECT_THAT(plan.takeovers[0].releases, ::testing::ElementsAre("g1"));
    EXPECT_THAT(plan.takeovers[0].group.members, SizeIs(4));
  }
  SECTION("not when the small model would then have the greater need")
  {
    const std::vector<ModelNeed> close{ { &kLarge, 2, 3, 2.4 }, { &kSmall, 4, 6, 4.8 } };
    const PoolPlan plan = PlanPool({ free, close, serving, 0, 0, false });
    EXPECT_THAT(plan.takeovers, IsEmpty());
  }
  SECTION("not while losses are still being detected")
  {
    for (FreeTarget& member : serving[0].members) {
      member.stagedModels = { "large" };
    }
    PoolInput input{ free, needs, serving, 5, 5, false };
    input.mayTakeOver = false;
    EXPECT_THAT(PlanPool(input).takeovers, IsEmpty());
  }
  SECTION("not for groups that are only a reserve")
  {
    for (FreeTarget& member : serving[0].members) {
      member.stagedModels = { "large" };
    }
    const std::vector<ModelNeed> enough{ { &kLarge, 2, 3, 1.4 }, { &kSmall, 7, 6, 4.0 } };
    EXPECT_THAT(PlanPool({ free, enough, serving, 0, 0, false }).takeovers, IsEmpty());
  }
}

// Guards against a takeover that costs the other model more than it gains. After the loss of a
// domain, a large model slightly short of groups could take the targets of two small groups whose
// weights no other hosts hold: the small model then has two groups for a load of four, the large
// one three for two.
TEST(PoolPlan, AModelThatIsALittleShortTakesNothingFromOneThatNeedsItsGroups)
{
  std::vector<ServingGroup> serving{ Serving("g1", "small", "a", 2),
                                     Serving("g2", "small", "a", 2) };
  for (ServingGroup& group : serving) {
    for (FreeTarget& member : group.members) {
      member.stagedModels = { "large" };
    }
  }
  const std::vector<ModelNeed> needs{ { &kLarge, 2, 3, 1.9 }, { &kSmall, 5, 6, 3.6 } };
  EXPECT_THAT(PlanPool({ {}, needs, serving, 0, 0, false }).takeovers, IsEmpty());
  SECTION("a model with hardly any group does")
  {
    const std::vector<ModelNeed> severe{ { &kLarge, 0, 3, 1.9 }, { &kSmall, 5, 6, 3.6 } };
    EXPECT_THAT(PlanPool({ {}, severe, serving, 0, 0, false }).takeovers, SizeIs(1));
  }
}

// Guards against a large model without a group for 25 s, while one domain has seven idle targets
// with its weights, three idle ones without, and small groups whose hosts hold them. If all ten
// idle targets are counted, no serving group is considered for the eighth warm target.
TEST(PoolPlan, ColdIdleTargetsDoNotHideWarmMembersOfServingGroups)
{
  std::vector<FreeTarget> free;
  Add(free, 3, "a", "large");
  Add(free, 2, "a", "small");
  std::vector<ServingGroup> serving{ Serving("g1", "small", "a", 2) };
  serving[0].members[1].stagedModels = { "large" };
  const std::vector<ModelNeed> needs{ { &kLarge, 0, 3, 2.0 }, { &kSmall, 7, 6, 4.0 } };
  const PoolPlan plan = PlanPool({ free, needs, serving, 0, 0, false });
  ASSERT_THAT(plan.takeovers, SizeIs(1));
  EXPECT_THAT(plan.takeovers[0].releases, ::testing::ElementsAre("g1"));
  EXPECT_THAT(plan.takeovers[0].group.members, ::testing::Contains(serving[0].members[1].instance));
  EXPECT_THAT(plan.takeovers[0].group.members,
              ::testing::Not(::testing::Contains(serving[0].members[0].instance)));
}

// Guards against spares that all hold the large model's weights. The replacement of a lost member
// of a small group then takes 1.4 s instead of 0.5 s, and the spares used for it are missing ten
// seconds later, when a large group has to be formed.
TEST(PoolPlan, SparesAreDistributedInProportionToMembers)
{
  std::vector<FreeTarget> free;
  Add(free, 2, "a", "");
  const std::vector<ModelNeed> needs{ { &kLarge, 3, 3 }, { &kSmall, 6, 6 } };
  const PoolPlan plan = PlanPool({ free, needs, {}, 100, 100, true });
  ASSERT_THAT(plan.stages, SizeIs(2));
  EXPECT_NE(plan.stages[0].model, plan.stages[1].model);
}

// Guards against a small group formed of two targets that served the large model last, while
// another domain has two that served the small one: a later repair of a large group would lack
// those targets. It happens when only the loads and the free targets of a domain are compared.
TEST(PoolPlan, GroupsAreFormedWhereFewestTargetsChangeTheirModel)
{
  std::vector<FreeTarget> free;
  Add(free, 3, "a", "small");
  Add(free, 2, "b", "large");
  for (FreeTarget& target : free) {
    target.lastModel = target.fabricDomain.Get() == "a" ? "large" : "small";
  }
  const std::vector<ModelNeed> needs{ { &kSmall, 0, 1 } };
  const PoolPlan plan = PlanPool({ free, needs, {}, 0, 0, false });
  ASSERT_THAT(plan.groups, SizeIs(1));
  EXPECT_THAT(plan.groups[0].members,
              ::testing::UnorderedElementsAre(free[3].instance, free[4].instance));
}

// Guards against a small group that is repeatedly closed for the large model and formed again,
// while the large model has no group. Two free targets and two of a small group could form a large
// group, but the small model is also short of a group and would take the free targets first.
TEST(PoolPlan, FreeTargetsGoToTheModelWithTheGreatestNeed)
{
  std::vector<FreeTarget> free;
  Add(free, 2, "a", "large");
  for (FreeTarget& target : free) {
    target.lastModel = "small";
  }
  std::vector<ServingGroup> serving{ Serving("g1", "small", "a", 2) };
  for (FreeTarget& member : serving[0].members) {
    member.stagedModels = { "large" };
  }
  const std::vector<ModelNeed> needs{ { &kLarge, 0, 2, 1.5 }, { &kSmall, 5, 6, 4.0 } };
  const PoolPlan plan = PlanPool({ free, needs, serving, 0, 0, false });
  ASSERT_THAT(plan.takeovers, SizeIs(1));
  EXPECT_THAT(plan.groups, IsEmpty());
}

// Guards against survivors of a broken group that wait 12 s for weights that they hold themselves.
// Their hosts loaded another model's weights while they served, so the target's own weights have to
// be counted besides the host's.
TEST(PoolPlan, TargetsOfAFormerGroupJoinOneOfItsModelAtOnce)
{
  std::vector<FreeTarget> free;
  Add(free, 3, "a", "large");
  free[1].lastModel = "small";
  free[2].lastModel = "small";
  const std::vector<ModelNeed> needs{ { &kSmall, 0, 1 } };
  const PoolPlan plan = PlanPool({ free, needs, {}, 0, 0, false });
  ASSERT_THAT(plan.groups, SizeIs(1));
  EXPECT_EQ(plan.groups[0].loads, 0U);
  EXPECT_THAT(plan.groups[0].members,
              ::testing::UnorderedElementsAre(free[1].instance, free[2].instance));
}

TEST(PoolPlan, TargetsThatCanServeBothModelsAreTakenLast)
{
  std::vector<FreeTarget> free;
  Add(free, 2, "a", "large");
  Add(free, 2, "a", "small");
  for (FreeTarget& target : free) {
    target.lastModel = "small";
  }
  const std::vector<ModelNeed> needs{ { &kSmall, 0, 1 } };
  const PoolPlan plan = PlanPool({ free, needs, {}, 0, 0, false });
  ASSERT_THAT(plan.groups, SizeIs(1));
  EXPECT_THAT(plan.groups[0].members,
              ::testing::UnorderedElementsAre(free[2].instance, free[3].instance));
}

// Guards against four idle targets that form no group for ten seconds because one of them lacks the
// weights. If six hosts load second weights for 16 s, they use all loads that the store serves at
// once.
TEST(PoolPlan, LoadsThatAGroupWaitsForDoNotStandBehindSecondWeights)
{
  std::vector<FreeTarget> free;
  Add(free, 3, "a", "large");
  Add(free, 1, "a", "small");
  for (FreeTarget& target : free) {
    target.lastModel = target.stagedModels.front();
  }
  const std::vector<ServingGroup> serving{ Serving("g1", "small", "b", 2) };
  const std::vector<ModelNeed> needs{ { &kLarge, 0, 1 }, { &kSmall, 1, 1 } };
  const PoolPlan plan = PlanPool({ free, needs, serving, 6, 0, false });
  ASSERT_THAT(plan.stages, SizeIs(1));
  EXPECT_EQ(plan.stages[0].target, free[3].instance);
  EXPECT_EQ(plan.stages[0].model, "large");
}

// Guards against loads for a takeover in one domain while a group in another needs a single load.
TEST(PoolPlan, LoadsBeginWhereTheFewestCompleteAGroup)
{
  std::vector<FreeTarget> free;
  Add(free, 3, "a", "large");
  Add(free, 1, "a", "");
  Add(free, 2, "b", "");
  const std::vector<ServingGroup> serving{ Serving("g1", "small", "b", 2),
                                           Serving("g2", "small", "b", 2) };
  const std::vector<ModelNeed> needs{ { &kLarge, 0, 1, 1.5 }, { &kSmall, 6, 6, 3.0 } };
  const PoolPlan plan = PlanPool({ free, needs, serving, 6, 0, false });
  ASSERT_THAT(plan.stages, SizeIs(1));
  EXPECT_EQ(plan.stages[0].target, free[3].instance);
  EXPECT_EQ(plan.stages[0].model, "large");
}

// Guards against a model without groups that waits for hosts that load another model's weights.
TEST(PoolPlan, HostsThatLoadOtherWeightsAreNotWaitedFor)
{
  std::vector<FreeTarget> free;
  Add(free, 3, "a", "large");
  Add(free, 2, "a", "");
  free[3].staging = "small";
  free[4].staging = "small";
  const std::vector<ServingGroup> serving{ Serving("g1", "small", "a", 2) };
  const std::vector<ModelNeed> needs{ { &kLarge, 0, 1, 1.5 }, { &kSmall, 6, 6, 3.0 } };
  const PoolPlan plan = PlanPool({ free, needs, serving, 6, 0, false });
  ASSERT_THAT(plan.stages, SizeIs(1));
  EXPECT_EQ(plan.stages[0].target, serving[0].members[0].instance);
  EXPECT_EQ(plan.stages[0].model, "large");
}

// Guards against a group that uses up weights that a model with a greater need waits for.
TEST(PoolPlan, AGroupLeavesTheWeightsThatAModelWhichLacksMoreWaitsFor)
{
  std::vector<FreeTarget> free;
  Add(free, 3, "a", "large");
  Add(free, 1, "a", "");
  for (FreeTarget& target : free) {
    target.lastModel = "small";
  }
  const std::vector<ModelNeed> needs{ { &kLarge, 0, 1, 1.5 }, { &kSmall, 5, 6, 4.4 } };
  const PoolPlan plan = PlanPool({ free, needs, {}, 6, 0, false });
  EXPECT_THAT(plan.groups, IsEmpty());
  ASSERT_THAT(plan.stages, SizeIs(1));
  EXPECT_EQ(plan.stages[0].target, free[3].instance);
  EXPECT_EQ(plan.stages[0].model, "large");
}

// Guards against groups formed of targets whose hosts thereby lose another model's weights.
TEST(PoolPlan, GroupsAreFormedWhereHostsLoseFewestWeights)
{
  std::vector<FreeTarget> free;
  Add(free, 2, "a", "large");
  Add(free, 2, "b", "small");
  free[0].lastModel = "small";
  free[1].lastModel = "small";
  const std::vector<ModelNeed> needs{ { &kSmall, 0, 1 } };
  const PoolPlan plan = PlanPool({ free, needs, {}, 0, 0, false });
  ASSERT_THAT(plan.groups, SizeIs(1));
  EXPECT_THAT(plan.groups[0].members,
              ::testing::UnorderedElementsAre(free[2].instance, free[3].instance));
}

// Guards against using a target for another model while a group waits for its load.
TEST(PoolPlan, TargetsThatLoadForAGroupAreKeptForIt)
{
  std::vector<FreeTarget> free;
  Add(free, 3, "a", "large");
  Add(free, 2, "a", "small");
  free[3].staging = "large";
  const std::vector<ModelNeed> needs{ { &kLarge, 0, 1, 1.5 }, { &kSmall, 4, 5, 3.5 } };
  const PoolPlan plan = PlanPool({ free, needs, {}, 6, 0, false });
  EXPECT_THAT(plan.groups, IsEmpty());
}

// Guards against using all free targets of one domain while another will also get back the members
// of an ended group.
TEST(PoolPlan, GroupsAreFormedWhereMembersOfEndedGroupsReturn)
{
  std::vector<FreeTarget> free;
  Add(free, 2, "a", "small");
  Add(free, 2, "b", "small");
  std::vector<FreeTarget> returning;
  Add(returning, 1, "b", "small");
  returning[0].instance = InstanceId("survivor");
  const std::vector<ModelNeed> needs{ { &kSmall, 5, 6, 3.5 } };
  PoolInput input{ free, needs, {}, 6, 6, false };
  input.returning = returning;
  const PoolPlan plan = PlanPool(input);
  ASSERT_THAT(plan.groups, SizeIs(1));
  EXPECT_THAT(plan.groups[0].members,
              ::testing::UnorderedElementsAre(free[2].instance, free[3].instance));
}

// Guards against loading another model's weights on a target that can complete a group together
// with members that return.
TEST(PoolPlan, LoadsCompleteAGroupWithMembersThatReturn)
{
  std::vector<FreeTarget> free;
  Add(free, 2, "a", "large");
  Add(free, 1, "a", "");
  std::vector<FreeTarget> returning;
  Add(returning, 1, "a", "large");
  returning[0].instance = InstanceId("survivor");
  const std::vector<ModelNeed> needs{ { &kLarge, 1, 2, 2.0 }, { &kSmall, 4, 5, 3.5 } };
  PoolInput input{ free, needs, {}, 6, 6, false };
  input.returning = returning;
  const PoolPlan plan = PlanPool(input);
  EXPECT_THAT(plan.groups, IsEmpty());
  ASSERT_THAT(plan.stages, SizeIs(1));
  EXPECT_EQ(plan.stages[0].target, free[2].instance);
  EXPECT_EQ(plan.stages[0].model, "large");
}

// Guards against second weights that delay the loads of a model that is short of groups.
TEST(PoolPlan, SecondWeightsWaitWhileAModelLacksGroups)
{
  const std::vector<ServingGroup> serving{ Serving("g1", "small", "a", 2) };
  const std::vector<ModelNeed> needs{ { &kLarge, 0, 1, 1.5 }, { &kSmall, 1, 1, 0.5 } };
  EXPECT_THAT(PlanPool({ {}, needs, serving, 6, 6, false }).stages, IsEmpty());
  SECTION("and are loaded when none does")
  {
    const std::vector<ModelNeed> enough{ { &kLarge, 1, 1, 0.5 }, { &kSmall, 1, 1, 0.5 } };
    EXPECT_THAT(PlanPool({ {}, enough, serving, 6, 6, false }).stages, SizeIs(2));
  }
}

TEST(PoolPlan, SparesTakeTheirHostsWeightsBeforeTheyAreNeeded)
{
  std::vector<FreeTarget> free;
  Add(free, 1, "a", "large");
  Add(free, 1, "a", "large");
  free[1].lastModel = "large";
  const std::vector<ModelNeed> needs{ { &kLarge, 1, 1 }, { &kSmall, 1, 1 } };
  const PoolPlan plan = PlanPool({ free, needs, {}, 0, 0, false });
  ASSERT_THAT(plan.standbys, SizeIs(1));
  EXPECT_EQ(plan.standbys[0].target, free[0].instance);
  EXPECT_EQ(plan.standbys[0].model, "large");
}

TEST(PoolPlan, HostsTakeTheOtherModelsWeightsThoseOfIdleTargetsFirst)
{
  std::vector<FreeTarget> free;
  Add(free, 1, "a", "large");
  free[0].lastModel = "large";
  const std::vector<ServingGroup> serving{ Serving("g1", "small", "b", 2) };
  const std::vector<ModelNeed> needs{ { &kLarge, 1, 1 }, { &kSmall, 1, 1 } };
  for (const bool beforeTraffic : { true, false }) {
    const PoolPlan plan = PlanPool({ free, needs, serving, 2, 2, beforeTraffic });
    ASSERT_THAT(plan.stages, SizeIs(2));
    EXPECT_EQ(plan.stages[0].target, free[0].instance);
    EXPECT_EQ(plan.stages[0].model, "small");
    EXPECT_EQ(plan.stages[1].target, serving[0].members[0].instance);
    EXPECT_EQ(plan.stages[1].model, "large");
  }
}

TEST(ModelWork, AModelOfFewGroupsNeedsMoreReserve)
{
  EXPECT_EQ(WantedGroups(1.75), 3U);
  EXPECT_EQ(WantedGroups(3.7), 5U);
  EXPECT_EQ(WantedGroups(0.1), 1U);
  EXPECT_LT(ServedFraction(2, 1.75), 0.75);
  EXPECT_GT(ServedFraction(5, 3.7), 0.9);
  EXPECT_EQ(ServedFraction(0, 0), 1.0);
}

TEST(ModelWork, CountsReadingAloneAndWritingShared)
{
  EngineSpec engine;
  engine.slots = 34;
  engine.stepTime = 7800us;
  engine.stepTimePerRequest = 95us;
  engine.promptTokensPerSecond = 45'900;
  const ModelDemand demand{ 106, 106 * 714.0, 106 * 146.0 };
  const double work = OfferedLoad(engine, kSmall, demand);
  // Per second: 0.6 * 1.65 s for prompts, 0.6 * 15476 * (0.229 + 0.095) ms for output tokens.
  EXPECT_NEAR(work, 4.0, 0.1);
  EXPECT_EQ(WantedGroups(3.3), 5U);
  EXPECT_EQ(WantedGroups(0), 0U);
}

} // namespace
} // namespace gooseberrysail
