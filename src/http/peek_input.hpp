#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <cstdint>
#include <poll.h>
#include <sys/ioctl.h>
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

/// \brief Whether the peer closed or reset the connection, though unread bytes may precede that.
[[nodiscard]] inline bool HasPeerEnded(boost::asio::ip::tcp::socket& socket)
{
  pollfd state{ .fd = socket.native_handle(), .events = POLLRDHUP, .revents = 0 };
  return ::poll(&state, 1, 0) > 0;
}

/// \brief Written bytes that the peer's system has not acknowledged.
[[nodiscard]] inline std::size_t UnacknowledgedBytes(boost::asio::ip::tcp::socket& socket)
{
  int size = 0;
  const bool isKnown = ::ioctl(socket.native_handle(), TIOCOUTQ, &size) == 0;
  return isKnown ? static_cast<std::size_t>(size) : 0;
}

} // namespace gooseberrysail::impl
