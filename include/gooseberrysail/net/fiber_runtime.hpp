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

namespace impl {
struct LoopState;
}

/// \brief An auto-reset event for one waiting fiber: a notification before the wait is kept.
/// \code
/// Signal work;
/// runtime.Spawn([&] { while (work.WaitFor(EntryRole::kTickInterval), running) { Tick(); } });
/// inbox.push_back(frame);
/// work.Notify();
/// \endcode
class Signal
{
public:
  /// \brief Wakes the waiting fiber, or makes the next wait return at once.
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

/// \brief When the event loop last looked for input, and how late it is.
/// \remarks A round runs every ready fiber once and then polls the sockets and timers.
struct LoopTimes
{
  /// Input that the latest poll reported arrived no earlier than this.
  TimePoint inputSince{};
  TimePoint polledAt{};    ///< Start of the latest poll.
  Duration latestRound{};  ///< From the poll before it to its start.
  Duration longestRound{}; ///< Since the previous ResetLongestRound.
  /// Processor time of the thread in these rounds; the rest of a round it was not running.
  Duration latestRoundCpu{};
  Duration longestRoundCpu{};
};

/// \brief Runs the fibers and the I/O of one thread.
/// \remarks Fibers are scheduled cooperatively on the thread that created the runtime; the thread
/// sleeps in the kernel when none is ready. Runtimes of one thread share one fiber scheduler. A
/// fiber that yields in a loop starves the I/O: wait on an operation, a timer or a Signal instead.
class IoRuntime
{
public:
  IoRuntime();
  /// \brief Calls Join.
  ~IoRuntime();
  IoRuntime(const IoRuntime&) = delete;
  IoRuntime& operator=(const IoRuntime&) = delete;

  [[nodiscard]] boost::asio::io_context& Io() noexcept { return *m_io; }

  /// \brief Starts a fiber; it first runs when the caller next waits.
  void Spawn(std::function<void()> work);

  /// \brief Suspends the calling fiber; other fibers keep running.
  void SleepFor(Duration duration);

  /// \brief Calls `hook` in a fiber for each of these POSIX signals until Stop is called.
  /// \remarks Call it once: with several hooks, each would be called for the signals of all. The
  /// signals are unblocked here and blocked by Join. Those that come later stay pending, for the
  /// next runtime or until the process exits.
  void OnSignals(const std::vector<int>& numbers, std::function<void(int)> hook);

  /// \brief Suspends the calling fiber until no other fiber is ready, before the next poll.
  void WaitUntilIdle();

  /// \brief Suspends the calling fiber until sockets and timers have been polled.
  void WaitForPoll();

  [[nodiscard]] const LoopTimes& Times() const noexcept;
  void ResetLongestRound() noexcept;

  /// \brief Runs fibers and I/O until Stop is called.
  void Run();

  /// \brief Makes Run return. No hook of OnSignals is called any more.
  void Stop();

  /// \brief Calls Stop and waits for the spawned fibers to end; close the objects that they serve
  /// first. What their functions refer to may be destroyed afterwards.
  void Join();

private:
  struct State;
  std::shared_ptr<boost::asio::io_context> m_io;
  std::shared_ptr<impl::LoopState> m_loop;
  std::shared_ptr<State> m_state;
};

namespace impl {

/// \brief The state and result of an asynchronous operation that a fiber awaits.
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

/// \brief Stores the result, marks `completion` done and makes its fiber ready.
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
