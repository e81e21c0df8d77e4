#include "fakes/relay.hpp"

#include "gooseberrysail/net/endpoint.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

namespace gooseberrysail::fakes {

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kPieceBytes = 16 * 1024;

struct Link
{
  explicit Link(boost::asio::io_context& io)
    : caller(io)
    , target(io)
  {
  }

  tcp::socket caller;
  tcp::socket target;
  bool dropToTarget = false;
  bool dropToCaller = false;
};

void Reset(tcp::socket& socket)
{
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

} // namespace

struct Relay::Impl
{
  Impl(IoRuntime& ioRuntime, std::string address)
    : runtime(ioRuntime)
    , targetAddress(std::move(address))
    , acceptor(ioRuntime.Io())
  {
  }

  void Spawn(std::function<void()> work)
  {
    ++fibers;
    runtime.Spawn([this, work = std::move(work)] {
      work();
      --fibers;
      fiberEnded.Notify();
    });
  }

  void Accept()
  {
    while (!closed) {
      auto link = std::make_shared<Link>(runtime.Io());
      const auto [error, size] =
        Await([&](auto done) { acceptor.async_accept(link->caller, done); });
      if (error) {
        return;
      }
      if (!refuseNew) {
        ++accepted;
        links.push_back(link);
        Spawn([this, link] { Connect(link); });
      }
    }
  }

  void Connect(const std::shared_ptr<Link>& link)
  {
    const auto endpoint = ParseEndpoint(targetAddress);
    const auto [error, size] =
      Await([&](auto done) { link->target.async_connect(endpoint.value(), done); });
    boost::system::error_code ignored;
    if (error || closed) {
      link->caller.close(ignored);
      return;
    }
    link->caller.set_option(tcp::no_delay(true), ignored);
    link->target.set_option(tcp::no_delay(true), ignored);
    Spawn([this, link] { Pump(link->caller, link->target, link->dropToTarget); });
    Spawn([this, link] { Pump(link->target, link->caller, link->dropToCaller); });
  }

  void Pump(tcp::socket& from, tcp::socket& to, const bool& drop)
  {
    std::array<char, kPieceBytes> piece{};
    for (;;) {
      const auto [error, size] =
        Await([&](auto done) { from.async_read_some(boost::asio::buffer(piece), done); });
      if (error) {
        if (!drop) {
          boost::system::error_code ignored;
          to.shutdown(tcp::socket::shutdown_send, ignored);
        }
        return;
      }
      if (delay > Duration::zero()) {
        runtime.SleepFor(delay);
      }
      if (drop) {
        continue;
      }
      const auto [failed, written] = Await([&, count = size](auto done) {
        boost::asio::async_write(to, boost::asio::buffer(piece.data(), count), done);
      });
      if (failed) {
        return;
      }
    }
  }

  IoRuntime& runtime;
  std::string targetAddress;
  tcp::acceptor acceptor;
  std::string listenAddress;
  std::vector<std::shared_ptr<Link>> links;
  std::size_t accepted = 0;
  Duration delay{};
  bool refuseNew = false;
  bool closed = false;
  std::size_t fibers = 0;
  Signal fiberEnded;
};

Relay::Relay(IoRuntime& runtime, std::string targetAddress)
  : m_impl(std::make_shared<Impl>(runtime, std::move(targetAddress)))
{
}

Relay::~Relay()
{
  Close();
}

Result<void> Relay::Start()
{
  BOOST_OUTCOME_TRY(auto acceptor, Listen(m_impl->runtime.Io(), "127.0.0.1:0"));
  m_impl->acceptor = std::move(acceptor);
  m_impl->listenAddress = ToAddress(m_impl->acceptor.local_endpoint());
  m_impl->Spawn([impl = m_impl] { impl->Accept(); });
  return outcome::success();
}

std::string Relay::ListenAddress() const
{
  return m_impl->listenAddress;
}

void Relay::BlackholeExisting(Direction what)
{
  for (const auto& link : m_impl->links) {
    link->dropToTarget = link->dropToTarget || what != Direction::kToCaller;
    link->dropToCaller = link->dropToCaller || what != Direction::kToTarget;
  }
}

void Relay::ResetExisting()
{
  for (const auto& link : m_impl->links) {
    Reset(link->caller);
    Reset(link->target);
  }
}

void Relay::RefuseNew(bool refuse)
{
  m_impl->refuseNew = refuse;
}

void Relay::SetDelay(Duration delay)
{
  m_impl->delay = delay;
}

std::size_t Relay::Accepted() const noexcept
{
  return m_impl->accepted;
}

void Relay::Close()
{
  m_impl->closed = true;
  boost::system::error_code ignored;
  m_impl->acceptor.close(ignored);
  for (const auto& link : m_impl->links) {
    link->caller.close(ignored);
    link->target.close(ignored);
  }
  while (m_impl->fibers > 0) {
    m_impl->fiberEnded.Wait();
  }
}

} // namespace gooseberrysail::fakes
