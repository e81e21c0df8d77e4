#pragma once

#include "gooseberrysail/control/outside_api.hpp"
#include "gooseberrysail/gateway/gateway_api.hpp"
#include "gooseberrysail/settings/settings.hpp"

#include <functional>

namespace gooseberrysail {

/// \brief Exit statuses of the daemon.
enum class DaemonExit
{
  kStopped = 0,  ///< Left gracefully.
  kFailed = 1,   ///< Could not start, or its disk failed; the last log lines say why.
  kSettings = 2, ///< The settings file is wrong.
};

/// \brief Runs an entry until it is told to stop.
[[nodiscard]] DaemonExit RunEntry(const ProcessSettings& settings);

/// \brief Runs an agent until it is told to stop.
[[nodiscard]] DaemonExit RunAgent(const ProcessSettings& settings);

/// \brief How callers, targets and the balancer speak to a gateway.
struct GatewayAdapter
{
  GatewayApi api;
  std::function<HttpAnswerOut(const HttpRequestIn&, bool isReady)> answerReadiness;
};

/// \brief Runs an entry that serves routes of the serving document until it is told to stop.
[[nodiscard]] DaemonExit RunGateway(const ProcessSettings& settings, const GatewayAdapter& adapter);

/// \brief Runs a control process until it is told to stop.
/// \param outside Unset where only this project's own interface is served.
[[nodiscard]] DaemonExit RunControl(const ProcessSettings& settings,
                                    const OutsideApi& outside = {});

} // namespace gooseberrysail
