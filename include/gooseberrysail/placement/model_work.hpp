#pragma once

#include "gooseberrysail/serving/document.hpp"

#include <cstdint>

namespace gooseberrysail {

/// \brief Requests and tokens per second that callers ask of one model.
struct ModelDemand
{
  double requests = 0;
  double promptTokens = 0;
  double outputTokens = 0;
};

/// \brief Offered load of this demand, in groups whose slots are full: 2.5 keeps two and a half
/// groups fully busy.
/// \remarks Prompts are processed one at a time; all running requests share the step that generates
/// an output token.
[[nodiscard]] double OfferedLoad(const EngineSpec& engine,
                                 const GroupModel& model,
                                 const ModelDemand& demand);

/// \brief Number of groups that serve nearly all of this load in time, by square-root staffing: the
/// load plus kStaffingFactor times its square root. The second term covers the variance of
/// arrivals, which is relatively larger for a model with few groups.
[[nodiscard]] double RequiredGroups(double offeredLoad);

/// \brief Time between two events of a group whose slots are full and that processes no prompt.
[[nodiscard]] Duration FullStep(const EngineSpec& engine, const GroupModel& model);

/// \brief RequiredGroups as a whole number: at least 1 for any load above zero.
[[nodiscard]] std::uint32_t WantedGroups(double offeredLoad);

/// \brief Estimated fraction of the requests that `groups` serve in time, 0 to 1.
[[nodiscard]] double ServedFraction(double groups, double offeredLoad);

/// \brief Logarithm of ServedFraction, the utility of proportional fairness; finite for no groups.
[[nodiscard]] double LogServedFraction(double groups, double offeredLoad);

/// \brief Factor of the square root in RequiredGroups.
/// \remarks In simulated days with two models, 2 groups for a load of 1.75 gave 0.68 to 0.7 of the
/// answers in time, 4 groups for 3.7 gave 0.75, and 5 groups for 3.7 gave 0.94. The factors that
/// fit these results are 0.84, 0.85 and 0.83. The value is slightly lower, to leave spares for the
/// next loss.
inline constexpr double kStaffingFactor = 0.8;

} // namespace gooseberrysail
