#pragma once

#include "gooseberrysail/admission/policy.hpp"
#include "gooseberrysail/catalogue/entry.hpp"
#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrysail {

struct AdmissionQuery
{
  WorkspaceId workspace;
  EntryName entry;
  PriorityClass priorityClass = PriorityClass::kStandard;
  Duration deadline{}; ///< Time allowed for the whole answer.
  std::uint32_t expectedTokens = 0;
};

enum class RefusalReason
{
  kNone,
  kWorkspaceRate,
  kWorkspaceConcurrency,
  kOverload, ///< The expected wait is longer than the deadline allows or the queue bound is
             ///< reached.
};

struct AdmissionDecision
{
  RefusalReason reason = RefusalReason::kNone;
  Duration retryAfter{}; ///< Wait before a retry can succeed; only with a refusal.
  [[nodiscard]] bool Admitted() const noexcept { return reason == RefusalReason::kNone; }
};

/// \brief Decides on arrival whether a request can be served in time. Workspace limits are divided
/// among the entries by the shares that control assigns.
class Admission
{
public:
  explicit Admission(const AdmissionPolicy& policy = {});
  ~Admission();
  Admission(Admission&&) noexcept;

  /// \brief Sets a workspace's limits from the catalogue.
  void SetLimits(const WorkspaceId& workspace, const WorkspaceSpec& limits);
  void RemoveWorkspace(const WorkspaceId& workspace);
  /// \brief Sets this entry's share of a workspace's limits, as assigned by control.
  /// \remarks Before the first share the whole limits apply. When no more shares arrive the last
  /// one stays in force, as a fraction of the limits.
  void SetShare(TimePoint now,
                const WorkspaceId& workspace,
                double requestsPerSecond,
                double tokensPerSecond,
                std::uint32_t concurrent);
  /// \brief Sets the capacity of a catalogue entry: the slots of all its candidates.
  void SetCapacity(const EntryName& entry, std::uint32_t slots);
  /// \brief Sets the requests in flight from all entries, as in Router::Load; call it each tick.
  /// \remarks Without it only this entry's own requests count against the capacity.
  void SetOccupancy(const EntryName& entry, double inFlight);

  [[nodiscard]] AdmissionDecision Decide(TimePoint now, const AdmissionQuery& query);
  /// \brief The wait before a retry of a request that was admitted but that no group accepted.
  [[nodiscard]] Duration RetryAfter(TimePoint now, const EntryName& entry);
  /// \brief Accounts for the end of an admitted request.
  /// \param serviceTime From its admission to its end; zero when it did not run.
  void OnFinished(TimePoint now,
                  const WorkspaceId& workspace,
                  const EntryName& entry,
                  Duration serviceTime,
                  std::uint32_t tokens);

  struct Usage
  {
    WorkspaceId workspace;
    std::uint64_t requests = 0;
    std::uint64_t tokens = 0;
    double demandPerSecond = 0; ///< Rate of arriving requests, admitted or not.
  };
  /// \brief The usage and demand by which control divides the limits.
  [[nodiscard]] std::vector<Usage> CurrentUsage(TimePoint now) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
