#include "gooseberrysail/gateway/dispatcher.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// A process that just started gets its document within a second or two.
constexpr Duration kNoDocumentRetry = 1s;

} // namespace

void Dispatcher::OnRequest(TimePoint now,
                           HttpRequestIn incoming,
                           const ServingKnowledge& knowledge,
                           Outbox& outbox)
{
  const ExchangeId exchange = incoming.exchange;
  Request request;
  request.arrived = now;
  request.call.exchange = exchange;
  Result<GatewayCall> call = m_api.decodeCall(std::move(incoming));
  if (!call) {
    Refuse(now, request, { 400, call.error().description, std::nullopt }, outbox);
    return;
  }
  request.call = std::move(call).value();
  if (const std::optional<Refusal> refusal = Admit(now, knowledge, request)) {
    Refuse(now, request, *refusal, outbox);
    return;
  }
  m_retries.NoteRequest(now, request.service);
  NoteDemand(request);
  m_deadlines.emplace(request.deadline, exchange);
  Request& kept = m_requests.emplace(exchange, std::move(request)).first->second;
  Attempt(now, kept, outbox);
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
                                                     const ServingKnowledge& knowledge,
                                                     Request& request)
{
  // Without a document nobody can say that a route or a key does not exist.
  if (!knowledge.index) {
    return Refusal{ 503, "no serving document is known yet", kNoDocumentRetry };
  }
  request.index = knowledge.index;
  request.targetsSequence = knowledge.targetsSequence;
  request.knowledgeAge = now - knowledge.heardAt;
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
  const Duration timeLeft = request.call.timeLeft.value_or(request.route->timeout);
  request.deadline = now + std::min(timeLeft, request.route->timeout);
  PickService(request);
  return std::nullopt;
}

void Dispatcher::NoteDemand(const Request& request)
{
  DemandRow& row = m_demand[{ request.service, request.model }];
  row.service = request.service;
  row.model = request.model;
  ++row.requests;
  row.promptTokens += request.call.promptTokens;
  row.outputTokens += request.call.maxOutputTokens;
}

void Dispatcher::PickService(Request& request)
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
