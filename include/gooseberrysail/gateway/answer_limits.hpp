#pragma once

#include "gooseberrysail/roles/inputs.hpp"

#include <cstddef>
#include <functional>

namespace gooseberrysail {

/// \brief The most bytes of a target's answer that are held in memory for one attempt.
/// \remarks A failing target may send bytes without end until its connection is closed.
struct AnswerLimits
{
  std::size_t maxBodyBytes = std::size_t{ 4 } * 1024 * 1024; ///< That is buffered until its end.
  std::size_t maxEventBytes = std::size_t{ 1024 } * 1024;    ///< Of one event of a stream.
};

/// \brief Is told how many bytes of answers are held for an exchange, before they are passed on.
using HeldAnswerHook = std::function<void(ExchangeId exchange, std::size_t bytes)>;

} // namespace gooseberrysail
