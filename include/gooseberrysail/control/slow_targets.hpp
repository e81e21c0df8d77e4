#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <map>
#include <vector>

namespace gooseberrysail {

/// \brief Targets that reported that they work slowly, until they report otherwise.
class SlowTargets
{
public:
  /// \brief From this factor on a target is slow: one member at half speed halves its group.
  static constexpr double kSlow = 2;
  /// \brief From this factor on whatever a target has ends late: the pauses between events of a
  /// full group, 33 to 55 ms, become longer than the 200 to 300 ms that callers allow.
  static constexpr double kUseless = 4;
  /// \brief A slow target is asked again this often; slow spells last some seconds.
  static constexpr Duration kAskAgain = std::chrono::milliseconds(1500);

  /// \brief A target reported its pace: the factor on its usual times.
  /// \returns Whether it became slow or sound.
  bool Note(TimePoint now, const InstanceId& target, double pace);

  /// \brief The factor on its usual times; 1 for a target that is not known to be slow.
  [[nodiscard]] double PaceOf(const InstanceId& target) const;

  [[nodiscard]] bool IsSlow(const InstanceId& target) const { return m_rows.contains(target); }

  /// \brief Slow targets that should be asked again, which counts as done.
  [[nodiscard]] std::vector<InstanceId> TakeDue(TimePoint now);

  /// \brief Drops targets that are no more.
  void Forget(const TargetTable& targets);

  void Forget(const InstanceId& target) { m_rows.erase(target); }

  void Clear() { m_rows.clear(); }

private:
  struct Row
  {
    double pace = 1;
    TimePoint askedAt{};
  };

  std::map<InstanceId, Row> m_rows;
};

} // namespace gooseberrysail
