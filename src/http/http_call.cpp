#include "http/http_call.hpp"

#include "gooseberrysail/net/endpoint.hpp"
#include "http/http_headers.hpp"
#include "http/peek_input.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>
#include <xxhash.h>

namespace gooseberrysail::impl {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

using Parser = http::response_parser<http::buffer_body>;

constexpr std::size_t kPartBytes = 16 * 1024;
/// No request asks for it, and what follows it is not HTTP.
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;

std::uint64_t HashOf(std::string_view id)
{
  return XXH3_64bits(id.data(), id.size());
}

bool IsSafe(const TargetCallOut& call)
{
  return IsSafeToken(call.method) && IsSafeToken(call.path) &&
         std::all_of(call.headers.begin(), call.headers.end(), IsSafeHeader);
}

/// A process that ends with unread bytes resets its connections instead of closing them.
bool IsClosedByPeer(const boost::system::error_code& error)
{
  return error == asio::error::connection_reset || error == asio::error::broken_pipe;
}

http::request<http::string_body> MakeRequest(const std::string& address, TargetCallOut& call)
{
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(call.method);
  request.target(call.path);
  for (const HttpHeader& header : call.headers) {
    if (!IsHopByHopHeader(header.name)) {
      request.insert(header.name, header.value);
    }
  }
  if (request.find(http::field::host) == request.end()) {
    request.set(http::field::host, address);
  }
  request.body() = std::move(call.body);
  const bool isGetOrHead =
    request.method() == http::verb::get || request.method() == http::verb::head;
  if (!isGetOrHead || !request.body().empty()) {
    request.content_length(request.body().size());
  }
  return request;
}

/// Whether another response to the same request follows.
bool IsInterim(unsigned status)
{
  return status / 100 == 1 && status != kSwitchingProtocols;
}

/// Why a response can't be the answer to a request; empty if it can.
std::string_view DefectOf(const Parser& parser, bool acceptCloseDelimited)
{
  const unsigned status = parser.get().result_int();
  if (status < kFirstFinalStatus || status > kLastStatus) {
    return "its status is not that of an answer";
  }
  if (!HasReadableCoding(parser.get())) {
    return "its transfer coding is not supported";
  }
  if (parser.need_eof() && !acceptCloseDelimited) {
    return "neither length nor chunks: a cut answer would look whole";
  }
  return "";
}

TargetAnswerIn MakePart(ExchangeId exchange)
{
  TargetAnswerIn part;
  part.exchange = exchange;
  return part;
}

TargetAnswerIn MakeFirstPart(ExchangeId exchange, const Parser& parser)
{
  TargetAnswerIn part = MakePart(exchange);
  part.status = parser.get().result_int();
  part.framing = parser.need_eof() ? AnswerFraming::kUntilClose : AnswerFraming::kDelimited;
  for (const auto& field : parser.get()) {
    const std::string name(field.name_string());
    if (!IsHopByHopHeader(name)) {
      part.headers.push_back(HttpHeader{ name, std::string(field.value()) });
    }
  }
  return part;
}

} // namespace

HttpCall::HttpCall(asio::io_context& io,
                   const HttpClientSettings& settings,
                   std::string address,
                   TargetCallOut call,
                   HttpCallHooks hooks)
  : m_settings(settings)
  , m_address(std::move(address))
  , m_call(std::move(call))
  , m_hooks(std::move(hooks))
  , m_socket(io)
  , m_requestId(FindHeader(m_call.headers, kRequestIdHeader))
  , m_buffer(m_settings.maxHeaderBytes + kPartBytes)
  , m_deadline(io.get_executor())
  , m_totalDeadline(io.get_executor())
{
}

bool HttpCall::IsAmbiguousOn(const KeptConnection& connection) const
{
  return m_settings.reuse == ConnectionReuse::kIdentified &&
         std::ranges::find(connection.carried, HashOf(m_requestId)) != connection.carried.end();
}

void HttpCall::Reuse(KeptConnection connection)
{
  m_socket = std::move(connection.socket);
  m_carried = std::move(connection.carried);
  m_reused = true;
}

KeptConnection HttpCall::TakeConnection()
{
  if (m_settings.reuse == ConnectionReuse::kIdentified) {
    m_carried.push_back(HashOf(m_requestId));
  }
  return { std::move(m_socket), std::move(m_carried) };
}

bool HttpCall::IsIdentified(std::string_view answeredId) const
{
  return !m_requestId.empty() && answeredId == m_requestId;
}

bool HttpCall::Run()
{
  const bool reusable = BeginSending() && SendRequest() && ReadAnswer();
  m_deadline.Disarm();
  m_totalDeadline.Disarm();
  return reusable && !m_cancelled;
}

void HttpCall::Cancel()
{
  m_cancelled = true;
  m_deadline.Disarm();
  m_totalDeadline.Disarm();
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

void HttpCall::Withdraw()
{
  if (m_isSending || m_cancelled) {
    return;
  }
  m_isWithdrawn = true;
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

void HttpCall::ArmTimeout(Duration timeout)
{
  if (timeout == Duration::zero()) {
    return;
  }
  m_deadline.Arm(timeout, [this, timeout] {
    if (PeekInput(m_socket) == InputState::kBytes) {
      ArmTimeout(timeout);
      return;
    }
    m_timedOut = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
  });
}

// If the event loop is late, bytes that came in time wait in the socket, or the fiber hasn't run
// since they were read: they get the same time again.
void HttpCall::ArmTotalTimeout()
{
  if (m_call.totalTimeout == Duration::zero()) {
    return;
  }
  const auto end = [this] {
    m_timedOut = true;
    m_isOverdue = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
  };
  m_totalDeadline.Arm(m_call.totalTimeout, [this, end] {
    if (!m_isReading || PeekInput(m_socket) == InputState::kBytes) {
      m_totalDeadline.Arm(m_call.totalTimeout, end);
    } else {
      end();
    }
  });
}

// A late event loop notices the timeout together with bytes that came before it. The completion
// runs first, but the fiber only after both.
template<class Start>
std::pair<boost::system::error_code, std::size_t> HttpCall::AwaitInTime(Start&& start)
{
  return Await([&](auto done) {
    m_isReading = true;
    start([this, done](boost::system::error_code error, std::size_t size = 0) mutable {
      m_isReading = false;
      m_deadline.Disarm();
      done(error, size);
    });
  });
}

bool HttpCall::Fail(ErrorCode code, std::string step, std::string description, bool neverSent)
{
  m_deadline.Disarm();
  m_totalDeadline.Disarm();
  if (m_cancelled) {
    return false;
  }
  boost::system::error_code ignored;
  m_socket.close(ignored);
  if (m_timedOut) {
    code = ErrorCode::kTimeout;
    description = m_isOverdue ? "not whole in time" : "no byte in time";
  }
  m_cancelled = true;
  m_hooks.onFailed(
    TargetFailedIn{ m_call.exchange,
                    Error{ code, std::move(step), m_address, std::move(description) },
                    neverSent,
                    m_isWithdrawn });
  return false;
}

bool HttpCall::IsWanted() const
{
  return m_call.caller.IsNone() || !m_hooks.isCallerConnected ||
         m_hooks.isCallerConnected(m_call.caller);
}

bool HttpCall::BeginSending()
{
  if (m_cancelled) {
    return false;
  }
  if (!m_isWithdrawn && !m_reused && !Connect()) {
    return false;
  }
  // Whoever started the call learns from the server that the caller has left.
  if (!IsWanted()) {
    Cancel();
    return false;
  }
  if (m_isWithdrawn) {
    return Fail(ErrorCode::kUnavailable, "send call", "withdrawn before it was sent", true);
  }
  m_isSending = true;
  return true;
}

bool HttpCall::Connect()
{
  const Result<tcp::endpoint> endpoint = ParseEndpoint(m_address);
  if (!endpoint) {
    return Fail(ErrorCode::kInvalid, "connect to target", endpoint.error().description, true);
  }
  ArmTimeout(m_settings.connectTimeout);
  const auto [error, size] =
    AwaitInTime([&](auto done) { m_socket.async_connect(endpoint.value(), done); });
  if (m_isWithdrawn) {
    return true; // Its connection was closed on purpose.
  }
  if (error || m_timedOut || m_cancelled) {
    // Any other error may be a shortage of this process or a path that fails.
    const bool isRefused = error == asio::error::connection_refused;
    return Fail(isRefused ? ErrorCode::kUnavailable : ErrorCode::kIo,
                "connect to target",
                error.message(),
                true);
  }
  boost::system::error_code ignored;
  m_socket.set_option(tcp::no_delay(true), ignored);
  return true;
}

bool HttpCall::SendRequest()
{
  if (!IsSafe(m_call)) {
    return Fail(ErrorCode::kInvalid,
                "send call",
                "the method, the path or a header holds a letter that HTTP does not allow there",
                true);
  }
  ArmTotalTimeout();
  ArmTimeout(m_call.timeout);
  const auto request = MakeRequest(m_address, m_call);
  http::request_serializer<http::string_body> serializer(request);
  const auto [error, size] =
    Await([&](auto done) { http::async_write(m_socket, serializer, done); });
  if (error || m_timedOut || m_cancelled) {
    // If the write failed before the kernel accepted any byte, nothing was sent.
    const bool isClosed = size != 0 && IsClosedByPeer(error);
    return Fail(
      isClosed ? ErrorCode::kUnavailable : ErrorCode::kIo, "send call", error.message(), size == 0);
  }
  return true;
}

bool HttpCall::FailRead(const boost::system::error_code& error)
{
  if (error == http::error::buffer_overflow) {
    return Fail(ErrorCode::kTooLarge,
                "read answer",
                "the extensions of a chunk or the trailer section exceed " +
                  std::to_string(m_buffer.max_size()) + " bytes",
                false);
  }
  const bool ended = error == http::error::end_of_stream || error == http::error::partial_message;
  return Fail(ended || IsClosedByPeer(error) ? ErrorCode::kUnavailable : ErrorCode::kIo,
              "read answer",
              ended ? "closed before the answer was whole" : error.message(),
              false);
}

bool HttpCall::FailTooLong()
{
  return Fail(ErrorCode::kTooLarge,
              "read answer",
              "the body exceeds " + std::to_string(m_call.maxAnswerBytes) + " bytes",
              false);
}

bool HttpCall::Deliver(TargetAnswerIn part)
{
  if (!m_cancelled) {
    m_hooks.onAnswer(std::move(part));
  }
  return !m_cancelled;
}

bool HttpCall::ReadAnswer()
{
  std::optional<Parser> parser;
  std::size_t headBytes = 0;
  do {
    // Interim responses precede the final one.
    parser.emplace();
    const std::size_t left = m_settings.maxHeaderBytes - headBytes;
    parser->header_limit(static_cast<std::uint32_t>(left));
    parser->body_limit(boost::none);
    parser->skip(m_call.method == "HEAD");
    ArmTimeout(m_call.timeout);
    const auto [error, size] =
      AwaitInTime([&](auto done) { http::async_read_header(m_socket, m_buffer, *parser, done); });
    headBytes += size;
    if (error == http::error::header_limit || headBytes >= m_settings.maxHeaderBytes) {
      return Fail(ErrorCode::kTooLarge,
                  "read answer",
                  "the head exceeds " + std::to_string(m_settings.maxHeaderBytes) + " bytes",
                  false);
    }
    if (error || m_timedOut || m_cancelled) {
      return FailRead(error);
    }
  } while (IsInterim(parser->get().result_int()));

  if (const std::string_view defect = DefectOf(*parser, m_settings.acceptCloseDelimited);
      !defect.empty()) {
    return Fail(ErrorCode::kCorrupt, "read answer", std::string(defect), false);
  }
  if (!parser->is_done() && IsTooLong(parser->content_length().value_or(0))) {
    return FailTooLong();
  }
  TargetAnswerIn part = MakeFirstPart(m_call.exchange, *parser);
  std::uint64_t bodyBytes = 0;
  std::array<char, kPartBytes> bytes;
  while (!parser->is_done()) {
    // Delivers the bytes already read before waiting for more. With a Content-Length, the rest of
    // the buffer is body and is appended first; with chunked encoding, it may be only a line end.
    const bool waits = parser->chunked() || m_buffer.size() == 0 || part.bytes.size() >= kPartBytes;
    if (waits && (part.status || !part.bytes.empty())) {
      if (!Deliver(std::exchange(part, MakePart(m_call.exchange)))) {
        return false;
      }
    }
    ArmTimeout(m_call.timeout);
    parser->get().body().data = bytes.data();
    parser->get().body().size = bytes.size();
    parser->get().body().more = true;
    const auto [error, size] =
      AwaitInTime([&](auto done) { http::async_read_some(m_socket, m_buffer, *parser, done); });
    if (m_timedOut || m_cancelled || (error && error != http::error::need_buffer)) {
      return FailRead(error);
    }
    const std::size_t read = bytes.size() - parser->get().body().size;
    bodyBytes += read;
    if (IsTooLong(bodyBytes)) {
      return FailTooLong();
    }
    part.bytes.append(bytes.data(), read);
  }
  m_deadline.Disarm();
  part.end = true;
  const bool isKnown = m_settings.reuse == ConnectionReuse::kWhole ||
                       IsIdentified(parser->get()[std::string_view(kRequestIdHeader)]);
  const bool reusable = parser->keep_alive() && m_buffer.size() == 0 && isKnown;
  return Deliver(std::move(part)) && reusable;
}

} // namespace gooseberrysail::impl
