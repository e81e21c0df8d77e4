#pragma once

#include "gooseberrysail/entry/request.hpp"

#include <string_view>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief What an output frame adds to the part of the answer that was received before.
struct ReassembledOutput
{
  enum class Kind
  {
    kNew,       ///< Continues the answer; `bytes` and `end` are new.
    kDuplicate, ///< Adds nothing to what was received.
    kGap,       ///< Output before it is missing; the frame is discarded.
  };
  Kind kind = Kind::kDuplicate;
  bool startsAnswer = false; ///< Carries status and headers for the first time.
  std::string_view bytes;
  bool end = false;
};

/// \brief Compares a frame with the next expected offset. Frames that are duplicated, overlap or
/// arrive out of order can't change the answer.
[[nodiscard]] ReassembledOutput ReassembleOutput(const Attempt& attempt,
                                                 const wire::OutputT& output) noexcept;

} // namespace gooseberrysail
