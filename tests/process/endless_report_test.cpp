#include "support/memory_watch.hpp"
#include "support/section.hpp"
#include "support/serving_installation.hpp"

#include <algorithm>
#include <thread>

namespace gooseberrysail::test {
namespace {

using namespace std::chrono_literals;
using soak::ReportFault;

/// The memory of the machines on which control runs.
constexpr std::size_t kControlMemory = std::size_t{ 256 } * 1000 * 1000;
constexpr auto kQuestions = 4s; ///< In which control asks several times.
constexpr std::size_t kReplicas = 4;

constexpr const char* kModelConfig =
  R"({"version":1,"routes":[{"name":"r1","host":"hire.example","pathPrefix":"/a/","kind":"stream",)"
  R"("timeoutMs":3000,"service":"hall","maxAttempts":2}],)"
  R"("services":[{"name":"hall","healthPath":"/health","engine":{"slots":6,)"
  R"("kvCapacityTokens":100000,"kvTokenBytes":1000,"linkMbps":10000.0,"stride":5,"models":[)"
  R"({"name":"two","size":2,"share":1.0,"pace":1.0,"loadS":0.2,"warmS":0.1}],"step_ms":5.0,)"
  R"("per_seq_ms":0.1,"context_per_k":0.01,"read_per_s":40000.0,"pairs_per_m":0.4,"chunk":2048,)"
  R"("report_lag_ms":100.0,"loadsPerS":10.0,"loads_at_once":6,"usual":{"prompt":100,)"
  R"("answer":50},"retainCount":1,"far_x":3.0,"formMs":100.0}}],)"
  R"("tenants":[{"name":"t1","apiKeys":["key-of-t1"]}]})";

/// \brief An installation whose model replicas answer control's questions by a fault.
class FaultyReports
{
public:
  FaultyReports()
  {
    EXPECT_EQ(site.Put(kModelConfig), 200U);
    const auto board = std::make_shared<soak::GroupBoard>();
    for (std::size_t number = 0; number < kReplicas; ++number) {
      replicas.push_back(std::make_unique<soak::Replica>(
        "m" + std::to_string(number),
        std::vector<std::string>{ site.controlHttp },
        ledger,
        number,
        "hall",
        std::make_unique<soak::GroupMember>(std::vector<std::string>{ "two" }, board)));
    }
  }

  [[nodiscard]] bool HasOpenGroup() const
  {
    return WaitUntil(
      [&] {
        return std::ranges::any_of(replicas, [](const auto& each) { return each->IsNeeded(); });
      },
      PlatformInstallation::kTimeout);
  }

  /// \brief Lets a new leader ask replicas for groups that it didn't form.
  void RestartControl(const std::string& log)
  {
    site.control->Kill();
    site.control = site.Start("control", log);
    EXPECT_NE(site.control->WaitForLine("ProcessStarted", PlatformInstallation::kTimeout), "");
  }

  [[nodiscard]] bool HasQuestion() const
  {
    return WaitUntil(
      [&] {
        return std::ranges::any_of(replicas,
                                   [](const auto& each) { return each->FaultyReports() > 0; });
      },
      PlatformInstallation::kTimeout);
  }

  /// \brief The fewest descriptors that control has in a while, without short calls to it.
  [[nodiscard]] std::size_t Descriptors() const
  {
    std::size_t fewest = MeasureMemory(site.control->Pid(), {}).descriptors;
    for (int sample = 0; sample < 50; ++sample) {
      std::this_thread::sleep_for(2ms);
      fewest = std::min(fewest, MeasureMemory(site.control->Pid(), {}).descriptors);
    }
    return fewest;
  }

  PlatformInstallation site;
  soak::Ledger ledger;
  std::vector<std::unique_ptr<soak::Replica>> replicas;
};

/// \brief Expects that control stays within its memory and ends its calls under the fault.
void ExpectBounded(ReportFault fault)
{
  FaultyReports installation;
  ASSERT_TRUE(installation.HasOpenGroup());
  for (const auto& replica : installation.replicas) {
    replica->SetReportFault(fault);
  }
  const TemporaryFolder folder;
  installation.RestartControl(folder.Path() + "/control.out");
  const std::size_t usual = installation.Descriptors();
  ASSERT_TRUE(installation.HasQuestion());
  MemoryWatch watch(installation.site.control->Pid(), { installation.site.controlHttp });
  std::this_thread::sleep_for(kQuestions);
  watch.Stop();
  ::testing::Test::RecordProperty("bytes", std::to_string(watch.MostBytes()));
  EXPECT_TRUE(installation.site.control->Running());
  EXPECT_LE(watch.MostBytes(), kControlMemory);
  constexpr std::size_t kCallsToEach = 2;
  EXPECT_LE(installation.Descriptors(), usual + kCallsToEach * kReplicas);
  EXPECT_EQ(installation.site.CallControl("GET", "").status, 200U);
}

// Guards against a control process that keeps an answer without end until it runs out of memory.
TEST(EndlessReport, IsNotKeptByControl)
{
  SECTION("in chunks")
  {
    ExpectBounded(ReportFault::kEndlessChunks);
  }
  SECTION("of an announced length")
  {
    ExpectBounded(ReportFault::kEndlessBody);
  }
}

// Guards against calls of control that a replica keeps open for good.
TEST(EndlessReport, KeepsNoCallOpen)
{
  ExpectBounded(ReportFault::kSlow);
}

} // namespace
} // namespace gooseberrysail::test
