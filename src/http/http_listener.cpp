#include "http/http_listener.hpp"

#include "gooseberrysail/net/endpoint.hpp"

#include <cerrno>
#include <climits>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace gooseberrysail::impl {

namespace {

using boost::asio::ip::tcp;

Descriptor OpenSpare()
{
  return Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
}

/// Of each direction of a connection.
constexpr int kSocketBufferBytes = 64 * 1024;

/// This part of the descriptors is reserved.
constexpr rlim_t kReservedFraction = 8;

int FirstReservedDescriptor()
{
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > INT_MAX) {
    return INT_MAX;
  }
  return static_cast<int>(limit.rlim_cur - limit.rlim_cur / kReservedFraction);
}

bool IsNothingWaiting(int error)
{
  return error == EAGAIN || error == EWOULDBLOCK;
}

/// Others may wait behind a connection that its peer has given up.
bool IsOneLeftOut(int error)
{
  return error == ECONNABORTED || error == EINTR;
}

} // namespace

Descriptor& Descriptor::operator=(Descriptor&& other) noexcept
{
  std::swap(m_number, other.m_number);
  return *this;
}

Descriptor::~Descriptor()
{
  if (m_number >= 0) {
    ::close(m_number);
  }
}

int Descriptor::Release() noexcept
{
  return std::exchange(m_number, -1);
}

Descriptor Descriptor::Renumber() && noexcept
{
  const int lowest = ::fcntl(m_number, F_DUPFD_CLOEXEC, 0);
  return lowest < 0 ? std::move(*this) : Descriptor(lowest);
}

HttpListener::HttpListener(IoRuntime& runtime)
  : m_runtime(runtime)
  , m_acceptor(runtime.Io())
  , m_firstReserved(FirstReservedDescriptor())
{
}

Result<void> HttpListener::Open(std::string_view address)
{
  BOOST_OUTCOME_TRY(auto listening, Listen(m_runtime.Io(), address));
  m_acceptor = std::move(listening);
  boost::system::error_code error;
  m_acceptor.non_blocking(true, error);
  // Accepted connections inherit the sizes. By itself the system lets a connection whose input is
  // not read, or whose output is not taken, grow to megabytes.
  boost::system::error_code ignored;
  m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  m_acceptor.set_option(boost::asio::socket_base::send_buffer_size(kSocketBufferBytes), ignored);
  const tcp::endpoint bound = m_acceptor.local_endpoint(error);
  if (error) {
    return Error{ ErrorCode::kIo, "listen", std::string(address), error.message() };
  }
  m_address = ToAddress(bound);
  m_spare = OpenSpare();
  return outcome::success();
}

bool HttpListener::Wait()
{
  const auto [error, size] =
    Await([&](auto done) { m_acceptor.async_wait(tcp::acceptor::wait_read, done); });
  return !error && m_acceptor.is_open();
}

std::optional<AcceptedConnection> HttpListener::Accept(boost::system::error_code& error)
{
  error.clear();
  tcp::endpoint peer;
  auto size = static_cast<socklen_t>(peer.capacity());
  int number = -1;
  do {
    number =
      ::accept4(m_acceptor.native_handle(), peer.data(), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
  } while (number < 0 && IsOneLeftOut(errno));
  if (number < 0) {
    if (!IsNothingWaiting(errno)) {
      error.assign(errno, boost::system::system_category());
    }
    return std::nullopt;
  }
  peer.resize(size);
  return AcceptedConnection{ Descriptor(number), peer, {} };
}

// The system gives out the lowest free number.
bool HttpListener::IsReserved(const Descriptor& descriptor) const noexcept
{
  return descriptor.Get() >= m_firstReserved;
}

std::optional<tcp::endpoint> HttpListener::CloseNext()
{
  m_spare = Descriptor();
  boost::system::error_code ignored;
  std::optional<tcp::endpoint> peer;
  if (const std::optional<AcceptedConnection> connection = Accept(ignored)) {
    peer = connection->peer;
  }
  m_spare = OpenSpare();
  return peer;
}

void HttpListener::Close()
{
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  m_spare = Descriptor();
}

} // namespace gooseberrysail::impl
