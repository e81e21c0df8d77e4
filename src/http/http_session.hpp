#pragma once

#include "gooseberrysail/http/http_server.hpp"
#include "net/deadline.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrysail::impl {

class HttpSession;

/// \brief What sessions need of their server.
struct HttpSessionHooks
{
  std::function<ExchangeId(HttpSession&)> onBegin; ///< Numbers a new exchange.
  std::function<void(HttpRequestIn)> onRequest;
  std::function<void(ExchangeId)> onEnd;
  std::function<void(ExchangeId)> onCallerGone;
  std::function<void(const HttpSession&, ExchangeId, std::string_view reason)> onCut;
  std::function<void(const HttpSession&, unsigned status, std::string_view message)> onRejected;
  std::function<std::string(unsigned status, std::string_view message)> errorBody;
  std::function<bool()> isStopping;
};

/// \brief One connection of a caller: reads a request, hands it over, writes its answer, again.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  HttpSession(boost::asio::ip::tcp::socket socket,
              std::string peer,
              const HttpServerSettings& settings,
              const HttpSessionHooks& hooks);

  /// \brief Serves until the connection ends; the body of a fiber.
  void Serve();

  /// \brief Takes a part of the answer to the present exchange.
  void Answer(HttpAnswerOut part);

  /// \brief Closes at once; an unfinished answer is seen as cut.
  void Close();

  /// \brief Closes when no request has begun to arrive.
  void CloseIfIdle();

  [[nodiscard]] std::size_t QueuedBytes() const noexcept { return m_queuedBytes; }
  [[nodiscard]] const std::string& Peer() const noexcept { return m_peer; }

private:
  /// \brief What the answer depends on.
  struct Request
  {
    unsigned version = 11; ///< 11 for HTTP/1.1, 10 for HTTP/1.0.
    bool keepAlive = false;
    bool head = false;
    HttpRequestIn message;
  };

  /// \brief How the writing of an answer ended.
  enum class Written
  {
    kMayReuse,  ///< Whole, and the connection can carry another exchange.
    kMustClose, ///< Whole, and the connection was announced to close.
    kBroken,    ///< Not whole; the connection is closed.
  };

  // Reading (http_session_read.cpp).
  [[nodiscard]] std::optional<Request> ReadRequest();
  bool WaitForRequest();
  [[nodiscard]] bool HasPending();
  void Reject(unsigned status, std::string_view message);
  void WatchCaller();
  void OnReadable(bool failed);
  void LoseCaller();
  void Linger();

  // Writing (http_session_write.cpp).
  Written WriteAnswer(const Request& request);
  bool WaitForPart();
  bool WaitForEnd();
  [[nodiscard]] HttpAnswerOut TakeParts();
  Written WriteWhole(const Request& request, const HttpAnswerOut& part);
  Written WriteStream(const Request& request, HttpAnswerOut part);
  bool WriteChunks(HttpAnswerOut part, bool hasBody);
  bool WriteRejection(unsigned status, const std::string& body);
  void Cut(std::string_view reason);
  template<class Start>
  bool Write(Start&& start);

  boost::asio::ip::tcp::socket m_socket;
  std::string m_peer;
  const HttpServerSettings& m_settings;
  const HttpSessionHooks& m_hooks;
  boost::beast::flat_buffer m_buffer;
  Deadline m_deadline;
  ExchangeId m_exchange; ///< None between exchanges.
  std::deque<HttpAnswerOut> m_parts;
  std::size_t m_queuedBytes = 0;
  Signal m_changed;
  bool m_idle = false;     ///< Waiting for the first byte of a request.
  bool m_watching = false; ///< A wait for the caller's socket is under way.
  bool m_timedOut = false;
  bool m_closed = false;
};

} // namespace gooseberrysail::impl
