#include "gooseberrysail/entry/caller_api.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cctype>
#include <charconv>
#include <xxhash.h>

namespace gooseberrysail {

namespace {

constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::string_view kRequestsPrefix = "/requests/";
constexpr std::string_view kStep = "read the caller's request";
constexpr std::size_t kPrefixBlockBytes = 256;
constexpr std::size_t kMaxPrefixBlocks = 64;
constexpr std::int64_t kMaxDeadlineMillis = 24LL * 3600 * 1000;
constexpr std::int64_t kMaxExpectedTokens = 1'000'000;

Error MakeError(ErrorCode code, const HttpRequestIn& request, std::string description)
{
  return Error{ code, std::string(kStep), request.peer, std::move(description) };
}

std::string_view PathOf(std::string_view target)
{
  return target.substr(0, target.find('?'));
}

void AppendText(std::string& prompt, const boost::json::value& content)
{
  if (content.is_string()) {
    prompt.append(content.get_string());
    return;
  }
  if (!content.is_array()) {
    return;
  }
  for (const boost::json::value& part : content.get_array()) {
    const auto* object = part.if_object();
    const auto* text = object != nullptr ? object->if_contains("text") : nullptr;
    if (text != nullptr && text->is_string()) {
      prompt.append(text->get_string());
    }
  }
}

std::string PromptOf(const boost::json::object& body)
{
  std::string prompt;
  if (const auto* text = body.if_contains("prompt")) {
    AppendText(prompt, *text);
  }
  const auto* messages = body.if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return prompt;
  }
  for (const boost::json::value& message : messages->get_array()) {
    const auto* object = message.if_object();
    const auto* content = object != nullptr ? object->if_contains("content") : nullptr;
    if (content != nullptr) {
      AppendText(prompt, *content);
      prompt.push_back('\n');
    }
  }
  return prompt;
}

std::vector<std::uint64_t> HashPrefixes(std::string_view prompt)
{
  std::vector<std::uint64_t> hashes;
  std::uint64_t previous = 0;
  while (prompt.size() >= kPrefixBlockBytes && hashes.size() < kMaxPrefixBlocks) {
    previous = XXH64(prompt.data(), kPrefixBlockBytes, previous);
    hashes.push_back(previous);
    prompt.remove_prefix(kPrefixBlockBytes);
  }
  return hashes;
}

std::uint32_t ExpectedTokensOf(const boost::json::object& body)
{
  for (const std::string_view name : { "max_completion_tokens", "max_tokens" }) {
    const auto* value = body.if_contains(name);
    if (value != nullptr && value->is_int64() && value->get_int64() > 0) {
      return static_cast<std::uint32_t>(std::min(value->get_int64(), kMaxExpectedTokens));
    }
  }
  return kDefaultExpectedTokens;
}

Result<CallerCall> ParseModelCall(const HttpRequestIn& request)
{
  if (request.method != "POST") {
    return MakeError(ErrorCode::kConflict, request, "only POST is served at this path");
  }
  boost::system::error_code failed;
  const boost::json::value parsed = boost::json::parse(request.body, failed);
  if (failed) {
    return MakeError(ErrorCode::kInvalid, request, "the body is not JSON: " + failed.message());
  }
  const auto* body = parsed.if_object();
  if (body == nullptr) {
    return MakeError(ErrorCode::kInvalid, request, "the body is not a JSON object");
  }
  const auto* model = body->if_contains("model");
  if (model == nullptr || !model->is_string() || model->get_string().empty()) {
    return MakeError(ErrorCode::kInvalid, request, "`model` must name a catalogue entry");
  }
  const auto* stream = body->if_contains("stream");
  if (stream != nullptr && !stream->is_bool() && !stream->is_null()) {
    return MakeError(ErrorCode::kInvalid, request, "`stream` must be true or false");
  }
  const std::string prompt = PromptOf(*body);
  TargetCall call;
  call.kind = wire::EntryKind::Model;
  call.entry = EntryName(std::string(model->get_string()));
  call.path = request.target;
  call.stream = stream != nullptr && stream->is_bool() && stream->get_bool();
  call.expectedTokens = ExpectedTokensOf(*body);
  call.prefixHashes = HashPrefixes(prompt);
  call.promptBytes = prompt.size();
  return CallerCall(std::move(call));
}

Result<CallerCall> ParseServiceCall(const HttpRequestIn& request)
{
  std::string_view rest = std::string_view(request.target).substr(kServicesPrefix.size());
  const std::size_t end = std::min(rest.find('/'), rest.find('?'));
  const std::string_view name = rest.substr(0, end);
  if (name.empty()) {
    return MakeError(ErrorCode::kNotFound, request, "no service is named in the path");
  }
  rest.remove_prefix(name.size());
  TargetCall call;
  call.kind = wire::EntryKind::Service;
  call.entry = EntryName(std::string(name));
  call.path = rest.starts_with('/') ? std::string(rest) : "/" + std::string(rest);
  return CallerCall(std::move(call));
}

Result<CallerCall> ParseGet(const HttpRequestIn& request, CallerCall call)
{
  if (request.method != "GET" && request.method != "HEAD") {
    return MakeError(ErrorCode::kConflict, request, "only GET is served at this path");
  }
  return call;
}

} // namespace

Result<CallerCall> ParseCall(const HttpRequestIn& request)
{
  if (request.body.size() > kMaxBodyBytes) {
    return MakeError(ErrorCode::kTooLarge,
                     request,
                     "the body exceeds " + std::to_string(kMaxBodyBytes) + " bytes");
  }
  if (request.headers.size() > kMaxHeaders) {
    return MakeError(
      ErrorCode::kTooLarge, request, "more than " + std::to_string(kMaxHeaders) + " headers");
  }
  const std::string_view path = PathOf(request.target);
  if (path == "/v1/chat/completions" || path == "/v1/completions") {
    return ParseModelCall(request);
  }
  if (path.starts_with(kServicesPrefix)) {
    return ParseServiceCall(request);
  }
  if (path == "/v1/models") {
    return ParseGet(request, ListModelsCall{});
  }
  if (path == "/healthz") {
    return ParseGet(request, HealthCall{});
  }
  if (path == "/readyz") {
    return ParseGet(request, ReadyCall{});
  }
  if (path.starts_with(kRequestsPrefix) && path.size() > kRequestsPrefix.size()) {
    const std::string_view id = path.substr(kRequestsPrefix.size());
    return ParseGet(request, RequestLookupCall{ RequestId(std::string(id)) });
  }
  return MakeError(ErrorCode::kNotFound, request, "nothing is served at " + std::string(path));
}

Result<CallerOptions> ParseOptions(const HttpRequestIn& request)
{
  CallerOptions options;
  options.idempotencyKey = std::string(FindHeader(request.headers, "Idempotency-Key"));
  if (options.idempotencyKey.size() > kMaxIdempotencyKeyBytes) {
    return MakeError(ErrorCode::kInvalid,
                     request,
                     "Idempotency-Key exceeds " + std::to_string(kMaxIdempotencyKeyBytes) +
                       " bytes");
  }
  const std::string_view text = FindHeader(request.headers, "X-Deadline-Ms");
  if (text.empty()) {
    return options;
  }
  std::int64_t millis = 0;
  const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), millis);
  const bool whole = failed == std::errc() && end == text.data() + text.size();
  if (!whole || millis < 1 || millis > kMaxDeadlineMillis) {
    return MakeError(ErrorCode::kInvalid,
                     request,
                     "X-Deadline-Ms must be a whole number from 1 to " +
                       std::to_string(kMaxDeadlineMillis));
  }
  options.deadline = std::chrono::milliseconds(millis);
  return options;
}

bool IsHopHeader(std::string_view name) noexcept
{
  // Authorization holds the workspace's token for this system, which must not reach a target.
  static constexpr std::array<std::string_view, 13> kHopHeaders = {
    "connection",          "keep-alive", "proxy-connection",
    "proxy-authorization", "te",         "trailer",
    "transfer-encoding",   "upgrade",    "host",
    "content-length",      "expect",     "authorization",
    "x-request-id"
  };
  return std::any_of(kHopHeaders.begin(), kHopHeaders.end(), [name](std::string_view hop) {
    return SameHeaderName(name, hop);
  });
}

std::uint64_t HashRequest(const HttpRequestIn& request) noexcept
{
  std::uint64_t hash = XXH64(request.method.data(), request.method.size(), 0);
  hash = XXH64(request.target.data(), request.target.size(), hash);
  return XXH64(request.body.data(), request.body.size(), hash);
}

} // namespace gooseberrysail
