#pragma once

#include "gooseberrysail/http/http_server.hpp"
#include "gooseberrysail/net/fiber_runtime.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <array>
#include <functional>
#include <optional>
#include <string>

namespace gooseberrysail::impl {

/// \brief A connection that ends although a request on it may have got no response.
struct ConnectionEnd
{
  HttpEndCause cause = HttpEndCause::kUnread;
  int descriptor = -1;            ///< Of the open socket; -1 if it is closed already.
  std::uint64_t served = 0;       ///< Requests that it carried and that were passed on.
  std::size_t readAheadBytes = 0; ///< Read from the socket and not passed on.
  TimePoint inputAt{};            ///< When the loop noticed the input, or the wait for it began.
};

/// \brief Counts such ends and makes a bounded number of events of them.
class ConnectionEnds
{
public:
  ConnectionEnds(const IoRuntime& runtime, HttpServerCounters& counters);

  /// \brief Counts an end. \returns Its event; none if too many were made of this cause.
  [[nodiscard]] std::optional<EventOut> Note(const ConnectionEnd& end,
                                             bool isStopping,
                                             const std::function<std::string()>& peer);

  /// \brief The totals since the start; none without any.
  [[nodiscard]] std::optional<EventOut> MakeTotals() const;

private:
  /// \brief Bounds the events of one cause.
  struct Budget
  {
    TimePoint since{};
    std::size_t made = 0;
    std::uint64_t leftOut = 0;
  };

  [[nodiscard]] static bool Take(Budget& budget, TimePoint now);

  const IoRuntime& m_runtime;
  HttpServerCounters& m_counters;
  std::array<std::array<Budget, 2>, kHttpEndCauses> m_budgets{}; ///< Of new and kept connections.
};

} // namespace gooseberrysail::impl
