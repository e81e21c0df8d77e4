#pragma once

#include "gooseberrysail/placement/load_history.hpp"
#include "gooseberrysail/placement/model_work.hpp"

#include <cstddef>
#include <span>
#include <string>

namespace gooseberrysail {

/// \brief A model whose number of groups a move changes.
struct MovedModel
{
  const GroupModel* model = nullptr;
  double groups = 0;     ///< Before the move.
  double change = 0;     ///< Groups formed, or released if negative.
  double latestLoad = 0; ///< Offered load at present, in groups.
};

/// \brief Ends groups of one model to form groups of another.
struct ProposedMove
{
  MovedModel receiver;
  MovedModel donor;
  Duration duration{};      ///< From the order to end the groups until the new ones serve.
  bool isAfterLoss = false; ///< Groups of the receiver were lost lately.
};

/// \brief What a move gains and loses, in group-seconds of work.
struct MoveEstimate
{
  double gain = 0; ///< By which the move would pay off; see EstimateMove.
  double loss = 0;
  double gainPerSecond = 0; ///< At the present load.
  Duration duration{};
  Duration shortage{};  ///< For how long the move would have gained.
  Duration precedent{}; ///< The longest such time that has ended; zero without one.
  std::size_t samples = 0;

  [[nodiscard]] bool PaysOff() const noexcept { return gain > loss && gainPerSecond > 0; }
  /// \brief How long the new groups have to serve until they have made up for the loss.
  [[nodiscard]] Duration Payback() const;
};

/// \brief Weighs a move by the recent course of the load.
/// \remarks A move is worth its loss only if the shortage lasts. The history is read as if the
/// present groups had existed throughout, so that the whole of it speaks for a move after the loss
/// of a domain. Where earlier shortages have ended, as those of a wave do, the present one is
/// expected to last as long as the longest of them, and the gain is that of the time left when the
/// new groups serve. Without a precedent, or once the shortage has lasted much longer, the decision
/// is that of the ski rental problem: the shortage is borne until it has cost as much as the move
/// and the move back.
/// \param history The oldest sample first. A short one decides nothing, unless groups were lost.
[[nodiscard]] MoveEstimate EstimateMove(TimePoint now,
                                        const ProposedMove& move,
                                        std::span<const LoadSample> history);

/// \brief Time from the order to end a group until a group of other members serves in its place.
/// \param donor The model of the group that is ended.
/// \param receiver The model of the new group, whose weights the hosts hold.
[[nodiscard]] Duration MoveDuration(const EngineSpec& engine,
                                    const GroupModel& donor,
                                    const GroupModel& receiver);

/// \brief The longest MoveDuration between two models of the engine.
[[nodiscard]] Duration LongestMove(const EngineSpec& engine);

/// \brief Moves are weighed by the load of this many times their duration, which holds several
/// periods of a load that changes too quickly to be followed.
inline constexpr int kMovesInHistory = 10;

} // namespace gooseberrysail
