#pragma once

#include "placement/fleet.hpp"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrysail::impl {

/// \brief Estimates how long groups take to start serving, and tracks the weight store's budget.
class WeightLoads
{
public:
  /// \brief Records which groups load and which have started to serve.
  void Observe(const Fleet& fleet);

  /// \brief Number of groups that load now.
  [[nodiscard]] std::uint32_t CountRunning() const noexcept { return m_running; }
  /// \brief Number of further groups that may load within the policy's budget.
  [[nodiscard]] std::uint32_t CountLeft(const PolicySpec& policy) const noexcept;
  /// \brief Seconds since a group that doesn't serve yet was first observed to start.
  [[nodiscard]] double SecondsLoading(const Fleet& fleet, const FleetGroup& group) const;
  /// \brief Groups whose load was observed to start within the last seconds, the latest first.
  [[nodiscard]] std::vector<Row> RecentlyBegun(const Fleet& fleet) const;
  /// \brief Expected seconds from forming a group to serving when a member lacks the weights.
  [[nodiscard]] double LoadSeconds(const EntryName& entry) const;
  /// \brief Expected seconds from forming a group to serving when all members hold the weights.
  [[nodiscard]] double FormSeconds() const noexcept { return m_formSeconds; }
  /// \brief Expected seconds until a group serves again after its members returned with weights.
  [[nodiscard]] double ResumeSeconds() const noexcept { return m_resumeSeconds; }

private:
  struct Start
  {
    TimePoint at{};
    bool isLoad = false;
    bool isNew = false;           ///< First start after formation, not after an outage.
    bool isSeen = false;          ///< In the latest input.
    bool isStartObserved = false; ///< The start itself was observed.
  };

  void RecordStart(const Fleet& fleet, const FleetGroup& group);
  void RecordServing(const Fleet& fleet, const FleetGroup& group, const Start& start);

  std::unordered_map<std::uint64_t, Start> m_starts;     ///< By group.
  std::unordered_map<std::string, double> m_loadSeconds; ///< By entry.
  double m_formSeconds = 8;
  double m_resumeSeconds = 3;
  std::uint32_t m_running = 0;
  std::optional<TimePoint> m_lastCall;
};

/// \brief Whether a member of the group lacks the weights of the group's version.
[[nodiscard]] bool NeedsLoad(const Fleet& fleet, const FleetGroup& group);

} // namespace gooseberrysail::impl
