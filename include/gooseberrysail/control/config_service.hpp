#pragma once

#include "gooseberrysail/control/context.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrysail {

/// \brief Distributes the catalogue, confirms versions, and tracks the version in force on each
/// process.
class ConfigService
{
public:
  void OnQuery(const ControlContext& context,
               const ProcessId& peer,
               const wire::ConfigQueryT& query);
  void OnInForce(const ControlContext& context,
                 const ProcessId& peer,
                 const wire::InForceT& report);

  /// \brief Answers confirmed queries, pushes new versions and records which changes are in force
  /// everywhere.
  void Tick(ControlContext& context);

  /// \brief Drops the state of an earlier term of leadership.
  void OnLeaderStart(const ControlContext& context);

  struct InForce
  {
    LogIndex version;
    std::string failureDomain;
    TimePoint reportedAt{};
  };
  [[nodiscard]] const InForce* FindInForce(const ProcessId& process) const;

  /// \brief Processes that must report `version` as in force and have not yet.
  [[nodiscard]] std::vector<ProcessId> Lagging(const ControlContext& context,
                                               LogIndex version) const;

  /// \brief The time at which this leader first found a version in force on every process.
  [[nodiscard]] std::optional<WallMillis> InForceEverywhereAt(LogIndex version) const;

private:
  struct WaitingQuery
  {
    ProcessId peer;
    std::uint64_t nonce = 0;
    LogIndex haveVersion;
    ReadTicket ticket;
  };

  void AnswerQueries(ControlContext& context);
  void PushNewVersion(ControlContext& context);
  void RecordInForceEverywhere(const ControlContext& context);
  [[nodiscard]] static bool MustReport(const ControlContext& context,
                                       const PeerRow& peer,
                                       Duration limit);

  std::deque<WaitingQuery> m_waitingQueries;
  LogIndex m_pushedVersion;
  std::unordered_map<ProcessId, InForce> m_inForce;
  std::map<LogIndex, WallMillis> m_inForceEverywhereAt;
  TimePoint m_nextCheck{};
};

} // namespace gooseberrysail
