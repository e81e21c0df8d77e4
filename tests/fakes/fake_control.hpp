#pragma once

#include "gooseberrysail/http/http_server.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace gooseberrysail::test {

/// \brief A fake of the admin API of control that applies each change id once.
class FakeControl
{
public:
  explicit FakeControl(IoRuntime& runtime);

  [[nodiscard]] Result<void> Start() { return m_server.Start(); }
  [[nodiscard]] std::string Address() const { return m_server.ListenAddress(); }
  void Close() { m_server.Close(); }

  /// \brief The number of next changes that are applied but not answered: the connection is closed.
  std::size_t answersToLose = 0;

  std::vector<std::string> postedChangeIds;      ///< In order of arrival, with repetitions.
  std::map<std::string, int> versionsByChangeId; ///< The changes that were applied.

private:
  void OnRequest(const HttpRequestIn& request);

  HttpServer m_server;
};

} // namespace gooseberrysail::test
