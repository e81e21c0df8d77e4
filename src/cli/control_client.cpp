#include "gooseberrysail/cli/control_client.hpp"

#include "settings/setting_key.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <optional>

namespace gooseberrysail {

namespace {

namespace json = boost::json;

constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
constexpr std::string_view kConnectStep = "connect to target"; ///< Error step of HttpClient.
constexpr Duration kRetryDelay = std::chrono::milliseconds(250);

const json::object* ObjectAt(const json::value& value, std::string_view key)
{
  const json::object* object = value.if_object();
  const json::value* member = object != nullptr ? object->if_contains(key) : nullptr;
  return member != nullptr ? member->if_object() : nullptr;
}

std::string TextAt(const json::object* object, std::string_view key)
{
  const json::value* member = object != nullptr ? object->if_contains(key) : nullptr;
  const json::string* text = member != nullptr ? member->if_string() : nullptr;
  return text != nullptr ? std::string(text->data(), text->size()) : std::string();
}

bool MayHaveTakenEffect(const json::value& body)
{
  return TextAt(ObjectAt(body, "error"), "code") == ToString(ErrorCode::kTimeout);
}

} // namespace

/// \brief The result of one call to one control process.
struct ControlClient::Attempt
{
  std::optional<AdminReply> reply; ///< The final answer; none if the call should be retried.
  Error error;
  bool mayHaveTakenEffect = false;
};

ControlClient::ControlClient(ControlClientSettings settings, ControlClientHooks hooks)
  : m_settings(std::move(settings))
  , m_hooks(std::move(hooks))
{
}

void ControlClient::SelectNextEndpoint()
{
  m_current = (m_current + 1) % m_settings.endpoints.size();
}

void ControlClient::FollowLeaderHint(const json::value& body)
{
  const std::string leader = TextAt(ObjectAt(body, "leader"), "process");
  const auto& endpoints = m_settings.endpoints;
  const auto known = std::ranges::find_if(endpoints, [&](const ControlEndpoint& endpoint) {
    return !leader.empty() && endpoint.process.Get() == leader;
  });
  if (known == endpoints.end()) {
    SelectNextEndpoint();
  } else {
    m_current = static_cast<std::size_t>(known - endpoints.begin());
  }
}

ControlClient::Attempt ControlClient::Try(std::string_view method,
                                          std::string_view path,
                                          const std::string& body)
{
  const std::string address = m_settings.endpoints[m_current].address;
  std::vector<HttpHeader> headers{ { "Authorization", "Bearer " + m_settings.token } };
  if (!body.empty()) {
    headers.push_back({ "Content-Type", "application/json" });
  }
  const Result<HttpReply> reply =
    m_hooks.fetch(address, method, path, std::move(headers), body, m_settings.callTimeout);
  Attempt attempt;
  if (!reply) {
    // After the connection is established, the request may have arrived even if no answer came.
    // Only a failed connect counts as not sent, so that a step added to HttpClient later is not
    // taken for proof that the change was not sent.
    attempt.error = reply.error();
    attempt.mayHaveTakenEffect = reply.error().step != kConnectStep;
    SelectNextEndpoint();
    return attempt;
  }
  json::error_code malformed;
  const json::value parsed = json::parse(reply.value().body, malformed);
  const unsigned status = reply.value().status;
  if (malformed) {
    attempt.error = { ErrorCode::kCorrupt,
                      "read admin answer",
                      address,
                      "status " + std::to_string(status) + " with an invalid JSON body" };
    attempt.mayHaveTakenEffect = true;
    SelectNextEndpoint();
    return attempt;
  }
  if (status == kMisdirected) {
    attempt.error = {
      ErrorCode::kUnavailable, "find control leader", address, "is not the leader"
    };
    FollowLeaderHint(parsed);
    return attempt;
  }
  if (status == kUnavailable || status == kBadGateway || status == kGatewayTimeout) {
    const std::string reason = TextAt(ObjectAt(parsed, "error"), "reason");
    attempt.error = { ErrorCode::kUnavailable, "ask control", address, reason };
    attempt.mayHaveTakenEffect = MayHaveTakenEffect(parsed);
    SelectNextEndpoint();
    return attempt;
  }
  attempt.reply = AdminReply{ status, parsed, address };
  return attempt;
}

Result<AdminReply> ControlClient::Call(std::string_view method,
                                       std::string_view path,
                                       const std::string& body)
{
  const TimePoint deadline = m_hooks.now() + m_settings.totalTimeout;
  bool mayHaveTakenEffect = false;
  for (;;) {
    Attempt attempt = Try(method, path, body);
    if (attempt.reply) {
      // Only these two report what became of the change; any other status is about the last call.
      const unsigned status = attempt.reply->status;
      const bool reportsChange = status == kOk || status == kConflict;
      if (mayHaveTakenEffect && method != "GET" && !reportsChange) {
        return Error{ ErrorCode::kTimeout,
                      "ask control",
                      attempt.reply->address,
                      "status " + std::to_string(status) + " after a call that may have arrived" };
      }
      return std::move(*attempt.reply);
    }
    mayHaveTakenEffect = mayHaveTakenEffect || attempt.mayHaveTakenEffect;
    if (m_hooks.now() + kRetryDelay >= deadline) {
      Error error = attempt.error;
      error.code = mayHaveTakenEffect ? ErrorCode::kTimeout : ErrorCode::kUnavailable;
      return error;
    }
    m_hooks.sleep(kRetryDelay);
  }
}

Result<ControlEndpoint> ParseControlEndpoint(std::string_view text)
{
  const bool named = text.find('=') != std::string_view::npos;
  const auto& row = *impl::FindSettingKey(named ? "cluster.control" : "agent.targetAddress");
  if (!impl::CheckSettingValue(row, text)) {
    return Error{ ErrorCode::kInvalid,
                  "read --control",
                  "",
                  "'" + std::string(text) + "' is neither ip:port nor name=ip:port" };
  }
  if (!named) {
    return ControlEndpoint{ ProcessId(), std::string(text) };
  }
  const PeerAddress peer = impl::SplitPeer(text);
  return ControlEndpoint{ peer.process, peer.address };
}

} // namespace gooseberrysail
