#include "gooseberrysail/shell/clock.hpp"
#include "http/http_headers.hpp"
#include "http/http_session.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace gooseberrysail::impl {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr unsigned kDefaultStatus = 200;
/// Responses and read-ahead input below this are covered by the cost of a connection.
constexpr std::size_t kMinCountedBytes = 4 * 1024;
constexpr std::size_t kMaxLoggedIdLength = 64;
/// A write timeout of which the event loop missed this part is not the caller's fault.
constexpr int kLateFraction = 4;

bool HasNoBody(unsigned status)
{
  return status / 100 == 1 || status == 204 || status == 304;
}

template<class Message>
void FillHead(Message& message, const HttpAnswerOut& part)
{
  message.result(part.status.value_or(kDefaultStatus));
  for (const HttpHeader& header : part.headers) {
    if (!IsHopByHopHeader(header.name) && IsSafeHeader(header)) {
      message.insert(header.name, header.value);
    }
  }
}

} // namespace

HttpAnswerOut MakeError(unsigned status, std::string body)
{
  HttpAnswerOut answer;
  answer.status = status;
  answer.headers.push_back(HttpHeader{ "Content-Type", "application/json" });
  answer.bytes = std::move(body);
  answer.end = true;
  return answer;
}

// While the server stops, what the caller sent ahead is answered before the connection is closed.
bool HttpSession::MayReuse(const Request& request, bool endsConnection)
{
  const bool isLast = endsConnection || m_hooks.isStopping();
  const bool mayHaveNext = !isLast || HasPendingInput();
  return request.keepAlive && mayHaveNext && !m_endsWithConnection;
}

// A process that is killed doesn't close its connections itself. The kernel then closes them in
// order, like that of a complete response, unless it has been told to reset them.
bool HttpSession::SetEndsWithConnection(bool endsWithConnection)
{
  if (m_endsWithConnection == endsWithConnection) {
    return true;
  }
  m_endsWithConnection = endsWithConnection;
  boost::system::error_code error;
  m_socket.set_option(asio::socket_base::linger(endsWithConnection, 0), error);
  if (error && !m_closed) {
    OnCallerDisconnected(AnswerCutCause::kCaller, "the end of the response could not be marked");
  }
  return !error;
}

// While the loop did not run, nothing could be written, however fast the caller reads.
void HttpSession::ArmWriteTimeout()
{
  m_deadline.Arm(m_settings.writeTimeout, [this] {
    if (m_hooks.loopTimes().latestRound >= m_settings.writeTimeout / kLateFraction) {
      ArmWriteTimeout();
      return;
    }
    OnCallerDisconnected(AnswerCutCause::kWriteTimeout, "the caller did not read in time");
  });
}

template<class Start>
bool HttpSession::Write(Start&& start)
{
  ArmWriteTimeout();
  const auto [error, size] = Await(std::forward<Start>(start));
  m_deadline.Disarm();
  m_response.sentBytes += size;
  if (error && !m_closed) {
    OnCallerDisconnected(AnswerCutCause::kCaller, "the response could not be written");
  }
  return !error && !m_closed;
}

void HttpSession::Answer(HttpAnswerOut part)
{
  if (m_closed) {
    return;
  }
  if (m_queuedBytes > 0 && m_queuedBytes + part.bytes.size() > m_settings.maxQueuedAnswerBytes) {
    // The caller reads the response more slowly than the target produces it, or its response waits
    // for its end.
    EndResponse("the caller reads the response too slowly",
                "the response is too long to be held until its end");
    return;
  }
  if (part.bytes.capacity() - part.bytes.size() > kMinCountedBytes) {
    part.bytes.shrink_to_fit();
  }
  m_queuedBytes += part.bytes.size();
  m_heldBytes = part.end ? 0 : m_heldBytes;
  m_parts.push_back(std::move(part));
  m_changed.Notify();
  CountResponse();
}

void HttpSession::EndResponse(std::string_view cutReason, std::string_view failure)
{
  const ExchangeId exchange = m_exchange;
  if (m_response.hasBegun) {
    Abort(AnswerCutCause::kSlowCaller, cutReason);
  } else {
    m_response.failure = failure;
    m_parts.clear();
    m_queuedBytes = 0;
    HttpAnswerOut failed;
    failed.abort = true;
    m_parts.push_back(std::move(failed));
    m_changed.Notify();
  }
  m_hooks.onCallerGone(exchange);
}

void HttpSession::SetHeldBytes(std::size_t bytes)
{
  if (!m_closed) {
    m_heldBytes = bytes;
    CountResponse();
  }
}

void HttpSession::CountResponse()
{
  const std::size_t buffered = m_buffer.size() > 0 ? m_buffer.capacity() : 0;
  const std::size_t bytes = m_queuedBytes + m_heldBytes + buffered;
  const bool isCounted = bytes > kMinCountedBytes || m_countedBytes > 0;
  if (isCounted && bytes != m_countedBytes && !m_exchange.IsNone()) {
    m_countedBytes = bytes;
    m_memory.SetAnswer(m_memoryId, BootNow(), bytes);
  }
}

bool HttpSession::WaitForPart()
{
  while (m_parts.empty() && !m_closed) {
    m_changed.Wait();
  }
  return !m_closed;
}

bool HttpSession::WaitForEnd()
{
  while (!m_closed && !m_parts.back().end && !m_parts.back().abort) {
    m_changed.Wait();
  }
  return !m_closed;
}

// Joins all queued parts up to an end or abort, so that small parts are written together. Parts
// after an abort are not sent.
HttpAnswerOut HttpSession::JoinParts()
{
  HttpAnswerOut joined = std::move(m_parts.front());
  m_parts.pop_front();
  while (!m_parts.empty() && !joined.end && !joined.abort) {
    joined.bytes += m_parts.front().bytes;
    joined.end = m_parts.front().end;
    joined.abort = m_parts.front().abort;
    m_parts.pop_front();
  }
  return joined;
}

HttpSession::WriteResult HttpSession::WriteAnswer(const Request& request)
{
  // HTTP/1.0 has no chunked encoding, so an aborted response would look complete. The response is
  // buffered and sent with its length.
  const bool buffered = request.version < 11;
  if (!WaitForPart() || (buffered && !WaitForEnd())) {
    return WriteResult::kIncomplete;
  }
  HttpAnswerOut first = JoinParts();
  if (m_response.requestId.empty()) {
    m_response.requestId = FindHeader(first.headers, kRequestIdHeader);
  }
  m_response.hasBegun = true;
  if (first.abort) {
    return WriteFailure(request);
  }
  return first.end ? WriteWhole(request, std::move(first)) : WriteStream(request, std::move(first));
}

HttpSession::WriteResult HttpSession::WriteFailure(const Request& request)
{
  HttpAnswerOut failure =
    MakeError(kBadGateway, m_hooks.errorBody(kBadGateway, m_response.failure));
  if (!m_response.requestId.empty()) {
    failure.headers.push_back(HttpHeader{ std::string(kRequestIdHeader), m_response.requestId });
  }
  const WriteResult written = WriteWhole(request, std::move(failure));
  if (written != WriteResult::kIncomplete) {
    SetCut(AnswerCutCause::kUnsent, m_response.failure);
  }
  return written;
}

HttpSession::WriteResult HttpSession::WriteWhole(const Request& request, HttpAnswerOut part)
{
  http::response<http::string_body> answer;
  answer.version(request.version);
  FillHead(answer, part);
  const bool hasBody = !HasNoBody(answer.result_int());
  if (!SetEndsWithConnection(hasBody && part.framing == AnswerFraming::kUntilClose)) {
    return WriteResult::kIncomplete;
  }
  const bool reuse = MayReuse(request, part.endsConnection);
  m_response.saysClose = request.keepAlive && !reuse;
  answer.keep_alive(reuse);
  if (hasBody) {
    // A target sends no body in answer to HEAD, so that its length is not known here.
    const bool isLengthKnown = !request.head || !part.bytes.empty();
    if (!m_endsWithConnection && isLengthKnown) {
      answer.content_length(part.bytes.size());
    }
    answer.body() = request.head ? std::string() : std::move(part.bytes);
  }
  http::response_serializer<http::string_body> serializer(answer);
  if (!Write([&](auto done) { http::async_write(m_socket, serializer, done); })) {
    return WriteResult::kIncomplete;
  }
  if (!SetEndsWithConnection(false)) {
    return WriteResult::kIncomplete;
  }
  return reuse ? WriteResult::kReusable : WriteResult::kClosing;
}

HttpSession::WriteResult HttpSession::WriteStream(const Request& request, HttpAnswerOut part)
{
  http::response<http::empty_body> head;
  head.version(request.version);
  FillHead(head, part);
  const bool hasBody = !HasNoBody(head.result_int());
  if (!SetEndsWithConnection(hasBody && part.framing == AnswerFraming::kUntilClose)) {
    return WriteResult::kIncomplete;
  }
  const bool reuse = MayReuse(request, part.endsConnection);
  m_response.saysClose = request.keepAlive && !reuse;
  head.keep_alive(reuse);
  head.chunked(hasBody && !m_endsWithConnection);
  http::response_serializer<http::empty_body> serializer(head);
  if (!Write([&](auto done) { http::async_write_header(m_socket, serializer, done); })) {
    return WriteResult::kIncomplete;
  }
  const BodyEncoding encoding =
    m_endsWithConnection ? BodyEncoding::kPlain : BodyEncoding::kChunked;
  if (!WriteBody(std::move(part), hasBody && !request.head ? encoding : BodyEncoding::kNone)) {
    return WriteResult::kIncomplete;
  }
  if (!SetEndsWithConnection(false)) {
    return WriteResult::kIncomplete;
  }
  return reuse ? WriteResult::kReusable : WriteResult::kClosing;
}

bool HttpSession::WriteBodyPart(std::string_view bytes, BodyEncoding encoding)
{
  if (bytes.empty() || encoding == BodyEncoding::kNone) {
    return true;
  }
  const auto buffer = asio::buffer(bytes);
  if (encoding == BodyEncoding::kPlain) {
    return Write([&](auto done) { asio::async_write(m_socket, buffer, done); });
  }
  const auto chunk = http::make_chunk(buffer);
  return Write([&](auto done) { asio::async_write(m_socket, chunk, done); });
}

bool HttpSession::WriteBody(HttpAnswerOut part, BodyEncoding encoding)
{
  for (;;) {
    const std::size_t size = part.bytes.size();
    if (!WriteBodyPart(part.bytes, encoding)) {
      return false;
    }
    m_queuedBytes -= std::min(m_queuedBytes, size);
    CountResponse();
    if (part.abort) {
      SetCut(AnswerCutCause::kProcess, "aborted by the process during the response");
      if (m_buffer.size() > 0) {
        AwaitDelivery();
      }
      Close();
      return false;
    }
    if (part.end) {
      break;
    }
    if (!WaitForPart()) {
      return false;
    }
    part = JoinParts();
  }
  const auto last = http::make_chunk_last();
  return encoding != BodyEncoding::kChunked ||
         Write([&](auto done) { asio::async_write(m_socket, last, done); });
}

bool HttpSession::WriteRejection(const Request& request, HttpAnswerOut answer)
{
  return WriteWhole(request, std::move(answer)) != WriteResult::kIncomplete;
}

// Closes the connection without the last chunk or by a reset, so that no caller can take the
// response for a complete one.
void HttpSession::Abort(AnswerCutCause cause, std::string_view reason)
{
  SetCut(cause, reason);
  Close();
}

void HttpSession::SetCut(AnswerCutCause cause, std::string_view reason)
{
  if (!m_response.cut) {
    m_response.cut = AnswerCut{ .cause = cause, .reason = reason };
  }
}

// Runs after the last write has ended, when the number of sent bytes is known.
void HttpSession::ReportCut(ExchangeId exchange)
{
  SetCut(AnswerCutCause::kStop, "the server was closed");
  m_response.cut->exchange = exchange;
  m_response.cut->request = m_response.requestId.substr(0, kMaxLoggedIdLength);
  m_response.cut->sentBytes = m_response.sentBytes;
  m_response.cut->queuedBytes = m_queuedBytes;
  m_response.cut->readAheadBytes = m_buffer.size();
  m_response.cut->sinceRead = BootNow() - m_response.readAt;
  m_hooks.onCut(*this, *m_response.cut);
}

} // namespace gooseberrysail::impl
