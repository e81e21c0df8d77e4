#pragma once

#include "gooseberrysail/core/result.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"

#include <memory>
#include <string>

namespace gooseberrysail::fakes {

/// \brief A TCP relay that fails like a network: it loses track of open connections, cuts them or
/// delays them, while new ones may work.
class Relay
{
public:
  /// \brief Which bytes an established connection loses from now on.
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

  /// \brief The connections open now lose these bytes for good, without being closed; the ends of
  /// them that one side closes are lost as well. New connections work.
  void BlackholeExisting(Direction what);

  /// \brief Resets every open connection.
  void ResetExisting();

  /// \brief New connections are accepted and closed at once.
  void RefuseNew(bool refuse);

  /// \brief Holds each piece back for this long, in order.
  void SetDelay(Duration delay);

  /// \brief Connections relayed since the start.
  [[nodiscard]] std::size_t Accepted() const noexcept;

  void Close();

private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace gooseberrysail::fakes
