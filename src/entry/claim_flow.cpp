#include "gooseberrysail/entry/claim_flow.hpp"

#include "gooseberrysail/core/http_status.hpp"
#include "gooseberrysail/entry/attempt_flow.hpp"
#include "gooseberrysail/entry/caller_stream.hpp"
#include "gooseberrysail/entry/request_end.hpp"

namespace gooseberrysail::impl {

namespace {

constexpr Duration kRunningRetryAfter = std::chrono::seconds(1);

CallerError ClaimConflictError(const wire::ClaimReplyT& reply,
                               Outcome outcome,
                               std::string_view why,
                               std::string message)
{
  CallerError error;
  error.status = 409;
  error.type = "idempotency";
  error.outcome = outcome;
  error.reason = why;
  error.message = std::move(message);
  error.holder = RequestId(reply.holder);
  return error;
}

void AnswerError(EntryContext& context, Request& request, const CallerError& error)
{
  request.caller.status = error.status;
  SendError(context, request, error);
  EndAsDuplicate(context, request, error.outcome, error.reason);
}

void AnswerRunning(EntryContext& context, Request& request, const wire::ClaimReplyT& reply)
{
  CallerError error = ClaimConflictError(reply,
                                         Outcome::kRunning,
                                         reason::kClaimRunning,
                                         "A request with this Idempotency-Key is running.");
  error.retryAfter = kRunningRetryAfter;
  AnswerError(context, request, error);
}

void AnswerUnknown(EntryContext& context, Request& request, const wire::ClaimReplyT& reply)
{
  AnswerError(context,
              request,
              ClaimConflictError(reply,
                                 Outcome::kCut,
                                 reason::kClaimUnknown,
                                 "An earlier request with this Idempotency-Key may have run; its "
                                 "outcome is unknown and it is not run again."));
}

/// The same key on a different request is an error of the caller: neither running the request nor
/// replaying the other answer would be right.
void AnswerKeyReused(EntryContext& context, Request& request, const wire::ClaimReplyT& reply)
{
  CallerError error = ClaimConflictError(reply,
                                         Outcome::kNotRun,
                                         reason::kKeyReused,
                                         "This Idempotency-Key belongs to a different request.");
  error.status = 422;
  AnswerError(context, request, error);
}

void Replay(EntryContext& context, Request& request, const wire::ClaimReplyT& reply)
{
  HttpAnswerOut answer;
  answer.exchange = request.caller.exchange;
  answer.status = reply.status;
  answer.headers = AnswerHeaders(reply.headers, request.id);
  answer.headers.push_back({ "Idempotent-Replayed", "true" });
  answer.bytes.assign(reply.body.begin(), reply.body.end());
  answer.end = true;
  request.caller.status = reply.status;
  context.Answer(std::move(answer));
  context.requests.DetachCaller(request);
  EndAsDuplicate(context, request, Outcome::kCompleted, "answered by " + reply.holder);
}

void AnswerFinished(EntryContext& context, Request& request, const wire::ClaimReplyT& reply)
{
  if (PromisesNotRun(reply.status)) {
    // A target's answer, kept by an entry of an earlier version: the target may have run it.
    AnswerUnknown(context, request, reply);
    return;
  }
  if (reply.status != 0) {
    Replay(context, request, reply);
    return;
  }
  const bool completed = reply.outcome == ToString(Outcome::kCompleted);
  if (completed) {
    AnswerError(
      context,
      request,
      ClaimConflictError(reply,
                         Outcome::kCompleted,
                         reason::kClaimAnswerGone,
                         "The request with this Idempotency-Key ran to its end; its answer "
                         "is no longer held."));
    return;
  }
  CallerError error = ClaimConflictError(reply,
                                         Outcome::kCut,
                                         reply.reason,
                                         "The request with this Idempotency-Key was cut; it is not "
                                         "run again.");
  AnswerError(context, request, error);
}

/// Releases a claim that was granted after its request had ended here; the key would stay claimed
/// otherwise. Only a request that is certain never to have run is released.
void ReleaseLateGrant(EntryContext& context, const wire::ClaimReplyT& reply)
{
  const wire::RequestRecordT* record = context.records.Find(reply.request);
  const bool neverRan = record != nullptr &&
                        (record->attempts.empty() || record->outcome == ToString(Outcome::kNotRun));
  if (reply.state != wire::ClaimState::Granted || !neverRan) {
    return;
  }
  wire::ClaimOutcomeT outcome;
  outcome.workspace = reply.workspace;
  outcome.key = reply.key;
  outcome.request = reply.request;
  outcome.ran = false;
  outcome.outcome = ToString(Outcome::kNotRun);
  outcome.reason = record->reason;
  context.claims.Report(std::move(outcome));
}

} // namespace

void RequestClaim(EntryContext& context, Request& request)
{
  request.stage = RequestStage::kClaiming;
  wire::ClaimRequestT claim;
  claim.workspace = request.workspace.Get();
  claim.key = request.key;
  claim.bodyHash = request.bodyHash;
  claim.request = request.id.Get();
  context.claims.Ask(std::move(claim));
  context.Emit(EventNumber::kClaimAsked,
               { { "request", request.id.Get() }, { "workspace", request.workspace.Get() } });
}

void OnClaimReply(EntryContext& context, const wire::ClaimReplyT& reply)
{
  context.claims.StopAsking(reply.request);
  Request* request = context.requests.Find(reply.request);
  if (request == nullptr) {
    ReleaseLateGrant(context, reply);
    return;
  }
  if (request->stage != RequestStage::kClaiming) {
    return;
  }
  context.Emit(EventNumber::kClaimAnswered,
               { { "request", reply.request },
                 { "state", wire::EnumNameClaimState(reply.state) },
                 { "holder", reply.holder } });
  const bool ours = reply.holder == reply.request;
  if (reply.state == wire::ClaimState::Granted ||
      (reply.state == wire::ClaimState::Running && ours)) {
    StartFirstAttempt(context, *request);
  } else if (!reply.bodyMatches) {
    AnswerKeyReused(context, *request, reply);
  } else if (reply.state == wire::ClaimState::Running) {
    AnswerRunning(context, *request, reply);
  } else if (reply.state == wire::ClaimState::Finished) {
    AnswerFinished(context, *request, reply);
  } else {
    AnswerUnknown(context, *request, reply);
  }
}

} // namespace gooseberrysail::impl
