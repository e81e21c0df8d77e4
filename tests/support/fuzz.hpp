#pragma once

#include <cstdlib>

namespace gooseberrysail::test {

/// \brief How many inputs a fuzz test makes: CI's share, or GOOSEBERRYSAIL_FUZZ_ROUNDS by hand.
[[nodiscard]] inline int FuzzRounds()
{
  constexpr int kRounds = 20'000;
  const char* asked = std::getenv("GOOSEBERRYSAIL_FUZZ_ROUNDS");
  return asked == nullptr ? kRounds : std::atoi(asked);
}

} // namespace gooseberrysail::test
