#include "gooseberrysail/observe/process_observer.hpp"

#include "gooseberrysail/wire/envelope.hpp"

#include <utility>

namespace gooseberrysail {

namespace {

constexpr std::string_view kMetricsPath = "/metrics";
constexpr unsigned kOk = 200;

VmId OwnVm(const ProcessSettings& settings)
{
  return settings.role == ProcessRole::kAgent ? settings.agent.vm : VmId();
}

} // namespace

ProcessObserver::ProcessObserver(const ProcessSettings& settings,
                                 Incarnation incarnation,
                                 ObserverHooks hooks)
  : m_process(settings.process)
  , m_incarnation(incarnation)
  , m_hooks(std::move(hooks))
  , m_timeline(settings.process, settings.observe.timelineEvents, OwnVm(settings))
  , m_metrics(settings.role)
{
}

void ProcessObserver::OnEvent(const EventOut& event)
{
  m_timeline.Record(m_hooks.wallMillis(), event);
  m_metrics.OnEvent(event);
}

std::optional<FrameIn> ProcessObserver::OnFrameOut(const FrameOut& frame)
{
  m_timeline.StampOutgoing(m_hooks.wallMillis(), *frame.envelope);
  m_metrics.OnConfigVersion(LogIndex(frame.envelope->version));
  const wire::TimelineQueryT* query = frame.envelope->body.AsTimelineQuery();
  if (query == nullptr || frame.peer != m_process) {
    return std::nullopt;
  }
  return FrameIn{ m_process, m_incarnation, MakeEnvelope(m_timeline.Answer(*query)) };
}

std::optional<FrameOut> ProcessObserver::OnFrameIn(const FrameIn& frame)
{
  m_timeline.Receive(m_hooks.wallMillis(), *frame.envelope);
  const wire::TimelineQueryT* query = frame.envelope->body.AsTimelineQuery();
  if (query == nullptr) {
    return std::nullopt;
  }
  // Without an address, the answer is sent only over the existing connection. If that is lost, so
  // is the query.
  return FrameOut{ frame.peer, "", MakeEnvelope(m_timeline.Answer(*query)) };
}

std::optional<HttpAnswerOut> ProcessObserver::OnRequest(TimePoint now, const HttpRequestIn& request)
{
  if (request.target != kMetricsPath || request.method != "GET") {
    m_metrics.OnRequest(now, request);
    return std::nullopt;
  }
  MetricsSample sample = m_hooks.sample();
  sample.timelineDropped = m_timeline.Dropped();
  m_metrics.Sample(sample);
  HttpAnswerOut answer;
  answer.exchange = request.exchange;
  answer.status = kOk;
  answer.headers.push_back({ "Content-Type", std::string(Metrics::kContentType) });
  answer.bytes = m_metrics.Text();
  answer.end = true;
  return answer;
}

} // namespace gooseberrysail
