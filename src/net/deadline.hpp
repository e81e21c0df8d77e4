#pragma once

#include "gooseberrysail/core/time.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>

namespace gooseberrysail::impl {

/// \brief A timer that calls a hook unless it is disarmed before the timeout.
/// \remarks The hook runs in an Asio handler and must not block. After the deadline was disarmed,
/// armed again or destroyed, the hook is not called, even if the timer had already expired.
class Deadline
{
public:
  explicit Deadline(const boost::asio::any_io_executor& executor);
  ~Deadline();
  Deadline(const Deadline&) = delete;
  Deadline& operator=(const Deadline&) = delete;

  void Arm(Duration timeout, std::function<void()> onPassed);
  void Disarm();
  [[nodiscard]] bool IsArmed() const noexcept { return m_state->armed; }

private:
  struct State
  {
    explicit State(const boost::asio::any_io_executor& executor)
      : timer(executor)
    {
    }

    boost::asio::steady_timer timer;
    std::uint64_t number = 0;
    bool armed = false;
  };

  std::shared_ptr<State> m_state;
};

} // namespace gooseberrysail::impl
