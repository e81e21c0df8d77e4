#pragma once

#include "gooseberrysail/control/context.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrysail {

/// \brief Divides a limit by demand (max-min fairness): no demand is exceeded while another is not
/// met, and the remainder is spread evenly.
/// \returns A part for each demand; the parts sum up to the limit.
/// \code
/// DivideByDemand(10, std::array{ 2.0, 20.0 }); // { 2, 8 }
/// \endcode
[[nodiscard]] std::vector<double> DivideByDemand(double limit, std::span<const double> demands);

/// \brief Divides a whole number in proportion to parts; the results sum up to the number.
[[nodiscard]] std::vector<std::uint32_t> DivideWhole(std::uint32_t limit,
                                                     std::span<const double> parts);

/// \brief Divides each workspace's limits among the entries by their callers' demand.
class UsageShares
{
public:
  void OnLeaderStart() { *this = UsageShares(); }
  void OnReport(const ControlContext& context,
                const ProcessId& peer,
                const wire::UsageReportT& report);
  void Tick(ControlContext& context);

  static constexpr Duration kShareInterval = std::chrono::seconds(1);
  /// \brief A silent entry may still be using its share, so the share stays reserved this long.
  static constexpr Duration kReservedFor = std::chrono::seconds(10);

private:
  struct Reporter
  {
    TimePoint lastReport{};
    std::unordered_map<std::string, double> demand;
  };

  std::unordered_map<ProcessId, Reporter> m_reporters;
  TimePoint m_nextShare{};
};

} // namespace gooseberrysail
