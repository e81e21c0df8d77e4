#include "gooseberrysail/control/group_table.hpp"
#include "gooseberrysail/observe/event.hpp"
#include "support/control_cluster.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail::test {
namespace {

using ::testing::HasSubstr;
using ::testing::IsEmpty;

const std::vector<std::string> kVms{ "vm-1", "vm-2", "vm-3", "vm-4" };

/// \brief Forms one group as soon as four free and usable VMs exist.
std::vector<PlannerAction> PlanGroupOfFour(TimePoint, const PlannerInput& input)
{
  FormGroupAction form{ EntryName("hire-assist"), "v1", {} };
  for (const VmView& vm : input.vms) {
    if (vm.group.IsNone() && vm.reachable && !vm.draining && form.members.size() < 4) {
      form.members.push_back(vm.vm);
    }
  }
  return form.members.size() == 4 ? std::vector<PlannerAction>{ form }
                                  : std::vector<PlannerAction>{};
}

/// \brief Two control processes with one log; four engine VMs and an entry are connected to each.
struct Fleet
{
  std::shared_ptr<ScriptedLog> log = std::make_shared<ScriptedLog>();
  ControlNode first{ "control-1", log, MakeControlSettings("control-1") };
  ControlNode second{ "control-2", log, MakeControlSettings("control-2") };

  Fleet()
  {
    for (ControlNode* node : { &first, &second }) {
      node->plan = PlanGroupOfFour;
      node->Tick({ Up("entry-1", "entry") });
      for (const std::string& vm : kVms) {
        node->Tick({ Up("agent-" + vm, "agent"), Announced(vm) });
      }
    }
    first.Lead(1);
    Write(first, Change("c", ModelWrite("hire-assist", "v1", "0")));
    AnnounceAll(first);
  }

  static void Write(ControlNode& node, const std::string& change)
  {
    node.Tick({ Called(9, "POST", "/admin/v1/catalogue", change) });
    node.Tick();
  }

  void AnnounceAll(ControlNode& node, std::uint64_t group = 0)
  {
    for (const std::string& vm : kVms) {
      node.Tick({ Announced(vm, "fabric-1", group) });
    }
  }

  /// \returns The first group, formed by the first control process.
  std::uint64_t Form()
  {
    const auto assigns = Sent<wire::AssignT>(first.Run(seconds(1)));
    EXPECT_EQ(assigns.size() % 4, 0U);
    EXPECT_FALSE(assigns.empty());
    return assigns.empty() ? 0 : assigns.front().second.group;
  }

  void AcceptAll(ControlNode& node, std::uint64_t group)
  {
    for (const std::string& vm : kVms) {
      wire::AssignReplyT reply;
      reply.vm = vm;
      reply.group = group;
      reply.epoch = group;
      reply.accepted = true;
      node.Tick({ From("agent-" + vm, std::move(reply)) });
    }
  }

  /// \brief Runs for some seconds while the head reports once a second.
  std::vector<ControlOutput> Serve(ControlNode& node, std::uint64_t group, int forSeconds)
  {
    std::vector<ControlOutput> all;
    for (int round = 0; round < forSeconds; ++round) {
      AnnounceAll(node, group);
      auto part = node.Tick({ Reported("vm-1", group) });
      const auto rest = node.Run(seconds(1));
      part.insert(part.end(), rest.begin(), rest.end());
      all.insert(all.end(), part.begin(), part.end());
    }
    return all;
  }
};

std::vector<std::string> FreedVms(const std::vector<ControlOutput>& outbox)
{
  std::vector<std::string> freed;
  for (const ControlOutput& output : outbox) {
    const auto* event = std::get_if<EventOut>(&output);
    if (event != nullptr && event->number == static_cast<unsigned>(EventNumber::kVmFreed)) {
      freed.push_back(event->fields.at(0).second);
    }
  }
  return freed;
}

std::vector<wire::RouteT> RoutesIn(const std::vector<ControlOutput>& outbox)
{
  std::vector<wire::RouteT> routes;
  for (const auto& [peer, update] : Sent<wire::RoutesUpdateT>(outbox)) {
    for (const auto& route : update.routes) {
      routes.push_back(*route);
    }
  }
  return routes;
}

TEST(ControlMembership, AGroupIsAssignedLeasedAndRoutedInThatOrder)
{
  Fleet fleet;
  const std::uint64_t group = fleet.Form();
  SECTION("assignments are repeated until each member has accepted")
  {
    EXPECT_EQ(Sent<wire::AssignT>(fleet.first.Run(seconds(2))).size(), 8U);
    fleet.AcceptAll(fleet.first, group);
    EXPECT_THAT(Sent<wire::AssignT>(fleet.first.Run(seconds(2))), IsEmpty());
  }
  SECTION("there is no route before the head has reported the group ready")
  {
    EXPECT_THAT(RoutesIn(fleet.first.Run(seconds(1))), IsEmpty());
    fleet.first.Tick({ Reported("vm-1", group, false) });
    EXPECT_THAT(RoutesIn(fleet.first.Run(seconds(1))), IsEmpty());
  }
  const auto told = fleet.first.Tick({ Reported("vm-1", group) });
  SECTION("the head's report is answered by a lease")
  {
    const auto grants = Sent<wire::LeaseGrantT>(told);
    ASSERT_EQ(grants.size(), 1U);
    EXPECT_TRUE(grants[0].second.granted);
    EXPECT_EQ(grants[0].second.leaseMillis, 4000U);
  }
  SECTION("a ready group's route is sent to the entry at once")
  {
    const auto routes = RoutesIn(told);
    ASSERT_EQ(routes.size(), 1U);
    EXPECT_EQ(routes[0].group, group);
    EXPECT_EQ(routes[0].head, "agent-vm-1");
    EXPECT_EQ(routes[0].state, wire::RouteState::Open);
  }
  SECTION("a missing member removes the route at once")
  {
    const auto routes = RoutesIn(fleet.first.Tick({ Reported("vm-1", group, false, { "vm-3" }) }));
    ASSERT_EQ(routes.size(), 1U);
    EXPECT_EQ(routes[0].state, wire::RouteState::Gone);
  }
  SECTION("an agent other than the head's gets no lease")
  {
    wire::GroupReportT report;
    report.group = group;
    report.epoch = group;
    report.vm = "vm-1";
    const auto grants =
      Sent<wire::LeaseGrantT>(fleet.first.Tick({ From("agent-vm-2", std::move(report)) }));
    ASSERT_EQ(grants.size(), 1U);
    EXPECT_FALSE(grants[0].second.granted);
  }
  SECTION("a restarted agent without its group is assigned again")
  {
    fleet.first.Tick({ Announced("vm-2", "fabric-1", 0) });
    const auto assigns = Sent<wire::AssignT>(fleet.first.Run(seconds(1)));
    ASSERT_EQ(assigns.size(), 1U);
    EXPECT_EQ(assigns[0].first, "agent-vm-2");
  }
}

// Guards against two heads that serve with the same VM, which could answer while it loads another
// model's weights. A leader proposes a group and loses leadership before the commit; the next
// leader commits that proposal, but has already proposed another group of the same VMs. This
// happens if only the proposer checks that the VMs are free.
TEST(ControlMembership, NoVmJoinsTwoGroupsThroughAChangeOfLeaderMidAssignment)
{
  Fleet fleet;
  fleet.log->holdBack = true;
  fleet.first.Run(seconds(1));
  ASSERT_FALSE(fleet.log->waiting.empty()) << "the first leader proposed a group";
  const std::vector<ScriptedLog::Entry> late = fleet.log->waiting;
  fleet.log->waiting.clear();
  fleet.first.leader = false;

  SECTION("the new leader forms a group, and the old leader's proposal commits after it")
  {
    fleet.log->holdBack = false;
    fleet.second.now = fleet.first.now;
    fleet.second.Lead(2);
    fleet.AnnounceAll(fleet.second);
    const auto assigns = Sent<wire::AssignT>(fleet.second.Run(seconds(1)));
    ASSERT_FALSE(assigns.empty());
    const std::uint64_t group = assigns.front().second.group;
    for (const ScriptedLog::Entry& entry : late) {
      fleet.log->entries.push_back(entry);
    }
    const auto after = fleet.second.Run(seconds(3));
    for (const auto& [agent, assign] : Sent<wire::AssignT>(after)) {
      EXPECT_EQ(assign.group, group);
    }
    fleet.first.Tick();
    SECTION("both control processes have the same state, with each VM in one group")
    {
      EXPECT_EQ(fleet.first.role->TakeSnapshot(), fleet.second.role->TakeSnapshot());
      ControlState state;
      ASSERT_TRUE(state.RestoreSnapshot(fleet.second.role->TakeSnapshot()));
      EXPECT_EQ(state.GetGroups().Groups().size(), 1U);
    }
  }
}

// Guards against a head that serves with members of a newer group: the leader is partitioned from
// the other control processes without noticing, still receives the head's reports, and grants a
// lease after its successor has waited for the end of the longest lease that it knew of. This
// happens if a lease is granted without a quorum.
TEST(ControlMembership, ALeaderWithoutQuorumGrantsNoLeaseAndGivesNoOrders)
{
  Fleet fleet;
  const std::uint64_t group = fleet.Form();
  fleet.first.cutOff = true;
  fleet.first.now += seconds(2);
  auto outbox = fleet.first.Tick({ Reported("vm-1", group), Announced("vm-2") });
  const auto more = fleet.first.Run(seconds(10));
  outbox.insert(outbox.end(), more.begin(), more.end());
  EXPECT_THAT(Sent<wire::LeaseGrantT>(outbox), IsEmpty());
  EXPECT_THAT(Sent<wire::AssignT>(outbox), IsEmpty());
  EXPECT_THAT(Sent<wire::ReleaseT>(outbox), IsEmpty());
  EXPECT_THAT(Sent<wire::RoutesUpdateT>(outbox), IsEmpty());
}

// Guards against a VM that joins a new group while the head of its old group still serves with it:
// the head is disconnected or frozen, and the group is dissolved and its VMs are reassigned. This
// happens if VMs are freed after a fixed time, or if the lease is measured from the wrong time.
TEST(ControlMembership, AVmIsFreedOnlyAfterItsReleaseOrTheCertainEndOfTheLease)
{
  Fleet fleet;
  fleet.first.plan = [&](TimePoint at, const PlannerInput& input) {
    if (input.groups.empty()) {
      return PlanGroupOfFour(at, input);
    }
    return std::vector<PlannerAction>{};
  };
  const std::uint64_t group = fleet.Form();
  fleet.AcceptAll(fleet.first, group);
  fleet.Serve(fleet.first, group, 6);
  fleet.first.Tick({ Reported("vm-1", group) });
  const TimePoint granted = fleet.first.now;
  fleet.first.plan = [&](TimePoint, const PlannerInput& input) {
    return input.groups.empty()
             ? std::vector<PlannerAction>{}
             : std::vector<PlannerAction>{ DissolveGroupAction{ GroupId(group), "member lost" } };
  };
  auto outbox = fleet.first.Run(milliseconds(1200));

  SECTION("the head is released first; the others wait for it")
  {
    const auto releases = Sent<wire::ReleaseT>(outbox);
    ASSERT_FALSE(releases.empty());
    for (const auto& [agent, release] : releases) {
      EXPECT_EQ(agent, "agent-vm-1");
    }
  }
  SECTION("a released member is not free while the head may serve")
  {
    outbox = fleet.first.Tick({ ReleasedBy("vm-2", group) });
    EXPECT_THAT(FreedVms(fleet.first.Run(milliseconds(200))), IsEmpty());
  }
  SECTION("an agent can't release another VM")
  {
    wire::ReleasedT released;
    released.vm = "vm-1";
    released.group = group;
    released.epoch = group;
    fleet.first.Tick({ From("agent-vm-2", std::move(released)) });
    EXPECT_THAT(FreedVms(fleet.first.Run(milliseconds(200))), IsEmpty());
  }
  SECTION("no further lease is granted")
  {
    const auto grants = Sent<wire::LeaseGrantT>(fleet.first.Tick({ Reported("vm-1", group) }));
    ASSERT_EQ(grants.size(), 1U);
    EXPECT_FALSE(grants[0].second.granted);
  }
  SECTION("with a silent head no VM is freed before the lease has certainly ended")
  {
    std::vector<std::string> early;
    while (fleet.first.now < granted + milliseconds(4000)) {
      const auto freed = FreedVms(fleet.first.Run(milliseconds(50)));
      early.insert(early.end(), freed.begin(), freed.end());
    }
    EXPECT_THAT(early, IsEmpty());
    SECTION("after the lease and the clock drift all VMs are freed")
    {
      EXPECT_EQ(FreedVms(fleet.first.Run(seconds(1))).size(), 4U);
    }
  }
}

TEST(ControlMembership, AReleasedGroupIsFreeAtOnce)
{
  Fleet fleet;
  const std::uint64_t group = fleet.Form();
  fleet.Serve(fleet.first, group, 6);
  fleet.first.plan = [&](TimePoint, const PlannerInput& input) {
    return input.groups.empty()
             ? std::vector<PlannerAction>{}
             : std::vector<PlannerAction>{ DissolveGroupAction{ GroupId(group), "smaller" } };
  };
  fleet.first.Run(milliseconds(1200));
  auto outbox = fleet.first.Tick({ ReleasedBy("vm-1", group) });
  EXPECT_EQ(Sent<wire::ReleaseT>(outbox).size(), 3U);
  for (const std::string vm : { "vm-2", "vm-3", "vm-4" }) {
    fleet.first.Tick({ ReleasedBy(vm, group) });
  }
  fleet.first.Run(milliseconds(300));
  ControlState state;
  ASSERT_TRUE(state.RestoreSnapshot(fleet.first.role->TakeSnapshot()));
  EXPECT_TRUE(state.GetGroups().Groups().empty());
}

// Guards against a VM in two groups after a change of leader: the old leader grants a lease and
// fails; the new leader, which has granted none, dissolves the group and frees its VMs at once.
// This happens if a new leader assumes that no lease exists because it granted none itself.
TEST(ControlMembership, ANewLeaderWaitsForTheLeasesOfEarlierLeaders)
{
  Fleet fleet;
  const std::uint64_t group = fleet.Form();
  fleet.Serve(fleet.first, group, 3);
  fleet.first.leader = false;
  fleet.second.plan = [&](TimePoint, const PlannerInput& input) {
    return input.groups.empty()
             ? std::vector<PlannerAction>{}
             : std::vector<PlannerAction>{ DissolveGroupAction{ GroupId(group), "test" } };
  };
  fleet.second.now = fleet.first.now;
  const TimePoint elected = fleet.second.now;
  fleet.second.Lead(2);
  fleet.AnnounceAll(fleet.second, group);
  std::vector<std::string> early;
  while (fleet.second.now < elected + milliseconds(4000)) {
    const auto freed = FreedVms(fleet.second.Run(milliseconds(50)));
    early.insert(early.end(), freed.begin(), freed.end());
  }
  EXPECT_THAT(early, IsEmpty());
  EXPECT_EQ(FreedVms(fleet.second.Run(seconds(1))).size(), 4U);
}

// Guards against answers from an outdated state after a change of leader: an old version is
// confirmed as the newest, or a lease is refused to an existing group. The new leader has the
// committed commands in its log but has not applied them yet. This happens if it answers as soon as
// it is elected.
TEST(ControlMembership, ANewLeaderAnswersNothingBeforeItAppliedWhatWasCommitted)
{
  Fleet fleet;
  const std::uint64_t group = fleet.Form();
  fleet.first.leader = false;
  fleet.log->holdBack = true;
  fleet.second.now = fleet.first.now;
  fleet.second.Lead(2);
  wire::ConfigQueryT query;
  query.nonce = 5;
  auto outbox = fleet.second.Tick({ From("entry-1", wire::ConfigQueryT(query)),
                                    Reported("vm-1", group),
                                    Called(7, "GET", "/admin/v1/catalogue") });
  const auto more = fleet.second.Run(seconds(1));
  outbox.insert(outbox.end(), more.begin(), more.end());
  EXPECT_THAT(Sent<wire::ConfigStateT>(outbox), IsEmpty());
  EXPECT_THAT(Sent<wire::LeaseGrantT>(outbox), IsEmpty());
  EXPECT_EQ(AnswerOf(outbox, 7)->status, 503U);
  SECTION("after its first command is applied, it answers")
  {
    fleet.log->Commit();
    fleet.log->holdBack = false;
    fleet.second.Tick();
    const auto states =
      Sent<wire::ConfigStateT>(fleet.second.Tick({ From("entry-1", std::move(query)) }));
    ASSERT_EQ(states.size(), 1U);
    EXPECT_EQ(states[0].second.items.size(), 1U);
  }
}

// Guards against callers refused for seconds after a change of leader although all groups serve:
// the entries connect to the new leader before the heads do, and it removes all their routes. This
// happens if a group without a report yet is treated as gone.
TEST(ControlMembership, ANewLeaderKeepsRoutesUntilTheHeadsHaveReported)
{
  Fleet fleet;
  const std::uint64_t group = fleet.Form();
  fleet.Serve(fleet.first, group, 2);
  fleet.first.leader = false;
  fleet.second.plan = nullptr;
  fleet.second.now = fleet.first.now;
  fleet.second.Lead(2);
  EXPECT_THAT(Sent<wire::RoutesUpdateT>(fleet.second.Run(seconds(2))), IsEmpty());
  SECTION("once the head has reported, the entry gets all routes")
  {
    auto outbox = fleet.second.Tick({ Reported("vm-1", group) });
    const auto rest = fleet.second.Run(milliseconds(300));
    outbox.insert(outbox.end(), rest.begin(), rest.end());
    const auto updates = Sent<wire::RoutesUpdateT>(outbox);
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_TRUE(updates[0].second.whole);
    ASSERT_EQ(updates[0].second.routes.size(), 1U);
    EXPECT_GT(updates[0].second.sequence >> 32U, 1U);
  }
}

// Guards against new work for a target that is being removed, and against aborting its running
// work. An operator marks the target as draining, or its agent is stopped, under load. Work is
// aborted if the group is freed before its head has finished.
TEST(ControlMembership, ALeavingTargetDrainsItsGroup)
{
  for (const bool byCatalogue : { true, false }) {
    Fleet fleet;
    const std::uint64_t group = fleet.Form();
    fleet.AcceptAll(fleet.first, group);
    fleet.Serve(fleet.first, group, 2);
    fleet.first.plan = nullptr;
    SECTION(byCatalogue ? "by the catalogue" : "by its agent")
    {
      if (byCatalogue) {
        Fleet::Write(fleet.first,
                     Change("t",
                            R"({"entry":{"kind":"target","name":"vm-3","owner":"x",)"
                            R"("spec":{"draining":true}}})"));
      } else {
        wire::AnnounceT announce;
        announce.vm = "vm-3";
        announce.address = "vm-3:7";
        announce.failureDomain = "half-way-tree";
        announce.fabricDomain = "fabric-1";
        announce.accelerators = 8;
        announce.group = group;
        announce.epoch = group;
        announce.leaving = true;
        fleet.first.Tick({ From("agent-vm-3", std::move(announce)) });
      }
      const auto outbox = fleet.first.Run(milliseconds(400));
      SECTION("entries are notified at once, and the head is ordered to finish its work")
      {
        const auto routes = RoutesIn(outbox);
        ASSERT_EQ(routes.size(), 1U);
        EXPECT_EQ(routes[0].state, wire::RouteState::Draining);
        const auto releases = Sent<wire::ReleaseT>(outbox);
        ASSERT_FALSE(releases.empty());
        EXPECT_EQ(releases[0].first, "agent-vm-1");
        EXPECT_EQ(releases[0].second.graceMillis, 120000U);
      }
      SECTION("while the head still works, its lease is granted and no VM is freed")
      {
        for (int second = 0; second < 10; ++second) {
          const auto grants =
            Sent<wire::LeaseGrantT>(fleet.first.Tick({ Reported("vm-1", group) }));
          ASSERT_EQ(grants.size(), 1U);
          EXPECT_TRUE(grants[0].second.granted);
          EXPECT_THAT(FreedVms(fleet.first.Run(seconds(1))), IsEmpty());
        }
      }
      SECTION("once the head has finished, the group ends")
      {
        fleet.first.Tick({ ReleasedBy("vm-1", group) });
        fleet.first.Run(milliseconds(300));
        for (const std::string vm : { "vm-2", "vm-3", "vm-4" }) {
          fleet.first.Tick({ ReleasedBy(vm, group) });
        }
        const auto freed = fleet.first.Run(milliseconds(500));
        ControlState state;
        ASSERT_TRUE(state.RestoreSnapshot(fleet.first.role->TakeSnapshot()));
        EXPECT_TRUE(state.GetGroups().Groups().empty());
      }
    }
  }
}

// Guards against answers that are cut although their deadline is far: an operator removes a model
// from the catalogue, and its groups get less time for their work than its requests have.
TEST(ControlMembership, TheGroupsOfARemovedModelMayFinishTheirWork)
{
  Fleet fleet;
  Fleet::Write(fleet.first,
               Change("longer",
                      R"({"entry":{"kind":"model","name":"hire-assist","owner":"hire-desk",)"
                      R"("spec":{"version":"v1","replicas":1,"defaultDeadlineMs":600000}}})"));
  const std::uint64_t group = fleet.Form();
  fleet.AcceptAll(fleet.first, group);
  fleet.Serve(fleet.first, group, 2);
  fleet.first.plan = nullptr;
  Fleet::Write(
    fleet.first,
    Change("removed", R"({"entry":{"kind":"model","name":"hire-assist"},"remove":true})"));
  const auto releases = Sent<wire::ReleaseT>(fleet.Serve(fleet.first, group, 2));
  ASSERT_FALSE(releases.empty());
  EXPECT_EQ(releases[0].first, "agent-vm-1");
  EXPECT_EQ(releases[0].second.graceMillis, 600000U);
}

// Guards against groups that never serve again, or serve twice, after a failed fabric domain
// recovers. All agents of a domain disconnect, the group's lease ends, the planner dissolves the
// group, and its VMs are free but unreachable; then the agents reconnect and announce the old
// group. The failure occurs if they are not ordered to release the dissolved group, or if
// unreachable VMs are used.
TEST(ControlMembership, AFabricDomainFailsAndRecovers)
{
  Fleet fleet;
  const std::uint64_t group = fleet.Form();
  fleet.AcceptAll(fleet.first, group);
  fleet.Serve(fleet.first, group, 2);
  fleet.first.plan = [](TimePoint at, const PlannerInput& input) {
    if (!input.groups.empty() && input.groups[0].brokenSince &&
        at - *input.groups[0].brokenSince > seconds(10)) {
      return std::vector<PlannerAction>{ DissolveGroupAction{ input.groups[0].group,
                                                              "unreachable" } };
    }
    return PlanGroupOfFour(at, input);
  };
  for (const std::string& vm : kVms) {
    fleet.first.Tick({ Down("agent-" + vm) });
  }
  const auto duringOutage = fleet.first.Run(seconds(30));
  SECTION(
    "the route is removed, the group is dissolved, and its VMs are not used while unreachable")
  {
    const auto routes = RoutesIn(duringOutage);
    ASSERT_EQ(routes.size(), 1U);
    EXPECT_EQ(routes[0].state, wire::RouteState::Gone);
    EXPECT_EQ(FreedVms(duringOutage).size(), 4U);
    EXPECT_THAT(Sent<wire::AssignT>(duringOutage), IsEmpty());
  }
  SECTION("after the recovery, they are ordered to release the old group and form one new group")
  {
    std::vector<ControlOutput> afterRecovery;
    for (const std::string& vm : kVms) {
      const auto part =
        fleet.first.Tick({ Up("agent-" + vm, "agent"), Announced(vm, "fabric-1", group) });
      afterRecovery.insert(afterRecovery.end(), part.begin(), part.end());
    }
    const auto releases = Sent<wire::ReleaseT>(afterRecovery);
    ASSERT_EQ(releases.size(), 4U);
    EXPECT_EQ(releases[0].second.group, group);
    const auto assigns = Sent<wire::AssignT>(fleet.first.Run(seconds(1)));
    ASSERT_EQ(assigns.size(), 4U);
    EXPECT_GT(assigns[0].second.epoch, group);
  }
}

// Guards against dissolving a group that serves: one member can't reach control, but exchanges
// heartbeats with its head. This happens if a member's reachability depends on its own connection
// alone.
TEST(ControlMembership, AMemberReachedOnlyByItsHeadIsReachable)
{
  Fleet fleet;
  const std::uint64_t group = fleet.Form();
  fleet.AcceptAll(fleet.first, group);
  fleet.Serve(fleet.first, group, 1);
  std::vector<VmView> seenVms;
  std::vector<bool> broken;
  fleet.first.plan = [&](TimePoint, const PlannerInput& input) {
    seenVms.assign(input.vms.begin(), input.vms.end());
    broken.push_back(input.groups[0].brokenSince.has_value());
    return std::vector<PlannerAction>{};
  };
  fleet.first.Tick({ Down("agent-vm-3") });
  fleet.first.Run(seconds(1));
  fleet.first.Tick({ Reported("vm-1", group) });
  fleet.first.Run(seconds(1));
  ASSERT_EQ(seenVms.size(), 4U);
  EXPECT_TRUE(seenVms[2].reachable);
  EXPECT_FALSE(broken.back());
  SECTION("a member that control reaches but its head does not breaks the group")
  {
    fleet.first.Tick({ Up("agent-vm-3", "agent"), Announced("vm-3", "fabric-1", group) });
    fleet.first.Tick({ Reported("vm-1", group, false, { "vm-3" }) });
    fleet.first.Run(seconds(1));
    EXPECT_TRUE(seenVms[2].reachable);
    EXPECT_TRUE(broken.back());
  }
}

TEST(ControlMembership, APlainServiceTargetServesAsAGroupOfOne)
{
  Fleet fleet;
  fleet.first.plan = nullptr;
  fleet.first.Tick({ Up("agent-web-1", "agent"), ServiceAnnounced("web-1", "booking-portal") });
  EXPECT_THAT(Sent<wire::AssignT>(fleet.first.Run(seconds(2))), IsEmpty())
    << "the service is not in the catalogue yet";
  Fleet::Write(fleet.first,
               Change("s", R"({"entry":{"kind":"service","name":"booking-portal","owner":"x"}})"));
  const auto assigns = Sent<wire::AssignT>(fleet.first.Run(seconds(2)));
  ASSERT_FALSE(assigns.empty());
  EXPECT_EQ(assigns[0].first, "agent-web-1");
  EXPECT_EQ(assigns[0].second.entry, "booking-portal");
  EXPECT_EQ(assigns[0].second.members.size(), 1U);
  SECTION("a removed service drains its groups")
  {
    Fleet::Write(
      fleet.first,
      Change("r", R"({"entry":{"kind":"service","name":"booking-portal"},"remove":true})"));
    const auto releases = Sent<wire::ReleaseT>(fleet.first.Run(seconds(1)));
    ASSERT_FALSE(releases.empty());
    EXPECT_EQ(releases[0].first, "agent-web-1");
  }
}

TEST(ControlMembership, ASecondAgentForOneVmIsIgnored)
{
  Fleet fleet;
  wire::AnnounceT announce;
  announce.vm = "vm-1";
  announce.address = "elsewhere:7";
  announce.fabricDomain = "fabric-1";
  const auto outbox =
    fleet.first.Tick({ Up("agent-copy", "agent"), From("agent-copy", std::move(announce)) });
  const bool told = std::any_of(outbox.begin(), outbox.end(), [](const ControlOutput& output) {
    const auto* event = std::get_if<EventOut>(&output);
    return event != nullptr &&
           event->number == static_cast<unsigned>(EventNumber::kVmAnnouncedTwice);
  });
  EXPECT_TRUE(told);
  ControlState state;
  ASSERT_TRUE(state.RestoreSnapshot(fleet.first.role->TakeSnapshot()));
  EXPECT_EQ(state.GetGroups().FindVm(VmId("vm-1"))->record.process, "agent-vm-1");
}

TEST(GroupTable, RefusesCommandsThatViolateItsInvariants)
{
  GroupTable table;
  for (const std::string& vm : kVms) {
    wire::VmRecordT record;
    record.vm = vm;
    record.process = "agent-" + vm;
    record.fabricDomain = vm == "vm-4" ? "fabric-2" : "fabric-1";
    EXPECT_EQ(table.Upsert(record), "");
  }
  const auto form = [](std::vector<std::string> members, const std::string& head) {
    wire::FormGroupT command;
    command.entry = "hire-assist";
    command.members = std::move(members);
    command.head = head;
    return command;
  };
  EXPECT_THAT(table.Form(LogIndex(9), form({ "vm-9" }, "vm-9")), HasSubstr("unknown VM"));
  EXPECT_THAT(table.Form(LogIndex(9), form({ "vm-1", "vm-1" }, "vm-1")), HasSubstr("twice"));
  EXPECT_THAT(table.Form(LogIndex(9), form({ "vm-1" }, "vm-2")), HasSubstr("head"));
  EXPECT_THAT(table.Form(LogIndex(9), form({}, "")), HasSubstr("head"));
  EXPECT_THAT(table.Form(LogIndex(9), form({ "vm-1", "vm-4" }, "vm-1")),
              HasSubstr("different fabric domains"));
  ASSERT_EQ(table.Form(LogIndex(9), form({ "vm-1", "vm-2" }, "vm-1")), "");
  EXPECT_THAT(table.Form(LogIndex(10), form({ "vm-2", "vm-3" }, "vm-2")),
              HasSubstr("belongs to group 9"));
  EXPECT_THAT(table.Free(VmId("vm-1"), GroupId(9)), HasSubstr("not dissolved"));
  EXPECT_THAT(table.Remove(VmId("vm-1")), HasSubstr("belongs to a group"));
  EXPECT_EQ(table.Dissolve(GroupId(9), "x"), "");
  EXPECT_THAT(table.Drain(GroupId(9), "x"), HasSubstr("already leaving"));
  EXPECT_THAT(table.Free(VmId("vm-3"), GroupId(9)), HasSubstr("no member"));
  EXPECT_EQ(table.Free(VmId("vm-1"), GroupId(9)), "");
  EXPECT_EQ(table.Form(LogIndex(11), form({ "vm-1", "vm-3" }, "vm-1")), "");
  EXPECT_THAT(table.Free(VmId("vm-1"), GroupId(9)), HasSubstr("no member"));
  EXPECT_EQ(table.FindVm(VmId("vm-1"))->group, GroupId(11));
}

} // namespace
} // namespace gooseberrysail::test
