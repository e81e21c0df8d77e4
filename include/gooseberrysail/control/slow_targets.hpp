#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <map>
#include <vector>

namespace gooseberrysail {

/// \brief The targets whose latest reported pace is slow.
class SlowTargets
{
public:
  /// \brief Pace from which a target counts as slow: one member at half speed halves the speed of
  /// its group.
  static constexpr double kSlowPace = 2;
  /// \brief Pace from which all answers of a target are late: the intervals between events of a
  /// full group, 33 to 55 ms, grow to the 200 to 300 ms that callers allow.
  static constexpr double kUnusablePace = 4;
  /// \brief Interval at which a slow target is probed; slow periods last some seconds.
  static constexpr Duration kSlowProbeInterval = std::chrono::milliseconds(1500);

  /// \brief Records a target's pace: the factor by which its work takes longer than usual.
  /// \returns Whether the target became slow or stopped being slow.
  bool Record(TimePoint now, const InstanceId& target, double pace);

  /// \brief The reported pace; 1 for a target that is not known to be slow.
  [[nodiscard]] double PaceOf(const InstanceId& target) const;

  [[nodiscard]] bool IsSlow(const InstanceId& target) const { return m_rows.contains(target); }

  /// \brief Returns the slow targets that are due for a probe, and records them as probed now.
  [[nodiscard]] std::vector<InstanceId> TakeDue(TimePoint now);

  /// \brief Drops targets that left or are no longer in the table.
  void Forget(const TargetTable& targets);

  void Forget(const InstanceId& target) { m_rows.erase(target); }

  void Clear() { m_rows.clear(); }

private:
  struct Row
  {
    double pace = 1;
    TimePoint probedAt{};
  };

  std::map<InstanceId, Row> m_rows;
};

} // namespace gooseberrysail
