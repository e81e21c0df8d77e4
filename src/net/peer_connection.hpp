#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"
#include "net/deadline.hpp"
#include "net/frame_codec.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrysail::impl {

using ConnectionId = StrongId<struct ConnectionTag, std::uint64_t>;

/// \brief A frame's bytes; several connections may send the same.
using SharedFrame = std::shared_ptr<const std::vector<std::uint8_t>>;

struct QueuedFrame
{
  SharedFrame bytes;
  wire::Body kind = wire::Body::NONE;
  bool goesFirst = false; ///< Before the frames of other kinds that aren't being written yet.
};

/// \brief One TCP connection with a peer: its socket, what it has yet to send and what is known
/// of the other side.
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
  enum class Phase
  {
    kConnecting,
    kHandshake,
    kEstablished,
    kClosed,
  };

  PeerConnection(ConnectionId id, boost::asio::ip::tcp::socket socket, bool dialled);

  [[nodiscard]] ConnectionId Id() const noexcept { return m_id; }
  [[nodiscard]] bool Dialled() const noexcept { return m_dialled; }
  [[nodiscard]] bool Closed() const noexcept { return phase == Phase::kClosed; }

  /// \brief Closes the socket; the first reason given is kept. Completes every wait on it.
  void Close(std::string reason);
  [[nodiscard]] const std::string& CloseReason() const noexcept { return m_closeReason; }

  /// \brief Closes the connection when the timeout passes without DisarmTimeout.
  void ArmTimeout(Duration timeout, std::string reason);
  void DisarmTimeout() { m_deadline.Disarm(); }

  /// \brief Queues a frame for sending.
  void Queue(const QueuedFrame& frame);

  /// \brief Queues a heartbeat, which goes before all frames not yet being written.
  void QueueHeartbeat(const std::vector<std::uint8_t>& frame);

  [[nodiscard]] std::size_t QueuedBytes() const noexcept { return m_queuedBytes; }

  boost::asio::ip::tcp::socket socket;
  FrameReader reader;
  Phase phase = Phase::kHandshake;
  std::string address; ///< The other end of the socket.

  // Known once the handshake is done.
  ProcessId process;
  std::string role;
  Incarnation incarnation;
  std::string dialableAddress;
  std::uint64_t establishedOrder = 0; ///< Comparable with ids: both come from one counter.

  std::uint64_t pinged = 0;   ///< The last heartbeat sent, on the side that dialled.
  std::uint64_t answered = 0; ///< The newest heartbeat whose answer is known to have arrived.
  TimePoint answeredAt{};     ///< When that became known.
  bool silent = false;        ///< Given up for silence; being replaced.

  /// \brief Called after each write with its size.
  std::function<void(std::size_t)> onWritten;

private:
  /// \brief Bytes that are written with one call: small frames joined, or one large one.
  class Lane
  {
  public:
    void Add(const SharedFrame& frame);
    [[nodiscard]] SharedFrame TakeFront();
    [[nodiscard]] bool IsEmpty() const noexcept { return m_chunks.empty(); }
    void Clear() { m_chunks.clear(); }

  private:
    struct Chunk
    {
      SharedFrame large; ///< Null where `joined` counts.
      std::vector<std::uint8_t> joined;
    };
    std::deque<Chunk> m_chunks;
  };

  void WriteSoon();
  void WriteNext();
  void OnWritten(boost::system::error_code error, std::size_t size);

  ConnectionId m_id;
  bool m_dialled;
  std::string m_closeReason;
  Deadline m_deadline;

  Lane m_first; ///< Frames that don't wait for those of m_rest.
  Lane m_rest;
  std::vector<std::uint8_t> m_heartbeats;
  std::vector<std::uint8_t> m_writingHeartbeats;
  SharedFrame m_writing; ///< Null when only heartbeats are written.
  std::size_t m_queuedBytes = 0;
  bool m_isWriting = false;
};

using PeerConnectionPtr = std::shared_ptr<PeerConnection>;

} // namespace gooseberrysail::impl
