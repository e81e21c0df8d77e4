#pragma once

#include "soak/ledger.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace gooseberrysail::soak {

struct SoakSettings
{
  std::string daemon; ///< Path of the daemon's executable.
  std::uint64_t seed = 1;
  std::chrono::milliseconds length{ 10'000 }; ///< Of the faults, without the recovery.
  std::size_t entries = 2;
  std::size_t replicas = 3; ///< Of the plain service.
  std::size_t heads = 2;    ///< Replicas of the model, each a group of its own.
  std::size_t members = 12; ///< Replicas of the models with groups of several members.
  std::size_t callers = 8;
  std::size_t poolCallers = 6; ///< Callers of these models.
  /// \brief Polled during the run; true ends it early, with all of its processes.
  std::function<bool()> shouldStop = [] { return false; };
};

struct SoakReport
{
  std::vector<std::string> faults; ///< In the order of their injection, with times.
  std::vector<std::string> violations;
  Ledger::Totals totals;
  std::size_t controlBytes = 0; ///< The most that a control process held in resident memory.
  std::string outputs;          ///< Of all processes, if there are violations.
};

/// \brief Starts real processes and injects faults chosen by the seed while callers send requests.
/// \remarks Checks that an entry answers what it has taken, that a non-repeatable request runs at
/// most once, that a refused one never runs, that each success is the complete answer to its own
/// request, that no replica receives a key, that no control process returns a configuration older
/// than the last one acknowledged, that SIGTERM ends a process within a supervisor's grace and
/// nothing else does, that a control process stays within its machine's memory, that
/// control takes no member from a head that works, and that all entries serve again after the
/// faults. Stops, reloads and changes of the configuration come in series and overlap.
[[nodiscard]] SoakReport RunSoak(const SoakSettings& settings);

} // namespace gooseberrysail::soak
