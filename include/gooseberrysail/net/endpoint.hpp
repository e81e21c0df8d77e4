#pragma once

#include "gooseberrysail/core/result.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

namespace gooseberrysail {

/// \brief Parses "ip:port" or "[ipv6]:port".
[[nodiscard]] Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address);

/// \brief The inverse of ParseEndpoint.
[[nodiscard]] std::string ToAddress(const boost::asio::ip::tcp::endpoint& endpoint);

/// \brief Opens a listening socket. Address reuse lets a restarted process bind at once.
[[nodiscard]] Result<boost::asio::ip::tcp::acceptor> Listen(boost::asio::io_context& io,
                                                            std::string_view address);

} // namespace gooseberrysail
