#include "gooseberrysail/control/admin_http.hpp"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <cctype>
#include <optional>

namespace gooseberrysail {

namespace {

constexpr std::string_view kPrefix = "/admin/v1";

std::optional<unsigned> HexDigit(char letter)
{
  if (letter >= '0' && letter <= '9') {
    return static_cast<unsigned>(letter - '0');
  }
  const char lower = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  if (lower >= 'a' && lower <= 'f') {
    return static_cast<unsigned>(lower - 'a') + 10U;
  }
  return std::nullopt;
}

std::optional<std::string> Decode(std::string_view text)
{
  std::string decoded;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] != '%') {
      decoded.push_back(text[at]);
      continue;
    }
    if (at + 2 >= text.size()) {
      return std::nullopt;
    }
    const auto high = HexDigit(text[at + 1]);
    const auto low = HexDigit(text[at + 2]);
    if (!high || !low) {
      return std::nullopt;
    }
    decoded.push_back(static_cast<char>(*high * 16U + *low));
    at += 2;
  }
  return decoded;
}

template<class Take>
bool Split(std::string_view text, char separator, Take take)
{
  while (!text.empty()) {
    const auto end = std::min(text.find(separator), text.size());
    if (!take(text.substr(0, end))) {
      return false;
    }
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return true;
}

Error Malformed(std::string_view target)
{
  return Error{
    ErrorCode::kInvalid, "read request target", "", "malformed: " + std::string(target)
  };
}

} // namespace

Result<AdminTarget> ParseAdminTarget(std::string_view target)
{
  const auto question = std::min(target.find('?'), target.size());
  std::string_view path = target.substr(0, question);
  const std::string_view query = target.substr(std::min(question + 1, target.size()));
  const bool below =
    path.starts_with(kPrefix) && (path.size() == kPrefix.size() || path[kPrefix.size()] == '/');
  if (!below) {
    return Error{ ErrorCode::kNotFound,
                  "read request target",
                  "",
                  "no such path; the admin API is below " + std::string(kPrefix) };
  }
  path.remove_prefix(std::min(kPrefix.size() + 1, path.size()));

  AdminTarget parsed;
  const bool pathFits = Split(path, '/', [&](std::string_view part) {
    auto decoded = Decode(part);
    if (decoded) {
      parsed.path.push_back(std::move(*decoded));
    }
    return decoded.has_value();
  });
  const bool queryFits = Split(query, '&', [&](std::string_view part) {
    const auto equals = std::min(part.find('='), part.size());
    auto name = Decode(part.substr(0, equals));
    auto value = Decode(part.substr(std::min(equals + 1, part.size())));
    if (!name || !value) {
      return false;
    }
    parsed.parameters.insert_or_assign(std::move(*name), std::move(*value));
    return true;
  });
  if (!pathFits || !queryFits) {
    return Malformed(target);
  }
  return parsed;
}

HttpAnswerOut JsonAnswer(ExchangeId exchange, unsigned status, const boost::json::object& body)
{
  HttpAnswerOut answer;
  answer.exchange = exchange;
  answer.status = status;
  answer.headers.push_back(HttpHeader{ "Content-Type", "application/json" });
  answer.bytes = boost::json::serialize(body) + "\n";
  answer.end = true;
  return answer;
}

HttpAnswerOut ErrorAnswer(ExchangeId exchange, unsigned status, const Error& error)
{
  boost::json::object details;
  details["code"] = ToString(error.code);
  details["step"] = error.step;
  if (!error.peer.empty()) {
    details["peer"] = error.peer;
  }
  details["reason"] = error.description;
  HttpAnswerOut answer = JsonAnswer(exchange, status, { { "error", std::move(details) } });
  constexpr unsigned kUnauthorized = 401;
  constexpr unsigned kUnavailable = 503;
  if (status == kUnauthorized) {
    answer.headers.push_back(HttpHeader{ "WWW-Authenticate", "Bearer" });
  }
  if (status == kUnavailable) {
    answer.headers.push_back(HttpHeader{ "Retry-After", "1" });
  }
  return answer;
}

} // namespace gooseberrysail
