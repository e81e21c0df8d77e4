#pragma once

#include "gooseberrysail/core/result.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"

#include <memory>
#include <string>

namespace gooseberrysail::fakes {

/// \brief A TCP relay that simulates network faults: it can drop the bytes of open connections,
/// reset or delay them, and refuse new ones.
class Relay
{
public:
  /// \brief The direction in which bytes are dropped.
  enum class Direction
  {
    kToTarget,
    kToCaller,
    kBoth,
  };

  Relay(IoRuntime& runtime, std::string targetAddress);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  [[nodiscard]] Result<void> Start();
  [[nodiscard]] std::string ListenAddress() const;

  /// \brief Drops all further bytes of the open connections in the given direction, and also the
  /// end of stream when one side closes. The connections stay open; new connections work.
  void BlackholeExisting(Direction what);

  /// \brief Resets every open connection.
  void ResetExisting();

  /// \brief Sets whether new connections are closed right after they are accepted.
  void RefuseNew(bool refuse);

  /// \brief Delays all forwarded bytes by this duration; their order is kept.
  void SetDelay(Duration delay);

  /// \brief Number of connections accepted for relaying.
  [[nodiscard]] std::size_t Accepted() const noexcept;

  void Close();

private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace gooseberrysail::fakes
