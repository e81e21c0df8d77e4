#pragma once

#include "gooseberrysail/control/admin_http.hpp"
#include "gooseberrysail/control/context.hpp"

#include <boost/json/array.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief Operators' queries that need answers of other processes: the outcome of a request, and
/// the events of all processes.
class AdminQueries
{
public:
  void LookUpRequest(ControlContext& context, ExchangeId exchange, const std::string& request);
  void CollectTimeline(ControlContext& context, ExchangeId exchange, const AdminTarget& target);
  void OnRequestAnswer(ControlContext& context,
                       const ProcessId& peer,
                       const wire::RequestAnswerT& answer);
  void OnTimelineAnswer(ControlContext& context,
                        const ProcessId& peer,
                        const wire::TimelineAnswerT& answer);
  void OnCallerGone(ExchangeId exchange);
  /// \brief After kTimeout, answers request lookups with an error and timelines with the events
  /// received so far.
  void Tick(ControlContext& context);

  /// \brief Closes all open queries and returns their calls, for the caller to answer.
  [[nodiscard]] std::vector<ExchangeId> TakeOpenCalls();

  [[nodiscard]] std::size_t OpenCalls() const noexcept
  {
    return m_requests.size() + m_timelines.size();
  }

  static constexpr Duration kTimeout = std::chrono::seconds(2);

private:
  struct RequestLookup
  {
    ExchangeId exchange;
    std::string request;
    ProcessId entry;
    TimePoint asked{};
  };
  struct TimelineLookup
  {
    ExchangeId exchange;
    TimePoint asked{};
    std::set<ProcessId> awaited;
    std::set<ProcessId> answered;
    std::size_t notAsked = 0; ///< Connected processes beyond the limit on queried ones.
    std::uint64_t dropped = 0;
    std::size_t bytes = 0;
    bool truncated = false;
    boost::json::array events;
  };

  static void AnswerTimeline(ControlContext& context, TimelineLookup& lookup);

  std::uint64_t m_nonce = 0;
  std::map<std::uint64_t, RequestLookup> m_requests;
  std::map<std::uint64_t, TimelineLookup> m_timelines;
};

} // namespace gooseberrysail
