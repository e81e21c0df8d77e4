#pragma once

namespace gooseberrysail {

/// \brief Exit codes of the command-line tool; docs/operators/tool.md lists them.
enum class ExitCode
{
  kDone = 0,
  kFailed = 1,      ///< The local machine refused: a file could not be written.
  kUsage = 2,       ///< The command line is wrong.
  kInvalid = 3,     ///< A file or an entry has faults; nothing was changed.
  kNotFound = 4,    ///< No such entry or request.
  kConflict = 5,    ///< Someone else changed an entry first; nothing was changed.
  kDenied = 6,      ///< The token is missing or wrong.
  kUnavailable = 7, ///< No control process could answer; nothing was changed.
  kUnknown = 8,     ///< Whether the change took effect is not known; resend its change id.
};

} // namespace gooseberrysail
