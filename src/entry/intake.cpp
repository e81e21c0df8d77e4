#include "gooseberrysail/entry/intake.hpp"

#include "gooseberrysail/core/token.hpp"
#include "gooseberrysail/entry/attempt_flow.hpp"
#include "gooseberrysail/entry/claim_flow.hpp"
#include "gooseberrysail/entry/request_end.hpp"

#include <boost/json.hpp>

namespace gooseberrysail::impl {

namespace {

constexpr Duration kShutdownRetryAfter = std::chrono::seconds(1);
constexpr Duration kUnconfirmedRetryAfter = std::chrono::seconds(2);
constexpr std::size_t kTableSizeFactor = 4;
constexpr Duration kOverloadRetryAfter = std::chrono::seconds(1);

CallerError MakeError(unsigned status,
                      std::string_view type,
                      std::string_view why,
                      std::string message)
{
  CallerError error;
  error.status = status;
  error.type = type;
  error.reason = why;
  error.message = std::move(message);
  return error;
}

CallerError ParseError(const Error& error)
{
  const std::string message = ToString(error);
  switch (error.code) {
    case ErrorCode::kNotFound:
      return MakeError(404, "not_found", reason::kNotFound, message);
    case ErrorCode::kConflict:
      return MakeError(405, "method_not_allowed", reason::kBadRequest, message);
    case ErrorCode::kTooLarge:
      return MakeError(413, "too_large", reason::kTooLarge, message);
    default:
      return MakeError(400, "invalid_request", reason::kBadRequest, message);
  }
}

CallerError RefusalError(const AdmissionDecision& decision)
{
  CallerError error;
  switch (decision.reason) {
    case RefusalReason::kWorkspaceRate:
      error = MakeError(
        429, "rate_limit", reason::kWorkspaceRate, "The workspace's rate limit is reached.");
      break;
    case RefusalReason::kWorkspaceConcurrency:
      error = MakeError(429,
                        "rate_limit",
                        reason::kWorkspaceConcurrency,
                        "The workspace has as many requests running as it may.");
      break;
    default:
      error = MakeError(
        503, "overloaded", reason::kOverload, "The request can't be served within its deadline.");
  }
  error.retryAfter = decision.retryAfter;
  return error;
}

/// A caller's request during validation and admission.
struct Arrival
{
  const HttpRequestIn& http;
  RequestId id;
  WorkspaceId workspace;
  const WorkspaceSpec* limits = nullptr;
  CallerOptions options;
};

void Refuse(EntryContext& context, const Arrival& arrival, const CallerError& error)
{
  context.Emit(EventNumber::kCallerRefused,
               { { "peer", arrival.http.peer },
                 { "status", std::to_string(error.status) },
                 { "reason", error.reason },
                 { "message", error.message } });
  context.Answer(MakeErrorAnswer(arrival.http.exchange, error, arrival.id));
}

wire::RequestRecordT MakeRecord(const EntryContext& context,
                                const Arrival& arrival,
                                const EntryName& entry)
{
  wire::RequestRecordT record;
  record.request = arrival.id.Get();
  record.workspace = arrival.workspace.Get();
  record.entry = entry.Get();
  record.process = context.settings.process.Get();
  record.receivedMillis = context.hooks.wallMillis();
  return record;
}

/// Refuses the call of a known workspace and keeps a record of it, which `request show` prints.
void RefuseRecorded(EntryContext& context,
                    const Arrival& arrival,
                    const EntryName& entry,
                    const CallerError& error)
{
  context.records.Open(MakeRecord(context, arrival, entry));
  context.records.Close(context.now,
                        arrival.id.Get(),
                        Outcome::kNotRun,
                        error.reason,
                        error.status,
                        context.hooks.wallMillis());
  Refuse(context, arrival, error);
}

/// \returns Whether the caller belongs to a workspace; if not, it has been answered with an error.
bool Authenticate(EntryContext& context, Arrival& arrival)
{
  const std::string_view header = FindHeader(arrival.http.headers, "Authorization");
  const std::string hash = TokenHash(BearerToken(header));
  const CatalogueEntry* entry = context.catalogue.FindWorkspaceByToken(hash);
  const auto* spec = entry == nullptr ? nullptr : std::get_if<WorkspaceSpec>(&entry->spec);
  if (spec == nullptr || !EqualInConstantTime(spec->tokenHash, hash)) {
    Refuse(
      context,
      arrival,
      MakeError(
        401, "unauthorized", reason::kUnauthorized, "The bearer token belongs to no workspace."));
    return false;
  }
  arrival.workspace = WorkspaceId(entry->name.Get());
  arrival.limits = spec;
  return true;
}

/// \returns The error for all new requests while this entry accepts none.
std::optional<CallerError> CheckAvailability(const EntryContext& context)
{
  if (context.stopping) {
    CallerError error = MakeError(
      503, "unavailable", reason::kShuttingDown, "This entry is shutting down; ask another.");
    error.retryAfter = kShutdownRetryAfter;
    return error;
  }
  if (!context.config.Confirmed(context.now, context.catalogue.Policy())) {
    // An outdated catalogue could admit a workspace or serve a model that has been removed.
    CallerError error = MakeError(503,
                                  "unavailable",
                                  reason::kUnconfirmed,
                                  "No control process has confirmed the catalogue lately.");
    error.retryAfter = kUnconfirmedRetryAfter;
    return error;
  }
  return std::nullopt;
}

Duration DefaultDeadline(const CatalogueEntry& entry)
{
  if (const auto* model = std::get_if<ModelSpec>(&entry.spec)) {
    return model->defaultDeadline;
  }
  return std::get<ServiceSpec>(entry.spec).defaultDeadline;
}

std::unique_ptr<wire::StartT> MakeStart(const Arrival& arrival,
                                        const TargetCall& call,
                                        const CatalogueEntry& entry)
{
  auto start = std::make_unique<wire::StartT>();
  start->request = arrival.id.Get();
  start->entry = call.entry.Get();
  start->workspace = arrival.workspace.Get();
  start->method = arrival.http.method;
  start->path = call.path;
  start->body.assign(arrival.http.body.begin(), arrival.http.body.end());
  start->priority = static_cast<std::uint8_t>(entry.priorityClass);
  start->stream = call.stream;
  for (const HttpHeader& header : arrival.http.headers) {
    if (!IsHopHeader(header.name)) {
      auto copy = std::make_unique<wire::HeaderT>();
      copy->name = header.name;
      copy->value = header.value;
      start->headers.push_back(std::move(copy));
    }
  }
  return start;
}

bool MayRepeat(const Arrival& arrival, const TargetCall& call, const CatalogueEntry& entry)
{
  const auto* service = std::get_if<ServiceSpec>(&entry.spec);
  const std::string_view path = std::string_view(call.path).substr(0, call.path.find('?'));
  const bool forbidden = service != nullptr && IsNonRepeatable(*service, arrival.http.method, path);
  return !forbidden && arrival.options.idempotencyKey.empty();
}

Request MakeRequest(const EntryContext& context,
                    const Arrival& arrival,
                    TargetCall& call,
                    const CatalogueEntry& entry)
{
  Request request;
  request.id = arrival.id;
  request.workspace = arrival.workspace;
  request.entry = call.entry;
  request.key = arrival.options.idempotencyKey;
  request.repeatable = MayRepeat(arrival, call, entry);
  request.received = context.now;
  request.deadline = context.now + arrival.options.deadline.value_or(DefaultDeadline(entry));
  request.start = MakeStart(arrival, call, entry);
  request.start->repeatable = request.repeatable;
  request.prefixHashes = std::move(call.prefixHashes);
  request.promptBytes = call.promptBytes;
  request.caller.exchange = arrival.http.exchange;
  if (!request.key.empty()) {
    request.bodyHash = HashRequest(arrival.http);
    request.captured = std::make_unique<CapturedAnswer>();
  }
  return request;
}

/// \returns The error when the entry doesn't exist or the workspace may not call it.
std::optional<CallerError> CheckCall(const Arrival& arrival,
                                     const TargetCall& call,
                                     const CatalogueEntry* entry)
{
  const std::string& name = call.entry.Get();
  const bool model = call.kind == wire::EntryKind::Model;
  if (entry == nullptr) {
    return MakeError(404,
                     "not_found",
                     reason::kNotFound,
                     std::string("The catalogue has no ") + (model ? "model " : "service ") + name +
                       ".");
  }
  if (!MayCall(*arrival.limits, call.entry)) {
    return MakeError(403,
                     "forbidden",
                     reason::kForbidden,
                     "Workspace " + arrival.workspace.Get() + " may not call " + name + ".");
  }
  return std::nullopt;
}

std::optional<CallerError> CheckLoad(EntryContext& context,
                                     const Arrival& arrival,
                                     const TargetCall& call,
                                     const CatalogueEntry& entry)
{
  // Requests whose caller was answered count only towards a larger limit: they are small, and those
  // of an unreachable agent must not make the entry refuse callers of other groups.
  const std::size_t limit = context.settings.maxInFlight;
  const bool full = context.requests.WaitingCallers() >= limit ||
                    context.requests.Size() >= limit * kTableSizeFactor;
  if (full) {
    CallerError error = MakeError(
      503, "overloaded", reason::kOverload, "This entry has as many requests in flight as it may.");
    error.retryAfter = kOverloadRetryAfter;
    return error;
  }
  AdmissionQuery query;
  query.workspace = arrival.workspace;
  query.entry = call.entry;
  query.priorityClass = entry.priorityClass;
  query.deadline = arrival.options.deadline.value_or(DefaultDeadline(entry));
  query.expectedTokens = call.expectedTokens;
  const AdmissionDecision decision = context.admission.Decide(context.now, query);
  if (!decision.Admitted()) {
    return RefusalError(decision);
  }
  return std::nullopt;
}

void OnTargetCall(EntryContext& context, Arrival& arrival, TargetCall call)
{
  const CatalogueEntry* entry = context.catalogue.Find(call.kind, call.entry.Get());
  if (const auto error = CheckCall(arrival, call, entry)) {
    RefuseRecorded(context, arrival, call.entry, *error);
    return;
  }
  Result<CallerOptions> options = ParseOptions(arrival.http);
  if (!options) {
    RefuseRecorded(context, arrival, call.entry, ParseError(options.error()));
    return;
  }
  arrival.options = std::move(options.value());
  if (const auto error = CheckLoad(context, arrival, call, *entry)) {
    RefuseRecorded(context, arrival, call.entry, *error);
    return;
  }
  context.records.Open(MakeRecord(context, arrival, call.entry));
  Request& request = context.requests.Insert(MakeRequest(context, arrival, call, *entry));
  if (request.key.empty()) {
    StartFirstAttempt(context, request);
  } else {
    RequestClaim(context, request);
  }
}

void ListModels(EntryContext& context, const Arrival& arrival)
{
  boost::json::array models;
  for (const auto& [name, entry] : context.catalogue.All(wire::EntryKind::Model)) {
    if (MayCall(*arrival.limits, entry.name)) {
      boost::json::object model;
      model["id"] = name;
      model["object"] = "model";
      model["owned_by"] = entry.owner;
      models.push_back(std::move(model));
    }
  }
  boost::json::object body;
  body["object"] = "list";
  body["data"] = std::move(models);
  context.Answer(
    MakeJsonAnswer(arrival.http.exchange, 200, boost::json::serialize(body), arrival.id));
}

void AnswerReady(EntryContext& context, const Arrival& arrival)
{
  const std::optional<CallerError> unavailable = CheckAvailability(context);
  boost::json::object body;
  body["ready"] = !unavailable;
  body["version"] = context.catalogue.Version().Get();
  if (unavailable) {
    body["reason"] = unavailable->reason;
  }
  context.Answer(MakeJsonAnswer(
    arrival.http.exchange, unavailable ? 503 : 200, boost::json::serialize(body), arrival.id));
}

} // namespace

void OnHttpRequest(EntryContext& context, RequestLookups& lookups, const HttpRequestIn& http)
{
  Arrival arrival{ http, context.NextRequestId(), {}, nullptr, {} };
  Result<CallerCall> parsed = ParseCall(http);
  if (!parsed) {
    Refuse(context, arrival, ParseError(parsed.error()));
    return;
  }
  CallerCall& call = parsed.value();
  if (std::holds_alternative<HealthCall>(call)) {
    context.Answer(MakeJsonAnswer(http.exchange, 200, R"({"alive":true})", arrival.id));
    return;
  }
  if (std::holds_alternative<ReadyCall>(call)) {
    AnswerReady(context, arrival);
    return;
  }
  // A lookup of a past request runs nothing, so it is served during shutdown and without control.
  const auto* lookup = std::get_if<RequestLookupCall>(&call);
  if (const auto unavailable = CheckAvailability(context); unavailable && lookup == nullptr) {
    Refuse(context, arrival, *unavailable);
    return;
  }
  if (!Authenticate(context, arrival)) {
    return;
  }
  if (lookup != nullptr) {
    lookups.Answer(context, http.exchange, arrival.id, lookup->request, arrival.workspace);
  } else if (std::holds_alternative<ListModelsCall>(call)) {
    ListModels(context, arrival);
  } else {
    OnTargetCall(context, arrival, std::move(std::get<TargetCall>(call)));
  }
}

} // namespace gooseberrysail::impl
