#pragma once

#include "support/http_call.hpp"

#include <memory>

namespace gooseberrysail::test {

/// \brief Calls over one connection for as long as it stands, as callers with keep-alive make them.
class KeptConnection
{
public:
  KeptConnection();
  ~KeptConnection();
  KeptConnection(const KeptConnection&) = delete;
  KeptConnection& operator=(const KeptConnection&) = delete;

  /// \brief Blocks until the answer is whole, the time is over or the connection breaks. A call to
  /// another address than the last one's opens a new connection; a call is never sent twice.
  [[nodiscard]] HttpReply Call(const HttpCall& call);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace gooseberrysail::test
