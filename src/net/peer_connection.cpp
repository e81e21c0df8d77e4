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
  m_chunks.clear();
  m_first.clear();
  m_queuedBytes = 0;
}

void PeerConnection::ArmTimeout(Duration timeout, std::string reason)
{
  m_deadline.Arm(timeout, [this, reason = std::move(reason)] { Close(reason); });
}

void PeerConnection::Queue(std::vector<std::uint8_t> frame)
{
  if (Closed()) {
    return;
  }
  m_queuedBytes += frame.size();
  if (!m_chunks.empty() && m_chunks.back().size() + frame.size() <= kChunkBytes) {
    m_chunks.back().insert(m_chunks.back().end(), frame.begin(), frame.end());
  } else {
    m_chunks.push_back(std::move(frame));
  }
  WriteSoon();
}

void PeerConnection::QueueFirst(const std::vector<std::uint8_t>& frame)
{
  if (Closed()) {
    return;
  }
  m_queuedBytes += frame.size();
  m_first.insert(m_first.end(), frame.begin(), frame.end());
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
  m_isWriting = !Closed() && !(m_chunks.empty() && m_first.empty());
  if (!m_isWriting) {
    return;
  }
  m_writingFirst = std::exchange(m_first, {});
  m_writing.clear();
  if (!m_chunks.empty()) {
    m_writing = std::move(m_chunks.front());
    m_chunks.pop_front();
  }
  const std::array<asio::const_buffer, 2> buffers{ asio::buffer(m_writingFirst),
                                                   asio::buffer(m_writing) };
  asio::async_write(socket,
                    buffers,
                    [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                      self->OnWritten(error, size);
                    });
}

void PeerConnection::OnWritten(boost::system::error_code error, std::size_t size)
{
  m_writingFirst = {};
  m_writing = {};
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
