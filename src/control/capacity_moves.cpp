#include "gooseberrysail/control/capacity_moves.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

/// For this many times the duration of a move a lost group counts as the reason of a shortage.
constexpr int kMovesAfterLoss = 3;

} // namespace

void CapacityMoves::Clear()
{
  m_history.Clear();
  m_moves.clear();
  m_lostAt.clear();
}

void CapacityMoves::OnGroupLost(TimePoint now, const std::string& model)
{
  m_moves.clear();
  m_lostAt[model] = now;
}

std::vector<std::string> CapacityMoves::ListLossy(TimePoint now, const EngineSpec& engine) const
{
  std::vector<std::string> models;
  for (const auto& [model, at] : m_lostAt) {
    if (now - at <= LongestMove(engine) * kMovesAfterLoss) {
      models.push_back(model);
    }
  }
  return models;
}

void CapacityMoves::RecordLoads(TimePoint now,
                                const EngineSpec& engine,
                                std::span<const ModelNeed> needs)
{
  std::map<std::string, double, std::less<>> loads;
  for (const ModelNeed& need : needs) {
    loads.emplace(need.model->name, need.offeredLoad);
  }
  const bool hasDemand =
    std::ranges::any_of(needs, [](const ModelNeed& need) { return need.offeredLoad > 0; });
  if (hasDemand || !m_history.Samples().empty()) {
    m_history.Record(now, LongestMove(engine) * kMovesInHistory, std::move(loads));
  }
}

void CapacityMoves::RecordMove(TimePoint now, const RecentMove& move, const MoveEstimate& estimate)
{
  m_moves[{ move.donor, move.receiver }] = now + estimate.duration + estimate.Payback();
}

std::vector<RecentMove> CapacityMoves::ListRecent(TimePoint now)
{
  std::erase_if(m_moves, [&](const auto& move) { return move.second <= now; });
  std::vector<RecentMove> recent;
  for (const auto& [models, paidAt] : m_moves) {
    recent.push_back({ models.first, models.second });
  }
  return recent;
}

} // namespace gooseberrysail
