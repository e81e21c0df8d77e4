#pragma once

#include "gooseberrysail/core/result.hpp"

#include <cstdint>
#include <string_view>

namespace gooseberrysail::fakes {

/// \brief Delays and faults of a fake target; `POST /switch` changes single fields.
struct Switches
{
  bool ignoreFencing = false;       ///< Accepts orders with old fencing numbers.
  bool hang = false;                ///< Accepts calls and never answers them.
  bool unhealthy = false;           ///< `GET /health` answers 503.
  bool silentHealth = false;        ///< `GET /health` is never answered.
  std::uint32_t tokenDelayMs = 0;   ///< Before each token.
  std::uint32_t answerDelayMs = 0;  ///< Before the answer of any call but health and switches.
  std::uint32_t loadDelayMs = 0;    ///< Duration of an order to load.
  std::uint32_t cutAfterTokens = 0; ///< Closes the connection after this many; 0: never.
  std::uint32_t dieAfterTokens = 0; ///< Ends the process after this many; 0: never.
  std::uint32_t responseBytes = 0;  ///< Length of answers to completions; 0: real answers.
  std::uint32_t cacheDelayMs = 0;   ///< Delay until a cache event becomes visible.
  std::uint32_t cacheGapEvery = 0;  ///< Drops every n-th cache event; 0: none.
};

/// \brief Sets the fields named in a JSON object.
/// \returns The new switches; an error for an unknown name or a wrong type.
[[nodiscard]] Result<Switches> ApplySwitches(const Switches& current, std::string_view json);

} // namespace gooseberrysail::fakes
