#include "gooseberrysail/agent/request_system.hpp"

#include <algorithm>
#include <utility>

/// \file Output of started requests: buffered until acknowledged, replayed, or cut with a reason.

namespace gooseberrysail {

namespace {

/// Small enough that one answer doesn't delay the frames of others.
constexpr std::size_t kMaxChunk = 64 * 1024;
constexpr Duration kSweepInterval = std::chrono::milliseconds(50);
constexpr double kServiceSmoothing = 0.1;

std::vector<std::unique_ptr<wire::HeaderT>> ToWire(const std::vector<HttpHeader>& headers)
{
  std::vector<std::unique_ptr<wire::HeaderT>> packed;
  packed.reserve(headers.size());
  for (const HttpHeader& header : headers) {
    auto each = std::make_unique<wire::HeaderT>();
    each->name = header.name;
    each->value = header.value;
    packed.push_back(std::move(each));
  }
  return packed;
}

/// Targets need not return the id of a request.
bool AnswersAnother(const TargetAnswerIn& answer, const RequestId& request)
{
  const std::string_view id = FindHeader(answer.headers, "X-Request-Id");
  return !id.empty() && id != request.Get();
}

} // namespace

void RequestSystem::OnPeerUp(impl::AgentContext& context,
                             const ProcessId& peer,
                             Incarnation incarnation)
{
  std::vector<AttemptKey> orphans;
  for (auto& [key, attempt] : m_attempts) {
    if (attempt.entry == peer && attempt.entryIncarnation != incarnation) {
      attempt.connected = false;
      attempt.disconnectedAt = attempt.disconnectedAt.value_or(context.Now());
      orphans.push_back(key);
    }
  }
  // The entry restarted and lost its callers' connections. Repeatable requests are cut because
  // nobody waits for them; one that must not be repeated, such as a booking, runs to completion.
  for (const AttemptKey& key : orphans) {
    Attempt& attempt = m_attempts.at(key);
    if (attempt.state == State::kQueued) {
      RefuseQueued(context, key, "entry restarted");
    } else if (attempt.state == State::kRunning && attempt.repeatable) {
      Cut(context, key, attempt, "entry restarted");
    }
  }
}

void RequestSystem::OnPeerDown(impl::AgentContext& context, const ProcessId& peer)
{
  for (auto& [key, attempt] : m_attempts) {
    if (attempt.entry == peer) {
      attempt.connected = false;
      attempt.disconnectedAt = attempt.disconnectedAt.value_or(context.Now());
    }
  }
}

void RequestSystem::OnResume(impl::AgentContext& context,
                             const FrameIn& frame,
                             const wire::ResumeT& resume)
{
  const AttemptKey key{ RequestId(resume.request), resume.attempt };
  const auto row = m_attempts.find(key);
  if (Incarnation(resume.agentIncarnation) != m_incarnation) {
    SendUnknown(context, frame.peer, key);
    return;
  }
  if (row == m_attempts.end()) {
    AnswerFinished(context, frame.peer, key);
    return;
  }
  Attempt& attempt = row->second;
  attempt.entryIncarnation = frame.incarnation;
  attempt.connected = true;
  attempt.disconnectedAt.reset();
  attempt.lastContact = context.Now();
  if (resume.offset < attempt.output.FirstOffset() || resume.offset > attempt.output.EndOffset()) {
    const std::string reason = "output from the wanted offset is not held";
    if (attempt.state == State::kRunning) {
      Cut(context, key, attempt, reason);
    }
    SendCutNotice(context, frame.peer, key, resume.offset, reason);
    return;
  }
  Replay(context, key, attempt, resume.offset);
}

void RequestSystem::OnCancel(impl::AgentContext& context,
                             const FrameIn& frame,
                             const wire::CancelT& cancel)
{
  const AttemptKey key{ RequestId(cancel.request), cancel.attempt };
  const auto row = m_attempts.find(key);
  if (row == m_attempts.end()) {
    AnswerFinished(context, frame.peer, key);
    return;
  }
  const std::string reason = "cancelled: " + cancel.reason;
  if (row->second.state == State::kQueued) {
    RefuseQueued(context, key, reason);
  } else if (row->second.state == State::kRunning) {
    Cut(context, key, row->second, reason);
    StartQueued(context);
  }
}

void RequestSystem::OnAck(impl::AgentContext& context, const FrameIn&, const wire::AckT& ack)
{
  const auto row = m_attempts.find(AttemptKey{ RequestId(ack.request), ack.attempt });
  if (row == m_attempts.end()) {
    return;
  }
  Attempt& attempt = row->second;
  attempt.lastContact = context.Now();
  m_heldBytes -= attempt.output.Acknowledge(ack.offset);
  if (ack.done && attempt.state == State::kEnded) {
    Remove(context, row);
  }
}

bool RequestSystem::OnAnswer(impl::AgentContext& context, const TargetAnswerIn& answer)
{
  const auto exchange = m_byExchange.find(answer.exchange);
  if (exchange == m_byExchange.end()) {
    return false;
  }
  const AttemptKey key = exchange->second;
  Attempt& attempt = m_attempts.at(key);
  // Left on the connection by an earlier exchange: the target may run this request none the less.
  if (answer.status && AnswersAnother(answer, key.request)) {
    Cut(context, key, attempt, "target failed: an answer to another request");
    StartQueued(context);
    return true;
  }
  if (answer.status) {
    attempt.output.Begin(*answer.status, answer.headers);
  }
  attempt.output.Append(answer.bytes);
  m_heldBytes += answer.bytes.size();
  if (answer.end) {
    Finish(context, attempt);
    attempt.output.End("");
    context.Emit(EventNumber::kTargetCallEnded,
                 { { "request", key.request.Get() },
                   { "attempt", std::to_string(key.attempt) },
                   { "status", std::to_string(attempt.output.Status()) } });
  }
  Deliver(context, key, attempt);
  EnforceHeldLimit(context);
  if (answer.end) {
    StartQueued(context);
  }
  return true;
}

bool RequestSystem::OnFailed(impl::AgentContext& context, const TargetFailedIn& failure)
{
  const auto exchange = m_byExchange.find(failure.exchange);
  if (exchange == m_byExchange.end()) {
    return false;
  }
  const AttemptKey key = exchange->second;
  const auto row = m_attempts.find(key);
  if (failure.neverSent && !row->second.output.Begun()) {
    const ProcessId entry = row->second.entry;
    Finish(context, row->second);
    m_attempts.erase(row);
    Refuse(context, entry, key, "target unreachable: " + failure.error.description, Duration{});
  } else {
    Cut(context, key, row->second, "target failed: " + ToString(failure.error));
  }
  StartQueued(context);
  return true;
}

void RequestSystem::Finish(impl::AgentContext& context, Attempt& attempt)
{
  if (attempt.state != State::kRunning) {
    return;
  }
  const double millis = static_cast<double>(ToMillis(context.Now() - attempt.startedAt));
  m_meanServiceMillis += kServiceSmoothing * (millis - m_meanServiceMillis);
  m_byExchange.erase(attempt.exchange);
  attempt.state = State::kEnded;
  attempt.lastContact = context.Now();
  --m_running;
}

void RequestSystem::Cut(impl::AgentContext& context,
                        const AttemptKey& key,
                        Attempt& attempt,
                        const std::string& reason)
{
  if (m_byExchange.contains(attempt.exchange)) {
    context.CancelCall(attempt.exchange);
  }
  Finish(context, attempt);
  // Withheld output is never sent: the group was not intact when it was produced.
  const std::size_t before = attempt.output.HeldBytes();
  attempt.output.TruncateTo(attempt.deliverableEnd);
  m_heldBytes -= before - attempt.output.HeldBytes();
  attempt.output.End(reason);
  attempt.endDeliverable = true;
  attempt.endSent = false;
  context.Emit(EventNumber::kRequestCut,
               { { "request", key.request.Get() },
                 { "attempt", std::to_string(key.attempt) },
                 { "reason", reason } });
  Deliver(context, key, attempt);
}

void RequestSystem::CutRunning(impl::AgentContext& context, const std::string& reason)
{
  for (auto& [key, attempt] : m_attempts) {
    const bool withheld = attempt.state == State::kEnded && !attempt.endDeliverable;
    if (attempt.state == State::kRunning || withheld) {
      Cut(context, key, attempt, reason);
    }
  }
}

void RequestSystem::EndAll(impl::AgentContext& context, const std::string& reason)
{
  RefuseAllQueued(context, reason);
  CutRunning(context, reason);
  m_groupBrokenSince.reset();
  m_gateClosedSince.reset();
}

void RequestSystem::Remove(impl::AgentContext& context, Table::iterator row)
{
  m_heldBytes -= row->second.output.HeldBytes();
  m_ledger.Record(context.Now(), row->first, AttemptOutcome::kStarted);
  m_attempts.erase(row);
}

void RequestSystem::MarkDeliverable(TimePoint now, Attempt& attempt)
{
  if (m_hooks.groupIntact(now).Open()) {
    attempt.deliverableEnd = attempt.output.EndOffset();
    attempt.endDeliverable = attempt.output.Ended();
  }
}

void RequestSystem::Replay(impl::AgentContext& context,
                           const AttemptKey& key,
                           Attempt& attempt,
                           std::uint64_t offset)
{
  attempt.sent = offset;
  attempt.headSent = offset > 0;
  attempt.endSent = false;
  Deliver(context, key, attempt);
}

void RequestSystem::Deliver(impl::AgentContext& context, const AttemptKey& key, Attempt& attempt)
{
  MarkDeliverable(context.Now(), attempt);
  if (!attempt.connected) {
    return;
  }
  HeldOutput& output = attempt.output;
  while (!attempt.endSent) {
    const std::uint64_t allowed =
      attempt.deliverableEnd - std::min(attempt.sent, attempt.deliverableEnd);
    const std::string_view bytes = output.Read(
      attempt.sent, static_cast<std::size_t>(std::min<std::uint64_t>(allowed, kMaxChunk)));
    const bool last = attempt.endDeliverable && attempt.sent + bytes.size() == output.EndOffset();
    const bool headDue =
      !attempt.headSent && output.Begun() && m_hooks.groupIntact(context.Now()).Open();
    if (bytes.empty() && !last && !headDue) {
      return;
    }
    wire::OutputT frame;
    frame.request = key.request.Get();
    frame.attempt = key.attempt;
    frame.offset = attempt.sent;
    if (attempt.sent == 0) {
      frame.status = output.Status();
      frame.headers = ToWire(output.Headers());
    }
    frame.bytes.assign(bytes.begin(), bytes.end());
    frame.end = last;
    frame.cutReason = last ? output.CutReason() : "";
    attempt.sent += bytes.size();
    attempt.headSent = true;
    attempt.endSent = last;
    context.Send(attempt.entry, "", std::move(frame));
  }
}

void RequestSystem::SendCutNotice(impl::AgentContext& context,
                                  const ProcessId& peer,
                                  const AttemptKey& key,
                                  std::uint64_t offset,
                                  const std::string& reason)
{
  wire::OutputT frame;
  frame.request = key.request.Get();
  frame.attempt = key.attempt;
  frame.offset = offset;
  frame.end = true;
  frame.cutReason = reason;
  context.Send(peer, "", std::move(frame));
}

void RequestSystem::EnforceHeldLimit(impl::AgentContext& context)
{
  while (m_heldBytes > m_maxHeldBytes) {
    // The largest buffer belongs to the slowest caller or to an entry that is gone. Without this
    // limit it would exhaust the process's memory and so end every other request.
    const auto largest = std::max_element(
      m_attempts.begin(), m_attempts.end(), [](const auto& left, const auto& right) {
        return left.second.output.HeldBytes() < right.second.output.HeldBytes();
      });
    if (largest == m_attempts.end() || largest->second.output.HeldBytes() == 0) {
      return;
    }
    Cut(context, largest->first, largest->second, "held output limit reached");
    DropHeld(largest->second);
  }
}

void RequestSystem::DropHeld(Attempt& attempt)
{
  m_heldBytes -= attempt.output.Acknowledge(attempt.output.EndOffset());
}

void RequestSystem::Tick(impl::AgentContext& context)
{
  if (m_lastSweep && context.Now() - *m_lastSweep < kSweepInterval) {
    return;
  }
  m_lastSweep = context.Now();
  SweepGate(context);
  SweepAttempts(context);
  StartQueued(context);
  m_ledger.Expire(context.Now());
}

void RequestSystem::SweepAttempts(impl::AgentContext& context)
{
  std::vector<AttemptKey> expired;
  std::vector<std::pair<AttemptKey, std::string>> refused;
  for (auto& [key, attempt] : m_attempts) {
    if (attempt.state == State::kQueued) {
      if (attempt.deadline && *attempt.deadline <= context.Now()) {
        refused.emplace_back(key, "deadline passed while queued");
      } else if (attempt.disconnectedAt &&
                 context.Now() - *attempt.disconnectedAt >= kOutputRetention) {
        refused.emplace_back(key, "entry lost while queued");
      }
    } else if (SweepAttempt(context, key, attempt)) {
      expired.push_back(key);
    }
  }
  for (const auto& [key, reason] : refused) {
    RefuseQueued(context, key, reason);
  }
  for (const AttemptKey& key : expired) {
    Remove(context, m_attempts.find(key));
  }
}

bool RequestSystem::SweepAttempt(impl::AgentContext& context,
                                 const AttemptKey& key,
                                 Attempt& attempt)
{
  const TimePoint now = context.Now();
  const bool entryLost =
    attempt.disconnectedAt && now - *attempt.disconnectedAt >= kOutputRetention;
  // A call that must not be repeated may complete after its deadline, but a target that hangs must
  // not occupy its slot forever.
  const Duration extra = attempt.repeatable ? Duration{} : kOverdueLimit;
  if (attempt.state == State::kRunning) {
    if (attempt.deadline && *attempt.deadline + extra <= now) {
      Cut(context, key, attempt, "deadline passed");
    } else if (entryLost && attempt.repeatable) {
      Cut(context, key, attempt, "entry did not return");
    }
  }
  Deliver(context, key, attempt);
  return attempt.state == State::kEnded && now - attempt.lastContact >= kOutputRetention;
}

} // namespace gooseberrysail
