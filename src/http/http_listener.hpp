#pragma once

#include "gooseberrysail/core/result.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrysail::impl {

/// \brief Owns a file descriptor.
class Descriptor
{
public:
  explicit Descriptor(int number = -1) noexcept
    : m_number(number)
  {
  }
  Descriptor(Descriptor&& other) noexcept
    : m_number(other.Release())
  {
  }
  Descriptor& operator=(Descriptor&& other) noexcept;
  ~Descriptor();

  [[nodiscard]] int Get() const noexcept { return m_number; }
  [[nodiscard]] int Release() noexcept;
  /// \brief The same open file under the lowest number that is free.
  [[nodiscard]] Descriptor Renumber() && noexcept;

private:
  int m_number;
};

/// \brief A connection that was accepted and of which nothing was read.
/// \remarks It costs a descriptor and no fiber, so that closing it unread is cheap.
struct AcceptedConnection
{
  Descriptor descriptor;
  boost::asio::ip::tcp::endpoint peer;
  TimePoint acceptedAt{}; ///< When the loop noticed it.
};

/// \brief Accepts connections without waiting for each of them.
class HttpListener
{
public:
  explicit HttpListener(IoRuntime& runtime);

  [[nodiscard]] Result<void> Open(std::string_view address);
  [[nodiscard]] const std::string& Address() const noexcept { return m_address; }

  /// \brief Suspends the fiber until connections wait; false once the listener is closed.
  [[nodiscard]] bool Wait();

  /// \brief Accepts the next connection that waits; none, with an error if it failed.
  [[nodiscard]] std::optional<AcceptedConnection> Accept(boost::system::error_code& error);

  /// \brief Whether so many descriptors of the process are in use that the others are reserved for
  /// its connections to other processes and to targets.
  [[nodiscard]] bool IsReserved(const Descriptor& descriptor) const noexcept;

  /// \brief Closes the next connection that waits, though no descriptor is free.
  /// \returns Its peer; none if no connection waits any more.
  std::optional<boost::asio::ip::tcp::endpoint> CloseNext();

  void Close();

private:
  IoRuntime& m_runtime;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::string m_address;
  int m_firstReserved;
  Descriptor m_spare; ///< Freed to accept a connection when no other descriptor is free.
};

} // namespace gooseberrysail::impl
