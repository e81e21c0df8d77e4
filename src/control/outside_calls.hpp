#pragma once

#include "gooseberrysail/control/outside_api.hpp"

#include <string>
#include <utility>

/// \file Shared by the services that answer operators' calls.

namespace gooseberrysail::impl {

/// Callers try another process after one second without an answer.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(950);
/// Limits the memory that open calls of one kind take.
constexpr std::size_t kMaxOpenCalls = 64;

[[nodiscard]] inline OutsideAnswer Unavailable(std::string reason)
{
  return { OutsideStatus::kUnavailable, {}, std::move(reason), {}, {} };
}

/// \brief The answer to an order that may be carried out, or have been.
[[nodiscard]] inline OutsideAnswer Unconfirmed(std::string reason)
{
  return { OutsideStatus::kUnconfirmed, {}, std::move(reason), {}, {} };
}

} // namespace gooseberrysail::impl
