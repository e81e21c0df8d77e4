#include "gooseberrysail/admission/admission.hpp"
#include "support/section.hpp"

#include <gtest/gtest.h>

namespace gooseberrysail {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

WorkspaceSpec Limits(double requestsPerSecond, std::uint32_t maxConcurrent)
{
  WorkspaceSpec spec;
  spec.requestsPerSecond = requestsPerSecond;
  spec.maxConcurrent = maxConcurrent;
  return spec;
}

AdmissionQuery Query()
{
  AdmissionQuery query;
  query.workspace = WorkspaceId("registre");
  query.entry = EntryName("llm-drafting");
  query.deadline = seconds(30);
  return query;
}

TEST(Admission, LimitsRate)
{
  Admission admission;
  admission.SetLimits(WorkspaceId("registre"), Limits(2, 0));
  TimePoint now{ seconds(100) };
  EXPECT_TRUE(admission.Decide(now, Query()).Admitted());
  EXPECT_TRUE(admission.Decide(now, Query()).Admitted());

  const AdmissionDecision refused = admission.Decide(now, Query());
  EXPECT_EQ(refused.reason, RefusalReason::kWorkspaceRate);
  EXPECT_GE(refused.retryAfter, milliseconds(500));

  SECTION("the time told is enough")
  {
    EXPECT_TRUE(admission.Decide(now + refused.retryAfter, Query()).Admitted());
  }
}

TEST(Admission, LimitsConcurrency)
{
  Admission admission;
  admission.SetLimits(WorkspaceId("registre"), Limits(0, 1));
  const TimePoint now{ seconds(100) };
  EXPECT_TRUE(admission.Decide(now, Query()).Admitted());
  EXPECT_EQ(admission.Decide(now, Query()).reason, RefusalReason::kWorkspaceConcurrency);
  admission.OnFinished(now, WorkspaceId("registre"), EntryName("llm-drafting"), seconds(1), 10);
  EXPECT_TRUE(admission.Decide(now, Query()).Admitted());
}

} // namespace
} // namespace gooseberrysail
