#pragma once

#include "gooseberrysail/admission/admission.hpp"

#include <gtest/gtest.h>

namespace gooseberrysail::testing {

inline WorkspaceSpec Limits(double requestsPerSecond,
                            double tokensPerSecond = 0,
                            std::uint32_t maxConcurrent = 0)
{
  WorkspaceSpec spec;
  spec.requestsPerSecond = requestsPerSecond;
  spec.tokensPerSecond = tokensPerSecond;
  spec.maxConcurrent = maxConcurrent;
  return spec;
}

/// \brief An Admission under scripted time, whose requests end by Finish.
class AdmissionFixture
{
public:
  static WorkspaceId Registre() { return WorkspaceId("registre"); }
  static EntryName Model() { return EntryName("llm-drafting"); }

  AdmissionDecision Decide(const WorkspaceId& workspace = Registre(),
                           PriorityClass priorityClass = PriorityClass::kInteractive)
  {
    AdmissionQuery query;
    query.workspace = workspace;
    query.entry = Model();
    query.priorityClass = priorityClass;
    query.deadline = deadline;
    query.expectedTokens = expectedTokens;
    return admission.Decide(now, query);
  }

  void Finish(const WorkspaceId& workspace = Registre(),
              Duration took = std::chrono::seconds(1),
              std::uint32_t tokens = 100)
  {
    admission.OnFinished(now, workspace, Model(), took, tokens);
  }

  /// \brief Finishes 50 requests with this service time.
  void RecordServiceTime(Duration took)
  {
    for (int i = 0; i < 50; ++i) {
      ASSERT_TRUE(Decide(WorkspaceId("warm-up")).Admitted());
      Finish(WorkspaceId("warm-up"), took);
    }
  }

  Admission admission;
  TimePoint now{ std::chrono::hours(1) };
  Duration deadline = std::chrono::seconds(30);
  std::uint32_t expectedTokens = 0;
};

} // namespace gooseberrysail::testing
