#pragma once

#include "gooseberrysail/net/fiber_runtime.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <vector>

namespace gooseberrysail::impl {

/// \brief The state of the event loop that the runtimes of a thread share with the scheduler.
struct LoopState
{
  LoopTimes times;
  std::vector<Completion*> waitingUntilIdle;
  std::vector<Completion*> waitingForPoll;
};

/// \brief A round-robin fiber scheduler. When no fiber is ready, it blocks in the io_context until
/// a handler runs or the next fiber timer expires.
class FiberScheduler : public boost::fibers::algo::algorithm
{
public:
  FiberScheduler(std::shared_ptr<boost::asio::io_context> io, std::shared_ptr<LoopState> loop);

  void awakened(boost::fibers::context* fiber) noexcept override;
  boost::fibers::context* pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(const std::chrono::steady_clock::time_point& until) noexcept override;
  void notify() noexcept override;

private:
  std::shared_ptr<boost::asio::io_context> m_io;
  std::shared_ptr<LoopState> m_loop;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
  boost::fibers::scheduler::ready_queue_type m_ready;
  std::size_t m_readyCount = 0;
  Duration m_cpuTime{}; ///< Of the thread, at the end of the latest round.
};

} // namespace gooseberrysail::impl
