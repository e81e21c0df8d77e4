#include "gooseberrysail/agent/request_system.hpp"

#include <algorithm>
#include <utility>

/// \file Starting of requests: what may run, what waits, what is refused before its start.

namespace gooseberrysail {

namespace {

constexpr Duration kGateRetry = std::chrono::seconds(1);
constexpr double kShortestWaitMillis = 50;
constexpr double kLongestWaitMillis = 30000;

/// Conditions that pass by themselves; with the others only another target helps.
bool Passing(GateReason reason) noexcept
{
  return reason == GateReason::kMemberMissing || reason == GateReason::kLeaseEnded ||
         reason == GateReason::kUnconfirmed || reason == GateReason::kWeightsNotLoaded ||
         reason == GateReason::kNoEntry;
}

Duration RetryAfter(const GateState& gate) noexcept
{
  return Passing(gate.reason) ? kGateRetry : Duration{};
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
    // Meant for our predecessor, which may have run it before it died: running it here could be
    // a second run, and "never started" would be a guess.
    SendUnknown(context, frame.peer, key);
    return;
  }
  const auto row = m_attempts.find(key);
  if (row != m_attempts.end()) {
    // The same frame again, over a new connection: it must not run a second time.
    Attempt& attempt = row->second;
    attempt.entryIncarnation = frame.incarnation;
    attempt.lostAt.reset();
    if (!std::exchange(attempt.connected, true)) {
      Replay(context, key, attempt, attempt.output.FirstOffset());
    }
    return;
  }
  if (m_ledger.Find(key) || m_ledger.MayHaveForgotten(key.request)) {
    AnswerKnown(context, frame.peer, key);
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

void RequestSystem::AnswerKnown(impl::AgentContext& context,
                                const ProcessId& peer,
                                const AttemptKey& key)
{
  const auto verdict = m_ledger.Find(key);
  if (verdict == Verdict::kNeverStarted) {
    SendRefused(context, peer, key, "refused or sealed before", Duration{});
    return;
  }
  if (verdict == Verdict::kStarted) {
    SendCutNotice(context, peer, key, 0, "already ran; its answer is no longer held");
    return;
  }
  if (m_ledger.MayHaveForgotten(key.request)) {
    // Asking further leads nowhere: whether it ran is not known here any more, and never will be.
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
  if (!slotFree && !MakeRoom(context, start.priority)) {
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
  StartWaiting(context);
}

bool RequestSystem::MakeRoom(impl::AgentContext& context, std::uint8_t priority)
{
  if (m_queue.Size() < m_hooks.limits().maxQueued) {
    return true;
  }
  // Urgent work doesn't wait outside behind work that can: the least urgent goes elsewhere.
  const auto displaced = m_queue.Displaceable(priority);
  if (!displaced) {
    return false;
  }
  RefuseQueued(context, *displaced, "displaced by more urgent work");
  return true;
}

void RequestSystem::StartWaiting(impl::AgentContext& context)
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
      // Its entry may be asking another target by now; unstarted, it can still be sealed.
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
  // Noted before it is said: the same frame arriving again late must not start it after all.
  m_ledger.Note(context.Now(), key, Verdict::kNeverStarted);
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
  const double millis = m_serviceMillis * static_cast<double>(m_queue.Size() + 1) / slots;
  const double bounded = std::clamp(millis, kShortestWaitMillis, kLongestWaitMillis);
  return std::chrono::milliseconds(static_cast<std::int64_t>(bounded));
}

wire::SealResult RequestSystem::SealOwn(TimePoint now, const AttemptKey& key)
{
  const auto row = m_attempts.find(key);
  if (row != m_attempts.end() && row->second.state != State::kQueued) {
    return wire::SealResult::Started;
  }
  const auto verdict = m_ledger.Find(key);
  const bool unsure = !verdict && m_ledger.MayHaveForgotten(key.request);
  if (verdict == Verdict::kStarted || (unsure && row == m_attempts.end())) {
    return wire::SealResult::Started;
  }
  if (row != m_attempts.end()) {
    m_queue.Remove(key);
    m_attempts.erase(row);
  }
  // Noted before it is said: the Start may still be under way.
  m_ledger.Note(now, key, Verdict::kNeverStarted);
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
  const bool ours = Incarnation(seal.agentIncarnation) == m_incarnation;
  reply.result = ours ? SealOwn(context.Now(), key) : wire::SealResult::WrongIncarnation;
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
    m_closedSince.reset();
  } else {
    m_closedSince = m_closedSince.value_or(context.Now());
    if (!Passing(gate.reason) || context.Now() - *m_closedSince >= kQueuePatience) {
      RefuseAllQueued(context, ToString(gate));
    }
  }
  const GateState whole = m_hooks.whole(context.Now());
  if (whole.Open()) {
    m_brokenSince.reset();
    return;
  }
  m_brokenSince = m_brokenSince.value_or(context.Now());
  if (context.Now() - *m_brokenSince >= kWithholdGrace) {
    CutRunning(context, ToString(whole));
  }
}

} // namespace gooseberrysail
