#pragma once

#include "gooseberrysail/control/context.hpp"
#include "gooseberrysail/control/outside_api.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <cstddef>
#include <functional>
#include <set>
#include <vector>

namespace gooseberrysail {

/// \brief Writes the departures of targets to the log, and answers the targets once they are there.
/// \remarks Every control process accepts departures. The leader learns of them by the relay of
/// heartbeats and proposes them; the process that was called answers when it has applied them.
class DepartureService
{
public:
  using Respond = std::function<void(ExchangeId, const OutsideAnswer&)>;

  /// \brief Answers a target that said that it leaves: at once if that is committed already, or
  /// once it is.
  void OnCall(const ControlContext& context,
              ExchangeId exchange,
              const Departure& departure,
              const Respond& respond);
  void OnCallerGone(ExchangeId exchange);

  /// \brief A target's state has changed.
  void OnChange(const InstanceId& instance) { m_changed.insert(instance); }

  /// \brief Applies to the table what was committed since the last call.
  void ApplyCommitted(const ControlContext& context, TargetTable& targets);

  /// \brief Proposes what the log lacks, on the leader, and answers the calls that are committed or
  /// timed out.
  void Tick(ControlContext& context, const TargetTable& targets, const Respond& respond);

  void OnLeaderStart() { m_nextReview = TimePoint{}; }

  /// \brief Answers all open calls: their departures may still be committed.
  void OnLeadershipLost(const Respond& respond);

  [[nodiscard]] std::size_t OpenCalls() const noexcept { return m_calls.size(); }

private:
  struct Call
  {
    ExchangeId exchange;
    Departure departure;
    TimePoint since{};
  };

  void AnswerCalls(ControlContext& context, const Respond& respond);
  void ProposeChanges(const ControlContext& context, const TargetTable& targets);
  /// \brief Compares the whole table with the log.
  void Review(const ControlContext& context, const TargetTable& targets);

  std::vector<Call> m_calls;
  std::set<InstanceId> m_changed;    ///< Whose departures the log may lack.
  std::vector<Departure> m_outdated; ///< That the log need not keep.
  LogIndex m_appliedTo;              ///< Rows up to here are in the target table.
  TimePoint m_nextReview{};
};

} // namespace gooseberrysail
