#pragma once

namespace gooseberrysail {

/// \brief Whether a status tells a caller that its request has not run and never will.
[[nodiscard]] constexpr bool PromisesNotRun(unsigned status) noexcept
{
  constexpr unsigned kRequestTimeout = 408;
  constexpr unsigned kMisdirected = 421;
  constexpr unsigned kTooManyRequests = 429;
  constexpr unsigned kUnavailable = 503;
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kUnavailable;
}

} // namespace gooseberrysail
