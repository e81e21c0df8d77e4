#pragma once

#include "support/http_call.hpp"

#include <memory>

namespace gooseberrysail::test {

/// \brief Makes calls over one keep-alive connection as long as it stays open.
class PersistentConnection
{
public:
  PersistentConnection();
  ~PersistentConnection();
  PersistentConnection(const PersistentConnection&) = delete;
  PersistentConnection& operator=(const PersistentConnection&) = delete;

  /// \brief Blocks until the response is complete, the timeout expires or the connection fails. A
  /// call to a different address opens a new connection. Calls are never retried.
  [[nodiscard]] HttpReply Call(const HttpCall& call);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace gooseberrysail::test
