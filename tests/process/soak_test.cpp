#include "soak/soak.hpp"
#include "support/child_process.hpp"

#include <csignal>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

namespace gooseberrysail::soak {
namespace {

using namespace std::chrono_literals;

/// Runs the soak with fixed seeds. A seed that fails is added to them permanently, with its cause.
class Soak : public ::testing::TestWithParam<std::uint64_t>
{};

TEST_P(Soak, HasNoViolations)
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

// Guards against soaks that end without a message: three that ran in parallel ended at once when
// the shell that had started them ended, and nothing showed which signal had ended them.
TEST(SoakProgram, ReportsTheSignalThatEndedIt)
{
  const test::TemporaryFolder folder;
  const std::string binaries = GOOSEBERRYSAIL_BINARY_DIR;
  const std::string output = folder.Path() + "/output";
  test::ChildProcess soak(
    { binaries + "/soak", "--daemon", binaries + "/gooseberrysaild", "--seconds", "60" }, output);
  ASSERT_NE(soak.WaitForLine("seed 1 starts", 10s), "");
  soak.Signal(SIGTERM);
  const int status = soak.WaitForExit(40s);
  EXPECT_TRUE(WIFEXITED(status)) << status;
  EXPECT_EQ(WEXITSTATUS(status), 128 + SIGTERM);
  EXPECT_NE(soak.Output().find("ended by signal " + std::to_string(SIGTERM) + " of process " +
                               std::to_string(getpid()) + " in seed 1"),
            std::string::npos)
    << soak.Output();
}

INSTANTIATE_TEST_SUITE_P(Seeds, Soak, ::testing::Values(1, 2));

} // namespace
} // namespace gooseberrysail::soak
