#include "fakes/fake_gateways.hpp"
#include "support/section.hpp"

#include <gtest/gtest.h>

namespace gooseberrysail {
namespace {

using namespace std::chrono_literals;
using fakes::FakeGateways;

constexpr Duration kContact = 3s; ///< Within it entries and control follow their callers.
constexpr Duration kInterval = 50ms;
constexpr double kLeastShare = 0.75; ///< Of what was served before.

/// \brief Sends `requestsASecond` distinct requests, of which `percent` go to the first entry.
/// \returns The share that was served.
double Serve(FakeGateways& fleet,
             const std::string& name,
             Duration duration,
             std::size_t requestsASecond,
             unsigned percent)
{
  std::size_t asked = 0;
  const TimePoint until = fleet.now + duration;
  while (fleet.now < until) {
    for (std::size_t request = 0; request < requestsASecond / 20; ++request) {
      const bool toFirst = fleet.Draw(100) < percent;
      const std::size_t entry = toFirst ? 0 : fleet.Draw(fleet.CountEntries());
      fleet.Ask(entry, { .body = name + std::to_string(++asked) });
    }
    fleet.Run(kInterval);
  }
  fleet.Run(1s);
  return static_cast<double>(fleet.CountServed(name)) / static_cast<double>(asked);
}

void ExpectServedAsBefore(std::size_t entries, std::size_t heads, std::size_t requestsASecond)
{
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    SECTION("seed " + std::to_string(seed))
    {
      FakeGateways fleet(entries, heads, seed);
      Serve(fleet, "start ", 4s, requestsASecond, 0);
      const double before = Serve(fleet, "before ", 3s, requestsASecond, 0);
      Serve(fleet, "shift ", kContact - 1s, requestsASecond, 90);
      const double after = Serve(fleet, "after ", 4s, requestsASecond, 90);
      EXPECT_GE(after, kLeastShare * before);
    }
  }
}

// Guards against requests that are refused beside free heads, as most callers come to one entry.
TEST(SkewedEntries, ServeMostCallersThroughOne)
{
  SECTION("one of five entries")
  {
    ExpectServedAsBefore(5, 12, 200);
  }
  SECTION("one of fifty entries")
  {
    ExpectServedAsBefore(50, 40, 800);
  }
}

} // namespace
} // namespace gooseberrysail
