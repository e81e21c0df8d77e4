#include "support/http_call.hpp"

#include "support/persistent_connection.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <optional>

namespace gooseberrysail::test {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

Tcp::endpoint Endpoint(const std::string& address)
{
  const auto colon = address.rfind(':');
  const auto port = static_cast<unsigned short>(std::stoul(address.substr(colon + 1)));
  return { boost::asio::ip::make_address(address.substr(0, colon)), port };
}

http::request<http::string_body> MakeRequest(const HttpCall& call)
{
  http::request<http::string_body> request;
  request.method_string(call.method);
  request.target(call.target);
  request.set(http::field::host, call.address);
  for (const auto& [name, value] : call.headers) {
    request.set(name, value);
  }
  request.body() = call.body;
  request.prepare_payload();
  return request;
}

/// Runs one asynchronous operation to completion; the timer of the stream limits its duration.
template<class Start>
beast::error_code RunOperation(boost::asio::io_context& io, Start&& start)
{
  std::optional<beast::error_code> result;
  start([&](beast::error_code error, std::size_t = 0) { result = error; });
  io.restart();
  while (!result && io.run_one() > 0) {
  }
  return result.value_or(boost::asio::error::operation_aborted);
}

void CopyHead(const http::response_parser<http::string_body>& parser, HttpReply& reply)
{
  reply.status = parser.get().result_int();
  for (const auto& field : parser.get()) {
    reply.headers.emplace_back(field.name_string(), field.value());
  }
}

} // namespace

std::string HttpReply::Header(std::string_view name) const
{
  for (const auto& [key, value] : headers) {
    if (beast::iequals(key, { name.data(), name.size() })) {
      return value;
    }
  }
  return "";
}

struct PersistentConnection::Impl
{
  boost::asio::io_context io;
  beast::tcp_stream stream{ io };
  beast::flat_buffer buffer;
  std::string address; ///< Address of the open connection; "" without one.

  beast::error_code Connect(const HttpCall& call)
  {
    if (address == call.address) {
      return {};
    }
    Drop();
    const auto error =
      RunOperation(io, [&](auto done) { stream.async_connect(Endpoint(call.address), done); });
    address = error ? "" : call.address;
    return error;
  }

  void Drop()
  {
    beast::error_code ignored;
    stream.socket().close(ignored);
    buffer.clear();
    address.clear();
  }
};

PersistentConnection::PersistentConnection()
  : m_impl(std::make_unique<Impl>())
{
}

PersistentConnection::~PersistentConnection() = default;

HttpReply PersistentConnection::Call(const HttpCall& call)
{
  HttpReply reply;
  auto& io = m_impl->io;
  auto& stream = m_impl->stream;
  stream.expires_after(call.timeout);
  const auto request = MakeRequest(call);
  auto error = m_impl->Connect(call);
  if (!error) {
    error = RunOperation(io, [&](auto done) { http::async_write(stream, request, done); });
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  if (!error) {
    error = RunOperation(
      io, [&](auto done) { http::async_read_header(stream, m_impl->buffer, parser, done); });
  }
  if (error) {
    reply.failure = error.message();
    m_impl->Drop();
    return reply;
  }
  CopyHead(parser, reply);
  while (!error && !parser.is_done()) {
    error = RunOperation(
      io, [&](auto done) { http::async_read_some(stream, m_impl->buffer, parser, done); });
    if (call.onBody) {
      call.onBody(parser.get().body());
    }
  }
  reply.body = parser.get().body();
  reply.whole = parser.is_done() && !error;
  reply.framed = !parser.need_eof();
  reply.failure = error ? error.message() : "";
  if (!reply.whole || !parser.get().keep_alive()) {
    m_impl->Drop();
  }
  return reply;
}

HttpReply Call(const HttpCall& call)
{
  PersistentConnection connection;
  return connection.Call(call);
}

} // namespace gooseberrysail::test
