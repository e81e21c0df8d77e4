#pragma once

#include "gooseberrysail/gateway/dispatcher.hpp"
#include "gooseberrysail/roles/entry_role.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <map>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief Keeps this entry's copy of the serving document and of the targets up to date.
/// \remarks When control is out of reach the entry goes on with what it holds. The document only
/// moves to higher versions, in one life of the process.
class FeedClient
{
public:
  FeedClient(std::vector<EntrySettings::Control> controls,
             FailureDomainId own,
             DocumentReader readDocument);

  void AddControls(std::vector<EntrySettings::Control> controls);

  /// \brief Asks every control process that is known, now and then; the one that leads is told what
  /// this entry saw as well.
  void Tick(TimePoint now, const Dispatcher& dispatcher, std::vector<GatewayOutput>& outbox);

  void OnState(TimePoint now,
               const ProcessId& peer,
               const wire::ServingStateT& state,
               Dispatcher& dispatcher,
               std::vector<GatewayOutput>& outbox);

  void OnPeerUp() noexcept { m_nextQuery = TimePoint{}; }

  [[nodiscard]] const ServingKnowledge& Knowledge() const noexcept { return m_knowledge; }

  /// \brief Whether requests can be answered truthfully.
  [[nodiscard]] bool IsReady() const noexcept
  {
    return m_knowledge.index && m_knowledge.targetsSequence != 0;
  }

private:
  void TakeDocument(const ProcessId& peer,
                    const wire::ServingStateT& state,
                    std::vector<GatewayOutput>& outbox);
  /// \returns Whether the state told anything of targets that this entry didn't know.
  [[nodiscard]] bool TakeTargets(TimePoint now,
                                 const wire::ServingStateT& state,
                                 Dispatcher& dispatcher,
                                 std::vector<GatewayOutput>& outbox);
  /// \brief What this entry has; no more than that says what it lacks.
  [[nodiscard]] wire::ServingQueryT MakeQuery() const;
  /// \brief Adds what this entry saw of callers and heads.
  static void AddViews(TimePoint now, const Dispatcher& dispatcher, wire::ServingQueryT& query);

  std::map<ProcessId, std::string> m_controls; ///< With their addresses.
  FailureDomainId m_own;
  DocumentReader m_readDocument;
  ServingKnowledge m_knowledge;
  std::uint64_t m_term = 0; ///< Of the leader that m_knowledge.targetsSequence comes from.
  ProcessId m_leader;       ///< The latest process that spoke as leader.
  bool m_lacksBase = false; ///< A change came that builds on one which never arrived.
  TimePoint m_nextQuery{};
  TimePoint m_lastQuery{};
  TimePoint m_toldSilence{}; ///< Of the latest silence that control was told of.
};

} // namespace gooseberrysail
