#include "gooseberrysail/net/fiber_runtime.hpp"

#include "net/fiber_scheduler.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/protected_fixedsize_stack.hpp>
#include <chrono>
#include <csignal>
#include <mutex>
#include <utility>
#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/asan_interface.h>
#endif

namespace gooseberrysail {

namespace {

// Reserves address space only; pages are allocated on first use. The guard page of each stack turns
// an overflow into an immediate crash instead of corrupting another fiber's data.
constexpr std::size_t kStackBytes = 256 * 1024;

/// \brief Allocates the stacks of fibers.
class FiberStackAllocator
{
public:
  boost::context::stack_context allocate() // NOLINT(readability-identifier-naming): Boost's name.
  {
    boost::context::stack_context stack = m_stacks.allocate();
#ifdef __SANITIZE_ADDRESS__
    // The last frames of a fiber never return, so that their redzones stay marked where the stack
    // of a later fiber is mapped.
    ASAN_UNPOISON_MEMORY_REGION(static_cast<char*>(stack.sp) - stack.size, stack.size);
#endif
    return stack;
  }

  // NOLINTNEXTLINE(readability-identifier-naming)
  void deallocate(boost::context::stack_context& stack) noexcept
  {
    m_stacks.deallocate(stack);
  }

private:
  boost::fibers::protected_fixedsize_stack m_stacks{ kStackBytes };
};

struct ThreadLoop
{
  std::shared_ptr<boost::asio::io_context> io;
  std::shared_ptr<impl::LoopState> state;
};

// The first runtime of a thread installs the fiber scheduler and later runtimes share it: replacing
// the scheduler would lose the fibers that wait in it.
const ThreadLoop& LoopOfThread()
{
  thread_local const ThreadLoop kLoop = [] {
    ThreadLoop loop{ std::make_shared<boost::asio::io_context>(1),
                     std::make_shared<impl::LoopState>() };
    boost::fibers::use_scheduling_algorithm<impl::FiberScheduler>(loop.io, loop.state);
    return loop;
  }();
  return kLoop;
}

/// \param how SIG_BLOCK or SIG_UNBLOCK.
void SetSignalMask(int how, const std::vector<int>& numbers)
{
  sigset_t set;
  sigemptyset(&set);
  for (const int number : numbers) {
    sigaddset(&set, number);
  }
  pthread_sigmask(how, &set, nullptr);
}

std::chrono::steady_clock::time_point SteadyAfter(Duration duration)
{
  return std::chrono::steady_clock::now() +
         std::chrono::duration_cast<std::chrono::steady_clock::duration>(duration);
}

} // namespace

void Signal::Notify()
{
  const std::lock_guard lock(m_mutex);
  m_notified = true;
  m_condition.notify_one();
}

void Signal::Wait()
{
  std::unique_lock lock(m_mutex);
  m_condition.wait(lock, [this] { return m_notified; });
  m_notified = false;
}

bool Signal::WaitFor(Duration timeout)
{
  std::unique_lock lock(m_mutex);
  const bool notified =
    m_condition.wait_until(lock, SteadyAfter(timeout), [this] { return m_notified; });
  m_notified = false;
  return notified;
}

struct IoRuntime::State
{
  explicit State(boost::asio::io_context& io)
    : signals(io)
  {
  }

  boost::asio::signal_set signals;
  std::vector<int> handledSignals;
  std::vector<int> lateSignals; ///< Received after Stop.
  bool isJoining = false;
  std::size_t fibers = 0;
  bool stopped = false;
  Signal stop;
  Signal fiberEnded;
};

IoRuntime::IoRuntime()
  : m_io(LoopOfThread().io)
  , m_loop(LoopOfThread().state)
  , m_state(std::make_shared<State>(*m_io))
{
}

// The signal set restores the default action of its signals when it is cleared, so they stay
// blocked. One that was received too late for this runtime is kept for the next one.
IoRuntime::~IoRuntime()
{
  Join();
  boost::system::error_code ignored;
  m_state->signals.clear(ignored);
  for (const int number : m_state->lateSignals) {
    std::raise(number);
  }
}

void IoRuntime::Spawn(std::function<void()> work)
{
  ++m_state->fibers;
  boost::fibers::fiber(boost::fibers::launch::post,
                       std::allocator_arg,
                       FiberStackAllocator(),
                       [state = m_state, work = std::move(work)]() mutable {
                         work();
                         work = nullptr;
                         --state->fibers;
                         state->fiberEnded.Notify();
                       })
    .detach();
}

void IoRuntime::SleepFor(Duration duration)
{
  boost::this_fiber::sleep_until(SteadyAfter(duration));
}

void IoRuntime::WaitUntilIdle()
{
  impl::Completion completion;
  m_loop->waitingUntilIdle.push_back(&completion);
  impl::Suspend(completion);
}

void IoRuntime::WaitForPoll()
{
  impl::Completion completion;
  m_loop->waitingForPoll.push_back(&completion);
  impl::Suspend(completion);
}

const LoopTimes& IoRuntime::Times() const noexcept
{
  return m_loop->times;
}

void IoRuntime::ResetLongestRound() noexcept
{
  m_loop->times.longestRound = Duration::zero();
  m_loop->times.longestRoundCpu = Duration::zero();
}

void IoRuntime::OnSignals(const std::vector<int>& numbers, std::function<void(int)> hook)
{
  for (const int number : numbers) {
    m_state->signals.add(number);
  }
  m_state->handledSignals = numbers;
  SetSignalMask(SIG_UNBLOCK, numbers);
  Spawn([state = m_state, hook = std::move(hook)] {
    while (!state->isJoining) {
      int number = 0;
      const auto [error, size] = Await([&](auto done) {
        state->signals.async_wait([&number, done](boost::system::error_code failure, int received) {
          number = received;
          done(failure);
        });
      });
      if (error) {
        return;
      }
      if (state->stopped) {
        state->lateSignals.push_back(number);
      } else {
        hook(number);
      }
    }
  });
}

void IoRuntime::Run()
{
  while (!m_state->stopped) {
    m_state->stop.Wait();
  }
}

void IoRuntime::Stop()
{
  m_state->stopped = true;
  m_state->stop.Notify();
}

void IoRuntime::Join()
{
  Stop();
  if (!m_state->isJoining && !m_state->handledSignals.empty()) {
    SetSignalMask(SIG_BLOCK, m_state->handledSignals);
    // Takes what has been received, one signal in each round.
    std::size_t taken = 0;
    do {
      taken = m_state->lateSignals.size();
      WaitForPoll();
    } while (m_state->lateSignals.size() > taken);
    m_state->isJoining = true;
    boost::system::error_code ignored;
    m_state->signals.cancel(ignored);
  }
  while (m_state->fibers > 0) {
    m_state->fiberEnded.Wait();
  }
}

namespace impl {

void Suspend(Completion& completion)
{
  while (!completion.done) {
    boost::fibers::context* const fiber = boost::fibers::context::active();
    completion.waker = fiber->create_waker();
    completion.waiting = true;
    fiber->suspend();
  }
}

void Complete(Completion& completion, boost::system::error_code error, std::size_t size)
{
  completion.error = error;
  completion.size = size;
  completion.done = true;
  if (completion.waiting) {
    completion.waker.wake();
  }
}

} // namespace impl

} // namespace gooseberrysail
