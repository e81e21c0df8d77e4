#pragma once

#include "gooseberrysail/settings/settings.hpp"

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

/// \brief Runs a control process until it is told to stop.
[[nodiscard]] DaemonExit RunControl(const ProcessSettings& settings);

} // namespace gooseberrysail
