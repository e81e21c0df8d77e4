#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/result.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/http/http_client.hpp"

#include <boost/json/value.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrysail {

/// \brief The admin address of a control process.
struct ControlEndpoint
{
  ProcessId process; ///< None if the operator gave only the address.
  std::string address;
};

struct ControlClientSettings
{
  std::vector<ControlEndpoint> endpoints;
  std::string token;
  Duration callTimeout = std::chrono::seconds(8);   ///< For one HTTP call to one control process.
  Duration totalTimeout = std::chrono::seconds(30); ///< For Call as a whole, with its retries.
};

/// \brief Has the signature of HttpClient::Fetch.
using FetchHook = std::function<Result<HttpReply>(std::string_view address,
                                                  std::string_view method,
                                                  std::string_view path,
                                                  std::vector<HttpHeader> headers,
                                                  std::string body,
                                                  Duration timeout)>;

struct ControlClientHooks
{
  FetchHook fetch;
  std::function<void(Duration)> sleep;
  std::function<TimePoint()> now;
};

/// \brief A final answer of the admin API.
struct AdminReply
{
  unsigned status = 0;
  boost::json::value body;
  std::string address; ///< The control process that answered.
};

/// \brief Sends admin calls to the leading control process.
class ControlClient
{
public:
  ControlClient(ControlClientSettings settings, ControlClientHooks hooks);

  /// \brief Calls the control processes in turn until one gives a final answer.
  /// \remarks The same call is sent again if its answer is lost. This is safe for reads, and also
  /// for changes: control applies each change id once and answers a repeated call with the outcome
  /// of the first.
  /// \returns An error after the total timeout: kTimeout if any of the calls may have taken
  /// effect, else kUnavailable. Also kTimeout if a call may have changed something and a later one
  /// is refused for another reason than the change.
  [[nodiscard]] Result<AdminReply> Call(std::string_view method,
                                        std::string_view path,
                                        const std::string& body = {});

private:
  struct Attempt;
  Attempt Try(std::string_view method, std::string_view path, const std::string& body);
  void FollowLeaderHint(const boost::json::value& body);
  void SelectNextEndpoint();

  ControlClientSettings m_settings;
  ControlClientHooks m_hooks;
  std::size_t m_current = 0; ///< Index of the endpoint for the next call.
};

/// \brief Parses "ip:port" or "name=ip:port".
[[nodiscard]] Result<ControlEndpoint> ParseControlEndpoint(std::string_view text);

} // namespace gooseberrysail
