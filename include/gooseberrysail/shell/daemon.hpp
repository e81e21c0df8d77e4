#pragma once

#include "gooseberrysail/control/outside_api.hpp"
#include "gooseberrysail/gateway/gateway_api.hpp"
#include "gooseberrysail/settings/settings.hpp"

#include <functional>

namespace gooseberrysail {

/// \brief Exit statuses of the daemon.
enum class DaemonExit
{
  kStopped = 0,  ///< Stopped by request.
  kFailed = 1,   ///< Could not start or storage failed; see the last log lines.
  kSettings = 2, ///< The settings file is invalid.
};

/// \brief Ignores SIGPIPE, and blocks SIGHUP, SIGTERM and SIGINT until a role handles them. Called
/// before anything else.
void PrepareSignals() noexcept;

/// \brief Runs an entry process until it is signalled to stop.
[[nodiscard]] DaemonExit RunEntry(const ProcessSettings& settings);

/// \brief Runs an agent process until it is signalled to stop.
[[nodiscard]] DaemonExit RunAgent(const ProcessSettings& settings);

/// \brief The external interfaces of a gateway: callers, targets and readiness probes.
struct GatewayAdapter
{
  GatewayApi api;
  std::function<HttpAnswerOut(const HttpRequestIn&, bool isReady)> answerReadiness;
};

/// \brief Runs an entry that serves routes of the serving document until signalled to stop.
[[nodiscard]] DaemonExit RunGateway(const ProcessSettings& settings, const GatewayAdapter& adapter);

/// \brief Runs a control process until it is signalled to stop.
/// \param outside Additional external interface; unset to serve the built-in one only.
[[nodiscard]] DaemonExit RunControl(const ProcessSettings& settings,
                                    const OutsideApi& outside = {});

} // namespace gooseberrysail
