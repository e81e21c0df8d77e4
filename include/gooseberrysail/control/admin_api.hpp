#pragma once

#include "gooseberrysail/control/admin_queries.hpp"
#include "gooseberrysail/control/admin_views.hpp"

#include <deque>
#include <map>
#include <string>

namespace gooseberrysail {

/// \brief The operators' HTTP API: changes the catalogue and reads state, history and events.
class AdminApi
{
public:
  void OnRequest(ControlContext& context,
                 const HttpRequestIn& request,
                 const AdminSources& sources);
  void OnCallerGone(ExchangeId exchange);
  void OnRequestAnswer(ControlContext& context,
                       const ProcessId& peer,
                       const wire::RequestAnswerT& answer)
  {
    m_queries.OnRequestAnswer(context, peer, answer);
  }
  void OnTimelineAnswer(ControlContext& context,
                        const ProcessId& peer,
                        const wire::TimelineAnswerT& answer)
  {
    m_queries.OnTimelineAnswer(context, peer, answer);
  }

  void Tick(ControlContext& context, const AdminSources& sources);

  /// \brief Redirects new calls from now on; open calls are still answered.
  void StopAccepting() noexcept { m_stopping = true; }
  [[nodiscard]] std::size_t OpenCalls() const noexcept
  {
    return m_reads.size() + m_writes.size() + m_queries.OpenCalls();
  }

  /// \brief Answers open reads and queries with the leader's address, and open writes with an
  /// unknown outcome.
  void OnLeadershipLost(ControlContext& context);

private:
  struct WaitingRead
  {
    ExchangeId exchange;
    AdminTarget target;
    ReadTicket ticket;
  };
  struct WaitingWrite
  {
    std::string changeId;
    std::string digest;
    TimePoint since{};
  };

  [[nodiscard]] bool Authorize(ControlContext& context, const HttpRequestIn& request) const;
  static void RedirectToLeader(ControlContext& context, ExchangeId exchange);
  void Read(ControlContext& context, const WaitingRead& read, const AdminSources& sources);
  void Write(ControlContext& context, const HttpRequestIn& request);
  void AnswerReads(ControlContext& context, const AdminSources& sources);
  void AnswerWrites(ControlContext& context);

  std::deque<WaitingRead> m_reads;
  std::map<ExchangeId, WaitingWrite> m_writes;
  AdminQueries m_queries;
  bool m_stopping = false;
};

} // namespace gooseberrysail
