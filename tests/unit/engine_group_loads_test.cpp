#include "fakes/fake_fleet.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using fakes::AnyMember;
using fakes::FakeFleet;
using fakes::ServingFleet;
using fakes::TwoModelDocument;
using ::testing::IsEmpty;

std::ptrdiff_t CountLoadOrders(const FakeFleet& fleet, const std::string& target)
{
  return std::ranges::count_if(fleet.Orders(), [&](const GroupOrder& order) {
    return order.kind == GroupOrderKind::kStage && order.target.Get() == target;
  });
}

// Guards against counting a host that refused a load as loading.
TEST(EngineGroupLoads, ARefusedLoadIsOrderedAgain)
{
  FakeFleet fleet = ServingFleet();
  const std::string cold = AnyMember(fleet, "large");
  fleet.Restart(cold);
  fleet.At(cold).isLoading = true;
  fleet.Run(4s);
  const auto refused = CountLoadOrders(fleet, cold);
  ASSERT_GE(refused, 1);
  fleet.At(cold).isLoading = false;
  fleet.Run(16s); // The duration of a load.
  EXPECT_GT(CountLoadOrders(fleet, cold), refused);
}

// Guards against applying the answer to a load of an earlier term to the current load.
TEST(EngineGroupLoads, AnAnswerToAnEarlierOrderDoesNotAffectALoad)
{
  FakeFleet fleet = ServingFleet();
  const std::string cold = AnyMember(fleet, "large");
  fleet.Restart(cold);
  fleet.Run(2s);
  const auto isLoad = [&](const GroupOrder& order) {
    return order.kind == GroupOrderKind::kStage && order.target.Get() == cold;
  };
  const auto found = std::ranges::find_if(fleet.Orders(), isLoad);
  ASSERT_NE(found, fleet.Orders().end());
  const GroupOrder former = *found;
  fleet.At(cold).isLoading = false;
  const auto before = CountLoadOrders(fleet, cold);
  fleet.ChangeLeader(false);
  fleet.Run(1500ms);
  const auto ordered = CountLoadOrders(fleet, cold);
  ASSERT_EQ(ordered, before + 1);
  for (const OrderOutcome outcome : { OrderOutcome::kRefused, OrderOutcome::kNoTarget }) {
    fleet.Groups().OnOrderOutcome(fleet.now, former, outcome);
  }
  fleet.Run(10s);
  EXPECT_EQ(CountLoadOrders(fleet, cold), ordered);
}

// Guards against so many concurrent loads that they slow one another down and complete no group.
TEST(EngineGroupLoads, NoMoreConcurrentLoadsThanTheStoreServes)
{
  ServingDocument document = TwoModelDocument();
  document.services[0].engine->loadsAtOnce = 6;
  FakeFleet fleet = ServingFleet(document);
  fleet.demand["large"] = { 29, 29 * 1600.0, 29 * 100.0 };
  fleet.demand["small"] = { 60, 60 * 714.0, 60 * 146.0 };
  for (int i = 1; i <= 10; ++i) {
    fleet.Restart("a" + std::to_string(i));
    fleet.Restart("b" + std::to_string(i));
  }
  fleet.Run(60s);
  EXPECT_LE(fleet.MaxConcurrentLoads(), 6U);
  EXPECT_GE(fleet.CountServing("large"), 2U);
  EXPECT_THAT(fleet.Violations(), IsEmpty());
}

} // namespace
} // namespace gooseberrysail
