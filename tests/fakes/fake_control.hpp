#pragma once

#include "gooseberrysail/http/http_server.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace gooseberrysail::test {

/// \brief A stand-in for a control process's admin API that applies changes once by their id.
class FakeControl
{
public:
  explicit FakeControl(IoRuntime& runtime);

  [[nodiscard]] Result<void> Start() { return m_server.Start(); }
  [[nodiscard]] std::string Address() const { return m_server.ListenAddress(); }
  void Close() { m_server.Close(); }

  /// \brief This many changes are applied, and their connection is closed instead of an answer.
  std::size_t answersToLose = 0;

  std::vector<std::string> postedChangeIds;      ///< In order of arrival, repetitions too.
  std::map<std::string, int> versionsByChangeId; ///< Each change that took effect.

private:
  void OnRequest(const HttpRequestIn& request);

  HttpServer m_server;
};

} // namespace gooseberrysail::test
