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
  std::string daemon; ///< Path of the daemon's program.
  std::uint64_t seed = 1;
  std::chrono::milliseconds length{ 10'000 }; ///< Of the faults; recovery comes after.
  std::size_t entries = 2;
  std::size_t replicas = 3;
  std::size_t callers = 8;
  /// \brief Ends a run early, with all of its processes.
  std::function<bool()> shouldStop = [] { return false; };
};

struct SoakReport
{
  std::vector<std::string> faults; ///< As they were brought about, with their times.
  std::vector<std::string> violations;
  Ledger::Totals totals;
  std::string outputs; ///< Of all processes, when something was violated.
};

/// \brief Starts real processes, brings about faults by the seed while callers call, and checks the
/// promises: what may run once runs once; what was refused never runs; an answer is the whole one
/// to its own request; keys reach nobody; an acknowledged configuration is never read back older;
/// a process that is told to leave does; afterwards everything is served again.
[[nodiscard]] SoakReport RunSoak(const SoakSettings& settings);

} // namespace gooseberrysail::soak
