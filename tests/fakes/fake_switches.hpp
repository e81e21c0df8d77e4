#pragma once

#include "gooseberrysail/core/result.hpp"

#include <cstdint>
#include <string_view>

namespace gooseberrysail::fakes {

/// \brief How the stand-in behaves and misbehaves; `POST /switch` changes single fields.
struct Switches
{
  bool ignoreFencing = false;       ///< Takes orders carrying old fencing numbers.
  bool hang = false;                ///< Takes calls and never answers them.
  bool unhealthy = false;           ///< `GET /health` answers 503.
  bool silentHealth = false;        ///< `GET /health` is never answered.
  std::uint32_t tokenDelayMs = 0;   ///< Before each token.
  std::uint32_t answerDelayMs = 0;  ///< Before the answer of any call but health and switches.
  std::uint32_t loadDelayMs = 0;    ///< An order to load takes this long.
  std::uint32_t cutAfterTokens = 0; ///< Closes the connection after that many; 0: never.
  std::uint32_t dieAfterTokens = 0; ///< Ends the process after that many; 0: never.
  std::uint32_t responseBytes = 0;  ///< Answers completions with so many bytes; 0: real answers.
  std::uint32_t cacheDelayMs = 0;   ///< Cache events appear this much later.
  std::uint32_t cacheGapEvery = 0;  ///< Each so-many-th cache event is lost; 0: none.
};

/// \brief Sets the fields named in a JSON object; an unknown name or wrong type changes nothing.
[[nodiscard]] Result<Switches> ApplySwitches(const Switches& current, std::string_view json);

} // namespace gooseberrysail::fakes
