#include "gooseberrysail/control/claim_service.hpp"

#include "gooseberrysail/observe/event.hpp"

#include <charconv>

namespace gooseberrysail {

namespace {

constexpr std::size_t kMaxWaiting = 20'000;
constexpr std::size_t kMaxKeyBytes = 512;
constexpr std::size_t kMaxBatchBytes = 2 * 1024 * 1024;
constexpr Duration kWaitLimit = std::chrono::seconds(5);
constexpr Duration kExpiryInterval = std::chrono::minutes(1);
constexpr Duration kFullEventInterval = std::chrono::seconds(10);

ClaimKey KeyOf(const wire::ClaimRequestT& request)
{
  return ClaimKey{ request.workspace, request.key };
}

Incarnation IncarnationOf(const RequestId& request)
{
  const std::string& text = request.Get();
  const auto sequenceDot = text.rfind('.');
  const auto incarnationDot =
    sequenceDot == std::string::npos ? std::string::npos : text.rfind('.', sequenceDot - 1);
  std::uint64_t value = 0;
  if (incarnationDot != std::string::npos) {
    std::from_chars(text.data() + incarnationDot + 1, text.data() + sequenceDot, value);
  }
  return Incarnation(value);
}

/// \brief Whether the entry that held the claim has restarted, so that its outcome will not arrive.
bool IsHolderGone(const ControlContext& context, const RequestId& holder)
{
  const auto peer = context.peers.find(EntryOf(holder));
  return peer != context.peers.end() && peer->second.up &&
         peer->second.incarnation != IncarnationOf(holder);
}

wire::ClaimReplyT ReplyFrom(const ControlContext& context,
                            const wire::ClaimRequestT& request,
                            const ClaimRow& row)
{
  wire::ClaimReplyT reply;
  reply.workspace = request.workspace;
  reply.key = request.key;
  reply.request = request.request;
  reply.holder = row.holder.Get();
  reply.bodyMatches = row.bodyHash == request.bodyHash;
  if (row.finished) {
    reply.state = wire::ClaimState::Finished;
    reply.outcome = row.outcome.outcome;
    reply.reason = row.outcome.reason;
    reply.status = row.outcome.status;
    if (row.answerHeld) {
      reply.body = row.outcome.body;
      for (const auto& header : row.outcome.headers) {
        reply.headers.push_back(std::make_unique<wire::HeaderT>(*header));
      }
    } else {
      reply.status = 0; // The outcome is known, but the answer is no longer kept.
    }
  } else if (row.holder.Get() == request.request) {
    reply.state = wire::ClaimState::Granted;
  } else if (IsHolderGone(context, row.holder)) {
    reply.state = wire::ClaimState::Unknown;
    reply.reason = "the entry that held the key was restarted before it told the outcome";
  } else {
    reply.state = wire::ClaimState::Running;
  }
  return reply;
}

} // namespace

void ClaimService::OnLeaderStart()
{
  *this = ClaimService();
}

void ClaimService::OnRequest(ControlContext& context,
                             const ProcessId& peer,
                             const wire::ClaimRequestT& request)
{
  const bool badKey = request.key.empty() || request.key.size() > kMaxKeyBytes ||
                      request.workspace.size() > kMaxKeyBytes || request.request.empty();
  if (badKey || m_waitingClaims.size() >= kMaxWaiting) {
    return; // Without an answer, the entry answers its caller not-run after its timeout.
  }
  m_waitingClaims.push_back(WaitingClaim{ peer, request, context.now });
  if (context.state.GetClaims().Find(KeyOf(request)) == nullptr) {
    m_claims.claims.push_back(std::make_unique<wire::ClaimRequestT>(request));
  }
}

void ClaimService::OnOutcome(ControlContext& context,
                             const ProcessId& peer,
                             const wire::ClaimOutcomeT& outcome)
{
  if (m_waitingOutcomes.size() >= kMaxWaiting) {
    return; // Not acknowledged, so the entry sends it again.
  }
  wire::ClaimOutcomeAckT ack;
  ack.workspace = outcome.workspace;
  ack.key = outcome.key;
  ack.request = outcome.request;
  m_waitingOutcomes.push_back(WaitingOutcome{ peer, std::move(ack), TakeTicket(context) });
  auto part = std::make_unique<wire::ClaimOutcomeT>(outcome);
  if (part->body.size() > ClaimTable::kMaxAnswerBytes) {
    part->body = {};
    part->status = 0;
    part->headers.clear();
  }
  m_outcomeBytes += part->body.size();
  m_outcomes.outcomes.push_back(std::move(part));
  if (m_outcomeBytes >= kMaxBatchBytes) {
    ProposeBatches(context);
  }
}

void ClaimService::Tick(ControlContext& context)
{
  ProposeBatches(context);
  AnswerClaims(context);
  AcknowledgeOutcomes(context);
  Expire(context);
}

void ClaimService::ProposeBatches(ControlContext& context)
{
  if (!m_claims.claims.empty()) {
    m_claims.atMillis = context.wallMillis;
    context.proposer.Propose(std::move(m_claims));
    m_claims = wire::ClaimBatchT();
  }
  if (!m_outcomes.outcomes.empty()) {
    m_outcomes.atMillis = context.wallMillis;
    context.proposer.Propose(std::move(m_outcomes));
    m_outcomes = wire::ClaimOutcomeBatchT();
    m_outcomeBytes = 0;
  }
}

void ClaimService::AnswerClaims(ControlContext& context)
{
  // Replies come from committed state only: the next leader could grant an uncommitted claim to
  // another request.
  std::erase_if(m_waitingClaims, [&](const WaitingClaim& waiting) {
    const ClaimRow* row = context.state.GetClaims().Find(KeyOf(waiting.request));
    if (row != nullptr) {
      context.SendMessage(waiting.peer, ReplyFrom(context, waiting.request, *row));
      return true;
    }
    return context.now - waiting.since >= kWaitLimit;
  });
  const std::size_t claims = context.state.GetClaims().Size();
  if (claims >= ClaimTable::kMaxClaims && context.now >= m_nextFullEvent) {
    m_nextFullEvent = context.now + kFullEventInterval;
    context.outbox.emplace_back(MakeEvent(EventNumber::kClaimTableFull,
                                          { { "claims", std::to_string(claims) },
                                            { "limit", std::to_string(ClaimTable::kMaxClaims) } }));
  }
}

void ClaimService::AcknowledgeOutcomes(ControlContext& context)
{
  std::erase_if(m_waitingOutcomes, [&](const WaitingOutcome& waiting) {
    const ClaimRow* row =
      context.state.GetClaims().Find(ClaimKey{ waiting.ack.workspace, waiting.ack.key });
    // Only the state of a confirmed leader shows that the key was released or belongs to another
    // request. If a deposed leader acknowledged the outcome, the entry would stop sending it, and
    // the claim would stay in the running state.
    const bool holds = row != nullptr && row->holder.Get() == waiting.ack.request;
    const bool settled = holds ? row->finished : IsConfirmed(context, waiting.ticket);
    if (settled) {
      context.SendMessage(waiting.peer, waiting.ack);
    }
    return settled || context.now - waiting.ticket.asked >= kWaitLimit;
  });
}

void ClaimService::Expire(ControlContext& context)
{
  if (context.now < m_nextExpiry) {
    return;
  }
  m_nextExpiry = context.now + kExpiryInterval;
  const bool crowded = context.state.GetClaims().Size() > ClaimTable::kMaxClaims / 2;
  const WallMillis limit = context.wallMillis - ToMillis(crowded ? kCrowdedRetention : kRetention);
  const WallMillis oldest = context.state.GetClaims().OldestMillis();
  if (oldest != 0 && oldest < limit) {
    wire::ExpireClaimsT command;
    command.olderThanMillis = limit;
    context.proposer.Propose(command);
  }
}

} // namespace gooseberrysail
