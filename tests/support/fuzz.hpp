#pragma once

#include <cstdlib>

namespace gooseberrysail::test {

/// \brief Number of inputs of a fuzz test: the default for CI, or GOOSEBERRYSAIL_FUZZ_ROUNDS if it
/// is set.
[[nodiscard]] inline int FuzzRounds()
{
  constexpr int kDefaultRounds = 20'000;
  const char* configured = std::getenv("GOOSEBERRYSAIL_FUZZ_ROUNDS");
  return configured == nullptr ? kDefaultRounds : std::atoi(configured);
}

} // namespace gooseberrysail::test
