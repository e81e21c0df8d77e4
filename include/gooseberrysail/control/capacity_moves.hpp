#pragma once

#include "gooseberrysail/placement/pool_plan.hpp"

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrysail {

/// \brief What the leader remembers for the moves of targets between models: the recent loads, and
/// the moves that have not paid off yet.
class CapacityMoves
{
public:
  /// \brief Forgets everything, at the start of a leader's term.
  void Clear();

  /// \brief Records the loads of a service's models.
  void RecordLoads(TimePoint now, const EngineSpec& engine, std::span<const ModelNeed> needs);

  /// \brief A move began; its opposite isn't planned until it has paid off.
  void RecordMove(TimePoint now, const RecentMove& move, const MoveEstimate& estimate);

  /// \brief Capacity was lost, so that the balance of earlier moves no longer holds.
  void OnGroupLost(TimePoint now, const std::string& model);

  /// \brief The models that lost a group within the time of a few moves.
  [[nodiscard]] std::vector<std::string> ListLossy(TimePoint now, const EngineSpec& engine) const;

  [[nodiscard]] std::span<const LoadSample> History() const noexcept { return m_history.Samples(); }

  /// \brief The moves that have not paid off yet.
  [[nodiscard]] std::vector<RecentMove> ListRecent(TimePoint now);

private:
  LoadHistory m_history;
  std::map<std::string, TimePoint> m_lostAt;                        ///< The latest loss, by model.
  std::map<std::pair<std::string, std::string>, TimePoint> m_moves; ///< When they have paid off.
};

} // namespace gooseberrysail
