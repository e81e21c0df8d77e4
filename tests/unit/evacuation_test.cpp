#include "fakes/fake_fleet.hpp"
#include "support/control_cluster.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail::test {
namespace {

using fakes::FakeFleet;
using fakes::ServingFleet;
using ::testing::HasSubstr;
using ::testing::IsEmpty;
using ::testing::IsSupersetOf;
using ::testing::UnorderedElementsAre;

const FailureDomainId kDomain("half-way-tree");

/// Orders are calls with the method EVACUATE or WITHDRAW; the target names the failure domain.
OutsideApi PlainOutsideApi()
{
  OutsideApi api;
  api.decode = [](const HttpRequestIn& request) -> std::optional<OutsideCall> {
    return EvacuateCall{ FailureDomainId(request.target), request.method == "WITHDRAW" };
  };
  api.encode = [](ExchangeId exchange, const OutsideAnswer& answer) {
    HttpAnswerOut out;
    out.exchange = exchange;
    out.status = static_cast<unsigned>(answer.status);
    out.bytes = boost::json::serialize(boost::json::object{ { "reason", answer.reason },
                                                            { "leader", answer.leaderAddress },
                                                            { "target", answer.callTarget } });
    out.end = true;
    return out;
  };
  api.readDocument = [](std::string_view) -> Result<ServingDocument> { return ServingDocument(); };
  return api;
}

struct EvacuationWorld
{
  EvacuationWorld()
  {
    Start(control);
    Start(other);
    control.Lead(1);
  }

  static ControlSettings Settings(const std::string& name)
  {
    ControlSettings settings = MakeControlSettings(name);
    settings.failureDomains = { kDomain, FailureDomainId("portmore") };
    return settings;
  }

  static void Start(ControlNode& node)
  {
    node.outside = PlainOutsideApi();
    node.Restart();
  }

  /// \returns The status of the answer; none if there is none after 1.5 s.
  std::optional<OutsideStatus> Order(ControlNode& node,
                                     const std::string& method,
                                     const std::string& domain = kDomain.Get())
  {
    ++exchange;
    std::vector<ControlOutput> outbox = node.Tick({ Called(exchange, method, domain) });
    for (ControlOutput& output : node.Run(milliseconds(1500))) {
      outbox.push_back(std::move(output));
    }
    answer = AnswerOf(outbox, exchange);
    return answer ? std::optional(static_cast<OutsideStatus>(answer->status)) : std::nullopt;
  }

  /// \brief Announces a target of a plain service in each failure domain, as of the node's time.
  static void AnnounceTargets(ControlNode& node, std::uint64_t sequence)
  {
    wire::TargetsHeardT heard;
    for (const char* domain : { "half-way-tree", "portmore" }) {
      auto target = std::make_unique<wire::TargetHeardT>();
      target->instance = std::string("target-") + domain;
      target->born = 1;
      target->service = "booking";
      target->address = "10.0.0.1:80";
      target->failureDomain = domain;
      target->slots = 6;
      target->sequence = sequence;
      heard.heard.push_back(std::move(target));
    }
    node.Tick({ From("control-2", std::move(heard)) });
  }

  /// \brief The targets that a new entry is told to send nothing to.
  static std::vector<std::string> ListClosed(ControlNode& node, const std::string& entry)
  {
    node.Tick({ Up(entry, "entry") });
    std::vector<ControlOutput> outbox = node.Tick({ From(entry, wire::ServingQueryT()) });
    for (ControlOutput& output : node.Run(milliseconds(600))) {
      outbox.push_back(std::move(output));
    }
    std::vector<std::string> closed;
    for (const auto& [receiver, state] : Sent<wire::ServingStateT>(outbox)) {
      for (const auto& target : state.targets) {
        if (target->leaving) {
          closed.push_back(target->instance);
        }
      }
    }
    return closed;
  }

  std::shared_ptr<ScriptedLog> log = std::make_shared<ScriptedLog>();
  ControlNode control{ "control-1", log, Settings("control-1") };
  ControlNode other{ "control-2", log, Settings("control-2") };
  std::uint64_t exchange = 0;
  std::optional<Answer> answer; ///< To the latest order.
};

// Guards against an order that is acknowledged and then lost with the leader.
TEST(Evacuation, IsAcknowledgedOnceItIsCommitted)
{
  EvacuationWorld world;
  world.log->holdBack = true;
  EXPECT_EQ(world.Order(world.control, "EVACUATE"), OutsideStatus::kUnconfirmed)
    << "nothing is committed";
  world.log->holdBack = false;
  world.log->Commit();
  EXPECT_EQ(world.Order(world.control, "EVACUATE"), OutsideStatus::kDone);

  SECTION("an order that is in force already is acknowledged again")
  {
    EXPECT_EQ(world.Order(world.control, "EVACUATE"), OutsideStatus::kDone);
  }
  SECTION("a leader that a quorum no longer confirms acknowledges nothing")
  {
    world.control.cutOff = true;
    world.control.Run(milliseconds(100));
    EXPECT_EQ(world.Order(world.control, "EVACUATE"), OutsideStatus::kUnconfirmed);
    EXPECT_EQ(world.Order(world.control, "WITHDRAW"), OutsideStatus::kUnconfirmed);
  }
}

// Guards against an evacuation that comes into force after its withdrawal was acknowledged, because
// it was in the log and not committed when that arrived.
TEST(Evacuation, IsNotInForceOnceItsWithdrawalIsAcknowledged)
{
  EvacuationWorld world;
  world.log->holdBack = true;
  EXPECT_EQ(world.Order(world.control, "EVACUATE"), OutsideStatus::kUnconfirmed);
  EXPECT_EQ(world.Order(world.control, "WITHDRAW"), OutsideStatus::kUnconfirmed)
    << "its turn comes after that of the evacuation";
  world.log->holdBack = false;
  world.log->Commit();
  EXPECT_EQ(world.Order(world.control, "WITHDRAW"), OutsideStatus::kDone);
  EvacuationWorld::AnnounceTargets(world.control, 1);
  EXPECT_THAT(EvacuationWorld::ListClosed(world.control, "entry-1"), IsEmpty());
}

// Guards against an evacuation that a change of the leader or a restart of everything forgets.
TEST(Evacuation, OutlastsLeadersRestartsAndSnapshots)
{
  EvacuationWorld world;
  ASSERT_EQ(world.Order(world.control, "EVACUATE"), OutsideStatus::kDone);
  SECTION("a new leader")
  {
    world.control.leader = false;
    world.other.now = world.control.now;
    world.other.Lead(2);
    EvacuationWorld::AnnounceTargets(world.other, 1);
    EXPECT_THAT(EvacuationWorld::ListClosed(world.other, "entry-1"),
                UnorderedElementsAre("target-half-way-tree"));
  }
  SECTION("a restart from the log, and one from a snapshot")
  {
    const std::vector<std::uint8_t> snapshot = world.control.role->TakeSnapshot();
    const LogIndex index = world.control.applied;
    for (const bool fromSnapshot : { false, true }) {
      world.control.Restart(fromSnapshot ? std::optional(snapshot) : std::nullopt,
                            fromSnapshot ? index : LogIndex());
      world.control.Lead(fromSnapshot ? 3 : 2);
      EvacuationWorld::AnnounceTargets(world.control, 1);
      EXPECT_THAT(EvacuationWorld::ListClosed(world.control, "entry-1"),
                  UnorderedElementsAre("target-half-way-tree"));
    }
  }
}

TEST(Evacuation, ClosesTheDomainsTargetsAtEntriesUntilItIsWithdrawn)
{
  EvacuationWorld world;
  EvacuationWorld::AnnounceTargets(world.control, 1);
  EXPECT_THAT(EvacuationWorld::ListClosed(world.control, "entry-1"), IsEmpty());
  ASSERT_EQ(world.Order(world.control, "EVACUATE"), OutsideStatus::kDone);
  EvacuationWorld::AnnounceTargets(world.control, 2);
  EXPECT_THAT(EvacuationWorld::ListClosed(world.control, "entry-2"),
              UnorderedElementsAre("target-half-way-tree"));
  ASSERT_EQ(world.Order(world.control, "WITHDRAW"), OutsideStatus::kDone);
  EvacuationWorld::AnnounceTargets(world.control, 3);
  EXPECT_THAT(EvacuationWorld::ListClosed(world.control, "entry-3"), IsEmpty());
}

TEST(Evacuation, IsRefusedForAnUnknownDomainAndRedirectedToTheLeader)
{
  EvacuationWorld world;
  EXPECT_EQ(world.Order(world.control, "EVACUATE", "atlantis"), OutsideStatus::kInvalid);
  EXPECT_THAT(std::string(world.answer->body.at("reason").as_string()), HasSubstr("atlantis"));
  world.other.leaderHint = ProcessId("control-1");
  EXPECT_EQ(world.Order(world.other, "EVACUATE"), OutsideStatus::kNotLeader);
  EXPECT_EQ(world.answer->body.at("target").as_string(), kDomain.Get());
}

std::vector<std::string> HeadsIn(const FakeFleet& fleet, const std::string& prefix)
{
  std::vector<std::string> heads;
  for (const auto& [head, model] : fleet.Groups().ServingHeads()) {
    if (head.Get().starts_with(prefix)) {
      heads.push_back(head.Get());
    }
  }
  return heads;
}

// Guards against groups that are formed where they get no requests, and against loads of weights
// when a domain is used again.
TEST(Evacuation, KeepsTheGroupsOfTheDomainAndFormsNoFurtherOnesThere)
{
  FakeFleet fleet = ServingFleet();
  fleet.Add("e", 10, "evacuated-fabric");
  for (int number = 1; number <= 10; ++number) {
    fleet.At("e" + std::to_string(number)).self.failureDomain = kDomain;
  }
  SECTION("targets that appear during the evacuation form no groups")
  {
    fleet.SetEvacuated({ kDomain });
    fleet.demand["large"] = { 400, 400 * 1600.0, 400 * 100.0 };
    fleet.Run(seconds(60));
    EXPECT_THAT(HeadsIn(fleet, "e"), IsEmpty());
    fleet.SetEvacuated({});
    fleet.Run(seconds(60));
    EXPECT_THAT(HeadsIn(fleet, "e"), ::testing::Not(IsEmpty()));
  }
  SECTION("groups outlast an evacuation")
  {
    fleet.demand["large"] = { 400, 400 * 1600.0, 400 * 100.0 };
    fleet.Run(seconds(60));
    const std::vector<std::string> before = HeadsIn(fleet, "e");
    ASSERT_THAT(before, ::testing::Not(IsEmpty()));
    fleet.SetEvacuated({ kDomain });
    fleet.Run(seconds(30));
    fleet.SetEvacuated({});
    fleet.Run(seconds(1));
    EXPECT_THAT(HeadsIn(fleet, "e"), IsSupersetOf(before));
  }
  EXPECT_THAT(fleet.Violations(), IsEmpty());
}

} // namespace
} // namespace gooseberrysail::test
