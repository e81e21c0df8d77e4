#include "gooseberrysail/core/result.hpp"

namespace gooseberrysail {

const char* ToString(ErrorCode code) noexcept
{
  switch (code) {
    case ErrorCode::kInvalid:
      return "invalid";
    case ErrorCode::kNotFound:
      return "not found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kDenied:
      return "denied";
    case ErrorCode::kTooLarge:
      return "too large";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kCorrupt:
      return "corrupt";
    case ErrorCode::kIo:
      return "I/O";
  }
  return "unknown";
}

std::string ToString(const Error& error)
{
  std::string text = error.step;
  if (!error.peer.empty()) {
    text += " [" + error.peer + "]";
  }
  return text + ": " + error.description + " (" + ToString(error.code) + ")";
}

std::ostream& operator<<(std::ostream& out, const Error& error)
{
  return out << ToString(error);
}

} // namespace gooseberrysail
