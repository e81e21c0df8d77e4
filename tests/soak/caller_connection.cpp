#include "soak/caller_connection.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/beast/http.hpp>
#include <limits>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace gooseberrysail::soak {

namespace {

namespace http = boost::beast::http;
using Parser = http::response_parser<http::string_body>;

constexpr std::size_t kReadBytes = 16 * 1024;
/// For connecting and for each write.
constexpr timeval kSendTimeout{ .tv_sec = 1, .tv_usec = 0 };

sockaddr_in ToSocketAddress(const std::string& address)
{
  const auto colon = address.rfind(':');
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  return result;
}

/// \returns The bytes that the parser took.
std::size_t Parse(Parser& parser,
                  boost::beast::flat_buffer& buffer,
                  boost::beast::error_code& error)
{
  const std::size_t before = buffer.size();
  while (!error && !parser.is_done() && buffer.size() > 0) {
    buffer.consume(parser.put(buffer.cdata(), error));
  }
  if (error == http::error::need_more) {
    error = {};
  }
  return before - buffer.size();
}

test::HttpReply ToReply(const Parser& parser)
{
  test::HttpReply reply;
  if (parser.is_header_done()) {
    reply.status = parser.get().result_int();
    reply.framed = !parser.need_eof();
    for (const auto& field : parser.get()) {
      reply.headers.emplace_back(field.name_string(), field.value());
    }
  }
  reply.body = parser.get().body();
  reply.whole = parser.is_done();
  return reply;
}

} // namespace

bool CallerConnection::Open(const std::string& address)
{
  Close();
  m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ::setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &kSendTimeout, sizeof(kSendTimeout));
  const sockaddr_in endpoint = ToSocketAddress(address);
  if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint)) != 0) {
    Close();
    return false;
  }
  const int on = 1;
  ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return true;
}

void CallerConnection::Close()
{
  if (m_socket >= 0) {
    ::close(m_socket);
  }
  m_socket = -1;
  m_sentBytes = 0;
  m_buffer.clear();
}

bool CallerConnection::Send(std::string_view bytes)
{
  while (!bytes.empty()) {
    const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0) {
      return false;
    }
    m_sentBytes += static_cast<std::uint64_t>(sent);
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

void CallerConnection::CloseSendingSide()
{
  ::shutdown(m_socket, SHUT_WR);
}

// The kernel keeps this count after the connection has ended, so that it tells whether the other
// side took a request before it closed.
std::uint64_t CallerConnection::AcknowledgedBytes() const
{
  int unacknowledged = 0;
  if (::ioctl(m_socket, SIOCOUTQ, &unacknowledged) != 0) {
    return 0;
  }
  return m_sentBytes - std::min(m_sentBytes, static_cast<std::uint64_t>(unacknowledged));
}

CallerConnection::Received CallerConnection::Receive(Clock::time_point until)
{
  Received received;
  Parser parser;
  parser.eager(true);
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  boost::beast::error_code error;
  ReplyEnd end = ReplyEnd::kWhole;
  while (end == ReplyEnd::kWhole) {
    received.bytes += Parse(parser, m_buffer, error);
    if (error || parser.is_done()) {
      break;
    }
    end = ReadSome(until);
  }
  if (end == ReplyEnd::kClosed && parser.is_header_done() && parser.need_eof()) {
    parser.put_eof(error);
    end = ReplyEnd::kWhole;
  }
  received.reply = ToReply(parser);
  received.isCloseAnnounced = parser.is_header_done() && !parser.get().keep_alive();
  received.end = error ? ReplyEnd::kMalformed : end;
  return received;
}

ReplyEnd CallerConnection::ReadSome(Clock::time_point until)
{
  int ready = -1;
  while (ready < 0) { // Signals interrupt it.
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - Clock::now()).count();
    pollfd input{ m_socket, POLLIN, 0 };
    ready = left > 0 ? ::poll(&input, 1, static_cast<int>(left)) : 0;
  }
  if (ready == 0) {
    return ReplyEnd::kCallerLeft;
  }
  const auto space = m_buffer.prepare(kReadBytes);
  const ssize_t size = ::recv(m_socket, space.data(), space.size(), 0);
  if (size > 0) {
    m_buffer.commit(static_cast<std::size_t>(size));
    return ReplyEnd::kWhole;
  }
  return size == 0 ? ReplyEnd::kClosed : ReplyEnd::kReset;
}

} // namespace gooseberrysail::soak
