#pragma once

#include "gooseberrysail/core/result.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

namespace gooseberrysail {

/// \brief Reads "ip:port" or "[ipv6]:port".
[[nodiscard]] Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address);

/// \brief The inverse of ParseEndpoint.
[[nodiscard]] std::string ToAddress(const boost::asio::ip::tcp::endpoint& endpoint);

/// \brief Opens, binds and listens, with address reuse so that a restart needs no wait.
[[nodiscard]] Result<boost::asio::ip::tcp::acceptor> Listen(boost::asio::io_context& io,
                                                            std::string_view address);

} // namespace gooseberrysail
