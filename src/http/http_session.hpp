#pragma once

#include "gooseberrysail/admission/caller_memory.hpp"
#include "gooseberrysail/http/http_server.hpp"
#include "http/connection_ends.hpp"
#include "http/request_body.hpp"
#include "net/deadline.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrysail::impl {

class HttpSession;

/// \brief How a response ended before it was complete.
struct AnswerCut
{
  AnswerCutCause cause = AnswerCutCause::kStop;
  std::string_view reason;
  ExchangeId exchange = {};
  std::string request = {};       ///< The request's id, if the caller or the owner named one.
  std::size_t sentBytes = 0;      ///< Of the response, taken by the socket.
  std::size_t queuedBytes = 0;    ///< Of its body, not written completely.
  std::size_t readAheadBytes = 0; ///< Of further requests, lost with the connection.
  Duration sinceRead{};           ///< Since the request was read.
};

/// \brief What a session may do with a request that has arrived.
enum class ReadTurn
{
  kRead,
  kRefuse, ///< It waited too long to be served.
  kClose,  ///< The server is closed.
};

/// \brief What a session tells of a request that waits for its turn.
struct WaitingRequest
{
  TimePoint since{};   ///< When it was noticed.
  bool isRead = false; ///< Bytes of it were read, behind the request before it.
};

/// \brief Callbacks of a session to its server.
struct HttpSessionHooks
{
  std::function<ExchangeId(HttpSession&)> onBegin; ///< Assigns the id of a new exchange.
  std::function<void(HttpRequestIn)> onRequest;
  std::function<void(ExchangeId)> onEnd;
  std::function<void(ExchangeId)> onCallerGone;
  std::function<void(const HttpSession&, const AnswerCut&)> onCut;
  std::function<void(const HttpSession&, unsigned status, std::string_view message)> onRejected;
  /// \brief The connection ends, and a request on it may have got no response.
  std::function<void(const HttpSession&, const ConnectionEnd&)> onEnded;
  std::function<void()> onGoneUnread; ///< The caller left before its request was passed on.
  std::function<void(const HttpSession&, std::string_view requestId)> onRefusedLate;
  /// \brief A request is refused because the process holds too much for its callers.
  std::function<void(const HttpSession&, std::string_view requestId)> onRefusedForMemory;
  /// \brief Suspends the fiber until the request is to be read or the connection to be closed.
  std::function<ReadTurn(const WaitingRequest&)> awaitTurn;
  std::function<std::string(unsigned status, std::string_view message)> errorBody;
  std::function<bool()> isStopping;
  std::function<const LoopTimes&()> loopTimes;
};

inline constexpr std::string_view kNoMemory = "the process holds too much for its callers";

/// \brief A response that the server makes itself.
[[nodiscard]] HttpAnswerOut MakeError(unsigned status, std::string body);

/// \brief One connection of a caller: repeatedly reads a request, passes it on and writes its
/// response.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  HttpSession(boost::asio::ip::tcp::socket socket,
              std::string peer,
              const HttpServerSettings& settings,
              const HttpSessionHooks& hooks,
              CallerMemory& memory);
  /// \brief Serves the connection until it ends; runs in a fiber of its own. The first request
  /// may be read at once.
  void Serve();

  /// \brief Queues a part of the response of the current exchange.
  void Answer(HttpAnswerOut part);

  /// \brief Closes at once. The caller can detect that an unfinished response is incomplete: its
  /// length or last chunk is missing, or the connection is reset where it has neither. It is also
  /// reset if later requests were read and are not served.
  void Close();

  /// \brief The same, as the server stops.
  void Stop();

  /// \brief Closes the connection if no part of a request has arrived.
  /// \returns Whether it did.
  bool CloseIfIdle(HttpEndCause cause);

  /// \brief Closes the connection in the middle of a request that has not arrived completely.
  /// \returns True.
  bool CloseUnfinished(HttpEndCause cause);

  /// \brief Closes an idle connection of a server that stops; a new one gets a moment for its first
  /// request, which is mostly on its way.
  void OnStopping();

  /// \brief Since when it has waited for a request; none if a request is being served.
  [[nodiscard]] std::optional<TimePoint> IdleSince() const;

  /// \brief Bytes a second of the request that arrives; none if there is none, or only for a
  /// moment.
  [[nodiscard]] std::optional<double> ArrivalRate(TimePoint now) const;

  /// \brief Counts what the owner holds of the response to the current exchange.
  void SetHeldBytes(std::size_t bytes);

  /// \brief Whether the caller of the current exchange is connected; if not, it is handled as gone.
  [[nodiscard]] bool CheckCaller();

  [[nodiscard]] std::size_t QueuedBytes() const noexcept { return m_queuedBytes; }
  [[nodiscard]] const std::string& Peer() const noexcept { return m_peer; }

private:
  /// \brief A request and the properties of it that determine the framing of its response.
  struct Request
  {
    unsigned version = 11; ///< 11 for HTTP/1.1, 10 for HTTP/1.0.
    bool keepAlive = false;
    bool head = false;
    HttpRequestIn message;
  };

  /// \brief The result of writing a response.
  enum class WriteResult
  {
    kReusable,   ///< Complete; the connection can be reused.
    kClosing,    ///< Complete; sent with "Connection: close".
    kIncomplete, ///< Incomplete; the connection is closed.
  };

  /// \brief What the connection does.
  enum class Phase
  {
    kReading, ///< It waits for a request or reads one.
    kServing, ///< A request was passed on.
    kRejected,
  };

  enum class BodyEncoding
  {
    kNone, ///< A response without a body.
    kChunked,
    kPlain, ///< Until the connection ends.
  };

  /// \brief The response to the current request.
  struct Response
  {
    std::string requestId;
    TimePoint readAt{}; ///< When the request was passed on.
    std::size_t sentBytes = 0;
    bool saysClose = false; ///< A caller that may send more is told not to.
    bool hasBegun = false;  ///< Bytes of it may have been sent.
    /// \brief What the caller is told if it is aborted before its first byte.
    std::string_view failure = "the response was aborted before its first byte";
    std::optional<AnswerCut> cut; ///< None unless it is cut.
  };

  // Reading (http_session_read.cpp).
  using Parser = boost::beast::http::request_parser<RequestBody>;
  [[nodiscard]] std::optional<Request> ReadRequest();
  /// \brief Reads a request of which a part has been parsed.
  [[nodiscard]] boost::system::error_code ReadRest(Parser& parser);
  /// \brief Reads and parses as long as a condition holds.
  template<class Condition>
  [[nodiscard]] boost::system::error_code ReadWhile(Parser& parser, const Condition& isUnfinished);
  /// \brief Returns the memory of an empty buffer.
  void ReleaseBuffer();
  bool WaitForRequest();
  bool WaitForInput();
  [[nodiscard]] boost::system::error_code ReadSome();
  /// \returns Whether input may be read.
  [[nodiscard]] bool TakeTurn();
  /// \brief States what is held of a request that has not arrived completely.
  void CountArriving(const Parser& parser);
  /// \brief Answers that a request did not run, and ends the connection.
  void Refuse(Parser& parser, std::string_view reason);
  /// \brief Returns the memory of a request that is not passed on.
  void Discard(Parser& parser);
  [[nodiscard]] TimePoint ArrivalOfInput();
  [[nodiscard]] bool HasPendingInput();
  [[nodiscard]] bool IsCallerConnected();
  void Reject(unsigned status, std::string_view message);
  /// \brief Gives up the request that arrives, or the response.
  void OnShed();
  void WatchCaller();
  void OnReadable(bool failed);
  void OnCallerDisconnected(AnswerCutCause cause, std::string_view reason);
  /// \brief Waits until the caller has the response, without reading what it sends.
  void Linger();
  [[nodiscard]] bool MustLinger(TimePoint since);
  /// \brief The same, reading and discarding the rest of a request that was rejected.
  void DiscardInput();
  /// \brief Whether closing in order would hide that requests were not served.
  [[nodiscard]] bool MustReset();
  /// \brief Waits until what was written has reached the caller's system.
  void AwaitDelivery();

  // Writing (http_session_write.cpp).
  WriteResult WriteAnswer(const Request& request);
  /// \brief Whether the connection can be reused after the response that is being written.
  [[nodiscard]] bool MayReuse(const Request& request, bool endsConnection);
  bool WaitForPart();
  bool WaitForEnd();
  [[nodiscard]] HttpAnswerOut JoinParts();
  /// \brief Writes an error in place of a response that was aborted before its first byte.
  WriteResult WriteFailure(const Request& request);
  WriteResult WriteWhole(const Request& request, HttpAnswerOut part);
  WriteResult WriteStream(const Request& request, HttpAnswerOut part);
  /// \brief Notes whether the response ends with the connection, which is reset then unless the
  /// response is whole, also if the process is killed.
  /// \returns False if the connection is closed.
  bool SetEndsWithConnection(bool endsWithConnection);
  bool WriteBody(HttpAnswerOut part, BodyEncoding encoding);
  bool WriteBodyPart(std::string_view bytes, BodyEncoding encoding);
  bool WriteRejection(const Request& request, HttpAnswerOut answer);
  void Abort(AnswerCutCause cause, std::string_view reason);
  /// \brief The first decision to cut a response is the one that is reported.
  void SetCut(AnswerCutCause cause, std::string_view reason);
  /// \brief Cuts the response or, before its first byte, replaces it by an error.
  void EndResponse(std::string_view cutReason, std::string_view failure);
  /// \brief States what is held of the response and of requests that were read ahead.
  void CountResponse();
  void ReportCut(ExchangeId exchange);
  /// \brief Tells the server, before the socket is closed, why a request may get no response.
  void ReportEnd();
  [[nodiscard]] std::optional<HttpEndCause> EndBehindResponse();
  template<class Start>
  bool Write(Start&& start);
  void ArmWriteTimeout();

  boost::asio::ip::tcp::socket m_socket;
  std::string m_peer;
  const HttpServerSettings& m_settings;
  const HttpSessionHooks& m_hooks;
  CallerMemory& m_memory;
  CallerMemory::Id m_memoryId;
  boost::beast::flat_buffer m_buffer;
  Deadline m_deadline;
  ExchangeId m_exchange; ///< None between exchanges.
  std::deque<HttpAnswerOut> m_parts;
  std::size_t m_queuedBytes = 0;
  std::size_t m_heldBytes = 0;    ///< By the owner, of the response.
  std::size_t m_countedBytes = 0; ///< Of the response, as last stated.
  Response m_response;
  Signal m_changed;
  TimePoint m_idleSince{};
  TimePoint m_inputAt{};    ///< When the first bytes of the current request were noticed.
  TimePoint m_receivedAt{}; ///< When its last bytes came, as far as is known.
  std::optional<std::size_t> m_arrivedBytes; ///< Of a request that has not arrived completely.
  Phase m_phase = Phase::kReading;
  std::uint64_t m_served = 0;        ///< Requests that were passed on.
  std::optional<HttpEndCause> m_end; ///< Why it ends, if a request may get no response.
  bool m_hasTurn = true;             ///< May read without waiting for a turn.
  bool m_isLate = false;             ///< The current request waited too long to be served.
  bool m_idle = false;               ///< Waiting for the first byte of a request.
  bool m_watching = false;           ///< A wait for readability is pending.
  bool m_timedOut = false;
  bool m_isShed = false; ///< The current request is given up, as too much is held.
  bool m_closed = false;
  /// The response being written has no other end than that of the connection.
  bool m_endsWithConnection = false;
};

} // namespace gooseberrysail::impl
