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

/// \brief An admission whose requests end when told.
class AdmissionWorld
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

  /// \brief Makes a service time known.
  void Learn(Duration took)
  {
    for (int i = 0; i < 50; ++i) {
      ASSERT_TRUE(Decide(WorkspaceId("teacher")).Admitted());
      Finish(WorkspaceId("teacher"), took);
    }
  }

  Admission admission;
  TimePoint now{ std::chrono::hours(1) };
  Duration deadline = std::chrono::seconds(30);
  std::uint32_t expectedTokens = 0;
};

} // namespace gooseberrysail::testing
