#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace gooseberrysail::soak {

/// \brief Holds back threads that want to send, for a limited time.
class Silence
{
public:
  void BeginFor(std::chrono::milliseconds duration)
  {
    const std::scoped_lock lock(m_mutex);
    m_until = std::chrono::steady_clock::now() + duration;
  }

  void End()
  {
    const std::scoped_lock lock(m_mutex);
    m_until = {};
    m_ended.notify_all();
  }

  /// \brief Blocks until the silence is over.
  void Wait()
  {
    std::unique_lock lock(m_mutex);
    while (std::chrono::steady_clock::now() < m_until) {
      m_ended.wait_until(lock, m_until);
    }
  }

private:
  std::mutex m_mutex;
  std::condition_variable m_ended;
  std::chrono::steady_clock::time_point m_until;
};

} // namespace gooseberrysail::soak
