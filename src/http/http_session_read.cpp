#include "gooseberrysail/shell/clock.hpp"
#include "http/http_headers.hpp"
#include "http/http_session.hpp"
#include "http/peek_input.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace gooseberrysail::impl {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr std::size_t kReadAheadBytes = 64 * 1024;
constexpr std::size_t kFirstReadBytes = 4 * 1024;
constexpr std::size_t kMaxReadBytes = 32 * 1024;
/// Kept by a connection that has no request.
constexpr std::size_t kMaxRetainedBufferBytes = kFirstReadBytes;
/// The rate at which a request arrives is known after this time.
constexpr Duration kMinArrivalTime = std::chrono::seconds(1);
/// The loop is on time if it polls more often than this.
constexpr Duration kLateLoop = std::chrono::milliseconds(5);
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
/// Between two looks at a connection with unread bytes.
constexpr Duration kLingerInterval = std::chrono::milliseconds(20);
constexpr std::size_t kLingerBytes = 16 * 1024 * 1024;
// Shorter limit for connections without a request while the server is stopping.
constexpr Duration kStoppingIdleTimeout = std::chrono::seconds(1);

constexpr unsigned kNotImplemented = 501;
constexpr unsigned kUnavailable = 503;
constexpr std::string_view kLate = "the request waited too long to be read";
/// In seconds. The caller's next connection can reach another process.
constexpr const char* kRetryAfter = "0.05";
constexpr std::string_view kLongChunkHead =
  "the extensions of a chunk or the trailer section are too long";
constexpr std::string_view kDisconnected = "the caller disconnected";
constexpr const char* kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

unsigned StatusFor(const beast::error_code& error)
{
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    return 431;
  }
  return error == http::error::body_limit ? 413 : 400;
}

bool IsMalformed(const beast::error_code& error)
{
  return error.category() == http::make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream && error != http::error::partial_message;
}

std::vector<HttpHeader> CopyHeaders(const http::fields& fields)
{
  std::vector<HttpHeader> headers;
  for (const auto& field : fields) {
    headers.push_back(HttpHeader{ std::string(field.name_string()), std::string(field.value()) });
  }
  return headers;
}

using Parser = http::request_parser<RequestBody>;

// Parses what has been read; the parser isn't done if the request is longer.
beast::error_code ParseBuffered(Parser& parser, beast::flat_buffer& buffer)
{
  beast::error_code error;
  parser.eager(true);
  while (!error && !parser.is_done() && buffer.size() > 0) {
    buffer.consume(parser.put(buffer.cdata(), error));
  }
  return error == http::error::need_more ? beast::error_code() : error;
}

bool ExpectsContinue(const Parser& parser)
{
  constexpr unsigned kHttp11 = 11;
  return !parser.is_done() && parser.get().version() >= kHttp11 &&
         beast::iequals(parser.get()[http::field::expect], "100-continue");
}

} // namespace

HttpSession::HttpSession(tcp::socket socket,
                         std::string peer,
                         const HttpServerSettings& settings,
                         const HttpSessionHooks& hooks,
                         CallerMemory& memory)
  : m_socket(std::move(socket))
  , m_peer(std::move(peer))
  , m_settings(settings)
  , m_hooks(hooks)
  , m_memory(memory)
  , m_memoryId(memory.Add([this] { OnShed(); }))
  , m_deadline(m_socket.get_executor())
{
  // A read after a spurious readiness notification must return instead of blocking the thread.
  boost::system::error_code ignored;
  m_socket.non_blocking(true, ignored);
}

void HttpSession::Serve()
{
  while (auto request = ReadRequest()) {
    if (!IsCallerConnected()) {
      m_hooks.onGoneUnread();
      m_end = HttpEndCause::kCallerGone;
      break;
    }
    m_phase = Phase::kServing;
    ++m_served;
    m_exchange = m_hooks.onBegin(*this);
    m_response = {};
    m_response.requestId = FindHeader(request->message.headers, kRequestIdHeader);
    m_response.readAt = BootNow();
    request->message.exchange = m_exchange;
    m_hooks.onRequest(std::move(request->message));
    WatchCaller();
    const WriteResult written = WriteAnswer(*request);
    const ExchangeId ended = std::exchange(m_exchange, ExchangeId());
    if (m_response.cut || written == WriteResult::kIncomplete) {
      ReportCut(ended);
    }
    m_parts.clear();
    m_queuedBytes = 0;
    m_heldBytes = 0;
    m_countedBytes = 0;
    m_memory.EndRequest(m_memoryId);
    m_hooks.onEnd(ended);
    if (written == WriteResult::kClosing) {
      Linger();
    }
    // Responses whose header was sent before the server began to stop announced keep-alive. The
    // connection is closed nevertheless, because a later request would be aborted at process exit.
    const bool isLast =
      written != WriteResult::kReusable || (m_hooks.isStopping() && !HasPendingInput());
    if (isLast) {
      if (written == WriteResult::kReusable) {
        m_end = HttpEndCause::kStop;
      }
      break;
    }
  }
  Close();
  m_memory.Remove(m_memoryId);
}

void HttpSession::Close()
{
  ReportEnd();
  boost::system::error_code ignored;
  if (!m_closed && MustReset()) {
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  m_closed = true;
  m_deadline.Disarm();
  m_socket.close(ignored);
  m_changed.Notify();
}

void HttpSession::Stop()
{
  if (m_phase == Phase::kReading && !m_end) {
    m_end = HttpEndCause::kStop;
  }
  Close();
}

bool HttpSession::CloseIfIdle(HttpEndCause cause)
{
  const bool isIdle = m_idle && !m_closed && !HasPendingInput();
  if (isIdle) {
    m_end = cause;
    Close();
  }
  return isIdle;
}

bool HttpSession::CloseUnfinished(HttpEndCause cause)
{
  m_end = cause;
  Close();
  return true;
}

void HttpSession::ReportEnd()
{
  if (m_closed) {
    return;
  }
  const std::optional<HttpEndCause> cause = m_end ? m_end : EndBehindResponse();
  if (cause) {
    m_hooks.onEnded(*this,
                    ConnectionEnd{ .cause = *cause,
                                   .descriptor = m_socket.native_handle(),
                                   .served = m_served,
                                   .readAheadBytes = m_buffer.size(),
                                   .inputAt = m_inputAt });
  }
}

std::optional<HttpEndCause> HttpSession::EndBehindResponse()
{
  const bool hasCallerLeft = m_response.cut && m_response.cut->cause == AnswerCutCause::kCaller;
  if (m_phase != Phase::kServing || hasCallerLeft || !HasPendingInput()) {
    return std::nullopt;
  }
  return m_buffer.size() > 0 ? HttpEndCause::kReadAhead : HttpEndCause::kBehindLast;
}

void HttpSession::OnStopping()
{
  if (m_idle && m_served == 0 && !m_closed) {
    m_deadline.Arm(kStoppingIdleTimeout, [this] { CloseIfIdle(HttpEndCause::kStop); });
    return;
  }
  CloseIfIdle(HttpEndCause::kStop);
}

std::optional<TimePoint> HttpSession::IdleSince() const
{
  return m_idle && !m_closed ? std::optional(m_idleSince) : std::nullopt;
}

std::optional<double> HttpSession::ArrivalRate(TimePoint now) const
{
  const Duration since = now - m_inputAt;
  if (!m_arrivedBytes || m_closed || since < kMinArrivalTime) {
    return std::nullopt;
  }
  return static_cast<double>(*m_arrivedBytes) / std::chrono::duration<double>(since).count();
}

// A request counts as in flight, and is answered, once its first bytes are in the kernel buffer.
bool HttpSession::HasPendingInput()
{
  boost::system::error_code error;
  return m_buffer.size() > 0 || m_socket.available(error) > 0;
}

void HttpSession::ReleaseBuffer()
{
  if (m_buffer.size() == 0 && m_buffer.capacity() > kMaxRetainedBufferBytes) {
    m_buffer.shrink_to_fit();
  }
}

boost::system::error_code HttpSession::ReadSome()
{
  boost::system::error_code error;
  m_buffer.commit(m_socket.read_some(m_buffer.prepare(kFirstReadBytes), error));
  return error;
}

bool HttpSession::TakeTurn()
{
  if (std::exchange(m_hasTurn, false)) {
    return true;
  }
  const ReadTurn turn = m_hooks.awaitTurn({ .since = m_inputAt, .isRead = m_buffer.size() > 0 });
  m_isLate = turn == ReadTurn::kRefuse;
  const bool isGranted = turn != ReadTurn::kClose && !m_closed;
  if (!isGranted) {
    m_end = HttpEndCause::kStop;
  }
  return isGranted;
}

// The loop notices input only when it polls. If that was late, the kernel knows the time.
TimePoint HttpSession::ArrivalOfInput()
{
  const LoopTimes& times = m_hooks.loopTimes();
  if (times.polledAt - times.inputSince < kLateLoop) {
    return m_inputAt;
  }
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return m_inputAt;
  }
  const TimePoint arrival = BootNow() - std::chrono::milliseconds(info.tcpi_last_data_recv);
  return std::clamp(arrival, times.inputSince, m_inputAt);
}

bool HttpSession::WaitForRequest()
{
  m_inputAt = m_hooks.loopTimes().polledAt;
  m_receivedAt = m_inputAt;
  if (m_buffer.size() > 0) {
    return TakeTurn();
  }
  // The request of a new connection mostly came with it.
  if (std::exchange(m_hasTurn, false)) {
    const boost::system::error_code error = ReadSome();
    if (error != asio::error::would_block) {
      m_receivedAt = ArrivalOfInput();
      return !error;
    }
  }
  return WaitForInput();
}

bool HttpSession::WaitForInput()
{
  m_idleSince = m_inputAt;
  // Waits for readability before it reads: otherwise CloseIfIdle could close a connection as idle
  // whose bytes were read but not yet processed by this fiber. It also saves the buffer of idle
  // connections.
  boost::system::error_code error = asio::error::would_block;
  while (error == asio::error::would_block) {
    const Duration timeout = m_hooks.isStopping() ? kStoppingIdleTimeout : m_settings.idleTimeout;
    // Input that came with the timeout is served.
    m_deadline.Arm(timeout, [this] { CloseIfIdle(HttpEndCause::kIdle); });
    m_idle = true;
    const auto [failed, none] =
      Await([&](auto done) { m_socket.async_wait(tcp::socket::wait_read, done); });
    if (m_closed || failed) {
      return false;
    }
    m_idle = false;
    m_deadline.Disarm();
    m_inputAt = m_hooks.loopTimes().polledAt;
    if (!TakeTurn()) {
      return false;
    }
    error = ReadSome();
  }
  m_receivedAt = ArrivalOfInput();
  return !error;
}

// What a parser takes only as a whole (a head, the extensions of a chunk, a trailer section) stays
// in the buffer until its end. The parser limits the head alone.
template<class Condition>
boost::system::error_code HttpSession::ReadWhile(Parser& parser, const Condition& isUnfinished)
{
  boost::system::error_code error;
  while (!error && isUnfinished()) {
    const std::size_t most = std::clamp(parser.get().body().size(), kFirstReadBytes, kMaxReadBytes);
    const auto [failure, size] =
      Await([&](auto done) { m_socket.async_read_some(m_buffer.prepare(most), done); });
    m_buffer.commit(size);
    *m_arrivedBytes += size;
    error = failure ? failure : ParseBuffered(parser, m_buffer);
    if (!error && !parser.is_done() && m_buffer.size() > m_settings.maxHeaderBytes) {
      error = http::error::buffer_overflow;
    }
    CountArriving(parser);
    if (m_isShed) {
      error = asio::error::operation_aborted;
    }
  }
  return error;
}

void HttpSession::CountArriving(const Parser& parser)
{
  if (!parser.is_done()) {
    m_memory.SetArriving(
      m_memoryId, BootNow(), m_buffer.capacity() + parser.get().body().capacity());
  }
}

void HttpSession::OnShed()
{
  if (!m_exchange.IsNone()) {
    EndResponse(kNoMemory, kNoMemory);
    return;
  }
  m_isShed = true;
  boost::system::error_code ignored;
  m_socket.cancel(ignored);
}

boost::system::error_code HttpSession::ReadRest(Parser& parser)
{
  m_arrivedBytes = m_buffer.size() + parser.get().body().size();
  // Without a deadline, a caller could keep the connection open by sending single bytes.
  m_timedOut = false;
  const auto limit = [this](Duration timeout) {
    m_deadline.Arm(timeout, [this] {
      m_timedOut = true;
      boost::system::error_code ignored;
      m_socket.cancel(ignored);
    });
  };
  const bool hasHeadTimeout = m_settings.headTimeout > Duration::zero();
  limit(hasHeadTimeout ? std::min(m_settings.headTimeout, m_settings.requestTimeout)
                       : m_settings.requestTimeout);
  auto error = ReadWhile(parser, [&] { return !parser.is_header_done(); });
  if (!error && hasHeadTimeout) {
    limit(m_settings.requestTimeout);
  }
  if (!error && ExpectsContinue(parser)) {
    error = Await([&](auto done) {
              asio::async_write(m_socket, asio::buffer(std::string_view(kContinue)), done);
            }).first;
  }
  if (!error) {
    error = ReadWhile(parser, [&] { return !parser.is_done(); });
  }
  m_deadline.Disarm();
  m_arrivedBytes.reset();
  if (!error && !m_closed) {
    m_inputAt = m_hooks.loopTimes().polledAt;
    m_receivedAt = ArrivalOfInput();
  }
  return error;
}

std::optional<HttpSession::Request> HttpSession::ReadRequest()
{
  m_timedOut = false;
  m_isShed = false;
  m_isLate = false;
  m_phase = Phase::kReading;
  ReleaseBuffer();
  if (!WaitForRequest()) {
    return std::nullopt;
  }
  Parser parser;
  parser.header_limit(m_settings.maxHeaderBytes);
  parser.body_limit(m_settings.maxBodyBytes);
  boost::system::error_code error = ParseBuffered(parser, m_buffer);
  const bool mayRefuse = m_isLate && parser.is_header_done();
  if (!error && !parser.is_done() && !mayRefuse) {
    error = ReadRest(parser);
  }
  if (m_closed) {
    return std::nullopt;
  }
  if (m_isShed) {
    m_hooks.onRefusedForMemory(*this, parser.get()[kRequestIdHeader]);
    Refuse(parser, kNoMemory);
    return std::nullopt;
  }
  if (m_timedOut || error) {
    Discard(parser);
  }
  if (m_timedOut) {
    Reject(408, "the request did not arrive in time");
    return std::nullopt;
  }
  if (error) {
    if (IsMalformed(error)) {
      const bool isLongChunkHead = error == http::error::buffer_overflow;
      Reject(StatusFor(error), isLongChunkHead ? std::string(kLongChunkHead) : error.message());
    } else {
      m_end = HttpEndCause::kIncomplete;
    }
    return std::nullopt;
  }
  if (m_isLate) {
    m_hooks.onRefusedLate(*this, parser.get()[kRequestIdHeader]);
    Refuse(parser, kLate);
    return std::nullopt;
  }
  // With another coding, the end of the body may not be known; the rest of the body would be read
  // as a further request.
  if (!HasReadableCoding(parser.get())) {
    Discard(parser);
    Reject(kNotImplemented, "the transfer coding is not supported");
    return std::nullopt;
  }
  ReleaseBuffer();
  if (!m_memory.Hold(m_memoryId, parser.get().body().size())) {
    m_hooks.onRefusedForMemory(*this, parser.get()[kRequestIdHeader]);
    Refuse(parser, kNoMemory);
    return std::nullopt;
  }
  auto message = parser.release();
  Request request;
  request.version = message.version();
  request.keepAlive = message.keep_alive();
  request.head = message.method() == http::verb::head;
  request.message.method = std::string(message.method_string());
  request.message.target = std::string(message.target());
  request.message.headers = CopyHeaders(message);
  request.message.body = std::move(message.body());
  if (request.message.body.capacity() - request.message.body.size() > kFirstReadBytes) {
    request.message.body.shrink_to_fit();
  }
  request.message.peer = m_peer;
  request.message.receivedAt = m_receivedAt;
  return request;
}

void HttpSession::Reject(unsigned status, std::string_view message)
{
  m_phase = Phase::kRejected;
  m_hooks.onRejected(*this, status, message);
  if (WriteRejection({}, MakeError(status, m_hooks.errorBody(status, message)))) {
    DiscardInput();
  }
}

void HttpSession::Discard(Parser& parser)
{
  parser.get().body() = std::string();
  ReleaseBuffer();
  m_memory.EndRequest(m_memoryId);
}

void HttpSession::Refuse(Parser& parser, std::string_view reason)
{
  m_phase = Phase::kRejected;
  Discard(parser);
  const auto& head = parser.get();
  const std::string_view requestId = head[kRequestIdHeader];
  HttpAnswerOut answer = MakeError(kUnavailable, m_hooks.errorBody(kUnavailable, reason));
  answer.headers.push_back(HttpHeader{ "Retry-After", kRetryAfter });
  if (!requestId.empty()) {
    answer.headers.push_back(HttpHeader{ std::string(kRequestIdHeader), std::string(requestId) });
  }
  Request request;
  request.version = head.version();
  request.head = head.method() == http::verb::head;
  if (!WriteRejection(request, std::move(answer))) {
    return;
  }
  if (parser.is_done()) {
    Linger();
  } else {
    DiscardInput();
  }
}

// If a socket is closed with unread input, the kernel sends a reset, which tells the caller that
// its later requests were not read. The caller may lose a response that it has not received yet.
void HttpSession::Linger()
{
  const TimePoint since = BootNow();
  boost::system::error_code failure;
  m_socket.shutdown(tcp::socket::shutdown_send, failure);
  m_deadline.Arm(kLingerTimeout, [this] {
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
  });
  Await([&](auto done) { m_socket.async_wait(tcp::socket::wait_read, done); });
  m_deadline.Disarm();
  // Unread bytes would end each further wait for input at once.
  asio::steady_timer pause(m_socket.get_executor());
  while (!failure && !m_closed && MustLinger(since)) {
    pause.expires_after(kLingerInterval);
    Await([&](auto done) { pause.async_wait(done); });
  }
}

bool HttpSession::MustLinger(TimePoint since)
{
  if (HasPeerEnded(m_socket) || !HasPendingInput()) {
    return false;
  }
  const Duration waited = BootNow() - since;
  return waited < kLingerTimeout ||
         (waited < m_settings.writeTimeout && UnacknowledgedBytes(m_socket) > 0);
}

// The kernel resets a connection with unread input; what was read ahead is the same to the caller.
// A reset would destroy what is on its way to the caller.
bool HttpSession::MustReset()
{
  return m_buffer.size() > 0 && UnacknowledgedBytes(m_socket) == 0;
}

void HttpSession::AwaitDelivery()
{
  const TimePoint until = BootNow() + kLingerTimeout;
  asio::steady_timer pause(m_socket.get_executor());
  while (!m_closed && !HasPeerEnded(m_socket) && UnacknowledgedBytes(m_socket) > 0 &&
         BootNow() < until) {
    pause.expires_after(kLingerInterval);
    Await([&](auto done) { pause.async_wait(done); });
  }
}

void HttpSession::DiscardInput()
{
  boost::system::error_code failure;
  m_socket.shutdown(tcp::socket::shutdown_send, failure);
  m_deadline.Arm(kLingerTimeout, [this] { Close(); });
  std::size_t dropped = 0;
  m_buffer.clear();
  ReleaseBuffer();
  while (!failure && !m_closed && dropped < kLingerBytes) {
    m_buffer.clear();
    const auto [error, size] =
      Await([&](auto done) { m_socket.async_read_some(m_buffer.prepare(kFirstReadBytes), done); });
    failure = error;
    dropped += size;
  }
  m_deadline.Disarm();
}

// The socket is not read while a response is pending, so a disconnect must be detected separately;
// otherwise the work for that caller would continue.
void HttpSession::WatchCaller()
{
  if (m_watching || m_closed || m_exchange.IsNone()) {
    return;
  }
  m_watching = true;
  m_socket.async_wait(tcp::socket::wait_read,
                      [self = shared_from_this()](boost::system::error_code error) {
                        self->m_watching = false;
                        if (!self->m_closed && !self->m_exchange.IsNone()) {
                          self->OnReadable(static_cast<bool>(error));
                        }
                      });
}

void HttpSession::OnReadable(bool failed)
{
  if (failed || !IsCallerConnected()) {
    OnCallerDisconnected(AnswerCutCause::kCaller, kDisconnected);
  } else if (m_buffer.size() < kReadAheadBytes && !m_response.saysClose) {
    WatchCaller();
  }
}

// A caller may pipeline its next request. It is buffered so that a disconnect after it is detected,
// unless it won't be answered.
bool HttpSession::IsCallerConnected()
{
  if (m_response.saysClose) {
    return !HasPeerEnded(m_socket);
  }
  while (m_buffer.size() < kReadAheadBytes) {
    if (const InputState input = PeekInput(m_socket); input != InputState::kBytes) {
      return input == InputState::kNone;
    }
    if (const auto error = ReadSome(); error) {
      return error == asio::error::would_block;
    }
    CountResponse();
    if (m_closed) {
      return true; // Handled already.
    }
  }
  return true;
}

bool HttpSession::CheckCaller()
{
  if (m_closed) {
    return false;
  }
  const bool isConnected = IsCallerConnected();
  if (!isConnected) {
    OnCallerDisconnected(AnswerCutCause::kCaller, kDisconnected);
  }
  return isConnected;
}

void HttpSession::OnCallerDisconnected(AnswerCutCause cause, std::string_view reason)
{
  const ExchangeId exchange = m_exchange;
  SetCut(cause, reason);
  Close();
  m_hooks.onCallerGone(exchange);
}

} // namespace gooseberrysail::impl
