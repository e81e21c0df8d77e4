#include "gooseberrysail/placement/model_work.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrysail {

namespace {

/// Lower bound of the served fraction, as the logarithm of zero is not finite.
constexpr double kMinServedFraction = 0.05;

} // namespace

double OfferedLoad(const EngineSpec& engine, const GroupModel& model, const ModelDemand& demand)
{
  const double slots = std::max(engine.slots, 1U);
  const double reading =
    engine.promptTokensPerSecond > 0 ? demand.promptTokens / engine.promptTokensPerSecond : 0;
  const double step = std::chrono::duration<double>(engine.stepTime).count();
  const double perRequest = std::chrono::duration<double>(engine.stepTimePerRequest).count();
  const double writing = demand.outputTokens * (step / slots + perRequest);
  return model.pace * (reading + writing);
}

double RequiredGroups(double offeredLoad)
{
  return offeredLoad + kStaffingFactor * std::sqrt(offeredLoad);
}

Duration FullStep(const EngineSpec& engine, const GroupModel& model)
{
  const Duration token = engine.stepTime + engine.stepTimePerRequest * engine.slots;
  const auto step = token * static_cast<std::int64_t>(engine.tokensPerEvent);
  return std::chrono::duration_cast<Duration>(step * model.pace);
}

std::uint32_t WantedGroups(double offeredLoad)
{
  // Rounds to the nearest number: rounding up would use a whole group for a small remainder of load
  // and leave fewer spares for the next loss.
  const auto rounded = static_cast<std::uint32_t>(std::lround(RequiredGroups(offeredLoad)));
  return offeredLoad > 0 ? std::max(rounded, 1U) : 0;
}

double ServedFraction(double groups, double offeredLoad)
{
  return offeredLoad <= 0 ? 1 : std::min(1.0, groups / RequiredGroups(offeredLoad));
}

double LogServedFraction(double groups, double offeredLoad)
{
  return std::log(std::max(ServedFraction(groups, offeredLoad), kMinServedFraction));
}

} // namespace gooseberrysail
