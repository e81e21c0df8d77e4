#pragma once

namespace gooseberrysail {

/// \brief Exit codes of the command-line tool; docs/operators/tool.md lists them.
enum class ExitCode
{
  kDone = 0,
  kFailed = 1,      ///< A local operation failed, such as writing a file.
  kUsage = 2,       ///< The command line is wrong.
  kInvalid = 3,     ///< A file or an entry is invalid; nothing was changed.
  kNotFound = 4,    ///< No such entry or request.
  kConflict = 5,    ///< An entry was changed concurrently; nothing was changed by this call.
  kDenied = 6,      ///< The token is missing or wrong.
  kUnavailable = 7, ///< No control process could answer; nothing was changed.
  kUnknown = 8,     ///< The change may have taken effect; resend it with its change id.
};

} // namespace gooseberrysail
