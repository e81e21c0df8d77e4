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

  /// \brief Asks every control process that is known, now and then.
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
  [[nodiscard]] wire::ServingQueryT MakeQuery(TimePoint now, const Dispatcher& dispatcher) const;

  std::map<ProcessId, std::string> m_controls; ///< With their addresses.
  FailureDomainId m_own;
  DocumentReader m_readDocument;
  ServingKnowledge m_knowledge;
  std::uint64_t m_term = 0; ///< Of the leader that m_knowledge.targetsSequence comes from.
  TimePoint m_nextQuery{};
  TimePoint m_lastQuery{};
  TimePoint m_toldSilence{}; ///< Of the latest silence that control was told of.
};

} // namespace gooseberrysail
