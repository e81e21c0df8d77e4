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
  Duration deadline{}; ///< Time left for the whole answer.
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
  Duration retryAfter{}; ///< When trying again can help; only with a refusal.
  [[nodiscard]] bool Admitted() const noexcept { return reason == RefusalReason::kNone; }
};

/// \brief Decides at arrival whether a request can be served in time; shares workspace limits with
/// the other entries through the shares that control hands out.
class Admission
{
public:
  explicit Admission(const AdmissionPolicy& policy = {});
  ~Admission();
  Admission(Admission&&) noexcept;

  /// \brief Takes over a workspace's catalogue limits.
  void SetLimits(const WorkspaceId& workspace, const WorkspaceSpec& limits);
  void RemoveWorkspace(const WorkspaceId& workspace);
  /// \brief This entry's part of a workspace's limits, from control.
  /// \remarks Before the first share the whole limits apply; when shares cease to arrive the last
  /// one stays in force and follows changes of the limits.
  void SetShare(TimePoint now,
                const WorkspaceId& workspace,
                double requestsPerSecond,
                double tokensPerSecond,
                std::uint32_t concurrent);
  /// \brief The open capacity known for a catalogue entry: slots over all candidates.
  void SetCapacity(const EntryName& entry, std::uint32_t slots);
  /// \brief Requests in flight from all senders, as Router::Load tells; call it about every tick.
  /// \remarks Without it only this entry's own requests count against the capacity.
  void SetOccupancy(const EntryName& entry, double inFlight);

  [[nodiscard]] AdmissionDecision Decide(TimePoint now, const AdmissionQuery& query);
  /// \brief When to come back, for a request that was admitted but that no group took.
  [[nodiscard]] Duration RetryAfter(TimePoint now, const EntryName& entry);
  /// \brief An admitted request ended.
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
    double demandPerSecond = 0; ///< Offered, admitted or not.
  };
  /// \brief What control needs to divide the limits anew.
  [[nodiscard]] std::vector<Usage> CurrentUsage(TimePoint now) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
