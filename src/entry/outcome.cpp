#include "gooseberrysail/entry/outcome.hpp"

namespace gooseberrysail {

std::string_view ToString(Outcome outcome) noexcept
{
  switch (outcome) {
    case Outcome::kRunning:
      return "running";
    case Outcome::kCompleted:
      return "completed";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kCut:
      return "cut";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

} // namespace gooseberrysail
