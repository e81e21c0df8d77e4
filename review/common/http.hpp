#pragma once

// Small blocking HTTP/1.1 client and server parts for the stand-ins, over POSIX sockets.

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

struct Address
{
  std::string ip;
  std::uint16_t port = 0;

  [[nodiscard]] std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline Address ParseAddress(const std::string& text)
{
  const std::size_t colon = text.rfind(':');
  return { text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))) };
}

inline sockaddr_in ToSockaddr(const Address& address)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

enum class ReadEnd
{
  kData,
  kClosed, ///< The peer closed its side in order.
  kReset,  ///< The connection was reset.
  kTimeout,
};

/// A TCP connection that closes with its owner.
class Connection
{
public:
  Connection() = default;
  explicit Connection(int descriptor)
    : m_descriptor(descriptor)
  {
  }
  Connection(Connection&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_buffer(std::move(other.m_buffer))
  {
  }
  Connection& operator=(Connection&& other) noexcept
  {
    std::swap(m_descriptor, other.m_descriptor);
    std::swap(m_buffer, other.m_buffer);
    return *this;
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { Close(); }

  static Connection Open(const Address& address, Millis timeout)
  {
    Connection connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const sockaddr_in peer = ToSockaddr(address);
    const int started =
      ::connect(connection.m_descriptor, reinterpret_cast<const sockaddr*>(&peer), sizeof peer);
    if (started != 0 && errno != EINPROGRESS) {
      connection.Close();
      return connection;
    }
    pollfd state{ connection.m_descriptor, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    const bool isReady = ::poll(&state, 1, static_cast<int>(timeout.count())) == 1;
    ::getsockopt(connection.m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (!isReady || error != 0) {
      connection.Close();
      return connection;
    }
    connection.Prepare();
    return connection;
  }

  void Prepare() const
  {
    const int one = 1;
    ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    ::fcntl(m_descriptor, F_SETFL, ::fcntl(m_descriptor, F_GETFL) | O_NONBLOCK);
  }

  [[nodiscard]] bool IsOpen() const { return m_descriptor >= 0; }
  [[nodiscard]] int Descriptor() const { return m_descriptor; }

  void Close()
  {
    if (m_descriptor >= 0) {
      ::close(m_descriptor);
      m_descriptor = -1;
    }
  }

  bool Write(const std::string& bytes, Millis timeout = Millis(5000))
  {
    const auto until = Clock::now() + timeout;
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count =
        ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count >= 0) {
        sent += static_cast<std::size_t>(count);
        continue;
      }
      if (errno == EINTR) {
        continue;
      }
      if (errno != EAGAIN || !WaitFor(POLLOUT, until)) {
        return false;
      }
    }
    return true;
  }

  /// Reads more bytes into the buffer.
  ReadEnd Fill(Clock::time_point until)
  {
    char bytes[16384];
    for (;;) {
      const ssize_t count = ::recv(m_descriptor, bytes, sizeof bytes, 0);
      if (count > 0) {
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return ReadEnd::kData;
      }
      if (count == 0) {
        return ReadEnd::kClosed;
      }
      if (errno == EINTR) {
        continue;
      }
      if (errno != EAGAIN) {
        return ReadEnd::kReset;
      }
      if (!WaitFor(POLLIN, until)) {
        return ReadEnd::kTimeout;
      }
    }
  }

  std::string& Buffer() { return m_buffer; }

private:
  [[nodiscard]] bool WaitFor(short events, Clock::time_point until) const
  {
    const auto left = std::chrono::duration_cast<Millis>(until - Clock::now()).count();
    pollfd state{ m_descriptor, events, 0 };
    return left > 0 && ::poll(&state, 1, static_cast<int>(left) + 1) == 1;
  }

  int m_descriptor = -1;
  std::string m_buffer;
};

struct Header
{
  std::string name;
  std::string value;
};

struct Message
{
  std::string start; ///< The first line.
  std::vector<Header> headers;
  std::string body;

  [[nodiscard]] std::string Find(const std::string& name) const
  {
    for (const Header& header : headers) {
      if (::strcasecmp(header.name.c_str(), name.c_str()) == 0) {
        return header.value;
      }
    }
    return {};
  }

  [[nodiscard]] std::string Word(int index) const
  {
    std::size_t begin = 0;
    for (int i = 0; i < index; ++i) {
      begin = start.find(' ', begin);
      if (begin == std::string::npos) {
        return {};
      }
      ++begin;
    }
    return start.substr(begin, start.find(' ', begin) - begin);
  }
};

enum class Framing
{
  kNone,
  kLength,
  kChunked,
  kUntilClose,
};

enum class MessageEnd
{
  kComplete,
  kNothing, ///< Ended before the first byte.
  kCut,     ///< Ended inside the message.
  kTimeout,
};

struct ReadResult
{
  MessageEnd end = MessageEnd::kNothing;
  Framing framing = Framing::kNone;
  ReadEnd how = ReadEnd::kData;
  Message message;

  [[nodiscard]] int Status() const
  {
    const std::string word = message.Word(1);
    return word.empty() ? 0 : std::atoi(word.c_str());
  }
};

inline bool TakeHead(std::string& buffer, Message& message)
{
  const std::size_t end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) {
    return false;
  }
  std::size_t at = buffer.find("\r\n");
  message.start = buffer.substr(0, at);
  while (at < end) {
    at += 2;
    const std::size_t next = buffer.find("\r\n", at);
    const std::string line = buffer.substr(at, next - at);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      message.headers.push_back({ line.substr(0, colon), line.substr(value) });
    }
    at = next;
  }
  buffer.erase(0, end + 4);
  return true;
}

/// Reads one message. \param isResponse A response without a length ends with its connection.
inline ReadResult ReadMessage(Connection& connection, bool isResponse, Clock::time_point until)
{
  ReadResult result;
  const auto fill = [&] {
    result.how = connection.Fill(until);
    if (result.how == ReadEnd::kData) {
      return true;
    }
    const bool hasBegun = !result.message.start.empty() || !connection.Buffer().empty();
    result.end = result.how == ReadEnd::kTimeout ? MessageEnd::kTimeout
                 : hasBegun                      ? MessageEnd::kCut
                                                 : MessageEnd::kNothing;
    return false;
  };
  std::string& buffer = connection.Buffer();
  do {
    result.message = {};
    while (!TakeHead(buffer, result.message)) {
      if (!fill()) {
        return result;
      }
    }
  } while (isResponse && result.Status() / 100 == 1);
  const std::string length = result.message.Find("Content-Length");
  const bool hasNoBody = isResponse && (result.Status() == 204 || result.Status() == 304);
  if (!result.message.Find("Transfer-Encoding").empty()) {
    result.framing = Framing::kChunked;
  } else if (!length.empty() || hasNoBody) {
    result.framing = Framing::kLength;
  } else {
    result.framing = isResponse ? Framing::kUntilClose : Framing::kNone;
  }
  if (result.framing == Framing::kLength && !hasNoBody) {
    const std::size_t size = std::stoul(length);
    while (buffer.size() < size) {
      if (!fill()) {
        result.message.body = buffer;
        return result;
      }
    }
    result.message.body = buffer.substr(0, size);
    buffer.erase(0, size);
  } else if (result.framing == Framing::kChunked) {
    for (;;) {
      std::size_t line = buffer.find("\r\n");
      while (line == std::string::npos) {
        if (!fill()) {
          return result;
        }
        line = buffer.find("\r\n");
      }
      const std::size_t size = std::stoul(buffer.substr(0, line), nullptr, 16);
      while (buffer.size() < line + 2 + size + 2) {
        if (!fill()) {
          return result;
        }
      }
      result.message.body += buffer.substr(line + 2, size);
      buffer.erase(0, line + 2 + size + 2);
      if (size == 0) {
        break;
      }
    }
  } else if (result.framing == Framing::kUntilClose) {
    while (fill()) {
    }
    result.message.body = std::exchange(buffer, {});
    if (result.how != ReadEnd::kClosed) {
      return result; // A reset or a time-out: not complete.
    }
  }
  result.end = MessageEnd::kComplete;
  return result;
}

inline std::string Encode(const std::string& start,
                          const std::vector<Header>& headers,
                          const std::string& body,
                          bool hasLength = true)
{
  std::string text = start + "\r\n";
  for (const Header& header : headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  if (hasLength) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

/// One call on a connection of its own.
inline ReadResult Call(const Address& address,
                       const std::string& start,
                       std::vector<Header> headers,
                       const std::string& body,
                       Millis timeout)
{
  const auto until = Clock::now() + timeout;
  Connection connection = Connection::Open(address, timeout);
  if (!connection.IsOpen()) {
    return {};
  }
  headers.insert(headers.begin(), { "Host", address.Text() });
  headers.push_back({ "Connection", "close" });
  if (!connection.Write(Encode(start, headers, body))) {
    return {};
  }
  return ReadMessage(connection, true, until);
}

} // namespace review
