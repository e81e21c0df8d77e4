#include "net/peer_connection.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace gooseberrysail::impl {

namespace {

namespace asio = boost::asio;

// Small frames are joined into chunks of about this size and written with one call. A chunk is
// also the most that a heartbeat can wait behind, large frames apart.
constexpr std::size_t kChunkBytes = 64 * 1024;
// Larger frames aren't copied: a document goes to every entry, and a copy for each would be held
// until the slowest of them has read it.
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
  m_first.Clear();
  m_rest.Clear();
  m_heartbeats.clear();
  m_queuedBytes = 0;
}

void PeerConnection::ArmTimeout(Duration timeout, std::string reason)
{
  m_deadline.Arm(timeout, [this, reason = std::move(reason)] { Close(reason); });
}

void PeerConnection::Lane::Add(const SharedFrame& frame)
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

SharedFrame PeerConnection::Lane::TakeFront()
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
  Lane& lane = frame.goesFirst ? m_first : m_rest;
  lane.Add(frame.bytes);
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

// Not at once: a role sends several frames in a row, and they should share one system call and one
// packet.
void PeerConnection::WriteSoon()
{
  if (m_isWriting) {
    return;
  }
  m_isWriting = true;
  asio::post(socket.get_executor(), [self = shared_from_this()] { self->WriteNext(); });
}

// Written by handlers rather than by a fiber of its own: a process holds hundreds of connections,
// and a second stack for each would be most of what a connection costs.
void PeerConnection::WriteNext()
{
  Lane& lane = m_first.IsEmpty() ? m_rest : m_first;
  m_isWriting = !Closed() && !(lane.IsEmpty() && m_heartbeats.empty());
  if (!m_isWriting) {
    return;
  }
  m_writingHeartbeats = std::exchange(m_heartbeats, {});
  m_writing = lane.IsEmpty() ? nullptr : lane.TakeFront();
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
