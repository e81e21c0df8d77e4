#include "soak/soak.hpp"

#include <gtest/gtest.h>

namespace gooseberrysail::soak {
namespace {

/// Seeds that run each time; each that ever failed is here for good, with its cause.
class Soak : public ::testing::TestWithParam<std::uint64_t>
{};

TEST_P(Soak, KeepsEveryPromise)
{
  SoakSettings settings;
  settings.daemon = std::string(GOOSEBERRYSAIL_BINARY_DIR) + "/gooseberrysaild";
  settings.seed = GetParam();
  const SoakReport report = RunSoak(settings);
  for (const std::string& violation : report.violations) {
    ADD_FAILURE() << violation;
  }
  EXPECT_GT(report.totals.answered, 100U) << report.outputs;
  if (HasFailure()) {
    for (const std::string& fault : report.faults) {
      std::cout << fault << "\n";
    }
    std::cout << report.outputs;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, Soak, ::testing::Values(1, 2));

} // namespace
} // namespace gooseberrysail::soak
