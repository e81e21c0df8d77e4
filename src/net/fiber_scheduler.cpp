#include "net/fiber_scheduler.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace gooseberrysail::impl {

namespace {

// The dispatcher is the fiber that calls suspend_until. Counting it as ready would prevent the
// scheduler from sleeping, and an idle process would use a whole core.
bool IsRunnable(const boost::fibers::context& fiber) noexcept
{
  return !fiber.is_context(boost::fibers::type::dispatcher_context);
}

} // namespace

FiberScheduler::FiberScheduler(std::shared_ptr<boost::asio::io_context> io)
  : m_io(std::move(io))
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
  if (until == std::chrono::steady_clock::time_point::max()) {
    m_io->run_one();
  } else {
    m_io->run_one_until(until);
  }
  m_io->poll();
}

void FiberScheduler::notify() noexcept
{
  boost::asio::post(*m_io, [] {});
}

} // namespace gooseberrysail::impl
