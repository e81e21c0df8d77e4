#pragma once

#include "gooseberrysail/control/context.hpp"

#include <deque>
#include <vector>

namespace gooseberrysail {

/// \brief Commits claims and their outcomes in one batch of each per tick, and answers the entries.
class ClaimService
{
public:
  void OnLeaderStart();
  void OnRequest(ControlContext& context,
                 const ProcessId& peer,
                 const wire::ClaimRequestT& request);
  void OnOutcome(ControlContext& context,
                 const ProcessId& peer,
                 const wire::ClaimOutcomeT& outcome);
  void Tick(ControlContext& context);

  /// \brief How long a key is kept.
  static constexpr std::chrono::hours kRetention{ 24 };
  /// \brief How long a key is kept while the table is more than half full.
  static constexpr std::chrono::hours kCrowdedRetention{ 1 };

private:
  struct WaitingClaim
  {
    ProcessId peer;
    wire::ClaimRequestT request;
    TimePoint since{};
  };
  struct WaitingOutcome
  {
    ProcessId peer;
    wire::ClaimOutcomeAckT ack;
    ReadTicket ticket;
  };

  void ProposeBatches(ControlContext& context);
  void AnswerClaims(ControlContext& context);
  void AcknowledgeOutcomes(ControlContext& context);
  void Expire(ControlContext& context);

  wire::ClaimBatchT m_claims;
  wire::ClaimOutcomeBatchT m_outcomes;
  std::size_t m_outcomeBytes = 0;
  std::deque<WaitingClaim> m_waitingClaims;
  std::deque<WaitingOutcome> m_waitingOutcomes;
  TimePoint m_nextExpiry{};
  TimePoint m_nextFullEvent{};
};

} // namespace gooseberrysail
