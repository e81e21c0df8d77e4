#include "gooseberrysail/entry/attempt_flow.hpp"

#include "gooseberrysail/core/http_status.hpp"
#include "gooseberrysail/entry/caller_stream.hpp"
#include "gooseberrysail/entry/reassembled_output.hpp"
#include "gooseberrysail/entry/request_end.hpp"

#include <algorithm>

namespace gooseberrysail::impl {

namespace {

constexpr std::uint32_t kMaxAttempts = 4;
constexpr unsigned kServerError = 500;
constexpr Duration kNoGroupRetryAfter = std::chrono::seconds(2);
constexpr Duration kRetryInterval = std::chrono::milliseconds(500);

std::vector<std::pair<std::string, std::string>> AttemptFields(const Request& request)
{
  return { { "request", request.id.Get() },
           { "attempt", std::to_string(request.attempt->number) },
           { "head", request.attempt->head.Get() } };
}

RouteQuery MakeQuery(const Request& request)
{
  RouteQuery query;
  query.entry = request.entry;
  query.prefixHashes = request.prefixHashes;
  query.tried = request.tried;
  query.promptBytes = request.promptBytes;
  return query;
}

void RecordAttempt(EntryContext& context, const Request& request, const RouteCandidate& route)
{
  wire::RequestRecordT* record = context.records.Find(request.id.Get());
  if (record == nullptr) {
    return;
  }
  auto line = std::make_unique<wire::RequestAttemptT>();
  line->attempt = request.attempt->number;
  line->group = route.group.Get();
  line->epoch = route.epoch.Get();
  line->vm = route.headVm.Get();
  line->result = ToString(Outcome::kRunning);
  line->startedMillis = context.hooks.wallMillis();
  record->attempts.push_back(std::move(line));
}

Attempt MakeAttempt(const EntryContext& context,
                    const RouteCandidate& route,
                    const Peer& peer,
                    std::uint32_t number)
{
  Attempt attempt;
  attempt.number = number;
  attempt.group = route.group;
  attempt.epoch = route.epoch;
  attempt.head = route.head;
  attempt.incarnation = peer.incarnation;
  attempt.address = route.address;
  attempt.sentAt = context.now;
  attempt.nextProbeAt = context.now + kProbeInterval;
  return attempt;
}

void SendStart(EntryContext& context, const Request& request)
{
  const Attempt& attempt = *request.attempt;
  wire::StartT start = *request.start;
  start.attempt = attempt.number;
  start.agentIncarnation = attempt.incarnation.Get();
  start.group = attempt.group.Get();
  start.epoch = attempt.epoch.Get();
  start.configVersion = context.catalogue.Version().Get();
  const std::int64_t left = ToMillis(request.deadline - context.now);
  start.deadlineMillis = static_cast<std::uint32_t>(std::max<std::int64_t>(1, left));
  context.Send(attempt.head, attempt.address, std::move(start));
}

/// \returns A group whose agent is known, which may take the request now; none if there is none.
const RouteCandidate* ChooseRoute(EntryContext& context, const RouteQuery& query)
{
  const std::optional<GroupId> group = context.router.Choose(context.now, query);
  if (!group || std::find(query.tried.begin(), query.tried.end(), *group) != query.tried.end()) {
    return nullptr;
  }
  const RouteCandidate* route = context.router.Find(*group);
  return route != nullptr && context.peers.Find(route->head) != nullptr ? route : nullptr;
}

void SendAttempt(EntryContext& context,
                 Request& request,
                 const RouteQuery& query,
                 const RouteCandidate& route)
{
  const Peer& peer = *context.peers.Find(route.head);
  request.stage = RequestStage::kAttempting;
  request.attempt = MakeAttempt(context, route, peer, ++request.attempts);
  RecordAttempt(context, request, route);
  SendStart(context, request);
  context.router.OnSent(context.now, route.group, query);
  auto fields = AttemptFields(request);
  fields.emplace_back("group", std::to_string(route.group.Get()));
  fields.emplace_back("epoch", std::to_string(route.epoch.Get()));
  context.Emit(EventNumber::kAttemptSent, std::move(fields));
}

/// \returns False when no group may take the request now, or the retry budget is used up.
bool TryRetry(EntryContext& context, Request& request)
{
  const RouteQuery query = MakeQuery(request);
  // The route is chosen first: taken before, the budget would be spent on attempts that no group
  // can take.
  const RouteCandidate* route = ChooseRoute(context, query);
  if (route == nullptr || !context.router.TakeRetry(context.now)) {
    return false;
  }
  SendAttempt(context, request, query, *route);
  return true;
}

CallerError NotRunError(std::string_view why, std::string message, Duration retryAfter)
{
  CallerError error;
  error.status = 503;
  error.type = "unavailable";
  error.reason = why;
  error.message = std::move(message);
  error.retryAfter = retryAfter;
  return error;
}

void QueueAck(EntryContext& context, Request& request)
{
  if (!request.attempt->ackDue) {
    request.attempt->ackDue = true;
    context.acksDue.push_back(request.id);
  }
}

void SendAck(EntryContext& context, const Request& request, bool done)
{
  wire::AckT ack;
  ack.request = request.id.Get();
  ack.attempt = request.attempt->number;
  ack.offset = request.attempt->nextOffset;
  ack.done = done;
  context.Send(request.attempt->head, {}, std::move(ack));
}

/// Acknowledges output of a request that has ended here, so that its agent can release it.
void AckUnmatchedOutput(EntryContext& context, const ProcessId& from, const wire::OutputT& output)
{
  wire::AckT ack;
  ack.request = output.request;
  ack.attempt = output.attempt;
  ack.offset = output.offset + output.bytes.size();
  ack.done = output.end;
  context.Send(from, {}, std::move(ack));
}

/// The target has started, so the request must not be sent to another group any more.
void MarkTargetStarted(EntryContext& context, Request& request)
{
  Attempt& attempt = *request.attempt;
  attempt.headersReceived = true;
  request.start.reset();
  context.router.OnFirstByte(context.now, attempt.group, context.now - attempt.sentAt);
}

AttemptResult ResultOf(unsigned status)
{
  return status < kServerError ? AttemptResult::kCompleted : AttemptResult::kFailed;
}

/// Ends a request whose target answered with a status that callers take for "not run". A target
/// doesn't state whether it ran a request: only its agent does, by a refusal before the start.
void EndUnproven(EntryContext& context,
                 const ProcessId& from,
                 Request& request,
                 const wire::OutputT& output)
{
  AckUnmatchedOutput(context, from, output);
  const std::string why = "target failed: answered " + std::to_string(output.status) +
                          ", which does not prove that the request did not run";
  if (!output.end && request.repeatable) {
    SendCancel(context, request, why);
  }
  CloseAttempt(context, request, ResultOf(output.status), "cut: " + why);
  EndCut(context, request, why);
}

void OnEnd(EntryContext& context, Request& request, const wire::OutputT& output)
{
  SendAck(context, request, true);
  if (output.cutReason.empty()) {
    const AttemptResult endResult = ResultOf(request.caller.status);
    CloseAttempt(context, request, endResult, ToString(Outcome::kCompleted));
    EndCompleted(context, request);
    return;
  }
  const bool cancelled = request.attempt->cancelled;
  const AttemptResult result = cancelled ? AttemptResult::kCancelled : AttemptResult::kFailed;
  CloseAttempt(context, request, result, "cut: " + output.cutReason);
  EndCut(context, request, output.cutReason);
}

} // namespace

void StartFirstAttempt(EntryContext& context, Request& request)
{
  const RouteQuery query = MakeQuery(request);
  if (const RouteCandidate* route = ChooseRoute(context, query)) {
    SendAttempt(context, request, query, *route);
    return;
  }
  EndNotRun(context,
            request,
            NotRunError(reason::kNoGroup,
                        "No group serves " + request.entry.Get() + " at the moment.",
                        kNoGroupRetryAfter));
}

void OnNeverStarted(EntryContext& context,
                    Request& request,
                    std::string_view why,
                    Duration retryAfter)
{
  auto fields = AttemptFields(request);
  fields.emplace_back("group", std::to_string(request.attempt->group.Get()));
  fields.emplace_back("reason", std::string(why));
  context.Emit(EventNumber::kAttemptNeverStarted, std::move(fields));
  request.tried.push_back(request.attempt->group);
  CloseAttempt(context, request, AttemptResult::kRefused, "never started: " + std::string(why));
  const bool wanted = request.caller.waiting && request.start != nullptr;
  const bool inTime = context.now < request.deadline && request.attempts < kMaxAttempts;
  if (wanted && inTime && TryRetry(context, request)) {
    return;
  }
  const Duration wait = retryAfter > Duration{} ? retryAfter : kNoGroupRetryAfter;
  EndNotRun(context,
            request,
            NotRunError(why, "The request was refused before it started and did not run.", wait));
}

void OnRefused(EntryContext& context, const ProcessId& from, const wire::RefusedT& refused)
{
  Request* request = FindAttempt(context, from, refused.request, refused.attempt);
  // A refusal after output is invalid: the target has already started.
  if (request == nullptr || request->attempt->headersReceived) {
    return;
  }
  OnNeverStarted(
    context, *request, refused.reason, std::chrono::milliseconds(refused.retryAfterMillis));
}

void OnOutput(EntryContext& context, const ProcessId& from, const wire::OutputT& output)
{
  Request* request = FindAttempt(context, from, output.request, output.attempt);
  if (request == nullptr) {
    AckUnmatchedOutput(context, from, output);
    return;
  }
  const ReassembledOutput reassembled = ReassembleOutput(*request->attempt, output);
  if (reassembled.kind == ReassembledOutput::Kind::kGap) {
    if (context.now >= request->attempt->nextGapResumeAt) {
      request->attempt->nextGapResumeAt = context.now + kRetryInterval;
      SendResume(context, *request);
    }
    return;
  }
  QueueAck(context, *request);
  if (reassembled.kind == ReassembledOutput::Kind::kDuplicate) {
    return;
  }
  if (reassembled.startsAnswer) {
    MarkTargetStarted(context, *request);
    if (PromisesNotRun(output.status) && output.cutReason.empty()) {
      EndUnproven(context, from, *request, output);
      return;
    }
  }
  request->attempt->state = AttemptState::kConnected;
  request->attempt->nextProbeAt = context.now + kProbeInterval;
  request->attempt->nextOffset += reassembled.bytes.size();
  if (wire::RequestRecordT* record = context.records.Find(output.request)) {
    record->bytes += reassembled.bytes.size();
  }
  ForwardOutput(context, *request, reassembled, output);
  if (reassembled.end) {
    OnEnd(context, *request, output);
  }
}

Request* FindAttempt(EntryContext& context,
                     const ProcessId& from,
                     std::string_view request,
                     std::uint32_t attempt)
{
  Request* found = context.requests.Find(request);
  const bool current = found != nullptr && found->attempt && found->attempt->number == attempt &&
                       found->attempt->head == from;
  return current ? found : nullptr;
}

void SendResume(EntryContext& context, Request& request)
{
  Attempt& attempt = *request.attempt;
  attempt.nextProbeAt = context.now + kProbeInterval;
  wire::ResumeT resume;
  resume.request = request.id.Get();
  resume.attempt = attempt.number;
  resume.agentIncarnation = attempt.incarnation.Get();
  resume.offset = attempt.nextOffset;
  context.Send(attempt.head, attempt.address, std::move(resume));
  auto fields = AttemptFields(request);
  fields.emplace_back("offset", std::to_string(attempt.nextOffset));
  context.Emit(EventNumber::kAttemptResumed, std::move(fields));
}

void SendSeal(EntryContext& context, Request& request)
{
  Attempt& attempt = *request.attempt;
  attempt.state = AttemptState::kSealing;
  attempt.nextProbeAt = context.now + kRetryInterval;
  wire::SealT seal;
  seal.request = request.id.Get();
  seal.attempt = attempt.number;
  seal.agentIncarnation = attempt.incarnation.Get();
  context.Send(attempt.head, attempt.address, std::move(seal));
  context.Emit(EventNumber::kAttemptSealing, AttemptFields(request));
}

void SendCancel(EntryContext& context, Request& request, std::string_view why)
{
  Attempt& attempt = *request.attempt;
  attempt.cancelled = true;
  wire::CancelT cancel;
  cancel.request = request.id.Get();
  cancel.attempt = attempt.number;
  cancel.reason = why;
  context.Send(attempt.head, attempt.address, std::move(cancel));
}

void FlushAcks(EntryContext& context)
{
  std::vector<RequestId> due;
  due.swap(context.acksDue);
  for (const RequestId& id : due) {
    Request* request = context.requests.Find(id.Get());
    if (request == nullptr || !request->attempt || !request->attempt->ackDue) {
      continue;
    }
    request->attempt->ackDue = false;
    SendAck(context, *request, false);
  }
}

} // namespace gooseberrysail::impl
