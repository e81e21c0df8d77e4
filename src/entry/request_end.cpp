#include "gooseberrysail/entry/request_end.hpp"

#include "gooseberrysail/entry/caller_stream.hpp"

namespace gooseberrysail::impl {

namespace {

constexpr Duration kCutRetryAfter = std::chrono::seconds(1);
constexpr Duration kResolveTimeout = std::chrono::seconds(60);
constexpr Duration kKeyedResolveTimeout = std::chrono::minutes(10);
constexpr std::string_view kAnswerTooLarge = "answer-too-large-to-keep";
constexpr std::string_view kRanAfterAnswer = "; the target finished after the caller was answered";

/// Marks the caller's answer as final, once: in the record, for admission and by an event.
void CloseForCaller(EntryContext& context,
                    Request& request,
                    Outcome outcome,
                    std::string_view why,
                    unsigned status)
{
  if (request.closed) {
    return;
  }
  request.closed = true;
  const Duration took = context.now - request.received;
  context.records.Close(
    context.now, request.id.Get(), outcome, why, status, context.hooks.wallMillis());
  // A request that did not run has no service time; counting it would make admission underestimate
  // waits.
  const bool isServed = outcome != Outcome::kNotRun && request.attempts > 0;
  const Duration served = isServed ? took : Duration{};
  context.admission.OnFinished(
    context.now, request.workspace, request.entry, served, request.tokens);
  context.Emit(EventNumber::kCallerAnswered,
               { { "request", request.id.Get() },
                 { "workspace", request.workspace.Get() },
                 { "entry", request.entry.Get() },
                 { "outcome", std::string(ToString(outcome)) },
                 { "reason", std::string(why) },
                 { "status", std::to_string(status) },
                 { "attempts", std::to_string(request.attempts) },
                 { "millis", std::to_string(ToMillis(took)) } });
}

void Amend(EntryContext& context, const Request& request, Outcome outcome, const std::string& why)
{
  context.records.Amend(request.id.Get(), outcome, why);
  context.Emit(EventNumber::kOutcomeAmended,
               { { "request", request.id.Get() },
                 { "outcome", std::string(ToString(outcome)) },
                 { "reason", why } });
}

wire::ClaimOutcomeT MakeClaimOutcome(const Request& request,
                                     bool ran,
                                     Outcome outcome,
                                     std::string_view why)
{
  wire::ClaimOutcomeT report;
  report.workspace = request.workspace.Get();
  report.key = request.key;
  report.request = request.id.Get();
  report.ran = ran;
  report.outcome = ToString(outcome);
  report.reason = why;
  return report;
}

void CopyAnswer(wire::ClaimOutcomeT& report, const CapturedAnswer& answer)
{
  if (answer.tooLarge) {
    report.reason = kAnswerTooLarge;
    return;
  }
  report.status = answer.status;
  report.body.assign(answer.body.begin(), answer.body.end());
  for (const HttpHeader& header : answer.headers) {
    auto copy = std::make_unique<wire::HeaderT>();
    copy->name = header.name;
    copy->value = header.value;
    report.headers.push_back(std::move(copy));
  }
}

void ReportClaim(EntryContext& context,
                 const Request& request,
                 bool ran,
                 Outcome outcome,
                 std::string_view why)
{
  if (request.key.empty()) {
    return;
  }
  wire::ClaimOutcomeT report = MakeClaimOutcome(request, ran, outcome, why);
  if (outcome == Outcome::kCompleted && request.captured) {
    CopyAnswer(report, *request.captured);
  }
  context.Emit(EventNumber::kClaimReported,
               { { "request", request.id.Get() },
                 { "ran", ran ? "true" : "false" },
                 { "outcome", std::string(ToString(outcome)) } });
  context.claims.Report(std::move(report));
}

std::string RecordedReason(const EntryContext& context, const Request& request)
{
  const wire::RequestRecordT* record = context.records.Find(request.id.Get());
  return record == nullptr ? std::string() : record->reason;
}

} // namespace

void EndCompleted(EntryContext& context, Request& request)
{
  ReportClaim(context, request, true, Outcome::kCompleted, {});
  if (request.closed) {
    // The caller was answered with `cut`, so the outcome stays; the reason gets what the target
    // did.
    std::string why = RecordedReason(context, request);
    why += kRanAfterAnswer;
    Amend(context, request, Outcome::kCut, why);
  }
  CloseForCaller(context, request, Outcome::kCompleted, {}, request.caller.status);
  context.requests.Erase(request.id);
}

void EndNotRun(EntryContext& context, Request& request, CallerError error)
{
  error.outcome = Outcome::kNotRun;
  ReportClaim(context, request, false, Outcome::kNotRun, error.reason);
  if (request.closed) {
    Amend(context, request, Outcome::kNotRun, error.reason);
  }
  SendError(context, request, error);
  CloseForCaller(context, request, Outcome::kNotRun, error.reason, error.status);
  context.requests.Erase(request.id);
}

void EndCut(EntryContext& context, Request& request, std::string_view why)
{
  ReportClaim(context, request, true, Outcome::kCut, why);
  const CallerError error = CutError(request, why);
  const unsigned status = request.caller.headersSent ? request.caller.status : error.status;
  SendError(context, request, error);
  CloseForCaller(context, request, Outcome::kCut, why, status);
  context.requests.Erase(request.id);
}

void AnswerCutAndResolve(EntryContext& context, Request& request, std::string_view why)
{
  const CallerError error = CutError(request, why);
  const unsigned status = request.caller.headersSent ? request.caller.status : error.status;
  SendError(context, request, error);
  CloseForCaller(context, request, Outcome::kCut, why, status);
  request.stage = RequestStage::kResolving;
  request.resolveDeadline =
    context.now + (request.key.empty() ? kResolveTimeout : kKeyedResolveTimeout);
}

void EndAsDuplicate(EntryContext& context, Request& request, Outcome ofHolder, std::string_view why)
{
  // The record is final: the holder may run to its end, which isn't known here.
  const Outcome outcome = ofHolder == Outcome::kRunning ? Outcome::kCut : ofHolder;
  CloseForCaller(context, request, outcome, why, request.caller.status);
  context.requests.Erase(request.id);
}

void CloseAttempt(EntryContext& context,
                  Request& request,
                  AttemptResult result,
                  std::string_view detail)
{
  if (!request.attempt) {
    return;
  }
  const Attempt& attempt = *request.attempt;
  context.router.OnFinished(context.now, attempt.group, result, context.now - attempt.sentAt);
  wire::RequestRecordT* record = context.records.Find(request.id.Get());
  if (record != nullptr && !record->attempts.empty()) {
    wire::RequestAttemptT& last = *record->attempts.back();
    last.result = detail;
    last.endedMillis = context.hooks.wallMillis();
  }
  request.attempt.reset();
}

CallerError CutError(const Request& request, std::string_view why)
{
  const bool late = why == reason::kDeadline;
  CallerError error;
  error.status = late ? 504 : 502;
  error.outcome = Outcome::kCut;
  error.type = late ? "deadline" : "upstream_cut";
  error.reason = why;
  error.message = "The request may have run; its answer is not whole.";
  // A retry is safe when the call is repeatable or its idempotency key is claimed.
  if (request.repeatable || !request.key.empty()) {
    error.retryAfter = kCutRetryAfter;
  }
  return error;
}

} // namespace gooseberrysail::impl
