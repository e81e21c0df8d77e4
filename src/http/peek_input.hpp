#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <cstdint>
#include <sys/socket.h>

namespace gooseberrysail::impl {

/// \brief What a read from a socket would find.
enum class InputState : std::uint8_t
{
  kNone,  ///< Nothing has come, and the peer is connected.
  kBytes, ///< Unread bytes; whether the peer is connected is seen behind them.
  kEnded, ///< The peer closed or reset the connection.
};

/// \brief Looks at a socket's input without reading it or waiting for it.
[[nodiscard]] inline InputState PeekInput(boost::asio::ip::tcp::socket& socket)
{
  char byte = 0;
  ssize_t size = 0;
  do {
    size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (size < 0 && errno == EINTR);
  if (size > 0) {
    return InputState::kBytes;
  }
  const bool isNothingYet = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return isNothingYet ? InputState::kNone : InputState::kEnded;
}

} // namespace gooseberrysail::impl
