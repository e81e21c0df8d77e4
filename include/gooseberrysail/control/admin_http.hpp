#pragma once

#include "gooseberrysail/core/result.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// \file Parsing of admin request targets and formatting of admin answers.

namespace gooseberrysail {

/// \brief The percent-decoded path and query parameters of a request target.
struct AdminTarget
{
  std::vector<std::string> path; ///< Below /admin/v1.
  std::map<std::string, std::string, std::less<>> parameters;
};

/// \returns kNotFound when the path is not below /admin/v1, kInvalid when it is malformed.
[[nodiscard]] Result<AdminTarget> ParseAdminTarget(std::string_view target);

[[nodiscard]] HttpAnswerOut JsonAnswer(ExchangeId exchange,
                                       unsigned status,
                                       const boost::json::object& body);

/// \brief `{"error":{"code","step","reason"}}` with the status that fits the code.
[[nodiscard]] HttpAnswerOut ErrorAnswer(ExchangeId exchange, unsigned status, const Error& error);

} // namespace gooseberrysail
