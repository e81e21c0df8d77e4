#pragma once

#include "adversary/choices.hpp"

#include <string>
#include <vector>

namespace gooseberrysail::adversary {

/// \brief What a schedule showed.
struct Outcome
{
  std::vector<std::string> violations;
  std::vector<std::string> trace; ///< Only on demand.
};

enum class Trace : std::uint8_t
{
  kNone,
  kWritten,
};

/// \brief Plays a dispatcher, with the platform's codec, before targets, callers and lists of
/// targets that do what the choices say, in virtual time.
[[nodiscard]] Outcome PlayDispatcher(Choices& choices, Trace trace = Trace::kNone);

/// \brief The shortest schedule found that still breaks a promise, by the recorded choices of one
/// that does.
[[nodiscard]] std::vector<std::uint32_t> Shorten(const std::vector<std::uint32_t>& recorded);

} // namespace gooseberrysail::adversary
