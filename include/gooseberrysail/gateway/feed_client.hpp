#pragma once

#include "gooseberrysail/gateway/dispatcher.hpp"
#include "gooseberrysail/roles/entry_role.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <map>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief Keeps this entry's copy of the serving document and of the targets up to date.
/// \remarks While control is unreachable the entry continues with the copy it has. While the
/// process runs, the document is only replaced by higher versions.
class FeedClient
{
public:
  FeedClient(std::vector<EntrySettings::Control> controls,
             FailureDomainId ownDomain,
             DocumentReader readDocument);

  void AddControls(std::vector<EntrySettings::Control> controls);

  /// \brief Queries the leader periodically, and the other control processes rarely; all of them
  /// while none is known to lead. The query to the leader also reports this entry's demand and its
  /// observations of heads.
  void Tick(TimePoint now, const Dispatcher& dispatcher, std::vector<GatewayOutput>& outbox);

  void OnState(TimePoint now,
               const ProcessId& peer,
               const wire::ServingStateT& state,
               Dispatcher& dispatcher,
               std::vector<GatewayOutput>& outbox);

  void OnPeerUp() noexcept
  {
    m_nextQuery = TimePoint{};
    m_nextQueryToAll = TimePoint{};
  }
  void OnPeerDown(const ProcessId& peer) noexcept;

  [[nodiscard]] const ServingSnapshot& Snapshot() const noexcept { return m_snapshot; }

  /// \brief Whether the document and the targets are known, so that requests can be routed.
  [[nodiscard]] bool IsReady() const noexcept
  {
    return m_snapshot.index && m_snapshot.targetsSequence != 0;
  }

private:
  void ApplyDocument(const ProcessId& peer,
                     const wire::ServingStateT& state,
                     std::vector<GatewayOutput>& outbox);
  /// \returns Whether the state contained newer targets and they were applied.
  [[nodiscard]] bool ApplyTargets(TimePoint now,
                                  const wire::ServingStateT& state,
                                  Dispatcher& dispatcher,
                                  std::vector<GatewayOutput>& outbox);
  /// \brief States the versions that this entry has; control derives what is missing from them.
  [[nodiscard]] wire::ServingQueryT MakeQuery() const;
  /// \brief Adds the demand of this entry's callers and its observations of heads.
  static void AddObservations(TimePoint now,
                              const Dispatcher& dispatcher,
                              wire::ServingQueryT& query);
  /// \brief Adds the suspects that changed since the latest query to the leader.
  void AddSuspects(TimePoint now, const Dispatcher& dispatcher, wire::ServingQueryT& query);
  /// \brief Merges the suspects that the leader sent, and clears those that finished here.
  void ApplySuspects(TimePoint now,
                     const ProcessId& peer,
                     const wire::ServingStateT& state,
                     Dispatcher& dispatcher,
                     std::vector<GatewayOutput>& outbox);
  /// \brief Merges the parts of prompts that the leader sent, and its grants of trials.
  void ApplyPromptParts(TimePoint now,
                        const ProcessId& peer,
                        const wire::ServingStateT& state,
                        Dispatcher& dispatcher,
                        std::vector<GatewayOutput>& outbox);
  [[nodiscard]] bool IsQueryDue(TimePoint now, const Dispatcher& dispatcher) const;

  std::map<ProcessId, std::string> m_controls; ///< With their addresses.
  FailureDomainId m_ownDomain;
  DocumentReader m_readDocument;
  ServingSnapshot m_snapshot;
  std::uint64_t m_term = 0;         ///< Of the leader that m_snapshot.targetsSequence comes from.
  ProcessId m_leader;               ///< The latest process that sent a state as leader.
  bool m_leaderIsConnected = false; ///< As far as this entry knows, and it still leads.
  TimePoint m_nextQueryToAll{};
  bool m_missedChange = false; ///< A change arrived whose base this entry does not have.
  TimePoint m_nextQuery{};
  TimePoint m_lastQuery{};
  TimePoint m_reportedNoAnswer{};       ///< Time of the latest missing answer in a query.
  std::uint64_t m_leaderTerm = 0;       ///< Of the latest state.
  std::uint64_t m_reportedSuspects = 0; ///< The leader has the changes up to this one.
  std::uint64_t m_reportedParts = 0;    ///< Likewise.
  std::uint64_t m_heldSuspects = 0;     ///< Sequence number in the term m_leaderTerm.
  std::uint64_t m_heldParts = 0;        ///< Likewise.
};

} // namespace gooseberrysail
