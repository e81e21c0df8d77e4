#include "logging/line_output.hpp"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

namespace gooseberrysail::impl {

namespace {

bool IsRegularFile(int descriptor)
{
  struct stat status = {};
  return ::fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

} // namespace

LineOutput::LineOutput(int descriptor, std::size_t maxPendingBytes)
  : m_descriptor(descriptor)
  , m_mayBlock(!IsRegularFile(descriptor))
  , m_maxPendingBytes(maxPendingBytes)
{
}

LineOutput::~LineOutput()
{
  Flush();
}

void LineOutput::Write(std::string_view line)
{
  Flush();
  if (m_pending.size() + line.size() > m_maxPendingBytes) {
    ++m_dropped;
    return;
  }
  m_pending += line;
  Flush();
}

// A descriptor that is ready takes PIPE_BUF bytes at once; a larger write could wait.
void LineOutput::Flush()
{
  while (!m_pending.empty() && HasRoom()) {
    const std::size_t size =
      m_mayBlock ? std::min<std::size_t>(m_pending.size(), PIPE_BUF) : m_pending.size();
    const ssize_t written = ::write(m_descriptor, m_pending.data(), size);
    if (written >= 0) {
      m_pending.erase(0, static_cast<std::size_t>(written));
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      return;
    } else if (errno != EINTR) {
      // Nobody reads any more, or the disk is full.
      ++m_dropped;
      m_pending.clear();
    }
  }
}

bool LineOutput::HasRoom() const
{
  if (!m_mayBlock) {
    return true;
  }
  pollfd state{ .fd = m_descriptor, .events = POLLOUT, .revents = 0 };
  return ::poll(&state, 1, 0) > 0;
}

std::uint64_t LineOutput::TakeDropped()
{
  return m_pending.size() <= m_maxPendingBytes / 2 ? std::exchange(m_dropped, 0) : 0;
}

} // namespace gooseberrysail::impl
