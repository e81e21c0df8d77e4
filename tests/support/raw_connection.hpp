#pragma once

#include "gooseberrysail/net/endpoint.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberrysail::tests {

/// \brief A TCP connection that sends and receives raw bytes.
class RawConnection
{
public:
  RawConnection(IoRuntime& runtime, const std::string& address)
    : socket(runtime.Io())
  {
    const auto endpoint = ParseEndpoint(address);
    const auto [error, size] =
      Await([&](auto done) { socket.async_connect(endpoint.value(), done); });
    connected = !error;
  }

  bool Write(std::string_view bytes)
  {
    const auto [error, size] =
      Await([&](auto done) { boost::asio::async_write(socket, boost::asio::buffer(bytes), done); });
    return !error;
  }

  /// \brief Reads until `text` arrives; false if the connection ends first.
  bool ReadUntil(std::string_view text)
  {
    while (received.find(text) == std::string::npos) {
      if (!ReadSome()) {
        return false;
      }
    }
    return true;
  }

  /// \brief Reads until at least `size` bytes have arrived; false if the connection ends first.
  bool ReadSize(std::size_t size)
  {
    while (received.size() < size) {
      if (!ReadSome()) {
        return false;
      }
    }
    return true;
  }

  /// \returns All bytes received until the connection ended.
  const std::string& ReadToEnd()
  {
    while (ReadSome()) {
    }
    return received;
  }

  void Close()
  {
    boost::system::error_code ignored;
    socket.close(ignored);
  }

  boost::asio::ip::tcp::socket socket;
  bool connected = false;
  std::string received;
  boost::system::error_code readError; ///< Of the latest read.

private:
  bool ReadSome()
  {
    std::array<char, 4096> bytes{};
    const auto [error, size] =
      Await([&](auto done) { socket.async_read_some(boost::asio::buffer(bytes), done); });
    received.append(bytes.data(), size);
    readError = error;
    return !error;
  }
};

/// \brief How a RawServer ends its connections.
struct RawServerEnd
{
  std::string readUntil; ///< Of the request, before it answers; "": its first bytes.
  bool resets = false;   ///< Resets the connection instead of closing it.
};

/// \brief A server that answers each connection with the next of its answers, the last one again
/// and again, then closes it.
class RawServer
{
public:
  RawServer(IoRuntime& runtime, std::string answer)
    : RawServer(runtime, std::vector<std::string>{ std::move(answer) }, {})
  {
  }

  RawServer(IoRuntime& runtime, std::vector<std::string> answers, RawServerEnd end)
    : m_runtime(runtime)
    , m_answers(std::move(answers))
    , m_end(std::move(end))
    , m_acceptor(Listen(runtime.Io(), "127.0.0.1:0").value())
    , m_ended(std::make_shared<Signal>())
  {
    address = ToAddress(m_acceptor.local_endpoint());
    runtime.Spawn([this] {
      Serve();
      m_running = false;
      m_ended->Notify();
    });
  }

  ~RawServer()
  {
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    while (m_running) {
      m_ended->Wait();
    }
  }

  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::string address;

private:
  void Serve()
  {
    for (std::size_t served = 0;; ++served) {
      boost::asio::ip::tcp::socket socket(m_runtime.Io());
      const auto [error, size] = Await([&](auto done) { m_acceptor.async_accept(socket, done); });
      if (error) {
        return;
      }
      ReadRequest(socket);
      const std::string& answer = m_answers[std::min(served, m_answers.size() - 1)];
      Await(
        [&](auto done) { boost::asio::async_write(socket, boost::asio::buffer(answer), done); });
      if (m_end.resets) {
        boost::system::error_code ignored;
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored); // The destructor would not reset it.
      }
    }
  }

  void ReadRequest(boost::asio::ip::tcp::socket& socket) const
  {
    std::string request;
    do {
      std::array<char, 4096> bytes{};
      const auto [error, size] =
        Await([&](auto done) { socket.async_read_some(boost::asio::buffer(bytes), done); });
      if (error) {
        return;
      }
      request.append(bytes.data(), size);
    } while (request.find(m_end.readUntil) == std::string::npos);
  }

  IoRuntime& m_runtime;
  std::vector<std::string> m_answers;
  RawServerEnd m_end;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::shared_ptr<Signal> m_ended;
  bool m_running = true;
};

} // namespace gooseberrysail::tests
