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

/// \brief An encoded frame, shared by the connections that send it.
using SharedFrame = std::shared_ptr<const std::vector<std::uint8_t>>;

/// \brief A frame to send, with its message type and priority.
struct QueuedFrame
{
  SharedFrame bytes;
  wire::Body kind = wire::Body::NONE;
  bool isPriority = false; ///< Sent before queued frames without priority.
};

/// \brief One TCP connection with a peer: its socket, its send queues and the identity of the
/// peer.
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

  /// \brief Closes the socket, which completes all pending operations. The first reason is kept.
  void Close(std::string reason);
  [[nodiscard]] const std::string& CloseReason() const noexcept { return m_closeReason; }

  /// \brief Closes the connection unless DisarmTimeout is called within the timeout.
  void ArmTimeout(Duration timeout, std::string reason);
  void DisarmTimeout() { m_deadline.Disarm(); }

  /// \brief Queues a frame for sending.
  void Queue(const QueuedFrame& frame);

  /// \brief Queues a heartbeat, which is sent before all queued frames.
  void QueueHeartbeat(const std::vector<std::uint8_t>& frame);

  [[nodiscard]] std::size_t QueuedBytes() const noexcept { return m_queuedBytes; }

  boost::asio::ip::tcp::socket socket;
  FrameReader reader;
  Phase phase = Phase::kHandshake;
  std::string address; ///< The remote endpoint.

  // Set during the handshake.
  ProcessId process;
  std::string role;
  Incarnation incarnation;
  std::string dialableAddress;
  std::uint64_t establishedOrder = 0; ///< From the same counter as the ids.

  std::uint64_t pinged = 0;   ///< Sequence of the last ping; on the dialling side.
  std::uint64_t answered = 0; ///< Highest sequence known to be answered.
  TimePoint answeredAt{};     ///< When `answered` last changed.
  bool silent = false;        ///< Heartbeats unanswered; a replacement is dialled.

  /// \brief Called after each write with the number of bytes.
  std::function<void(std::size_t)> onWritten;

private:
  /// \brief Frames waiting to be written, in chunks: joined small frames or one large frame.
  class SendQueue
  {
  public:
    void Add(const SharedFrame& frame);
    [[nodiscard]] SharedFrame TakeFront();
    [[nodiscard]] bool IsEmpty() const noexcept { return m_chunks.empty(); }
    void Clear() { m_chunks.clear(); }

  private:
    struct Chunk
    {
      SharedFrame large; ///< Null if `joined` is used.
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

  SendQueue m_priorityQueue; ///< Sent before m_normalQueue.
  SendQueue m_normalQueue;
  std::vector<std::uint8_t> m_heartbeats;
  std::vector<std::uint8_t> m_writingHeartbeats;
  SharedFrame m_writing; ///< Null if only heartbeats are being written.
  std::size_t m_queuedBytes = 0;
  bool m_isWriting = false;
};

using PeerConnectionPtr = std::shared_ptr<PeerConnection>;

} // namespace gooseberrysail::impl
