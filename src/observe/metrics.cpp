#include "gooseberrysail/observe/metrics.hpp"

#include "gooseberrysail/core/http_status.hpp"
#include "gooseberrysail/observe/event_catalog.hpp"
#include "observe/metric_catalog.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <span>
#include <unordered_map>

namespace gooseberrysail {

namespace {

using impl::MetricId;
using Labels = prometheus::Labels;

const MetricInfo& InfoOf(MetricId id)
{
  return AllMetrics()[static_cast<std::size_t>(id)];
}

// Covers ticks of less than a millisecond as well as answers that take minutes.
const prometheus::Histogram::BucketBoundaries& Buckets()
{
  static const prometheus::Histogram::BucketBoundaries kBuckets{
    0.0001, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
    0.37,   0.5,    1,     2.5,    5,     10,   30,    60,   120
  };
  return kBuckets;
}

double Seconds(Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

const std::string* FindField(const EventOut& event, std::string_view name)
{
  for (const auto& [field, value] : event.fields) {
    if (field == name) {
      return &value;
    }
  }
  return nullptr;
}

double NumberField(const EventOut& event, std::string_view name)
{
  const std::string* text = FindField(event, name);
  double number = 0;
  if (text != nullptr) {
    std::from_chars(text->data(), text->data() + text->size(), number);
  }
  return number;
}

/// A target may send any status, so that most are counted by class.
std::string StatusLabel(unsigned status)
{
  constexpr unsigned kPerClass = 100;
  if (PromisesNotRun(status)) {
    return std::to_string(status);
  }
  return status == 0 ? "cut" : std::to_string(status / kPerClass) + "xx";
}

} // namespace

struct Metrics::Impl
{
  explicit Impl(ProcessRole processRole)
    : role(processRole)
  {
    for (std::size_t index = 0; index < AllMetrics().size(); ++index) {
      AddFamily(static_cast<MetricId>(index));
    }
  }

  void AddFamily(MetricId id)
  {
    const MetricInfo& info = InfoOf(id);
    if (!HasMetric(role, info)) {
      return;
    }
    const std::string name(info.name);
    const std::string help(info.help);
    switch (info.type) {
      case MetricType::kCounter:
        counters[id] = &prometheus::BuildCounter().Name(name).Help(help).Register(registry);
        break;
      case MetricType::kGauge:
        gauges[id] = &prometheus::BuildGauge().Name(name).Help(help).Register(registry);
        break;
      case MetricType::kHistogram:
        histograms[id] = &prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
        break;
    }
    // A series that appears only with its first sample cannot be distinguished from one that is not
    // collected. Metrics without a label are therefore exported from the start.
    if (info.label.empty()) {
      CreateSeries(id);
    }
  }

  void CreateSeries(MetricId id)
  {
    Add(id, 0);
    Set(id, 0);
    if (const auto family = histograms.find(id); family != histograms.end()) {
      family->second->Add({}, Buckets());
    }
  }

  static Labels LabelsOf(MetricId id, std::span<const std::string> values)
  {
    Labels labels;
    std::string_view names = InfoOf(id).label;
    for (const std::string& value : values) {
      const std::size_t comma = names.find(',');
      labels.emplace(names.substr(0, comma), value);
      names.remove_prefix(comma == std::string_view::npos ? names.size() : comma + 1);
    }
    return labels;
  }

  static Labels LabelsOf(MetricId id, const std::string& value)
  {
    const std::string_view label = InfoOf(id).label;
    return label.empty() ? Labels{} : Labels{ { std::string(label), value } };
  }

  void Add(MetricId id, double amount, const std::string& label = {})
  {
    if (const auto family = counters.find(id); family != counters.end()) {
      family->second->Add(LabelsOf(id, label)).Increment(amount);
    }
  }

  void CountAnswer(const EventOut& event)
  {
    const std::string* origin = FindField(event, "origin");
    if (origin == nullptr || origin->empty()) {
      return;
    }
    const bool isTargets = *origin == "target";
    const std::string* statement = FindField(event, isTargets ? "statement" : "outcome");
    const bool statesNotRun = statement != nullptr && *statement == "not-run";
    const std::array values{ *origin,
                             StatusLabel(static_cast<unsigned>(NumberField(event, "status"))),
                             std::string(statesNotRun ? "not-run" : "none") };
    if (const auto family = counters.find(MetricId::kRequestAnswers); family != counters.end()) {
      family->second->Add(LabelsOf(MetricId::kRequestAnswers, values)).Increment();
    }
  }

  void Set(MetricId id, double value, const std::string& label = {})
  {
    if (const auto family = gauges.find(id); family != gauges.end()) {
      family->second->Add(LabelsOf(id, label)).Set(value);
    }
  }

  /// \brief Increases a counter to a total that is counted elsewhere.
  void IncreaseTo(MetricId id, double total, const std::string& label = {})
  {
    if (const auto family = counters.find(id); family != counters.end()) {
      auto& counter = family->second->Add(LabelsOf(id, label));
      counter.Increment(std::max(0.0, total - counter.Value()));
    }
  }

  void Observe(MetricId id, double seconds)
  {
    if (const auto family = histograms.find(id); family != histograms.end()) {
      family->second->Add({}, Buckets()).Observe(seconds);
    }
  }

  void OnCallerAnswered(const EventOut& event)
  {
    constexpr double kMillisPerSecond = 1000;
    const std::string* outcome = FindField(event, "outcome");
    Add(MetricId::kRequests, 1, outcome != nullptr ? *outcome : "unknown");
    CountAnswer(event);
    Add(MetricId::kRequestAttempts, NumberField(event, "attempts"));
    Observe(MetricId::kRequestDuration, NumberField(event, "millis") / kMillisPerSecond);
    if (const double predicted = NumberField(event, "predictedMillis"); predicted > 0) {
      const double error = std::abs(predicted - NumberField(event, "observedMillis"));
      Observe(MetricId::kFirstEventError, error / kMillisPerSecond);
    }
    const std::string* urgency = FindField(event, "urgency");
    if (urgency == nullptr || outcome == nullptr) {
      return;
    }
    if (*outcome == "not-run" && !urgency->empty()) {
      Add(MetricId::kRefusedByUrgency, 1, *urgency);
    }
    const std::string* retry = FindField(event, "callerRetry");
    if (retry != nullptr && *retry == "yes") {
      Add(MetricId::kCallerRetries, 1, *outcome);
    }
  }

  ProcessRole role;
  LogIndex configVersion;
  prometheus::Registry registry;
  std::map<MetricId, prometheus::Family<prometheus::Counter>*> counters;
  std::map<MetricId, prometheus::Family<prometheus::Gauge>*> gauges;
  std::map<MetricId, prometheus::Family<prometheus::Histogram>*> histograms;
  std::unordered_map<ExchangeId, TimePoint> awaitingFirstByte; ///< Arrival times of requests.
};

Metrics::Metrics(ProcessRole role)
  : m_impl(std::make_unique<Impl>(role))
{
  m_impl->Set(MetricId::kBuildInfo, 1, GOOSEBERRYSAIL_VERSION);
}

Metrics::~Metrics() = default;
Metrics::Metrics(Metrics&&) noexcept = default;

void Metrics::OnEvent(const EventOut& event)
{
  const EventInfo* info = FindEvent(event.number);
  m_impl->Add(MetricId::kEvents, 1, info != nullptr ? std::string(info->name) : "UnknownEvent");
  switch (static_cast<EventNumber>(event.number)) {
    case EventNumber::kCallerAnswered:
    case EventNumber::kGatewayAnswered:
      m_impl->OnCallerAnswered(event);
      break;
    case EventNumber::kGatewayAnswerUnbounded:
      m_impl->Add(MetricId::kAnswerBound, 1, *FindField(event, "bound"));
      break;
    case EventNumber::kOutsideCallRefused:
      m_impl->Add(MetricId::kOutsideCallsRefused, NumberField(event, "calls"));
      break;
    case EventNumber::kGateOpened:
      m_impl->Set(MetricId::kGateOpen, 1);
      break;
    case EventNumber::kGateClosed:
    case EventNumber::kAgentReleased:
      m_impl->Set(MetricId::kGateOpen, 0);
      break;
    default:
      break;
  }
}

void Metrics::OnTick(Duration spent, Duration round)
{
  m_impl->Observe(MetricId::kTickDuration, Seconds(spent));
  m_impl->Observe(MetricId::kLoopRound, Seconds(round));
}

void Metrics::OnRequest(TimePoint now, const HttpRequestIn& request)
{
  m_impl->Observe(MetricId::kHttpUnreadWait, Seconds(now - request.receivedAt.value_or(now)));
  if (m_impl->role == ProcessRole::kEntry) {
    m_impl->awaitingFirstByte.emplace(request.exchange, now);
  }
}

void Metrics::OnAnswer(TimePoint now, const HttpAnswerOut& answer)
{
  const auto found = m_impl->awaitingFirstByte.find(answer.exchange);
  if (found != m_impl->awaitingFirstByte.end()) {
    m_impl->Observe(MetricId::kFirstByte, Seconds(now - found->second));
    m_impl->awaitingFirstByte.erase(found);
  }
}

void Metrics::OnCallerGone(const HttpCallerGone& gone)
{
  m_impl->awaitingFirstByte.erase(gone.exchange);
}

void Metrics::OnReplication(const ReplicationStatus& status)
{
  m_impl->Set(MetricId::kRaftLeader, status.leader ? 1 : 0);
  m_impl->Set(MetricId::kRaftTerm, static_cast<double>(status.term.Get()));
  m_impl->Set(MetricId::kRaftCommitted, static_cast<double>(status.committed.Get()));
  m_impl->Set(MetricId::kRaftApplied, static_cast<double>(status.applied.Get()));
}

void Metrics::OnConfigVersion(LogIndex version)
{
  // Frames of the replicated log carry version 0, which must not lower the metric.
  m_impl->configVersion = std::max(m_impl->configVersion, version);
  m_impl->Set(MetricId::kConfigVersion, static_cast<double>(m_impl->configVersion.Get()));
}

void Metrics::Sample(const MetricsSample& sample)
{
  m_impl->IncreaseTo(MetricId::kCpuSeconds, sample.cpuSeconds);
  m_impl->Set(MetricId::kResidentBytes, static_cast<double>(sample.residentBytes));
  m_impl->IncreaseTo(MetricId::kPeerFramesSent, static_cast<double>(sample.peerFramesSent));
  m_impl->IncreaseTo(MetricId::kPeerFramesReceived, static_cast<double>(sample.peerFramesReceived));
  m_impl->IncreaseTo(MetricId::kPeerBytesSent, static_cast<double>(sample.peerBytesSent));
  m_impl->IncreaseTo(MetricId::kPeerBytesReceived, static_cast<double>(sample.peerBytesReceived));
  m_impl->Set(MetricId::kPeerQueuedBytes, static_cast<double>(sample.peerQueuedBytes));
  for (const KindTraffic& kind : sample.peerKinds) {
    m_impl->IncreaseTo(
      MetricId::kPeerKindFramesSent, static_cast<double>(kind.framesSent), kind.kind);
    m_impl->IncreaseTo(
      MetricId::kPeerKindBytesSent, static_cast<double>(kind.bytesSent), kind.kind);
    m_impl->IncreaseTo(
      MetricId::kPeerKindBytesReceived, static_cast<double>(kind.bytesReceived), kind.kind);
  }
  m_impl->IncreaseTo(MetricId::kHttpRequests, static_cast<double>(sample.httpRequests));
  m_impl->IncreaseTo(MetricId::kHttpRejected, static_cast<double>(sample.httpRejected));
  m_impl->Set(MetricId::kHttpInFlight, static_cast<double>(sample.httpInFlight));
  m_impl->Set(MetricId::kHttpConnections, static_cast<double>(sample.httpConnections));
  m_impl->Set(MetricId::kCallerMemory, static_cast<double>(sample.callerMemoryBytes));
  const CallerMemoryCounters& shed = sample.callerMemory;
  m_impl->IncreaseTo(
    MetricId::kCallerMemoryShed, static_cast<double>(shed.shedRequests), "arriving");
  m_impl->IncreaseTo(
    MetricId::kCallerMemoryShed, static_cast<double>(shed.refusedRequests), "request");
  m_impl->IncreaseTo(MetricId::kCallerMemoryShed, static_cast<double>(shed.shedAnswers), "answer");
  m_impl->IncreaseTo(MetricId::kHttpClosed, static_cast<double>(sample.httpClosedUnread), "unread");
  m_impl->IncreaseTo(MetricId::kHttpClosed, static_cast<double>(sample.httpClosedAtLimit), "limit");
  m_impl->IncreaseTo(
    MetricId::kHttpCallersGone, static_cast<double>(sample.httpCallersGone), "served");
  m_impl->IncreaseTo(
    MetricId::kHttpCallersGone, static_cast<double>(sample.httpCallersGoneUnread), "unread");
  for (const CauseCount& cut : sample.httpCuts) {
    m_impl->IncreaseTo(MetricId::kHttpCut, static_cast<double>(cut.count), std::string(cut.cause));
  }
  for (const CauseCount& ended : sample.httpEnded) {
    m_impl->IncreaseTo(
      MetricId::kHttpEnded, static_cast<double>(ended.count), std::string(ended.cause));
  }
  m_impl->IncreaseTo(MetricId::kTimelineDropped, static_cast<double>(sample.timelineDropped));
}

std::string Metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

} // namespace gooseberrysail
