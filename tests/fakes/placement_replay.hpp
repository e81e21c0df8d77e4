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
  double loadSeconds = 120;    ///< At the weight store's full rate.
  double formSeconds = 10;     ///< Until a new group serves whose members hold the weights.
  bool grantsPreloads = false; ///< Spares load when the planner wishes it.
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
  double deaths = 0;               ///< Gone for hours, back empty.
  double replaced = 0;             ///< Back after minutes, empty.
  double restarted = 0;            ///< Back after a minute or two, empty.
  double pauses = 0;               ///< Back within a minute, with weights.
  double rackOutages = 0;          ///< A rack of VMs at once, for minutes to an hour.
  double fabricOutages = 0;        ///< A fabric domain dark for a minute or so.
  double failureDomainOutages = 0; ///< A failure domain down for minutes to hours.
  double flapping = 0;             ///< A VM begins to come and go for an hour.
  double secondShare = 0.1;        ///< Outages after which a neighbour fails within minutes.
};

/// \brief One VM out of reach for a while.
struct ReplayOutage
{
  double from = 0;
  double to = 0;
  std::uint32_t vm = 0;
  bool keepsWeights = false;
};

/// \brief Draws the outages of a seed; the same for every policy.
[[nodiscard]] std::vector<ReplayOutage> DrawOutages(const ReplayFleet& fleet,
                                                    const ReplayRates& rates,
                                                    std::uint64_t seed);

/// \brief What one replay cost.
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

/// \brief Runs a planner against outages, with load times, leases and the log's delay.
/// \remarks A bench of decisions, not a cluster: no messages, no control leader, no requests.
[[nodiscard]] ReplayResult Replay(const ReplayFleet& fleet,
                                  const std::vector<ReplayOutage>& outages,
                                  PlacementPlanner planner,
                                  const std::function<double()>& clockMicros);

} // namespace gooseberrysail::fakes
