#include "gooseberrysail/entry/attempt_recovery.hpp"

#include "gooseberrysail/entry/attempt_flow.hpp"
#include "gooseberrysail/entry/request_end.hpp"

namespace gooseberrysail::impl {

namespace {

/// How long a caller waits for an agent that can't be reached.
constexpr Duration kUnreachableLimit = std::chrono::seconds(5);
constexpr Duration kRetryAfter = std::chrono::seconds(1);

void CutAttempt(EntryContext& context, Request& request, std::string_view why)
{
  CloseAttempt(context, request, AttemptResult::kFailed, "cut: " + std::string(why));
  EndCut(context, request, why);
}

/// Nothing of the request left this process, so this is certain.
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

/// Nobody waits for the answer any more. A call that may be repeated is cancelled. Another one may
/// have begun and then runs to its end, but is kept from starting if it has not.
void StopWanting(EntryContext& context, Request& request, std::string_view why)
{
  Attempt& attempt = *request.attempt;
  if (attempt.state == AttemptState::kSilent) {
    return;
  }
  attempt.askAgainAt = context.now + kProbeInterval;
  if (request.repeatable) {
    SendCancel(context, request, why);
  } else if (!attempt.headSeen) {
    SendSeal(context, request);
  }
}

void GiveUp(EntryContext& context, Request& request, std::string_view why)
{
  request.start.reset();
  AnswerCutAndResolve(context, request, why);
  StopWanting(context, request, why);
}

/// What is asked once the connection stands again depends on whether the answer is still wanted.
void AskAgain(EntryContext& context, Request& request)
{
  Attempt& attempt = *request.attempt;
  const bool unwanted = request.stage == RequestStage::kResolving;
  if (!attempt.headSeen && (unwanted || attempt.state == AttemptState::kSealing)) {
    SendSeal(context, request);
    return;
  }
  attempt.state = AttemptState::kLive;
  if (unwanted && request.repeatable) {
    SendCancel(context, request, reason::kCallerGone);
    attempt.askAgainAt = context.now + kProbeInterval;
    return;
  }
  SendResume(context, request);
}

void Redial(EntryContext& context, Attempt& attempt)
{
  attempt.askAgainAt = context.now + RouteClient::kDialInterval;
  context.Send(attempt.head, attempt.address, wire::PingT{});
}

void SweepSilent(EntryContext& context, Request& request)
{
  Attempt& attempt = *request.attempt;
  if (context.now >= attempt.askAgainAt) {
    Redial(context, attempt);
  }
  const bool waitedEnough = context.now - attempt.silentSince >= kUnreachableLimit;
  if (request.stage != RequestStage::kResolving && waitedEnough) {
    GiveUp(context, request, reason::kAgentUnreachable);
  }
}

void SweepAttempt(EntryContext& context, Request& request)
{
  Attempt& attempt = *request.attempt;
  if (request.stage == RequestStage::kResolving && context.now >= request.resolveUntil) {
    CloseAttempt(context, request, AttemptResult::kFailed, "cut: not resolved in time");
    EndCut(context, request, reason::kAgentUnreachable);
    return;
  }
  if (request.stage != RequestStage::kResolving && context.now >= request.deadline) {
    GiveUp(context, request, reason::kDeadline);
    return;
  }
  if (attempt.state == AttemptState::kSilent) {
    SweepSilent(context, request);
    return;
  }
  if (context.now >= attempt.askAgainAt) {
    AskAgain(context, request);
  }
}

bool IsDue(TimePoint now, const Request& request)
{
  if (!request.attempt) {
    return now >= request.deadline;
  }
  const bool resolving = request.stage == RequestStage::kResolving;
  const Attempt& attempt = *request.attempt;
  return now >= (resolving ? request.resolveUntil : request.deadline) ||
         now >= attempt.askAgainAt || attempt.state == AttemptState::kSilent;
}

/// The requests whose attempt is at this agent.
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
      // The process that may have started it is gone with its memory: nobody can say "not run".
      CutAttempt(context, *request, reason::kAgentRestarted);
      continue;
    }
    AskAgain(context, *request);
  }
}

void SilenceAttempts(EntryContext& context, const PeerDown& down)
{
  for (const RequestId& id : RequestsAt(context, down.peer)) {
    Request* request = context.requests.Find(id.Get());
    if (request == nullptr || request->attempt->state == AttemptState::kSilent) {
      continue;
    }
    Attempt& attempt = *request->attempt;
    attempt.state = AttemptState::kSilent;
    attempt.silentSince = context.now;
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
  if (request == nullptr || request->attempt->headSeen) {
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
  request->attempt->state = AttemptState::kLive;
  if (request->stage == RequestStage::kResolving && request->repeatable) {
    SendCancel(context, *request, reason::kCallerGone);
    request->attempt->askAgainAt = context.now + kProbeInterval;
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
  if (request->attempt->headSeen) {
    CutAttempt(context, *request, reason::kAnswerLost);
    return;
  }
  // The Start may still be under way on a connection that seems dead: only a seal makes sure.
  SendSeal(context, *request);
}

void OnCallerGone(EntryContext& context, ExchangeId exchange)
{
  Request* request = context.requests.FindByExchange(exchange);
  if (request == nullptr) {
    return;
  }
  context.requests.ForgetCaller(*request);
  if (!request->attempt) {
    EndUnsent(context, *request, reason::kCallerGone, 499);
    return;
  }
  GiveUp(context, *request, reason::kCallerGone);
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
