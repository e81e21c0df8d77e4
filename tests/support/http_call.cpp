#include "support/http_call.hpp"

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

/// Runs one asynchronous step to its end; the stream's own timer bounds it.
template<class Start>
beast::error_code Step(boost::asio::io_context& io, Start&& start)
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

HttpReply Call(const HttpCall& call)
{
  HttpReply reply;
  boost::asio::io_context io;
  beast::tcp_stream stream(io);
  stream.expires_after(call.timeout);
  const auto request = MakeRequest(call);
  auto error = Step(io, [&](auto done) { stream.async_connect(Endpoint(call.address), done); });
  if (!error) {
    error = Step(io, [&](auto done) { http::async_write(stream, request, done); });
  }
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  if (!error) {
    error = Step(io, [&](auto done) { http::async_read_header(stream, buffer, parser, done); });
  }
  if (error) {
    reply.failure = error.message();
    return reply;
  }
  CopyHead(parser, reply);
  while (!error && !parser.is_done()) {
    error = Step(io, [&](auto done) { http::async_read_some(stream, buffer, parser, done); });
    if (call.onBody) {
      call.onBody(parser.get().body());
    }
  }
  reply.body = parser.get().body();
  reply.whole = parser.is_done() && !error;
  reply.failure = error ? error.message() : "";
  return reply;
}

} // namespace gooseberrysail::test
