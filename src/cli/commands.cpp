#include "cli/commands.hpp"

#include "cli/json_view.hpp"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace gooseberrysail::impl {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kForbidden = 403;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kServerError = 500;

std::vector<std::string> SplitList(std::string_view list)
{
  std::vector<std::string> items;
  while (!list.empty()) {
    const auto end = std::min(list.find(','), list.size());
    if (end != 0) {
      items.emplace_back(list.substr(0, end));
    }
    list.remove_prefix(std::min(end + 1, list.size()));
  }
  return items;
}

Result<std::vector<ControlEndpoint>> ReadEndpoints(const CommandContext& context)
{
  std::vector<std::string> texts = context.line.controls;
  if (texts.empty()) {
    texts = SplitList(context.environment.variable("GOOSEBERRYSAIL_CONTROL"));
  }
  std::vector<ControlEndpoint> endpoints;
  for (const std::string& text : texts) {
    BOOST_OUTCOME_TRY(auto endpoint, ParseControlEndpoint(text));
    endpoints.push_back(std::move(endpoint));
  }
  if (endpoints.empty()) {
    return Error{ ErrorCode::kInvalid,
                  "find control processes",
                  "",
                  "specify --control or set GOOSEBERRYSAIL_CONTROL" };
  }
  return endpoints;
}

Result<std::string> ReadToken(const CommandContext& context)
{
  std::string token = context.environment.variable("GOOSEBERRYSAIL_TOKEN");
  if (!context.line.tokenFile.empty()) {
    BOOST_OUTCOME_TRY(token, context.environment.readFile(context.line.tokenFile));
  }
  constexpr std::string_view kSpace = " \t\r\n";
  token.erase(token.find_last_not_of(kSpace) + 1);
  // A line break in the token would allow header injection into the HTTP request.
  const bool printable = std::ranges::all_of(token, [](char byte) { return byte > ' '; });
  if (token.empty() || !printable) {
    return Error{
      ErrorCode::kDenied,
      "read operators' token",
      context.line.tokenFile,
      "specify --token-file or set GOOSEBERRYSAIL_TOKEN; a token has no spaces or line breaks"
    };
  }
  return token;
}

} // namespace

ExitCode Fail(CommandContext& context, ExitCode code, const std::string& message)
{
  context.environment.err << "gooseberrysail: " << message << "\n";
  return code;
}

Result<ControlClient> MakeControlClient(const CommandContext& context)
{
  ControlClientSettings settings;
  BOOST_OUTCOME_TRY(settings.endpoints, ReadEndpoints(context));
  BOOST_OUTCOME_TRY(settings.token, ReadToken(context));
  if (context.line.timeoutSeconds) {
    settings.totalTimeout = std::chrono::seconds(*context.line.timeoutSeconds);
  }
  return ControlClient(std::move(settings), context.environment.control);
}

ExitCode ExitCodeOf(unsigned status) noexcept
{
  switch (status) {
    case kOk:
      return ExitCode::kDone;
    case kUnauthorized:
    case kForbidden:
      return ExitCode::kDenied;
    case kNotFound:
      return ExitCode::kNotFound;
    case kConflict:
      return ExitCode::kConflict;
    default:
      return status >= kServerError ? ExitCode::kUnavailable : ExitCode::kInvalid;
  }
}

ExitCode ExitCodeOf(const Error& error) noexcept
{
  switch (error.code) {
    case ErrorCode::kTimeout:
      return ExitCode::kUnknown;
    case ErrorCode::kDenied:
      return ExitCode::kDenied;
    case ErrorCode::kIo:
      return ExitCode::kFailed;
    case ErrorCode::kUnavailable:
      return ExitCode::kUnavailable;
    default:
      return ExitCode::kUsage;
  }
}

std::string ReasonOf(const AdminReply& reply)
{
  const boost::json::object& error = ObjectAt(AsObject(reply.body), "error");
  const std::string step = CellAt(error, "step");
  const std::string reason = CellAt(error, "reason");
  return reply.address + " answered " + std::to_string(reply.status) + ": " + step +
         (step.empty() ? "" : ": ") + reason;
}

ReadResult ReadAdmin(CommandContext& context, const std::string& path)
{
  Result<ControlClient> client = MakeControlClient(context);
  if (!client) {
    return Fail(context, ExitCodeOf(client.error()), ToString(client.error()));
  }
  const Result<AdminReply> reply = client.value().Call("GET", "/admin/v1/" + path);
  if (!reply) {
    return Fail(context, ExitCode::kUnavailable, ToString(reply.error()));
  }
  if (reply.value().status != kOk) {
    return Fail(context, ExitCodeOf(reply.value().status), ReasonOf(reply.value()));
  }
  return reply.value().body;
}

std::string EncodeUrlPart(std::string_view text)
{
  return boost::urls::encode(text, boost::urls::unreserved_chars);
}

void PrintJson(CommandContext& context, const boost::json::value& value)
{
  context.environment.out << boost::json::serialize(value) << "\n";
}

} // namespace gooseberrysail::impl
