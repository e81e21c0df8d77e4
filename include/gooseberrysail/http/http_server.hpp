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

namespace gooseberrysail {

struct HttpServerSettings
{
  std::string listenAddress; ///< "ip:port"; port 0 takes a free one.
  std::uint32_t maxHeaderBytes = 16 * 1024;
  std::uint64_t maxBodyBytes = 8 * 1024 * 1024;
  std::size_t maxConnections = 10000;
  /// \brief Answer parts that the caller has not taken yet; more cuts its connection.
  std::size_t maxQueuedAnswerBytes = 16 * 1024 * 1024;
  Duration idleTimeout = std::chrono::seconds(60);    ///< Between requests.
  Duration requestTimeout = std::chrono::seconds(30); ///< From the first byte to the last.
  Duration writeTimeout = std::chrono::seconds(30);   ///< For the caller to take one part.
};

/// \brief What the server tells its owner. Hooks must not wait; they may call Send.
struct HttpServerHooks
{
  std::function<void(HttpRequestIn)> onRequest;
  std::function<void(HttpCallerGone)> onCallerGone;
  std::function<void(EventOut)> onEvent; ///< May be empty.
  /// \brief The body of an answer that the server gives by itself; empty: a JSON error.
  std::function<std::string(unsigned status, std::string_view message)> errorBody;
};

struct HttpServerCounters
{
  std::uint64_t connections = 0; ///< Accepted since start.
  std::uint64_t requests = 0;
  std::uint64_t rejected = 0;    ///< Answered by the server itself: malformed or over a limit.
  std::uint64_t callersGone = 0; ///< Left before their answer was whole.
  std::uint64_t aborted = 0;     ///< Answers cut by the owner or by a limit.
};

/// \brief An HTTP/1.1 server that hands requests over and streams answers part by part.
/// \code
/// HttpServer server(runtime, settings, hooks);
/// BOOST_OUTCOME_TRY(server.Start());
/// // In the owner's tick, for a request that onRequest brought:
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
  /// \brief Closes; must run in a fiber of the runtime's thread.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// \brief Begins to listen.
  [[nodiscard]] Result<void> Start();

  /// \brief Where it listens, with the port that port 0 became.
  [[nodiscard]] std::string ListenAddress() const;

  /// \brief Queues a part of an answer; parts of exchanges that ended are dropped.
  void Send(HttpAnswerOut part);

  /// \brief Bytes of this answer that the caller has not taken yet; 0 for an ended exchange.
  [[nodiscard]] std::size_t QueuedBytes(ExchangeId exchange) const;

  /// \brief Refuses new connections and closes each existing one after its present answer.
  void StopAccepting();

  /// \brief Waits until every connection ended, after StopAccepting.
  /// \returns False when `timeout` passed first.
  bool WaitDrained(Duration timeout);

  /// \brief Cuts every connection and waits for the server's fibers to end.
  void Close();

  [[nodiscard]] const HttpServerCounters& Counters() const noexcept;

  /// \brief Exchanges whose answer is not whole yet.
  [[nodiscard]] std::size_t PendingExchanges() const noexcept;

private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
