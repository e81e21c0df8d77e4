#include "gooseberrysail/entry/attempt_recovery.hpp"

#include "gooseberrysail/entry/attempt_flow.hpp"
#include "gooseberrysail/entry/request_end.hpp"

namespace gooseberrysail::impl {

namespace {

/// Time after which the caller of a disconnected agent is answered.
constexpr Duration kUnreachableTimeout = std::chrono::seconds(5);
constexpr Duration kRetryAfter = std::chrono::seconds(1);

void CutAttempt(EntryContext& context, Request& request, std::string_view why)
{
  CloseAttempt(context, request, AttemptResult::kFailed, "cut: " + std::string(why));
  EndCut(context, request, why);
}

/// Ends a request of which nothing was sent, so that it is certain not to have run.
void EndUnsent(EntryContext& context, Request& request, std::string_view why, unsigned status)
{
  CallerError error;
  error.status = status;
  error.type = "unavailable";
  error.reason = why;
  error.message = "The request was not sent to any target and did not run.";
  error.retryAfter = kRetryAfter;
  EndNotRun(context, request, std::move(error));
}

/// Stops an attempt whose answer is no longer needed. A repeatable call is cancelled. Any other one
/// is sealed, which prevents its start; if it has started, it runs to its end.
void CancelOrSeal(EntryContext& context, Request& request, std::string_view why)
{
  Attempt& attempt = *request.attempt;
  if (attempt.state == AttemptState::kDisconnected) {
    return;
  }
  attempt.nextProbeAt = context.now + kProbeInterval;
  if (request.repeatable) {
    SendCancel(context, request, why);
  } else if (!attempt.headersReceived) {
    SendSeal(context, request);
  }
}

void GiveUp(EntryContext& context, Request& request, std::string_view why)
{
  request.start.reset();
  AnswerCutAndResolve(context, request, why);
  CancelOrSeal(context, request, why);
}

/// Sends Seal, Cancel or Resume, by whether the answer is still needed and the target has started.
void ProbeAttempt(EntryContext& context, Request& request)
{
  Attempt& attempt = *request.attempt;
  const bool answerUnneeded = request.stage == RequestStage::kResolving;
  if (!attempt.headersReceived && (answerUnneeded || attempt.state == AttemptState::kSealing)) {
    SendSeal(context, request);
    return;
  }
  attempt.state = AttemptState::kConnected;
  if (answerUnneeded && request.repeatable) {
    SendCancel(context, request, reason::kCallerGone);
    attempt.nextProbeAt = context.now + kProbeInterval;
    return;
  }
  SendResume(context, request);
}

void Redial(EntryContext& context, Attempt& attempt)
{
  attempt.nextProbeAt = context.now + RouteClient::kDialInterval;
  context.Send(attempt.head, attempt.address, wire::PingT{});
}

void SweepDisconnected(EntryContext& context, Request& request)
{
  Attempt& attempt = *request.attempt;
  if (context.now >= attempt.nextProbeAt) {
    Redial(context, attempt);
  }
  const bool timedOut = context.now - attempt.disconnectedAt >= kUnreachableTimeout;
  if (request.stage != RequestStage::kResolving && timedOut) {
    GiveUp(context, request, reason::kAgentUnreachable);
  }
}

void SweepAttempt(EntryContext& context, Request& request)
{
  Attempt& attempt = *request.attempt;
  if (request.stage == RequestStage::kResolving && context.now >= request.resolveDeadline) {
    CloseAttempt(context, request, AttemptResult::kFailed, "cut: not resolved in time");
    EndCut(context, request, reason::kAgentUnreachable);
    return;
  }
  if (request.stage != RequestStage::kResolving && context.now >= request.deadline) {
    GiveUp(context, request, reason::kDeadline);
    return;
  }
  if (attempt.state == AttemptState::kDisconnected) {
    SweepDisconnected(context, request);
    return;
  }
  if (context.now >= attempt.nextProbeAt) {
    ProbeAttempt(context, request);
  }
}

bool IsDue(TimePoint now, const Request& request)
{
  if (!request.attempt) {
    return now >= request.deadline;
  }
  const bool resolving = request.stage == RequestStage::kResolving;
  const Attempt& attempt = *request.attempt;
  return now >= (resolving ? request.resolveDeadline : request.deadline) ||
         now >= attempt.nextProbeAt || attempt.state == AttemptState::kDisconnected;
}

/// Ids of the requests whose current attempt is at this agent.
std::vector<RequestId> RequestsAt(const EntryContext& context, const ProcessId& head)
{
  return context.requests.IdsWhere([&](const Request& request) {
    return request.attempt.has_value() && request.attempt->head == head;
  });
}

void SweepRequest(EntryContext& context, Request& request)
{
  if (request.attempt) {
    SweepAttempt(context, request);
    return;
  }
  if (context.now >= request.deadline) {
    EndUnsent(context, request, reason::kNoClaim, 504);
  }
}

} // namespace

void ResumeAttempts(EntryContext& context, const PeerUp& up)
{
  for (const RequestId& id : RequestsAt(context, up.peer)) {
    Request* request = context.requests.Find(id.Get());
    if (request == nullptr || !request->attempt) {
      continue;
    }
    if (request->attempt->incarnation != up.incarnation) {
      // The incarnation that may have started it has ended, and its state is lost: "not run" can't
      // be established any more.
      CutAttempt(context, *request, reason::kAgentRestarted);
      continue;
    }
    ProbeAttempt(context, *request);
  }
}

void SuspendAttempts(EntryContext& context, const PeerDown& down)
{
  for (const RequestId& id : RequestsAt(context, down.peer)) {
    Request* request = context.requests.Find(id.Get());
    if (request == nullptr || request->attempt->state == AttemptState::kDisconnected) {
      continue;
    }
    Attempt& attempt = *request->attempt;
    attempt.state = AttemptState::kDisconnected;
    attempt.disconnectedAt = context.now;
    Redial(context, attempt);
    context.Emit(EventNumber::kAttemptSilent,
                 { { "request", request->id.Get() },
                   { "attempt", std::to_string(attempt.number) },
                   { "head", attempt.head.Get() } });
  }
}

void OnSealReply(EntryContext& context, const ProcessId& from, const wire::SealReplyT& reply)
{
  Request* request = FindAttempt(context, from, reply.request, reply.attempt);
  if (request == nullptr || request->attempt->headersReceived) {
    return;
  }
  switch (reply.result) {
    case wire::SealResult::Sealed:
      OnNeverStarted(context, *request, reason::kSealed, Duration{});
      return;
    case wire::SealResult::WrongIncarnation:
      CutAttempt(context, *request, reason::kAgentRestarted);
      return;
    case wire::SealResult::Started:
      break;
  }
  request->attempt->state = AttemptState::kConnected;
  if (request->stage == RequestStage::kResolving && request->repeatable) {
    SendCancel(context, *request, reason::kCallerGone);
    request->attempt->nextProbeAt = context.now + kProbeInterval;
    return;
  }
  SendResume(context, *request);
}

void OnUnknownRequest(EntryContext& context,
                      const ProcessId& from,
                      const wire::UnknownRequestT& unknown)
{
  Request* request = FindAttempt(context, from, unknown.request, unknown.attempt);
  if (request == nullptr) {
    return;
  }
  if (Incarnation(unknown.agentIncarnation) != request->attempt->incarnation) {
    CutAttempt(context, *request, reason::kAgentRestarted);
    return;
  }
  if (request->attempt->headersReceived) {
    CutAttempt(context, *request, reason::kAnswerLost);
    return;
  }
  // The Start may still arrive over the former connection, so only a seal guarantees that the
  // request never starts.
  SendSeal(context, *request);
}

void OnCallerGone(EntryContext& context, ExchangeId exchange)
{
  Request* request = context.requests.FindByExchange(exchange);
  if (request == nullptr) {
    return;
  }
  context.requests.DetachCaller(*request);
  if (!request->attempt) {
    EndUnsent(context, *request, reason::kCallerGone, 499);
    return;
  }
  GiveUp(context, *request, reason::kCallerGone);
}

void AnswerAll(EntryContext& context, std::string_view why)
{
  const auto isWaiting = [](const Request& request) { return request.caller.waiting; };
  for (const RequestId& id : context.requests.IdsWhere(isWaiting)) {
    Request* request = context.requests.Find(id.Get());
    if (request == nullptr) {
      continue;
    }
    if (request->attempt) {
      GiveUp(context, *request, why);
    } else {
      EndUnsent(context, *request, why, 503);
    }
  }
}

void CutKeyed(EntryContext& context, std::string_view why)
{
  const auto isKeyed = [](const Request& request) { return !request.key.empty(); };
  for (const RequestId& id : context.requests.IdsWhere(isKeyed)) {
    if (Request* request = context.requests.Find(id.Get())) {
      CutAttempt(context, *request, why);
    }
  }
}

void SweepRequests(EntryContext& context)
{
  const auto due =
    context.requests.IdsWhere([&](const Request& request) { return IsDue(context.now, request); });
  for (const RequestId& id : due) {
    if (Request* request = context.requests.Find(id.Get())) {
      SweepRequest(context, *request);
    }
  }
}

} // namespace gooseberrysail::impl
