#pragma once

#include "fakes/relay.hpp"

#include <functional>
#include <string>
#include <thread>

namespace gooseberrysail::test {

/// \brief A relay on a thread of its own, so that blocking code can stand beside it.
class RelayThread
{
public:
  explicit RelayThread(const std::string& target);
  ~RelayThread();
  RelayThread(const RelayThread&) = delete;
  RelayThread& operator=(const RelayThread&) = delete;

  [[nodiscard]] const std::string& Address() const { return m_address; }

  /// \brief The connections open now lose all bytes from now on; new ones work.
  void BlackholeExisting();
  /// \brief Resets every open connection.
  void ResetExisting();
  void SetDelay(Duration delay);

private:
  void Serve(const std::string& target, const std::function<void(std::string)>& started);
  void Do(const std::function<void(fakes::Relay&)>& step);

  std::thread m_thread;
  std::string m_address;
  IoRuntime* m_runtime = nullptr;
  fakes::Relay* m_relay = nullptr;
};

} // namespace gooseberrysail::test
