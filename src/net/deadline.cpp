#include "net/deadline.hpp"

#include <chrono>
#include <utility>

namespace gooseberrysail::impl {

Deadline::Deadline(const boost::asio::any_io_executor& executor)
  : m_state(std::make_shared<State>(executor))
{
}

Deadline::~Deadline()
{
  Disarm();
}

void Deadline::Arm(Duration timeout, std::function<void()> onPassed)
{
  // Cancelling a timer does not remove a handler that is already queued to run. Such a handler
  // finds that the number has changed and returns.
  const std::uint64_t number = ++m_state->number;
  m_state->armed = true;
  m_state->timer.expires_after(
    std::chrono::duration_cast<std::chrono::steady_clock::duration>(timeout));
  m_state->timer.async_wait(
    [state = m_state, number, onPassed = std::move(onPassed)](boost::system::error_code) {
      if (number == state->number && state->armed) {
        state->armed = false;
        onPassed();
      }
    });
}

void Deadline::Disarm()
{
  if (m_state->armed) {
    ++m_state->number;
    m_state->armed = false;
    m_state->timer.cancel();
  }
}

} // namespace gooseberrysail::impl
