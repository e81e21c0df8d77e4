#pragma once

#include "gooseberrysail/core/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/waker.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace gooseberrysail {

/// \brief A sticky wake-up for one waiting fiber: a notification before the wait is not lost.
/// \code
/// Signal work;
/// runtime.Spawn([&] { while (work.WaitFor(EntryRole::kTickInterval), running) { Tick(); } });
/// inbox.push_back(frame);
/// work.Notify();
/// \endcode
class Signal
{
public:
  /// \brief Wakes the waiting fiber, or lets the next wait return at once.
  /// \remarks May be called from hooks and Asio handlers of the same thread.
  void Notify();

  /// \brief Suspends the fiber until notified, then clears the notification.
  void Wait();

  /// \returns False when `timeout` passed without a notification.
  bool WaitFor(Duration timeout);

private:
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_condition;
  bool m_notified = false;
};

/// \brief The fibers and the I/O of one thread.
/// \remarks The fibers take turns on the thread that made the runtime; with nothing to do the
/// thread sleeps in the kernel. Several runtimes of one thread share the fibers' scheduler. A fiber
/// that yields in a loop starves the I/O: wait on an operation, a timer or a Signal instead.
class IoRuntime
{
public:
  IoRuntime();
  /// \brief Waits for the spawned fibers to end; close what they serve first.
  ~IoRuntime();
  IoRuntime(const IoRuntime&) = delete;
  IoRuntime& operator=(const IoRuntime&) = delete;

  [[nodiscard]] boost::asio::io_context& Io() noexcept { return *m_io; }

  /// \brief Starts a fiber; it first runs when the caller next waits.
  void Spawn(std::function<void()> work);

  /// \brief Suspends the calling fiber; the others go on.
  void SleepFor(Duration duration);

  /// \brief Calls `hook` in a fiber for each of these signals until the runtime stops.
  /// \remarks Call it once: several hooks would each be called for every signal that any named.
  void OnSignals(const std::vector<int>& numbers, std::function<void(int)> hook);

  /// \brief Serves fibers and I/O until Stop is called; the main function's last step.
  void Run();

  /// \brief Lets Run return.
  void Stop();

private:
  struct State;
  std::shared_ptr<boost::asio::io_context> m_io;
  std::shared_ptr<State> m_state;
};

namespace impl {

/// \brief What an operation awaited by a fiber left behind.
struct Completion
{
  boost::system::error_code error;
  std::size_t size = 0;
  bool done = false;
  bool waiting = false;
  boost::fibers::waker waker;
};

/// \brief Suspends the fiber until `completion` is done.
void Suspend(Completion& completion);

/// \brief Marks `completion` done and makes its fiber ready.
void Complete(Completion& completion, boost::system::error_code error, std::size_t size);

} // namespace impl

/// \brief Starts an asynchronous operation and suspends the calling fiber until it completes.
/// \code
/// auto [error, size] = Await([&](auto done) { socket.async_read_some(buffer, done); });
/// \endcode
/// \remarks Closing the socket from another fiber completes it. Not for use in Asio handlers.
template<class Start>
std::pair<boost::system::error_code, std::size_t> Await(Start&& start)
{
  impl::Completion completion;
  std::forward<Start>(start)([&completion](boost::system::error_code error, std::size_t size = 0) {
    impl::Complete(completion, error, size);
  });
  impl::Suspend(completion);
  return { completion.error, completion.size };
}

} // namespace gooseberrysail
