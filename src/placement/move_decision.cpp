#include "gooseberrysail/placement/move_decision.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

/// A group is empty when the longest of its requests ends. Output lengths are spread about as
/// widely as their mean, so that the longest of a full group takes some two times the usual one.
constexpr int kLongestOutput = 2;
/// A shortage that has lasted this many times longer than its precedents is unlike them.
constexpr double kUnlikePrecedent = 1.5;
/// A move for a shortage that ends is undone, which costs about as much again.
constexpr double kMoveAndBack = 2;
/// With less history than this many times a move's duration, a shortage may be a period of a load
/// that has not shown its course yet.
constexpr int kMinMovesInHistory = kMovesInHistory / 2;
/// A sample says nothing of a longer time, in which no plans were made.
constexpr Duration kLongestSample = 5 * LoadHistory::kInterval;
/// The opposite of a move isn't made for at most this many times its duration.
constexpr int kMaxPayback = 3;

double Seconds(Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

double LoadOf(const LoadSample& sample, const MovedModel& moved)
{
  const auto found = sample.loads.find(moved.model->name);
  return found == sample.loads.end() ? 0 : found->second;
}

/// Proportional fairness: the logarithm of the served fraction, weighted by the offered load, as in
/// the choice of the model that gets the next group.
double Utility(double load, double groups)
{
  return load * LogServedFraction(groups, load);
}

double GainOf(const MovedModel& moved, double load)
{
  return Utility(load, moved.groups + moved.change) - Utility(load, moved.groups);
}

/// What the history says of a move, as if the present groups had existed throughout.
struct HistorySummary
{
  Duration length{};       ///< Of the history.
  Duration shortage{};     ///< The present time in which the move would have gained.
  double shortageCost = 0; ///< What was lost in it, in group-seconds.
  Duration longestEnded{}; ///< The longest such time that has ended.
  double gain = 0;         ///< Mean by second.
  double donorLoss = 0;    ///< What the donor would have lost, mean by second.
  double shortageLoss = 0; ///< Likewise, in the present shortage.
  double surplus = 0;      ///< Lost by the move when there was no shortage, mean by second.
};

HistorySummary Summarize(TimePoint now,
                         const ProposedMove& move,
                         std::span<const LoadSample> history)
{
  HistorySummary summary;
  double donorLoss = 0;
  double surplus = 0;
  double sumOfGains = 0;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const TimePoint until = i + 1 < history.size() ? history[i + 1].at : now;
    const Duration step = std::min(until - history[i].at, kLongestSample);
    const double donorGain = GainOf(move.donor, LoadOf(history[i], move.donor));
    const double gain = GainOf(move.receiver, LoadOf(history[i], move.receiver)) + donorGain;
    summary.length += step;
    donorLoss -= donorGain * Seconds(step);
    sumOfGains += gain * Seconds(step);
    if (gain > 0) {
      summary.shortage += step;
      summary.shortageCost += gain * Seconds(step);
      summary.shortageLoss -= donorGain * Seconds(step);
    } else {
      surplus -= gain * Seconds(step);
      summary.longestEnded = std::max(summary.longestEnded, summary.shortage);
      summary.shortage = Duration::zero();
      summary.shortageCost = 0;
      summary.shortageLoss = 0;
    }
  }
  if (summary.length > Duration::zero()) {
    summary.gain = sumOfGains / Seconds(summary.length);
    summary.donorLoss = donorLoss / Seconds(summary.length);
    summary.surplus = surplus / Seconds(summary.length);
  }
  if (summary.shortage > Duration::zero()) {
    summary.shortageLoss /= Seconds(summary.shortage);
  }
  return summary;
}

} // namespace

Duration MoveEstimate::Payback() const
{
  const double seconds = gainPerSecond > 0 ? loss / gainPerSecond : 0;
  return std::chrono::duration_cast<Duration>(std::min(
    std::chrono::duration<double>(seconds), std::chrono::duration<double>(duration * kMaxPayback)));
}

MoveEstimate EstimateMove(TimePoint now,
                          const ProposedMove& move,
                          std::span<const LoadSample> history)
{
  const HistorySummary summary = Summarize(now, move, history);
  const double donorLoss = -GainOf(move.donor, move.donor.latestLoad);
  const double seconds = Seconds(move.duration);
  MoveEstimate estimate;
  estimate.gainPerSecond = GainOf(move.receiver, move.receiver.latestLoad) - donorLoss;
  estimate.duration = move.duration;
  estimate.shortage = summary.shortage;
  estimate.precedent = summary.longestEnded;
  estimate.samples = history.size();
  const bool isLikePrecedent =
    summary.longestEnded > Duration::zero() &&
    Seconds(summary.shortage) <= kUnlikePrecedent * Seconds(summary.longestEnded);
  const double meanLoss = std::max({ 0.0, donorLoss, summary.donorLoss }) * seconds;
  if (move.isAfterLoss) {
    // A lost group is formed again when other targets have loaded its weights, whatever the load
    // is.
    const Duration left = move.receiver.model->loadTime - move.duration;
    estimate.gain = summary.gain * std::max(0.0, Seconds(left));
    estimate.loss = meanLoss;
  } else if (isLikePrecedent) {
    const Duration left = summary.longestEnded - summary.shortage - move.duration;
    estimate.gain = estimate.gainPerSecond * std::max(0.0, Seconds(left));
    // The donor's load may be in the trough of its wave. The surplus is lost until the move is
    // undone.
    estimate.loss = meanLoss + summary.surplus * seconds;
  } else {
    estimate.loss = std::max({ 0.0, donorLoss, summary.shortageLoss }) * seconds;
    const bool isKnown = summary.length >= move.duration * kMinMovesInHistory;
    estimate.gain = isKnown ? summary.shortageCost / kMoveAndBack : 0;
  }
  return estimate;
}

Duration MoveDuration(const EngineSpec& engine, const GroupModel& donor, const GroupModel& receiver)
{
  const double steps = engine.usualOutputTokens / std::max(engine.tokensPerEvent, 1U);
  const std::chrono::duration<double> drain =
    std::chrono::duration<double>(FullStep(engine, donor)) * steps * kLongestOutput;
  return std::chrono::duration_cast<Duration>(drain) + receiver.warmTime + engine.openTime;
}

Duration LongestMove(const EngineSpec& engine)
{
  Duration longest{};
  for (const GroupModel& donor : engine.models) {
    for (const GroupModel& receiver : engine.models) {
      longest = std::max(longest, MoveDuration(engine, donor, receiver));
    }
  }
  return longest;
}

} // namespace gooseberrysail
