#pragma once

#include "gooseberrysail/core/result.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrysail {

/// \brief Which connections are used for a further call.
enum class ConnectionReuse : std::uint8_t
{
  kWhole, ///< Those on which a whole response came last.
  /// \brief Those on which a whole response came last that bears the id of its request, unless they
  /// have carried a request with the id of the call.
  /// \remarks A late second copy of an earlier response can thus be told from the response.
  kIdentified,
};

/// \brief Timeouts and limits of an HttpClient.
struct HttpClientSettings
{
  Duration connectTimeout = std::chrono::seconds(2);
  Duration idleTimeout = std::chrono::seconds(15); ///< For unused connections.
  std::size_t maxIdlePerAddress = 64;
  ConnectionReuse reuse = ConnectionReuse::kWhole;
  std::uint32_t maxHeaderBytes = 64 * 1024;
  std::uint64_t maxFetchedBytes = 64 * 1024 * 1024; ///< Largest body that Fetch accepts.
  /// \brief Whether to accept a response whose end is marked only by closing the connection.
  /// \remarks Such a response can't be told from one that was cut off when the server failed.
  bool acceptCloseDelimited = false;
};

/// \brief Callbacks of the client. They must not block; they may call Start and Cancel.
struct HttpClientHooks
{
  std::function<void(TargetAnswerIn)> onAnswer;
  std::function<void(TargetFailedIn)> onFailed;
  /// \brief Whether the caller for whom a call is made is connected; asked right before it is sent.
  std::function<bool(ExchangeId caller)> isCallerConnected = {};
};

/// \brief A complete response.
struct HttpReply
{
  unsigned status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// \brief An HTTP/1.1 client that delivers responses in parts as they arrive.
/// \code
/// HttpClient client(runtime, {});
/// Result<HttpReply> reply = client.Fetch("10.0.0.1:7200", "GET", "/healthz", {}, "", timeout);
/// \endcode
class HttpClient
{
public:
  HttpClient(IoRuntime& runtime, HttpClientSettings settings, HttpClientHooks hooks = {});
  /// \brief Calls Close; must run in a fiber of the runtime's thread.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// \brief Starts a call to `address` ("ip:port"); the hooks receive its response or failure.
  void Start(std::string_view address, TargetCallOut call);

  /// \brief Closes the connection of a call; its hooks are not called any more.
  void Cancel(ExchangeId exchange);

  /// \brief Ends a call of which no byte has been sent; it fails as withdrawn. Others go on.
  void Withdraw(ExchangeId exchange);

  /// \brief Makes a call and suspends the fiber until the response is complete.
  /// \param timeout Limits the whole call.
  [[nodiscard]] Result<HttpReply> Fetch(std::string_view address,
                                        std::string_view method,
                                        std::string_view path,
                                        std::vector<HttpHeader> headers,
                                        std::string body,
                                        Duration timeout);

  /// \brief Cancels every call and waits for the client's fibers to end.
  void Close();

private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
