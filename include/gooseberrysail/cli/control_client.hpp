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

/// \brief A control process's admin address.
struct ControlEndpoint
{
  ProcessId process; ///< None when the operator gave the address only.
  std::string address;
};

struct ControlClientSettings
{
  std::vector<ControlEndpoint> endpoints;
  std::string token;
  Duration callTimeout = std::chrono::seconds(8); ///< For one call to one control process.
  Duration patience = std::chrono::seconds(30);   ///< For the whole, retries included.
};

/// \brief HttpClient::Fetch.
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
  std::string address; ///< Who answered.
};

/// \brief Talks to whichever control process leads.
class ControlClient
{
public:
  ControlClient(ControlClientSettings settings, ControlClientHooks hooks);

  /// \brief Asks the control processes in turn until one gives a final answer.
  /// \remarks The same call is sent again after a lost answer. Reads may be repeated; a change may
  /// because control applies a change id once and answers a second time with the first outcome.
  /// \returns An error when patience ended: kTimeout if the last word is that the call may have
  /// taken effect, else kUnavailable.
  [[nodiscard]] Result<AdminReply> Call(std::string_view method,
                                        std::string_view path,
                                        const std::string& body = {});

private:
  struct Attempt;
  Attempt Try(std::string_view method, std::string_view path, const std::string& body);
  void FollowHint(const boost::json::value& body);
  void Advance();

  ControlClientSettings m_settings;
  ControlClientHooks m_hooks;
  std::size_t m_current = 0; ///< Index of the endpoint to ask next.
};

/// \brief Reads "ip:port" or "name=ip:port".
[[nodiscard]] Result<ControlEndpoint> ParseControlEndpoint(std::string_view text);

} // namespace gooseberrysail
