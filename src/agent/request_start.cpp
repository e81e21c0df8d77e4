#include "gooseberrysail/agent/request_system.hpp"

#include <algorithm>
#include <utility>

/// \file Start of requests: which ones run, are queued, or are refused before they start.

namespace gooseberrysail {

namespace {

constexpr Duration kGateRetry = std::chrono::seconds(1);
constexpr double kShortestWaitMillis = 50;
constexpr double kLongestWaitMillis = 30000;

/// Transient conditions, after which a retry here may succeed. With all others the request needs
/// another target.
bool IsTransient(GateReason reason) noexcept
{
  return reason == GateReason::kMemberMissing || reason == GateReason::kLeaseEnded ||
         reason == GateReason::kUnconfirmed || reason == GateReason::kWeightsNotLoaded ||
         reason == GateReason::kNoEntry;
}

Duration RetryAfter(const GateState& gate) noexcept
{
  return IsTransient(gate.reason) ? kGateRetry : Duration{};
}

AttemptKey KeyOf(const std::string& request, std::uint32_t attempt)
{
  return AttemptKey{ RequestId(request), attempt };
}

} // namespace

RequestSystem::RequestSystem(Incarnation incarnation, std::size_t maxHeldBytes, RequestHooks hooks)
  : m_incarnation(incarnation)
  , m_maxHeldBytes(maxHeldBytes)
  , m_hooks(std::move(hooks))
{
}

void RequestSystem::OnStart(impl::AgentContext& context,
                            const FrameIn& frame,
                            const wire::StartT& start)
{
  const AttemptKey key = KeyOf(start.request, start.attempt);
  if (Incarnation(start.agentIncarnation) != m_incarnation) {
    // Sent to an earlier incarnation, which may have run it. Running it here could run it twice,
    // and whether it started is unknown.
    SendUnknown(context, frame.peer, key);
    return;
  }
  const auto row = m_attempts.find(key);
  if (row != m_attempts.end()) {
    // The same frame, repeated over a new connection: the request must not run twice.
    Attempt& attempt = row->second;
    attempt.entryIncarnation = frame.incarnation;
    attempt.disconnectedAt.reset();
    if (!std::exchange(attempt.connected, true)) {
      Replay(context, key, attempt, attempt.output.FirstOffset());
    }
    return;
  }
  if (m_ledger.Find(key) || m_ledger.MayHaveEvicted(key.request)) {
    AnswerFinished(context, frame.peer, key);
    return;
  }
  if (!m_hooks.holds(GroupId(start.group), Epoch(start.epoch))) {
    Refuse(
      context, frame.peer, key, ToString(GateState{ GateReason::kNoGroup, VmId() }), Duration{});
    return;
  }
  const GateState gate = m_hooks.gate(context.Now());
  if (!gate.Open()) {
    Refuse(context, frame.peer, key, ToString(gate), RetryAfter(gate));
    return;
  }
  Enqueue(context, frame, start, key);
}

void RequestSystem::AnswerFinished(impl::AgentContext& context,
                                   const ProcessId& peer,
                                   const AttemptKey& key)
{
  const auto outcome = m_ledger.Find(key);
  if (outcome == AttemptOutcome::kNeverStarted) {
    SendRefused(context, peer, key, "refused or sealed before", Duration{});
    return;
  }
  if (outcome == AttemptOutcome::kStarted) {
    SendCutNotice(context, peer, key, 0, "already ran; its answer is no longer held");
    return;
  }
  if (m_ledger.MayHaveEvicted(key.request)) {
    // The record was evicted, so that whether the request ran can never be known here. The cut
    // stops the entry from querying further.
    SendCutNotice(context, peer, key, 0, "the record of it was dropped; whether it ran is unknown");
    return;
  }
  SendUnknown(context, peer, key);
}

void RequestSystem::SendUnknown(impl::AgentContext& context,
                                const ProcessId& peer,
                                const AttemptKey& key)
{
  wire::UnknownRequestT unknown;
  unknown.request = key.request.Get();
  unknown.attempt = key.attempt;
  unknown.agentIncarnation = m_incarnation.Get();
  context.Send(peer, "", unknown);
}

void RequestSystem::Enqueue(impl::AgentContext& context,
                            const FrameIn& frame,
                            const wire::StartT& start,
                            const AttemptKey& key)
{
  const bool slotFree = m_queue.Size() == 0 && m_running < m_hooks.limits().maxConcurrent;
  if (!slotFree && !MakeQueueRoom(context, start.priority)) {
    Refuse(context, frame.peer, key, "queue full", ExpectedWait());
    return;
  }
  Attempt attempt;
  attempt.entry = frame.peer;
  attempt.entryIncarnation = frame.incarnation;
  attempt.epoch = Epoch(start.epoch);
  attempt.repeatable = start.repeatable;
  attempt.priority = start.priority;
  attempt.lastContact = context.Now();
  if (start.deadlineMillis != 0) {
    attempt.deadline = context.Now() + std::chrono::milliseconds(start.deadlineMillis);
  }
  Call call{ start.method, start.path, {}, std::string(start.body.begin(), start.body.end()) };
  call.headers.reserve(start.headers.size() + 2);
  for (const auto& header : start.headers) {
    if (header) {
      call.headers.push_back(HttpHeader{ header->name, header->value });
    }
  }
  call.headers.push_back(HttpHeader{ "X-Request-Id", start.request });
  call.headers.push_back(HttpHeader{ "X-Priority", std::to_string(start.priority) });
  attempt.call = std::move(call);
  m_attempts.emplace(key, std::move(attempt));
  m_queue.Push(start.priority, key);
  StartQueued(context);
}

bool RequestSystem::MakeQueueRoom(impl::AgentContext& context, std::uint8_t priority)
{
  if (m_queue.Size() < m_hooks.limits().maxQueued) {
    return true;
  }
  // A more urgent request displaces the least urgent one, whose entry sends it to another group.
  const auto displaced = m_queue.Displaceable(priority);
  if (!displaced) {
    return false;
  }
  RefuseQueued(context, *displaced, "displaced by more urgent work");
  return true;
}

void RequestSystem::StartQueued(impl::AgentContext& context)
{
  while (m_running < m_hooks.limits().maxConcurrent && m_hooks.gate(context.Now()).Open()) {
    const auto key = m_queue.Front();
    if (!key) {
      return;
    }
    Attempt& attempt = m_attempts.at(*key);
    if (attempt.deadline && *attempt.deadline <= context.Now()) {
      RefuseQueued(context, *key, "deadline passed while queued");
      continue;
    }
    if (!attempt.connected) {
      // The entry may already have sent it to another target. Not started, it can still be sealed.
      RefuseQueued(context, *key, "entry lost while queued");
      continue;
    }
    m_queue.Remove(*key);
    Run(context, *key, attempt);
  }
}

void RequestSystem::Run(impl::AgentContext& context, const AttemptKey& key, Attempt& attempt)
{
  Call call = std::move(*attempt.call);
  attempt.call.reset();
  attempt.exchange = context.Call(std::move(call.method),
                                  std::move(call.path),
                                  std::move(call.headers),
                                  std::move(call.body),
                                  Duration{});
  attempt.state = State::kRunning;
  attempt.startedAt = context.Now();
  m_byExchange.emplace(attempt.exchange, key);
  ++m_running;
  context.Emit(EventNumber::kTargetCallStarted,
               { { "request", key.request.Get() },
                 { "attempt", std::to_string(key.attempt) },
                 { "epoch", std::to_string(attempt.epoch.Get()) } });
}

void RequestSystem::SendRefused(impl::AgentContext& context,
                                const ProcessId& peer,
                                const AttemptKey& key,
                                const std::string& reason,
                                Duration retryAfter)
{
  wire::RefusedT refused;
  refused.request = key.request.Get();
  refused.attempt = key.attempt;
  refused.reason = reason;
  refused.retryAfterMillis = static_cast<std::uint32_t>(ToMillis(retryAfter));
  context.Send(peer, "", refused);
}

void RequestSystem::Refuse(impl::AgentContext& context,
                           const ProcessId& peer,
                           const AttemptKey& key,
                           const std::string& reason,
                           Duration retryAfter)
{
  // Recorded before the reply is sent: a late duplicate of the frame must not start the request.
  m_ledger.Record(context.Now(), key, AttemptOutcome::kNeverStarted);
  SendRefused(context, peer, key, reason, retryAfter);
  context.Emit(EventNumber::kRequestRefused,
               { { "request", key.request.Get() },
                 { "attempt", std::to_string(key.attempt) },
                 { "reason", reason } });
}

void RequestSystem::RefuseQueued(impl::AgentContext& context,
                                 const AttemptKey& key,
                                 const std::string& reason)
{
  const ProcessId entry = m_attempts.at(key).entry;
  m_queue.Remove(key);
  m_attempts.erase(key);
  Refuse(context, entry, key, reason, Duration{});
}

void RequestSystem::RefuseAllQueued(impl::AgentContext& context, const std::string& reason)
{
  while (const auto key = m_queue.Front()) {
    RefuseQueued(context, *key, reason);
  }
}

Duration RequestSystem::ExpectedWait() const
{
  const double slots = std::max<double>(1, m_hooks.limits().maxConcurrent);
  const double millis = m_meanServiceMillis * static_cast<double>(m_queue.Size() + 1) / slots;
  const double bounded = std::clamp(millis, kShortestWaitMillis, kLongestWaitMillis);
  return std::chrono::milliseconds(static_cast<std::int64_t>(bounded));
}

wire::SealResult RequestSystem::SealAttempt(TimePoint now, const AttemptKey& key)
{
  const auto row = m_attempts.find(key);
  if (row != m_attempts.end() && row->second.state != State::kQueued) {
    return wire::SealResult::Started;
  }
  const auto outcome = m_ledger.Find(key);
  const bool mayBeEvicted = !outcome && m_ledger.MayHaveEvicted(key.request);
  if (outcome == AttemptOutcome::kStarted || (mayBeEvicted && row == m_attempts.end())) {
    return wire::SealResult::Started;
  }
  if (row != m_attempts.end()) {
    m_queue.Remove(key);
    m_attempts.erase(row);
  }
  // Recorded before the reply is sent: the Start may still arrive.
  m_ledger.Record(now, key, AttemptOutcome::kNeverStarted);
  return wire::SealResult::Sealed;
}

void RequestSystem::OnSeal(impl::AgentContext& context,
                           const FrameIn& frame,
                           const wire::SealT& seal)
{
  const AttemptKey key = KeyOf(seal.request, seal.attempt);
  wire::SealReplyT reply;
  reply.request = seal.request;
  reply.attempt = seal.attempt;
  const bool sameIncarnation = Incarnation(seal.agentIncarnation) == m_incarnation;
  reply.result =
    sameIncarnation ? SealAttempt(context.Now(), key) : wire::SealResult::WrongIncarnation;
  context.Send(frame.peer, "", reply);
  context.Emit(EventNumber::kRequestSealed,
               { { "request", seal.request },
                 { "attempt", std::to_string(seal.attempt) },
                 { "result", wire::EnumNameSealResult(reply.result) } });
}

void RequestSystem::SweepGate(impl::AgentContext& context)
{
  const GateState gate = m_hooks.gate(context.Now());
  if (gate.Open()) {
    m_gateClosedSince.reset();
  } else {
    m_gateClosedSince = m_gateClosedSince.value_or(context.Now());
    if (!IsTransient(gate.reason) || context.Now() - *m_gateClosedSince >= kQueueGateTimeout) {
      RefuseAllQueued(context, ToString(gate));
    }
  }
  const GateState groupIntact = m_hooks.groupIntact(context.Now());
  if (groupIntact.Open()) {
    m_groupBrokenSince.reset();
    return;
  }
  m_groupBrokenSince = m_groupBrokenSince.value_or(context.Now());
  if (context.Now() - *m_groupBrokenSince >= kWithholdGrace) {
    CutRunning(context, ToString(groupIntact));
  }
}

} // namespace gooseberrysail
