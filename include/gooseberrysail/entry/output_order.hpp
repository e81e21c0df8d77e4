#pragma once

#include "gooseberrysail/entry/request.hpp"

#include <string_view>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief What a frame of an answer adds to what was taken over before.
struct FittedOutput
{
  enum class Fit
  {
    kFresh,     ///< Continues the answer; `bytes` and `end` are new.
    kDuplicate, ///< Everything in it is known.
    kGap,       ///< Something before it is missing; nothing of it is used.
  };
  Fit fit = Fit::kDuplicate;
  bool head = false; ///< Carries status and headers for the first time.
  std::string_view bytes;
  bool end = false;
};

/// \brief Places a frame by its offset. Frames that arrive twice, overlap or come too early can't
/// change the answer.
[[nodiscard]] FittedOutput FitOutput(const Attempt& attempt, const wire::OutputT& output) noexcept;

} // namespace gooseberrysail
