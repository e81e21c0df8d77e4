#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"
#include "gooseberrysail/shell/clock.hpp"

#include <functional>
#include <span>
#include <utility>
#include <vector>

namespace gooseberrysail {

/// \brief Runs the event loop of one role in a fiber: collects inputs, ticks the role and passes
/// on its outputs.
/// \remarks One tick processes all inputs that arrived since the previous one, so the number of
/// ticks for each input falls as the load rises.
template<class Input, class Output>
class RoleLoop
{
public:
  using TickHook =
    std::function<void(TimePoint now, std::span<const Input> inbox, std::vector<Output>& outbox)>;
  using OutputHook = std::function<void(Output& output)>;

  RoleLoop(Duration interval, TickHook tick, OutputHook handle)
    : m_interval(interval)
    , m_tick(std::move(tick))
    , m_handle(std::move(handle))
  {
  }

  /// \brief Queues an input for the next tick.
  void Post(Input input)
  {
    m_inbox.push_back(std::move(input));
    m_wake.Notify();
  }

  /// \brief Triggers a tick without an input.
  void Wake() { m_wake.Notify(); }

  /// \brief Ticks until Stop is called.
  void Run()
  {
    while (!m_stopped) {
      m_wake.WaitFor(m_interval);
      Step();
    }
  }

  void Stop()
  {
    m_stopped = true;
    m_wake.Notify();
  }

private:
  void Step()
  {
    std::vector<Input> inbox;
    inbox.swap(m_inbox);
    std::vector<Output> outbox;
    m_tick(BootNow(), inbox, outbox);
    for (Output& output : outbox) {
      m_handle(output);
    }
  }

  Duration m_interval;
  TickHook m_tick;
  OutputHook m_handle;
  std::vector<Input> m_inbox;
  Signal m_wake;
  bool m_stopped = false;
};

} // namespace gooseberrysail
