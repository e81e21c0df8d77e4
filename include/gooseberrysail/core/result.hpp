#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>
#include <ostream>
#include <string>

namespace gooseberrysail {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// \brief Kind of failure; determines how the caller may react.
enum class ErrorCode
{
  kInvalid,     ///< The input is invalid; the same input fails again.
  kNotFound,    ///< The requested object does not exist.
  kConflict,    ///< The object is in another state than expected.
  kDenied,      ///< The peer is not permitted to do this.
  kTooLarge,    ///< A size limit was exceeded.
  kTimeout,     ///< No answer in time; whether it took effect is unknown.
  kUnavailable, ///< Temporarily not possible; a retry may succeed.
  kCorrupt,     ///< Stored or received bytes are damaged.
  kIo,          ///< A system call failed.
};

[[nodiscard]] const char* ToString(ErrorCode code) noexcept;

/// \brief A failure with the step and the peer at which it occurred.
struct Error
{
  ErrorCode code = ErrorCode::kInvalid;
  std::string step;        ///< The operation that failed, such as "read frame".
  std::string peer;        ///< The other side: process, address, file and offset; "" when none.
  std::string description; ///< Human-readable, one sentence.
};

/// \brief `step [peer]: description (code)`.
[[nodiscard]] std::string ToString(const Error& error);
std::ostream& operator<<(std::ostream& out, const Error& error);

/// \brief A value or an Error.
/// \remarks Accessing the value of a failed result terminates the process; check it first.
/// \code
/// Result<Settings> settings = LoadSettings(path);
/// if (!settings) {
///   return settings.error();
/// }
/// \endcode
template<class T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

} // namespace gooseberrysail
