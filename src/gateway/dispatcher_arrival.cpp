#include "gooseberrysail/gateway/dispatcher.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// A process that has just started receives its document within one to two seconds.
constexpr Duration kNoDocumentRetry = 1s;

} // namespace

void Dispatcher::OnRequest(TimePoint now,
                           HttpRequestIn incoming,
                           const ServingSnapshot& snapshot,
                           Outbox& outbox)
{
  const ExchangeId exchange = incoming.exchange;
  Request request;
  request.arrived = incoming.receivedAt.value_or(now);
  request.unread = now - request.arrived;
  request.call.exchange = exchange;
  Result<GatewayCall> call = m_api.decodeCall(std::move(incoming));
  if (!call) {
    Refuse(now, request, { 400, call.error().description, std::nullopt }, outbox);
    return;
  }
  request.call = std::move(call).value();
  ForgetFormerRoutes(snapshot);
  if (const std::optional<Refusal> refusal = Admit(now, snapshot, request)) {
    Refuse(now, request, *refusal, outbox);
    return;
  }
  if (m_suspects.IsQuarantined(request.fingerprint)) {
    RejectRepeat(now, request, outbox);
    return;
  }
  if (const RequestFingerprint* held = FindHeldPart(request)) {
    request.isTrial = TakeTrial(now, request);
    if (!request.isTrial) {
      RefuseHeld(now, request, *held, outbox);
      return;
    }
  }
  m_retries.CountRequest(now, request.service);
  m_deadlines.emplace(request.deadline, exchange);
  Request& stored = m_requests.emplace(exchange, std::move(request)).first->second;
  Attempt(now, stored, outbox);
}

void Dispatcher::Refuse(TimePoint now,
                        const HttpRequestIn& incoming,
                        const std::string& reason,
                        Duration retryAfter,
                        Outbox& outbox)
{
  Request request;
  request.arrived = now;
  request.call.exchange = incoming.exchange;
  if (Result<GatewayCall> call = m_api.decodeCall(incoming)) {
    request.call = std::move(call).value();
  }
  Refuse(now, request, { 503, reason, retryAfter }, outbox);
}

std::optional<Dispatcher::Refusal> Dispatcher::Admit(TimePoint now,
                                                     const ServingSnapshot& snapshot,
                                                     Request& request)
{
  // Without a document it is unknown whether the route or the key exists.
  if (!snapshot.index) {
    return Refusal{ 503, "no serving document is known yet", kNoDocumentRetry };
  }
  request.index = snapshot.index;
  request.targetsSequence = snapshot.targetsSequence;
  request.snapshotAge = now - snapshot.confirmedAt;
  request.route = request.index->Match(request.call.host, request.call.target);
  if (request.route == nullptr) {
    return Refusal{ 404, "no route has this host and path", std::nullopt };
  }
  const ServingWorkspace* workspace = request.index->FindByKey(request.call.key);
  if (workspace != nullptr) {
    request.workspace = workspace->name;
  } else if (request.index->Document().needsKeys && !request.route->isPublic) {
    return Refusal{ 401, "the key is missing or not known", std::nullopt };
  }
  request.fingerprint = FingerprintOf({ request.call.method,
                                        request.call.host,
                                        request.call.target,
                                        request.workspace,
                                        request.call.body });
  request.urgency =
    UrgencyOf(workspace == nullptr ? std::nullopt : workspace->priority, request.route->priority);
  const Duration timeLeft = request.call.timeLeft.value_or(request.route->timeout);
  request.isCallerRetry =
    m_callerRetries.Observe(now, request.route->name, std::min(timeLeft, request.route->timeout));
  request.deadline = request.arrived + std::min(timeLeft, request.route->timeout);
  if (!HasTime(now, request)) {
    return Refusal{ 503, "its time is over", std::nullopt };
  }
  SelectService(request);
  if (ExceedsCache(request)) {
    return Refusal{ 503, "it needs more tokens than a group holds", std::nullopt };
  }
  for (const std::string& id : request.call.sharedPromptParts) {
    request.promptParts.push_back(FingerprintOf(PromptPart{ request.service, request.model, id }));
  }
  return std::nullopt;
}

// A caller's token limit is two to three times what it uses. If capacity were planned with it, half
// of the targets would be idle.
std::uint64_t Dispatcher::ExpectedOutput(const Request& request)
{
  if (request.call.expectedOutputTokens != 0) {
    return request.call.expectedOutputTokens;
  }
  const ServiceDefinition* service = request.index->FindService(request.service);
  const double usual =
    service != nullptr && service->engine ? service->engine->usualOutputTokens : 0;
  const auto limit = request.call.maxOutputTokens;
  return usual > 0 ? std::min<std::uint64_t>(limit, static_cast<std::uint64_t>(usual)) : limit;
}

// The output that the caller allows counts, not the expected one: the engine may write all of it.
bool Dispatcher::ExceedsCache(const Request& request)
{
  const ServiceDefinition* service = request.index->FindService(request.service);
  const std::uint64_t most =
    service != nullptr && service->engine ? service->engine->cacheTokens : 0;
  const std::uint64_t needed =
    std::uint64_t{ request.call.promptTokens } + request.call.maxOutputTokens;
  return most > 0 && needed > most;
}

// A refused caller retries, so its work would be counted twice: once here and once where it is
// accepted. A refused request therefore counts half.
void Dispatcher::CountDemand(const Request& request, bool isRefused)
{
  const std::uint64_t part = isRefused ? 2 : 1;
  DemandRow& row = m_demand[{ request.service, request.model }];
  row.service = request.service;
  row.model = request.model;
  ++row.requests;
  row.promptTokens += request.call.promptTokens / part;
  row.outputTokens += ExpectedOutput(request) / part;
}

void Dispatcher::SelectService(Request& request)
{
  std::uint64_t total = 0;
  for (const RouteShare& share : request.route->shares) {
    total += share.weight;
  }
  std::uint64_t drawn = m_random() % std::max<std::uint64_t>(total, 1);
  for (const RouteShare& share : request.route->shares) {
    if (drawn < share.weight) {
      request.service = share.service;
      break;
    }
    drawn -= share.weight;
  }
  const ServiceDefinition* service = request.index->FindService(request.service);
  if (service != nullptr && service->engine) {
    request.model = request.call.model;
  }
}

} // namespace gooseberrysail
