#include "gooseberrysail/gateway/dispatcher.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

constexpr const char* kTooLong = "this entry stops before the answer is expected to end";

/// A longer answer than this share of the route's answers is unlikely enough to be tried: its
/// request may be sent again. The outcome of any other one would stay unknown, so that the longest
/// answer counts for it.
constexpr double kUsualShare = 0.9;

} // namespace

void Dispatcher::EndBy(TimePoint end, Duration retryAfter)
{
  m_end = StopPlan{ end, retryAfter };
}

void Dispatcher::RecordAnswerTime(TimePoint now, const Request& request)
{
  if (request.firstSentAt != TimePoint{}) {
    m_answerTimes.Add(request.route->name, now - request.firstSentAt);
  }
}

void Dispatcher::ForgetFormerRoutes(const ServingSnapshot& snapshot)
{
  if (snapshot.index == nullptr || snapshot.index->Document().version == m_answerTimesVersion) {
    return;
  }
  m_answerTimesVersion = snapshot.index->Document().version;
  std::set<std::string_view> names;
  for (const HttpRoute& route : snapshot.index->Document().routes) {
    names.insert(route.name);
  }
  m_answerTimes.KeepOnly([&](const std::string& route) { return names.contains(route); });
}

Duration Dispatcher::ExpectedTime(TimePoint now, const Request& request) const
{
  const double share = MayRunAgain(request.route->repeat) ? kUsualShare : 1;
  const Duration left = request.deadline - now;
  return std::min(left, m_answerTimes.Within(request.route->name, share).value_or(left));
}

bool Dispatcher::EndsInTime(TimePoint now, const Request& request) const
{
  return !m_end || now + ExpectedTime(now, request) <= m_end->at;
}

std::optional<Duration> Dispatcher::RetryElsewhere(TimePoint now, const Request& request) const
{
  const bool mayRunAgain = MayRunAgain(request.route->repeat) && HasTime(now, request);
  if (!m_end || !mayRunAgain || EndsInTime(now, request)) {
    return std::nullopt;
  }
  return m_end->retryAfter;
}

void Dispatcher::RefuseTooLong(TimePoint now, Request& request, Outbox& outbox)
{
  outbox.emplace_back(
    MakeEvent(EventNumber::kGatewayStopRefused,
              { { "request", request.call.requestId },
                { "route", request.route->name },
                { "expectedMillis", std::to_string(ToMillis(ExpectedTime(now, request))) },
                { "leftMillis", std::to_string(ToMillis(m_end->at - now)) },
                { "deadlineMillis", std::to_string(ToMillis(request.deadline - now)) } }));
  if (request.attempts == 0) {
    CountDemand(request, true);
  }
  Refuse(now, request, { 503, kTooLong, m_end->retryAfter, true }, outbox);
}

void Dispatcher::RefuseQueuedTooLong(TimePoint now, Outbox& outbox)
{
  if (!m_end) {
    return;
  }
  for (const ServedKind& kind : m_queue.ListWaiting()) {
    for (const ExchangeId waiting : m_queue.ListInOrder(kind)) {
      Request& request = *Find(waiting);
      if (!EndsInTime(now, request)) {
        RefuseTooLong(now, request, outbox);
      }
    }
  }
}

} // namespace gooseberrysail
