#include "gooseberrysail/net/endpoint.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>

namespace gooseberrysail {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

Error BadAddress(std::string_view address)
{
  return Error{
    ErrorCode::kInvalid, "read address", std::string(address), "not of the form ip:port"
  };
}

Error ListenError(std::string_view address, const boost::system::error_code& error)
{
  return Error{ ErrorCode::kIo, "listen", std::string(address), error.message() };
}

} // namespace

Result<tcp::endpoint> ParseEndpoint(std::string_view address)
{
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return BadAddress(address);
  }
  std::string_view host = address.substr(0, colon);
  const std::string_view portText = address.substr(colon + 1);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const char* const portEnd = portText.data() + portText.size();
  const auto parsed = std::from_chars(portText.data(), portEnd, port);
  if (portText.empty() || parsed.ec != std::errc() || parsed.ptr != portEnd) {
    return BadAddress(address);
  }
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(std::string(host), error);
  if (error || ip.is_v6() != bracketed) {
    return BadAddress(address);
  }
  return tcp::endpoint(ip, port);
}

std::string ToAddress(const tcp::endpoint& endpoint)
{
  const std::string ip = endpoint.address().to_string();
  const std::string port = std::to_string(endpoint.port());
  return endpoint.address().is_v6() ? "[" + ip + "]:" + port : ip + ":" + port;
}

Result<tcp::acceptor> Listen(asio::io_context& io, std::string_view address)
{
  BOOST_OUTCOME_TRY(const auto endpoint, ParseEndpoint(address));
  tcp::acceptor acceptor(io);
  boost::system::error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (error) {
    return ListenError(address, error);
  }
  acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return ListenError(address, error);
  }
  return acceptor;
}

} // namespace gooseberrysail
