#pragma once

#include "fakes/fake_gateways.hpp"

#include <algorithm>

namespace gooseberrysail::fakes {

/// \brief Sends requests to all entries evenly; every third one is a look-up at the plain targets.
inline void RunCallers(FakeGateways& fleet, Duration duration, std::size_t perSecond)
{
  const TimePoint until = fleet.now + duration;
  for (std::size_t number = 0; fleet.now < until; ++number) {
    const std::size_t entry = fleet.Draw(fleet.CountEntries());
    const std::string path = number % 3 == 0 ? "/safe/1" : "/stream/1";
    fleet.Ask(entry, { .path = path, .body = "sound" });
    fleet.Run(std::max<Duration>(FakeGateways::kStep, std::chrono::seconds(1) / perSecond));
  }
}

} // namespace gooseberrysail::fakes
