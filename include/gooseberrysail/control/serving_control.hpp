#pragma once

#include "gooseberrysail/control/control_list_feed.hpp"
#include "gooseberrysail/control/departure_service.hpp"
#include "gooseberrysail/control/document_service.hpp"
#include "gooseberrysail/control/engine_groups.hpp"
#include "gooseberrysail/control/evacuation_service.hpp"
#include "gooseberrysail/control/outside_api.hpp"
#include "gooseberrysail/control/refused_calls.hpp"
#include "gooseberrysail/control/serving_feed.hpp"
#include "gooseberrysail/control/target_relay.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace gooseberrysail {

/// \brief The control side of serving with targets that announce themselves: the target table, the
/// serving document, the groups, and the state sent to entries.
class ServingControl
{
public:
  ServingControl(OutsideApi api, EngineGroupsSettings groups);

  /// \returns False for a request to another API.
  bool OnRequest(ControlContext& context, const HttpRequestIn& request);
  void OnCallerGone(ExchangeId exchange);

  /// \brief Handles target reports and serving queries; ignores other frames.
  void OnFrame(ControlContext& context, const ProcessId& peer, const wire::BodyUnion& body);
  void OnPeerUp(const ControlContext& context, const ProcessId& peer);
  void OnPeerDown(const ProcessId& peer);

  void OnOrderAnswer(ControlContext& context, const TargetAnswerIn& answer);
  void OnOrderFailed(ControlContext& context, const TargetFailedIn& failed);

  void OnLeaderStart();
  void OnLeadershipLost(ControlContext& context);

  /// \brief Must be called in every tick on every control process, leader or not.
  void Tick(ControlContext& context);

  [[nodiscard]] std::size_t OpenCalls() const noexcept
  {
    return m_documents.OpenCalls() + m_evacuations.OpenCalls() + m_departures.OpenCalls();
  }

private:
  struct PendingOrder
  {
    GroupOrder order;
    TimePoint since{};
    unsigned status = 0; ///< Of an answer that is not complete yet.
    std::string body;
  };

  void Handle(ControlContext& context, const HttpRequestIn& request, const PutDocumentCall& call);
  void Handle(ControlContext& context, const HttpRequestIn& request, const GetDocumentCall& call);
  void Handle(ControlContext& context, const HttpRequestIn& request, const AnnounceCall& call);
  void Handle(ControlContext& context, const HttpRequestIn& request, const LeaveCall& call);
  void Handle(ControlContext& context, const HttpRequestIn& request, const EvacuateCall& call);
  void Handle(ControlContext& context, const HttpRequestIn& request, const MalformedCall& call);

  /// \brief Responds to the caller unless this process leads.
  /// \param withoutLeader The status of the response when no leader is known. An order that is sent
  /// again may have been accepted by an earlier leader, a read has no effect.
  /// \returns Whether this process leads.
  bool IsForLeader(ControlContext& context,
                   const HttpRequestIn& request,
                   OutsideStatus withoutLeader);
  void Respond(ControlContext& context, ExchangeId exchange, const OutsideAnswer& answer);
  [[nodiscard]] DocumentService::Respond Responder(ControlContext& context);
  [[nodiscard]] bool IsServiceKnown(const TargetAnnouncement& announcement) const;
  /// \brief Refuses a call of a target that the table did not record.
  /// \returns False if it was recorded.
  bool RefuseUnrecorded(ControlContext& context,
                        const HttpRequestIn& request,
                        const InstanceId& instance,
                        TargetTable::Change change);
  /// \brief Answers a target whose heartbeat or departure was recorded in the table.
  void AnswerTarget(ControlContext& context,
                    const HttpRequestIn& request,
                    const InstanceId& instance);
  void ReportTargetChange(ControlContext& context, const InstanceId& instance);
  void OnTargetReport(ControlContext& context, const wire::TargetHeardT& report);
  /// \brief Applies what another control process heard from targets.
  void OnTargetsHeard(ControlContext& context,
                      const ProcessId& peer,
                      const wire::TargetsHeardT& targets);
  /// \brief Whether this process has run long enough to receive a heartbeat of every target.
  [[nodiscard]] bool HaveAllTargetsReported(TimePoint now) const noexcept
  {
    return now - m_startedAt >= m_discoveryTime;
  }
  void ApplyStoredDocument(ControlContext& context);
  void ReconcileGroups(ControlContext& context);
  void HandleReport(ControlContext& context, const PendingOrder& pending);
  void CompleteOrder(ControlContext& context,
                     ExchangeId exchange,
                     OrderOutcome outcome,
                     unsigned status,
                     const std::string& error);
  /// \brief Records the failure domains whose evacuation was withdrawn.
  void FollowEvacuations(const ControlContext& context);
  /// \brief Sets how many requests a target takes while it is cold.
  void SetCold(const TargetRow& row, ServedTarget& target) const;
  /// \brief Whether entries may send requests to the target, or recently could.
  [[nodiscard]] bool TakesRequests(const TargetAnnouncement& target) const;
  [[nodiscard]] std::vector<ServedTarget> ListTargets(const ControlContext& context);

  OutsideApi m_api;
  TargetTable m_targets;
  TargetRelay m_relay;
  std::map<InstanceId, TimePoint> m_lastLedAt; ///< When heads last led a serving group.
  DocumentService m_documents;
  EvacuationService m_evacuations;
  DepartureService m_departures;
  RefusedCalls m_refused;
  EngineGroups m_groups;
  Duration m_discoveryTime; ///< From the process's start until every target has reported.
  ServingFeed m_feed;
  ControlListFeed m_controlLists;
  std::optional<ServingDocument> m_document; ///< Parsed from the committed document.
  std::uint64_t m_documentVersion = 0;       ///< Committed version last read.
  std::map<ExchangeId, PendingOrder> m_pendingOrders;
  std::uint64_t m_lastOrder = 0;
  std::set<FailureDomainId> m_evacuated;              ///< As of the latest tick.
  std::map<FailureDomainId, TimePoint> m_withdrawnAt; ///< When evacuations were withdrawn.
  TimePoint m_startedAt{};
  TimePoint m_nextReconcile{};
  TimePoint m_nextForget{};
};

} // namespace gooseberrysail
