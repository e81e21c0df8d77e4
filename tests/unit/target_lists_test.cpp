#include "gooseberrysail/gateway/target_selector.hpp"

#include <gmock/gmock.h>
#include <vector>

namespace gooseberrysail {
namespace {

using ::testing::IsEmpty;

std::vector<ServedTarget> ListOf(Incarnation born)
{
  ServedTarget target{
    InstanceId("p1"), "portal", "p1:80", FailureDomainId("a"), 6, false, "", born
  };
  return { target };
}

// Guards against requests that are taken from a target that didn't restart: a new leader's first
// list names the target's former start, and its next one the present start again.
TEST(TargetLists, AnOutdatedStartIsNoRestart)
{
  const TimePoint now{ std::chrono::hours(1) };
  const Incarnation present(2);
  TargetSelector selector(FailureDomainId("a"), [] { return 0; });
  selector.Replace(now, ListOf(present));
  const TargetIncarnation target{ InstanceId("p1"), present };
  selector.OnSent(now, target);
  selector.Replace(now, ListOf(Incarnation(1)));
  EXPECT_THAT(selector.Replace(now, ListOf(present)), IsEmpty());
  EXPECT_EQ(selector.Rows().at(target.instance).inFlight, 1U);
}

} // namespace
} // namespace gooseberrysail
