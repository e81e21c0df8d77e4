#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>
#include <ostream>
#include <string>

namespace gooseberrysail {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// \brief What kind of failure it was; decides how a caller of the function may react.
enum class ErrorCode
{
  kInvalid,     ///< The input is wrong; the same input fails again.
  kNotFound,    ///< No such thing.
  kConflict,    ///< It exists in another state than expected.
  kDenied,      ///< The peer may not do this.
  kTooLarge,    ///< Over a stated size limit.
  kTimeout,     ///< No answer in time; whether it took effect is unknown.
  kUnavailable, ///< Not now; trying later may succeed.
  kCorrupt,     ///< Stored or received bytes are damaged.
  kIo,          ///< The operating system refused.
};

[[nodiscard]] const char* ToString(ErrorCode code) noexcept;

/// \brief A failure with the step and the peer at which it arose.
struct Error
{
  ErrorCode code = ErrorCode::kInvalid;
  std::string step;        ///< What was being done, such as "read frame".
  std::string peer;        ///< The other side: process, address, file and offset; "" when none.
  std::string description; ///< One sentence for a person.
};

/// \brief `step [peer]: description (code)`.
[[nodiscard]] std::string ToString(const Error& error);
std::ostream& operator<<(std::ostream& out, const Error& error);

/// \brief A value or an Error.
/// \remarks Reading the value of a failed result ends the process; check it first.
/// \code
/// Result<Settings> settings = LoadSettings(path);
/// if (!settings) {
///   return settings.error();
/// }
/// \endcode
template<class T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

} // namespace gooseberrysail
