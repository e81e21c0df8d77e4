#pragma once

#include "gooseberrysail/net/endpoint.hpp"

#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace gooseberrysail::tests {

/// \brief What each connection of a Flood sends.
struct FloodInput
{
  std::string begin;
  std::string repeated;  ///< Sent again and again, the last time in part.
  std::size_t bytes = 0; ///< Of the repeated part, in all.
  bool readsAnswers = true;
};

/// \brief Connections that send bytes as fast as they are taken and then stay open.
class Flood
{
public:
  /// Between two connections that are opened. With many new ones at once, a server turns some away
  /// unread.
  static constexpr std::chrono::milliseconds kInterval{ 20 };
  /// Nothing more is taken when no byte was for this long.
  static constexpr std::chrono::milliseconds kQuietTime{ 1500 };

  Flood(const std::string& address, std::size_t connections, FloodInput input)
    : m_endpoint(ParseEndpoint(address).value())
    , m_input(std::move(input))
    , m_next(m_io)
  {
    while (m_block.size() < kBlockBytes && !m_input.repeated.empty()) {
      m_block += m_input.repeated;
    }
    m_left = connections;
    m_lastProgress = Clock::now().time_since_epoch();
    OpenNext();
    m_thread = std::thread([this] { m_io.run(); });
  }

  Flood(const Flood&) = delete;
  Flood& operator=(const Flood&) = delete;

  ~Flood()
  {
    m_io.stop();
    m_thread.join();
  }

  /// \brief Waits until all was sent that the server takes.
  void WaitUntilSent() const
  {
    while (Clock::now().time_since_epoch() - m_lastProgress.load() < kQuietTime) {
      std::this_thread::sleep_for(kInterval);
    }
  }

  [[nodiscard]] std::size_t SentBytes() const { return m_sentBytes; }

private:
  using Clock = std::chrono::steady_clock;
  static constexpr std::size_t kBlockBytes = std::size_t{ 64 } * 1024;

  struct Connection
  {
    explicit Connection(boost::asio::io_context& io)
      : socket(io)
    {
    }

    boost::asio::ip::tcp::socket socket;
    std::size_t sentOfBegin = 0;
    std::size_t sentOfRepeated = 0;
    std::array<char, 4096> received{};
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void OpenNext()
  {
    if (m_left == 0) {
      return;
    }
    --m_left;
    const auto connection = std::make_shared<Connection>(m_io);
    m_connections.push_back(connection);
    connection->socket.async_connect(m_endpoint,
                                     [this, connection](boost::system::error_code error) {
                                       if (!error) {
                                         SendSome(connection);
                                         if (m_input.readsAnswers) {
                                           ReadSome(connection);
                                         }
                                       }
                                     });
    m_lastProgress = Clock::now().time_since_epoch();
    m_next.expires_after(kInterval);
    m_next.async_wait([this](boost::system::error_code error) {
      if (!error) {
        OpenNext();
      }
    });
  }

  [[nodiscard]] std::string_view NextBytes(const Connection& connection) const
  {
    if (connection.sentOfBegin < m_input.begin.size()) {
      return std::string_view(m_input.begin).substr(connection.sentOfBegin);
    }
    const std::size_t left = m_input.bytes - connection.sentOfRepeated;
    return left == 0 ? std::string_view()
                     : std::string_view(m_block)
                         .substr(connection.sentOfRepeated % m_input.repeated.size())
                         .substr(0, left);
  }

  void SendSome(const ConnectionPtr& connection)
  {
    const std::string_view bytes = NextBytes(*connection);
    if (bytes.empty()) {
      return;
    }
    connection->socket.async_write_some(
      boost::asio::buffer(bytes),
      [this, connection](boost::system::error_code error, std::size_t size) {
        const bool isBegin = connection->sentOfBegin < m_input.begin.size();
        (isBegin ? connection->sentOfBegin : connection->sentOfRepeated) += size;
        m_sentBytes += size;
        if (!error) {
          m_lastProgress = Clock::now().time_since_epoch();
          SendSome(connection);
        }
      });
  }

  void ReadSome(const ConnectionPtr& connection)
  {
    connection->socket.async_read_some(
      boost::asio::buffer(connection->received),
      [this, connection](boost::system::error_code error, std::size_t) {
        if (error) {
          boost::system::error_code ignored;
          connection->socket.close(ignored);
          return;
        }
        ReadSome(connection);
      });
  }

  boost::asio::io_context m_io;
  boost::asio::ip::tcp::endpoint m_endpoint;
  FloodInput m_input;
  std::string m_block; ///< The repeated bytes, many times.
  boost::asio::steady_timer m_next;
  std::size_t m_left = 0;
  std::vector<ConnectionPtr> m_connections; ///< Those that were closed stay closed.
  std::atomic<std::size_t> m_sentBytes = 0;
  std::atomic<Clock::duration> m_lastProgress{};
  std::thread m_thread;
};

} // namespace gooseberrysail::tests
