#pragma once

#include "gooseberrysail/control/document_service.hpp"
#include "gooseberrysail/control/engine_groups.hpp"
#include "gooseberrysail/control/outside_api.hpp"
#include "gooseberrysail/control/refused_calls.hpp"
#include "gooseberrysail/control/serving_feed.hpp"
#include "gooseberrysail/control/target_relay.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace gooseberrysail {

/// \brief Control's part in serving targets that announce themselves: their table, the serving
/// document, the groups, and what entries are told.
class ServingControl
{
public:
  ServingControl(OutsideApi api, EngineGroupsSettings groups);

  /// \returns False for a request of another interface.
  bool OnRequest(ControlContext& context, const HttpRequestIn& request);
  void OnCallerGone(ExchangeId exchange);

  /// \brief Frames of this subject; others are left alone.
  void OnFrame(ControlContext& context, const ProcessId& peer, const wire::BodyUnion& body);
  void OnPeerUp(const ControlContext& context, const ProcessId& peer);
  void OnPeerDown(const ProcessId& peer);

  void OnOrderAnswer(ControlContext& context, const TargetAnswerIn& answer);
  void OnOrderFailed(ControlContext& context, const TargetFailedIn& failed);

  void OnLeaderStart();
  void OnLeadershipLost(ControlContext& context);

  /// \brief Every tick, on every control process.
  void Tick(ControlContext& context);

  [[nodiscard]] std::size_t OpenCalls() const noexcept { return m_documents.OpenCalls(); }

private:
  struct OpenOrder
  {
    GroupOrder order;
    TimePoint since{};
    unsigned status = 0; ///< Of an answer that is not whole yet.
    std::string body;
  };

  void Take(ControlContext& context, ExchangeId exchange, const PutDocumentCall& call);
  void Take(ControlContext& context, ExchangeId exchange, const GetDocumentCall& call);
  void Take(ControlContext& context, ExchangeId exchange, const AnnounceCall& call);
  void Take(ControlContext& context, ExchangeId exchange, const LeaveCall& call);
  void Take(ControlContext& context, ExchangeId exchange, const MalformedCall& call);

  /// \returns False when another process leads or nobody is known to; the caller was told so.
  bool IsForLeader(ControlContext& context, ExchangeId exchange);
  void Respond(ControlContext& context, ExchangeId exchange, const OutsideAnswer& answer);
  [[nodiscard]] DocumentService::Respond Responder(ControlContext& context);
  [[nodiscard]] bool IsNamed(const TargetAnnouncement& announcement) const;
  void NoteChange(ControlContext& context, const InstanceId& instance);
  void OnHeard(ControlContext& context, const wire::TargetHeardT& heard);
  /// \brief Whether this process has run for longer than all targets need to speak.
  [[nodiscard]] bool HasHeardAll(TimePoint now) const noexcept
  {
    return now - m_startedAt >= m_learnTime;
  }
  void FollowDocument(ControlContext& context);
  void KeepGroups(ControlContext& context);
  void TakeReport(ControlContext& context, const OpenOrder& open);
  void EndOrder(ControlContext& context,
                ExchangeId exchange,
                OrderOutcome outcome,
                unsigned status);
  /// \brief Whether entries may send the target requests, or lately might.
  [[nodiscard]] bool TakesRequests(const TargetAnnouncement& target) const;
  [[nodiscard]] std::vector<ServedTarget> ListTargets(const ControlContext& context);

  OutsideApi m_api;
  TargetTable m_targets;
  TargetRelay m_relay;
  std::map<InstanceId, TimePoint> m_ledAt; ///< When heads last led a group that serves.
  DocumentService m_documents;
  RefusedCalls m_refused;
  EngineGroups m_groups;
  Duration m_learnTime; ///< From the process's start until it has heard every target.
  ServingFeed m_feed;
  std::optional<ServingDocument> m_document; ///< Typed copy of the committed one.
  std::uint64_t m_documentVersion = 0; ///< Of the committed one that m_document was read from.
  std::map<ExchangeId, OpenOrder> m_orders;
  std::uint64_t m_lastOrder = 0;
  TimePoint m_startedAt{};
  TimePoint m_nextKeep{};
  TimePoint m_nextForget{};
};

} // namespace gooseberrysail
