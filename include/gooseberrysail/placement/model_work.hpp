#pragma once

#include "gooseberrysail/serving/document.hpp"

#include <cstdint>

namespace gooseberrysail {

/// \brief What callers ask of one model, a second.
struct ModelDemand
{
  double requests = 0;
  double promptTokens = 0;
  double outputTokens = 0;
};

/// \brief The part of one group's time that this demand takes when the group's slots are full; 2.5
/// means that two and a half groups do nothing else.
/// \remarks Prompts are read alone; an output token's step is shared by all requests that run.
[[nodiscard]] double GroupsOfWork(const EngineSpec& engine,
                                  const GroupModel& model,
                                  const ModelDemand& demand);

/// \brief Groups of a model that keep callers' times: its work over kTargetUse.
[[nodiscard]] std::uint32_t WantedGroups(double groupsOfWork);

/// \brief Use of a group up to which first events and pauses stay within what callers count as on
/// time: at 0.55 the largest model's pauses reach 250 of the allowed 300 ms when prompts are read
/// between its steps.
inline constexpr double kTargetUse = 0.55;

} // namespace gooseberrysail
