#pragma once

#include "gooseberrysail/core/result.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace gooseberrysail {

class CallerMemory;

/// \brief Address, limits and timeouts of an HttpServer.
struct HttpServerSettings
{
  std::string listenAddress; ///< "ip:port"; port 0 picks a free port.
  std::uint32_t maxHeaderBytes = 16 * 1024;
  std::uint64_t maxBodyBytes = 8 * 1024 * 1024;
  std::size_t maxConnections = 10000;
  /// \brief What the connections may hold, together with those of other servers that share it; null
  /// for a limit of its own.
  std::shared_ptr<CallerMemory> memory = nullptr;
  /// \brief Whether it takes connections while the process is short of descriptors.
  bool usesReservedDescriptors = false;
  /// \brief Limit of unsent response bytes; the connection is closed when it is exceeded.
  std::size_t maxQueuedAnswerBytes = 16 * 1024 * 1024;
  Duration idleTimeout = std::chrono::seconds(60);    ///< While waiting for a request.
  Duration requestTimeout = std::chrono::seconds(30); ///< From the first byte to the last byte.
  Duration headTimeout{}; ///< From the first byte to the end of the headers; 0: requestTimeout.
  Duration writeTimeout = std::chrono::seconds(30); ///< For writing one part.
  /// \brief Time in each round of the event loop after which no further request is read.
  Duration maxReadTime = std::chrono::microseconds(12500);
  /// \brief New connections that wait longer to be read are closed unread; a request on an open
  /// connection is answered with status 503, after twice the time if it was read ahead; 0: none.
  /// \remarks With a limit, the newest request is read first, otherwise the oldest.
  Duration maxUnreadWait = std::chrono::milliseconds(100);
};

/// \brief Callbacks of the server. They must not block; they may call Send.
struct HttpServerHooks
{
  std::function<void(HttpRequestIn)> onRequest;
  std::function<void(HttpCallerGone)> onCallerGone;
  std::function<void(EventOut)> onEvent; ///< May be empty.
  /// \brief Returns the body of a response that the server generates; if empty, a JSON error.
  std::function<std::string(unsigned status, std::string_view message)> errorBody;
};

/// \brief Why a request that was read did not get its response, or not all of it.
enum class AnswerCutCause : std::uint8_t
{
  kCaller,       ///< The caller disconnected.
  kSlowCaller,   ///< It reads more slowly than the response is produced: too much is queued.
  kWriteTimeout, ///< It took nothing of a part within the timeout.
  kProcess,      ///< The owner aborted the response.
  kStop,         ///< The server was closed.
  kUnsent,       ///< Aborted before its first byte; the caller got status 502 instead.
};
inline constexpr std::size_t kAnswerCutCauses = 6;

[[nodiscard]] std::string_view ToString(AnswerCutCause cause) noexcept;

/// \brief Why a connection ended although a request on it may have got no response. A request that
/// was passed on has an AnswerCutCause instead.
enum class HttpEndCause : std::uint8_t
{
  kUnread,          ///< It waited too long to be read.
  kIdle,            ///< No request came within the idle timeout.
  kConnectionLimit, ///< Too many connections were open.
  kDescriptorLimit, ///< Too few descriptors were free.
  kStop,            ///< The server stopped while the connection waited for a request or a turn.
  kCallerGone,      ///< The caller had left, or had closed its side, when its request was read.
  kIncomplete,      ///< The connection ended or failed in the middle of a request.
  kReadAhead,       ///< A response ended the connection, of which more input had been read.
  kBehindLast,      ///< The same; more input had come and was not read.
};
inline constexpr std::size_t kHttpEndCauses = 9;

/// \param isKept Whether a request on the connection was passed on before.
[[nodiscard]] std::string_view ToString(HttpEndCause cause, bool isKept) noexcept;

/// \brief Connections that ended for one HttpEndCause.
struct HttpEndCount
{
  std::uint64_t fresh = 0; ///< No request on them was passed on before.
  std::uint64_t kept = 0;
};

/// \brief Counters since the start of the server.
struct HttpServerCounters
{
  std::uint64_t connections = 0; ///< Accepted connections.
  std::uint64_t requests = 0;
  std::uint64_t rejected = 0;          ///< Malformed or over a limit; rejected by the server.
  std::uint64_t callersGone = 0;       ///< Disconnected before the response was complete.
  std::uint64_t callersGoneUnread = 0; ///< Disconnected before their request was passed on.
  std::uint64_t closedUnread = 0;      ///< Closed because they waited too long to be read.
  std::uint64_t refusedLate = 0;       ///< Answered with 503 because they waited too long.
  std::uint64_t refusedForMemory = 0;  ///< Answered with 503 because too much was held.
  std::uint64_t closedAtLimit = 0;     ///< Closed because too many connections were open.
  std::uint64_t aborted = 0;           ///< Responses aborted by the owner or by a limit.
  std::array<std::uint64_t, kAnswerCutCauses> cuts{}; ///< By AnswerCutCause.
  std::array<HttpEndCount, kHttpEndCauses> ended{};   ///< By HttpEndCause.
};

/// \brief An HTTP/1.1 server that passes requests to a hook and sends responses in parts.
/// \code
/// HttpServer server(runtime, settings, hooks);
/// BOOST_OUTCOME_TRY(server.Start());
/// // In the owner's tick, for a request received through onRequest:
/// HttpAnswerOut answer;
/// answer.exchange = request.exchange;
/// answer.status = 200;
/// answer.bytes = "ok";
/// answer.end = true;
/// server.Send(std::move(answer));
/// \endcode
class HttpServer
{
public:
  HttpServer(IoRuntime& runtime, HttpServerSettings settings, HttpServerHooks hooks);
  /// \brief Calls Close; must run in a fiber of the runtime's thread.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// \brief Starts listening.
  [[nodiscard]] Result<void> Start();

  /// \brief The bound address, with the actual port where port 0 was configured.
  [[nodiscard]] std::string ListenAddress() const;

  /// \brief Queues a part of a response; parts of ended exchanges are discarded.
  void Send(HttpAnswerOut part);

  /// \brief Unsent bytes of the response; 0 for an ended exchange.
  [[nodiscard]] std::size_t QueuedBytes(ExchangeId exchange) const;

  /// \brief Refuses new connections and closes each open one after its current response.
  void StopAccepting();

  /// \brief Waits until all connections have ended; call StopAccepting first.
  /// \returns False if `timeout` expired first.
  bool WaitDrained(Duration timeout);

  /// \brief Closes every connection at once and waits for the server's fibers to end.
  void Close();

  [[nodiscard]] const HttpServerCounters& Counters() const noexcept;

  /// \brief Number of exchanges whose response is not complete.
  [[nodiscard]] std::size_t PendingExchanges() const noexcept;

  /// \brief Number of open connections.
  [[nodiscard]] std::size_t OpenConnections() const noexcept;

  /// \brief Whether the caller is still connected; if not, it is handled as gone.
  [[nodiscard]] bool IsCallerConnected(ExchangeId exchange);

  /// \brief Takes maxHeaderBytes, maxBodyBytes, headTimeout and idleTimeout for the requests that
  /// are read from now on.
  /// \remarks A header or a body may be a fifth of what all callers may hold, at most.
  void SetLimits(const HttpServerSettings& limits);

  /// \brief Counts bytes that the owner holds for a caller. If they are too many, the response is
  /// ended and the caller reported as gone.
  void SetHeldBytes(ExchangeId exchange, std::size_t bytes);

private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
