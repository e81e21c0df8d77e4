#include "net/fiber_scheduler.hpp"

#include "gooseberrysail/shell/clock.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace gooseberrysail::impl {

namespace {

// A wait that took this long had nothing to report at first, so that what ended it had just come.
constexpr Duration kIdleWait = std::chrono::milliseconds(1);

// The dispatcher is the fiber that calls suspend_until. Counting it as ready would prevent the
// scheduler from sleeping, and an idle process would use a whole core.
bool IsRunnable(const boost::fibers::context& fiber) noexcept
{
  return !fiber.is_context(boost::fibers::type::dispatcher_context);
}

// Returns false if there are none.
bool CompleteAll(std::vector<Completion*>& completions)
{
  std::vector<Completion*> waiting;
  waiting.swap(completions);
  for (Completion* completion : waiting) {
    Complete(*completion, {}, 0);
  }
  return !waiting.empty();
}

} // namespace

FiberScheduler::FiberScheduler(std::shared_ptr<boost::asio::io_context> io,
                               std::shared_ptr<LoopState> loop)
  : m_io(std::move(io))
  , m_loop(std::move(loop))
  , m_work(boost::asio::make_work_guard(*m_io))
{
}

void FiberScheduler::awakened(boost::fibers::context* fiber) noexcept
{
  fiber->ready_link(m_ready);
  if (IsRunnable(*fiber)) {
    ++m_readyCount;
  }
}

boost::fibers::context* FiberScheduler::pick_next() noexcept
{
  if (m_ready.empty()) {
    return nullptr;
  }
  boost::fibers::context* fiber = &m_ready.front();
  m_ready.pop_front();
  if (IsRunnable(*fiber)) {
    --m_readyCount;
  }
  return fiber;
}

bool FiberScheduler::has_ready_fibers() const noexcept
{
  return m_readyCount > 0;
}

void FiberScheduler::suspend_until(const std::chrono::steady_clock::time_point& until) noexcept
{
  if (CompleteAll(m_loop->waitingUntilIdle)) {
    return;
  }
  LoopTimes& times = m_loop->times;
  const TimePoint before = BootNow();
  const Duration cpuBefore = std::exchange(m_cpuTime, ThreadCpuTime());
  if (times.polledAt != TimePoint{}) {
    times.latestRound = before - times.polledAt;
    // Includes the processor time of the poll before, which saves a second clock call.
    times.latestRoundCpu = std::min<Duration>(m_cpuTime - cpuBefore, times.latestRound);
    if (times.latestRound >= times.longestRound) {
      times.longestRound = times.latestRound;
      times.longestRoundCpu = times.latestRoundCpu;
    }
  }
  const bool mayBlock = m_loop->waitingForPoll.empty();
  if (mayBlock && until == std::chrono::steady_clock::time_point::max()) {
    m_io->run_one();
  } else if (mayBlock) {
    m_io->run_one_until(until);
  }
  const TimePoint woken = BootNow();
  times.inputSince = woken - before >= kIdleWait ? woken : times.polledAt;
  m_io->poll();
  times.polledAt = woken;
  CompleteAll(m_loop->waitingForPoll);
}

void FiberScheduler::notify() noexcept
{
  boost::asio::post(*m_io, [] {});
}

} // namespace gooseberrysail::impl
