#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"
#include "gooseberrysail/shell/clock.hpp"

#include <functional>
#include <span>
#include <utility>
#include <vector>

namespace gooseberrysail {

/// \brief Runs one role in a fiber: collects what arrives, ticks the role, hands out what it says.
/// \remarks All inputs that arrived since the last tick go into one tick, so that a busy process
/// ticks less often for each input than an idle one.
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

  /// \brief Hands an input to the next tick.
  void Post(Input input)
  {
    m_inbox.push_back(std::move(input));
    m_wake.Notify();
  }

  /// \brief Ticks again soon although nothing arrived.
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
