#include "net/peer_connection.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace gooseberrysail::impl {

namespace {

namespace asio = boost::asio;

// Small frames are joined into chunks of up to this size and written with one call. A heartbeat
// waits for at most one chunk or one large frame.
constexpr std::size_t kChunkBytes = 64 * 1024;
// Frames of this size and larger are not copied: a document is sent to every entry, and a copy for
// each connection would use memory until the slowest entry has received it.
constexpr std::size_t kLargeBytes = 16 * 1024;

} // namespace

PeerConnection::PeerConnection(ConnectionId id, asio::ip::tcp::socket opened, bool dialled)
  : socket(std::move(opened))
  , reader(kMaxFrameBytes)
  , m_id(id)
  , m_dialled(dialled)
  , m_deadline(socket.get_executor())
{
}

void PeerConnection::Close(std::string reason)
{
  if (phase == Phase::kClosed) {
    return;
  }
  phase = Phase::kClosed;
  m_closeReason = std::move(reason);
  m_deadline.Disarm();
  boost::system::error_code ignored;
  socket.close(ignored);
  m_priorityQueue.Clear();
  m_normalQueue.Clear();
  m_heartbeats.clear();
  m_queuedBytes = 0;
}

void PeerConnection::ArmTimeout(Duration timeout, std::string reason)
{
  m_deadline.Arm(timeout, [this, reason = std::move(reason)] { Close(reason); });
}

void PeerConnection::SendQueue::Add(const SharedFrame& frame)
{
  if (frame->size() >= kLargeBytes) {
    m_chunks.push_back({ frame, {} });
    return;
  }
  const bool fits = !m_chunks.empty() && !m_chunks.back().large &&
                    m_chunks.back().joined.size() + frame->size() <= kChunkBytes;
  if (!fits) {
    m_chunks.emplace_back();
  }
  std::vector<std::uint8_t>& joined = m_chunks.back().joined;
  joined.insert(joined.end(), frame->begin(), frame->end());
}

SharedFrame PeerConnection::SendQueue::TakeFront()
{
  Chunk chunk = std::move(m_chunks.front());
  m_chunks.pop_front();
  return chunk.large ? std::move(chunk.large)
                     : std::make_shared<const std::vector<std::uint8_t>>(std::move(chunk.joined));
}

void PeerConnection::Queue(const QueuedFrame& frame)
{
  if (Closed()) {
    return;
  }
  m_queuedBytes += frame.bytes->size();
  SendQueue& queue = frame.isPriority ? m_priorityQueue : m_normalQueue;
  queue.Add(frame.bytes);
  WriteSoon();
}

void PeerConnection::QueueHeartbeat(const std::vector<std::uint8_t>& frame)
{
  if (Closed()) {
    return;
  }
  m_queuedBytes += frame.size();
  m_heartbeats.insert(m_heartbeats.end(), frame.begin(), frame.end());
  WriteSoon();
}

// The write is deferred because a role sends several frames in a row, which should share one system
// call and one packet.
void PeerConnection::WriteSoon()
{
  if (m_isWriting) {
    return;
  }
  m_isWriting = true;
  asio::post(socket.get_executor(), [self = shared_from_this()] { self->WriteNext(); });
}

// Writes with completion handlers instead of a fiber: a process has hundreds of connections, and a
// second stack would be most of the memory cost of each.
void PeerConnection::WriteNext()
{
  SendQueue& queue = m_priorityQueue.IsEmpty() ? m_normalQueue : m_priorityQueue;
  m_isWriting = !Closed() && !(queue.IsEmpty() && m_heartbeats.empty());
  if (!m_isWriting) {
    return;
  }
  m_writingHeartbeats = std::exchange(m_heartbeats, {});
  m_writing = queue.IsEmpty() ? nullptr : queue.TakeFront();
  const std::array<asio::const_buffer, 2> buffers{ asio::buffer(m_writingHeartbeats),
                                                   m_writing ? asio::buffer(*m_writing)
                                                             : asio::const_buffer() };
  asio::async_write(socket,
                    buffers,
                    [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                      self->OnWritten(error, size);
                    });
}

void PeerConnection::OnWritten(boost::system::error_code error, std::size_t size)
{
  m_writingHeartbeats = {};
  m_writing = nullptr;
  if (Closed()) {
    return;
  }
  if (error) {
    Close("write: " + error.message());
    return;
  }
  m_queuedBytes -= size;
  if (onWritten) {
    onWritten(size);
  }
  WriteNext();
}

} // namespace gooseberrysail::impl
