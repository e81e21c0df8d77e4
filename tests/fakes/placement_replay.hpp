#pragma once

#include "gooseberrysail/placement/planner.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace gooseberrysail::fakes {

/// \brief A fleet of one model on equal fabric domains.
struct ReplayFleet
{
  std::string name;
  std::uint32_t failureDomains = 3;
  std::uint32_t fabricsPerFailureDomain = 1;
  std::uint32_t vmsPerFabric = 42;
  std::uint32_t replicas = 30;
  std::uint32_t acceleratorsPerVm = 2;
  PolicySpec policy;
  double loadSeconds = 120;    ///< Load time at the weight store's full rate.
  double formSeconds = 10;     ///< Start time of a new group whose members hold the weights.
  bool grantsPreloads = false; ///< Spares load weights when the planner requests it.
  double days = 30;

  [[nodiscard]] std::uint32_t CountFabrics() const
  {
    return failureDomains * fabricsPerFailureDomain;
  }
  [[nodiscard]] std::uint32_t CountVms() const { return CountFabrics() * vmsPerFabric; }
};

/// \brief Failures per day for the whole fleet.
struct ReplayRates
{
  double deaths = 0;               ///< Away for hours, back without weights.
  double replaced = 0;             ///< Back after minutes without weights.
  double restarted = 0;            ///< Back after a minute or two without weights.
  double pauses = 0;               ///< Back within a minute, with weights.
  double rackOutages = 0;          ///< A rack of VMs at once, for minutes to an hour.
  double fabricOutages = 0;        ///< A fabric domain unreachable for about a minute.
  double failureDomainOutages = 0; ///< A failure domain down for minutes to hours.
  double flapping = 0;             ///< A VM with repeated short outages for an hour.
  double secondShare = 0.1;        ///< Share of outages after which another VM of the fabric domain
                                   ///< fails within minutes.
};

/// \brief One outage of one VM, in seconds from the start.
struct ReplayOutage
{
  double from = 0;
  double to = 0;
  std::uint32_t vm = 0;
  bool keepsWeights = false;
};

/// \brief Generates random outages; equal seeds give equal outages.
[[nodiscard]] std::vector<ReplayOutage> DrawOutages(const ReplayFleet& fleet,
                                                    const ReplayRates& rates,
                                                    std::uint64_t seed);

/// \brief Result of one replay.
struct ReplayResult
{
  double downSeconds = 0;     ///< Wanted groups that didn't serve, times seconds.
  double strandedSeconds = 0; ///< Healthy accelerators that served nothing, times seconds.
  std::uint64_t formed = 0;
  std::uint64_t ended = 0; ///< Groups dissolved or drained.
  std::vector<double> planMicros;

  [[nodiscard]] double Cost(const PolicySpec& policy) const
  {
    return policy.downtimeWeight * downSeconds + policy.strandedWeight * strandedSeconds;
  }
};

/// \brief Simulates a planner with these outages, with load times, leases and the log's delay.
/// \remarks Evaluates the planner's decisions only: there are no messages, control leader or
/// requests.
[[nodiscard]] ReplayResult Replay(const ReplayFleet& fleet,
                                  const std::vector<ReplayOutage>& outages,
                                  PlacementPlanner planner,
                                  const std::function<double()>& clockMicros);

} // namespace gooseberrysail::fakes
