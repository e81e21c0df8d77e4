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

bool HasNoBody(unsigned status)
{
  return status / 100 == 1 || status == 204 || status == 304;
}

template<class Message>
void FillHead(Message& message, const HttpAnswerOut& part)
{
  message.result(part.status.value_or(kDefaultStatus));
  for (const HttpHeader& header : part.headers) {
    if (!IsHopHeader(header.name) && IsSafeHeader(header)) {
      message.insert(header.name, header.value);
    }
  }
}

} // namespace

template<class Start>
bool HttpSession::Write(Start&& start)
{
  m_deadline.Arm(m_settings.writeTimeout, [this] { LoseCaller(); });
  const auto [error, size] = Await(std::forward<Start>(start));
  m_deadline.Disarm();
  if (error && !m_closed) {
    LoseCaller();
  }
  return !error && !m_closed;
}

void HttpSession::Answer(HttpAnswerOut part)
{
  if (m_closed) {
    return;
  }
  if (m_queuedBytes > 0 && m_queuedBytes + part.bytes.size() > m_settings.maxQueuedAnswerBytes) {
    // The caller takes its answer more slowly than the target makes it.
    const ExchangeId exchange = m_exchange;
    Cut("the caller reads too slowly");
    m_hooks.onCallerGone(exchange);
    return;
  }
  m_queuedBytes += part.bytes.size();
  m_parts.push_back(std::move(part));
  m_changed.Notify();
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

// Joins what is queued into one part, so that many small parts share one write. What follows an
// abort is dropped.
HttpAnswerOut HttpSession::TakeParts()
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

HttpSession::Written HttpSession::WriteAnswer(const Request& request)
{
  // HTTP/1.0 has no chunks: a cut answer would look whole. It is gathered and sent with its length.
  const bool gather = request.version < 11;
  if (!WaitForPart() || (gather && !WaitForEnd())) {
    return Written::kBroken;
  }
  HttpAnswerOut first = TakeParts();
  if (first.abort && (gather || first.bytes.empty())) {
    Cut("aborted before any byte of the answer left");
    return Written::kBroken;
  }
  return first.end ? WriteWhole(request, first) : WriteStream(request, std::move(first));
}

HttpSession::Written HttpSession::WriteWhole(const Request& request, const HttpAnswerOut& part)
{
  http::response<http::string_body> answer;
  answer.version(request.version);
  FillHead(answer, part);
  const bool reuse = request.keepAlive && !m_hooks.isStopping();
  answer.keep_alive(reuse);
  if (!HasNoBody(answer.result_int())) {
    answer.content_length(part.bytes.size());
    answer.body() = request.head ? std::string() : part.bytes;
  }
  http::response_serializer<http::string_body> serializer(answer);
  if (!Write([&](auto done) { http::async_write(m_socket, serializer, done); })) {
    return Written::kBroken;
  }
  return reuse ? Written::kMayReuse : Written::kMustClose;
}

HttpSession::Written HttpSession::WriteStream(const Request& request, HttpAnswerOut part)
{
  http::response<http::empty_body> head;
  head.version(request.version);
  FillHead(head, part);
  const bool reuse = request.keepAlive && !m_hooks.isStopping();
  head.keep_alive(reuse);
  const bool chunked = !HasNoBody(head.result_int());
  head.chunked(chunked);
  http::response_serializer<http::empty_body> serializer(head);
  if (!Write([&](auto done) { http::async_write_header(m_socket, serializer, done); })) {
    return Written::kBroken;
  }
  if (!WriteChunks(std::move(part), chunked && !request.head)) {
    return Written::kBroken;
  }
  return reuse ? Written::kMayReuse : Written::kMustClose;
}

bool HttpSession::WriteChunks(HttpAnswerOut part, bool hasBody)
{
  for (;;) {
    const std::size_t size = part.bytes.size();
    const auto chunk = http::make_chunk(asio::buffer(part.bytes));
    const bool written =
      !hasBody || size == 0 || Write([&](auto done) { asio::async_write(m_socket, chunk, done); });
    if (!written) {
      return false;
    }
    m_queuedBytes -= std::min(m_queuedBytes, size);
    if (part.abort) {
      Cut("aborted by its owner");
      return false;
    }
    if (part.end) {
      break;
    }
    if (!WaitForPart()) {
      return false;
    }
    part = TakeParts();
  }
  const auto last = http::make_chunk_last();
  return !hasBody || Write([&](auto done) { asio::async_write(m_socket, last, done); });
}

bool HttpSession::WriteRejection(unsigned status, const std::string& body)
{
  http::response<http::string_body> answer;
  answer.version(11);
  answer.result(status);
  answer.set(http::field::content_type, "application/json");
  answer.keep_alive(false);
  answer.body() = body;
  answer.prepare_payload();
  http::response_serializer<http::string_body> serializer(answer);
  return Write([&](auto done) { http::async_write(m_socket, serializer, done); });
}

// The connection is closed without the last chunk, or without any answer: no caller can take what
// it got for a whole answer.
void HttpSession::Cut(std::string_view reason)
{
  const ExchangeId exchange = m_exchange;
  Close();
  m_hooks.onCut(*this, exchange, reason);
}

} // namespace gooseberrysail::impl
