#include "gooseberrysail/placement/model_work.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrysail {

double GroupsOfWork(const EngineSpec& engine, const GroupModel& model, const ModelDemand& demand)
{
  const double slots = std::max(engine.slots, 1U);
  const double reading =
    engine.promptTokensPerSecond > 0 ? demand.promptTokens / engine.promptTokensPerSecond : 0;
  const double step = std::chrono::duration<double>(engine.stepTime).count();
  const double perRequest = std::chrono::duration<double>(engine.stepTimePerRequest).count();
  const double writing = demand.outputTokens * (step / slots + perRequest);
  return model.pace * (reading + writing);
}

std::uint32_t WantedGroups(double groupsOfWork)
{
  return static_cast<std::uint32_t>(std::ceil(groupsOfWork / kFullUse));
}

} // namespace gooseberrysail
