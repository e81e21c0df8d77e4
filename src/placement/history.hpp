#pragma once

#include "gooseberrysail/placement/planner.hpp"
#include "placement/return_times.hpp"
#include "placement/rows.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gooseberrysail::impl {

/// \brief What else was lost with a VM: outages of different spans last differently long.
enum class OutageSpan : std::uint8_t
{
  kAlone, ///< The VM by itself.
  kPart,  ///< A part of its fabric domain, such as a rack.
  kWhole, ///< Nearly its whole fabric domain.
};
inline constexpr std::size_t kOutageSpans = 3;

/// \brief What the planner remembers of a VM.
struct VmHistory
{
  VmId vm;
  FabricDomainId fabricDomain;
  Row fabric = kNoRow;
  std::string weights; ///< What it held when last reached.
  bool isAway = false;
  OutageSpan span = OutageSpan::kAlone;
  double weight = 1; ///< Of this outage in the statistics: those lost together count as one.
  TimePoint awaySince{};
  TimePoint countedUntil{}; ///< Up to here the outage is in the statistics.
  std::optional<TimePoint> returnedAt;
  std::vector<TimePoint> outages; ///< Recent ones that struck it alone.
  std::optional<TimePoint> stragglesSince;
  TimePoint doubtfulUntil{}; ///< Until then other VMs are taken first.
};

/// \brief Learns from each call's input how VMs go away and come back.
class History
{
public:
  History();

  /// \brief Notes what changed since the last call.
  void Observe(TimePoint now, const PlannerInput& input);

  /// \brief Row of a VM in the latest input; kNoRow when it isn't there.
  [[nodiscard]] Row Find(const VmId& vm) const;
  [[nodiscard]] const VmHistory& At(Row vm) const { return m_vms[vm]; }
  [[nodiscard]] std::size_t CountVms() const noexcept { return m_vms.size(); }
  [[nodiscard]] std::size_t CountFabrics() const noexcept { return m_fabrics.size(); }

  /// \brief Whether a VM that went away again and again is kept out of groups for a while.
  [[nodiscard]] bool IsQuarantined(Row vm, TimePoint now) const;
  /// \brief Outages per second to expect of a VM that keeps going away; 0 for others.
  [[nodiscard]] double FlapRate(Row vm, TimePoint now) const;
  /// \brief Prefers other VMs to these for a while.
  void Doubt(Row vm, TimePoint until) { m_vms[vm].doubtfulUntil = until; }

  /// \brief Chance that a VM that is away now is still away after `wait` seconds.
  [[nodiscard]] double StillAway(Row vm, TimePoint now, double wait) const;
  /// \brief Chance that a VM that is away now holds its weights if it returns at this age.
  [[nodiscard]] double KeepsWeights(Row vm, double age) const;
  /// \brief How long outages of this span last.
  [[nodiscard]] const ReturnTimes& Times(OutageSpan span) const noexcept
  {
    return m_times[static_cast<std::size_t>(span)];
  }
  /// \brief Outages per VM and second, of those that strike one VM.
  [[nodiscard]] double OutageRate() const noexcept { return m_outages / m_vmSeconds; }

private:
  void Align(const PlannerInput& input);
  void NoteAway(TimePoint now, Row row, const VmView& view);
  void NoteTogether(const VmHistory& history);
  void NoteReturn(TimePoint now, VmHistory& history, const VmView& view);
  [[nodiscard]] ReturnTimes& TimesOf(const VmHistory& history) noexcept
  {
    return m_times[static_cast<std::size_t>(history.span)];
  }
  void CountAway(VmHistory& history, TimePoint until);
  void NoteStraggling(TimePoint now, VmHistory& history, const VmView& view) const;

  std::vector<VmHistory> m_vms; ///< In the order of the input.
  std::unordered_map<std::string, Row> m_rows;
  std::unordered_map<std::string, Row> m_fabrics;
  std::vector<std::vector<Row>> m_lostLately; ///< By fabric row: VMs lost within the window.
  std::vector<std::size_t> m_fabricSizes;     ///< By fabric row.
  std::array<ReturnTimes, kOutageSpans> m_times;
  double m_outages;
  double m_vmSeconds;
  std::optional<TimePoint> m_lastCall;
};

} // namespace gooseberrysail::impl
