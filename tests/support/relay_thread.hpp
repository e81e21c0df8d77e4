#pragma once

#include "fakes/relay.hpp"

#include <functional>
#include <string>
#include <thread>

namespace gooseberrysail::test {

/// \brief Runs a relay on a thread of its own, for tests with blocking code.
class RelayThread
{
public:
  explicit RelayThread(const std::string& target);
  ~RelayThread();
  RelayThread(const RelayThread&) = delete;
  RelayThread& operator=(const RelayThread&) = delete;

  [[nodiscard]] const std::string& Address() const { return m_address; }

  /// \brief Drops all further bytes of the open connections; new connections work.
  void BlackholeExisting();
  /// \brief Resets every open connection.
  void ResetExisting();
  void SetDelay(Duration delay);

private:
  void Serve(const std::string& target, const std::function<void(std::string)>& started);
  void RunOnThread(const std::function<void(fakes::Relay&)>& step);

  std::thread m_thread;
  std::string m_address;
  IoRuntime* m_runtime = nullptr;
  fakes::Relay* m_relay = nullptr;
};

} // namespace gooseberrysail::test
