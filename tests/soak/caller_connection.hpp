#pragma once

#include "soak/lost_check.hpp"
#include "support/http_call.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberrysail::soak {

/// \brief A caller's connection that tells how it ended and what the other side's kernel has taken.
class CallerConnection
{
public:
  struct Received
  {
    test::HttpReply reply;
    ReplyEnd end = ReplyEnd::kCallerLeft;
    std::size_t bytes = 0;
    bool isCloseAnnounced = false; ///< By the answer's header.
  };

  CallerConnection() = default;
  ~CallerConnection() { Close(); }
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  [[nodiscard]] bool IsOpen() const { return m_socket >= 0; }
  /// \returns Whether the connection is established.
  bool Open(const std::string& address);
  void Close();

  /// \returns False if the connection failed.
  bool Send(std::string_view bytes);
  /// \brief Tells the other side that nothing more is sent.
  void CloseSendingSide();
  /// \brief The number of bytes sent on this connection.
  [[nodiscard]] std::uint64_t SentBytes() const { return m_sentBytes; }
  /// \brief How many of them the other side's kernel has acknowledged.
  [[nodiscard]] std::uint64_t AcknowledgedBytes() const;

  /// \brief Blocks until the next answer is complete, the connection ends or the time is over. Only
  /// a complete answer leaves the connection usable.
  [[nodiscard]] Received Receive(Clock::time_point until);

private:
  /// \brief Reads into the buffer.
  /// \returns kWhole if there are more bytes; otherwise how the connection ended.
  ReplyEnd ReadSome(Clock::time_point until);

  int m_socket = -1;
  std::uint64_t m_sentBytes = 0;
  boost::beast::flat_buffer m_buffer;
};

} // namespace gooseberrysail::soak
