#pragma once

#include "gooseberrysail/net/endpoint.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrysail::tests {

/// \brief A TCP connection whose calls block the thread, so that no fiber runs in between.
class BlockingConnection
{
public:
  /// \param receiveBuffer Its size in bytes; 0 for the system's.
  explicit BlockingConnection(const std::string& address, int receiveBuffer = 0)
    : m_socket(m_io)
  {
    const auto endpoint = ParseEndpoint(address).value();
    boost::system::error_code error;
    m_socket.open(endpoint.protocol(), error);
    if (receiveBuffer != 0) {
      m_socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBuffer), error);
    }
    m_socket.connect(endpoint, error);
    isConnected = !error;
  }

  bool Write(std::string_view bytes)
  {
    boost::system::error_code error;
    boost::asio::write(m_socket, boost::asio::buffer(bytes), error);
    return !error;
  }

  /// \returns What was received until the connection ended.
  std::string ReadToEnd()
  {
    std::string received;
    while (ReadSome(received)) {
    }
    return received;
  }

  /// \returns What was received up to `end`, or until the connection ended.
  std::string ReadUntil(std::string_view end)
  {
    std::string received;
    std::size_t searched = 0;
    while (received.find(end, searched) == std::string::npos) {
      searched = received.size() - std::min(received.size(), end.size());
      if (!ReadSome(received)) {
        break;
      }
    }
    return received;
  }

  void Close()
  {
    boost::system::error_code ignored;
    m_socket.close(ignored);
  }

  void Reset()
  {
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
  }

  void CloseForWriting()
  {
    boost::system::error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  }

  bool isConnected = false;
  boost::system::error_code readError; ///< Of the latest read.

private:
  bool ReadSome(std::string& received)
  {
    std::vector<char> bytes(64UL * 1024);
    const std::size_t size = m_socket.read_some(boost::asio::buffer(bytes), readError);
    received.append(bytes.data(), size);
    return !readError;
  }

  boost::asio::io_context m_io;
  boost::asio::ip::tcp::socket m_socket;
};

} // namespace gooseberrysail::tests
