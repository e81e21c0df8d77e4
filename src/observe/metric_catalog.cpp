#include "observe/metric_catalog.hpp"

#include <array>

namespace gooseberrysail {

namespace {

constexpr std::string_view kEveryRole = "every role";

// The order must match impl::MetricId.
constexpr auto kMetrics = std::to_array<MetricInfo>({
  { "gooseberrysail_build_info",
    MetricType::kGauge,
    "version",
    kEveryRole,
    "1, with the program's version." },
  { "gooseberrysail_process_cpu_seconds_total",
    MetricType::kCounter,
    "",
    kEveryRole,
    "User and system time spent." },
  { "gooseberrysail_process_resident_memory_bytes",
    MetricType::kGauge,
    "",
    kEveryRole,
    "Memory resident now." },
  { "gooseberrysail_events_total",
    MetricType::kCounter,
    "event",
    kEveryRole,
    "Events by name; docs/EVENTS.md tells their meaning." },
  { "gooseberrysail_tick_duration_seconds",
    MetricType::kHistogram,
    "",
    kEveryRole,
    "Time taken by one tick of the role's decisions." },
  { "gooseberrysail_loop_round_seconds",
    MetricType::kHistogram,
    "",
    kEveryRole,
    "Time between two polls of the event loop, sampled at each tick: how late input is noticed." },
  { "gooseberrysail_config_version",
    MetricType::kGauge,
    "",
    kEveryRole,
    "Catalogue version that the process works by; it never goes down." },
  { "gooseberrysail_peer_frames_sent_total",
    MetricType::kCounter,
    "",
    kEveryRole,
    "Frames sent to other processes." },
  { "gooseberrysail_peer_frames_received_total",
    MetricType::kCounter,
    "",
    kEveryRole,
    "Frames received from other processes." },
  { "gooseberrysail_peer_sent_bytes_total",
    MetricType::kCounter,
    "",
    kEveryRole,
    "Bytes sent to other processes." },
  { "gooseberrysail_peer_received_bytes_total",
    MetricType::kCounter,
    "",
    kEveryRole,
    "Bytes received from other processes." },
  { "gooseberrysail_peer_kind_sent_frames_total",
    MetricType::kCounter,
    "kind",
    kEveryRole,
    "Frames sent to other processes, by kind of message." },
  { "gooseberrysail_peer_kind_sent_bytes_total",
    MetricType::kCounter,
    "kind",
    kEveryRole,
    "Bytes of frames sent to other processes, by kind of message." },
  { "gooseberrysail_peer_kind_received_bytes_total",
    MetricType::kCounter,
    "kind",
    kEveryRole,
    "Bytes of frames received from other processes, by kind of message." },
  { "gooseberrysail_peer_queued_bytes",
    MetricType::kGauge,
    "",
    kEveryRole,
    "Bytes that wait to be sent, of the peer for which most do: a link or a peer that is too "
    "slow." },
  { "gooseberrysail_http_requests_total",
    MetricType::kCounter,
    "",
    kEveryRole,
    "HTTP requests received." },
  { "gooseberrysail_http_rejected_total",
    MetricType::kCounter,
    "",
    kEveryRole,
    "HTTP requests refused as malformed or over a limit." },
  { "gooseberrysail_http_requests_in_flight",
    MetricType::kGauge,
    "",
    kEveryRole,
    "HTTP requests whose answer is not whole yet." },
  { "gooseberrysail_http_connections",
    MetricType::kGauge,
    "",
    kEveryRole,
    "Open connections of callers." },
  { "gooseberrysail_http_unread_seconds",
    MetricType::kHistogram,
    "",
    kEveryRole,
    "From the arrival of a request's first bytes until it was passed on." },
  { "gooseberrysail_caller_memory_bytes",
    MetricType::kGauge,
    "",
    kEveryRole,
    "What callers have sent and what waits for them, on all ports, with the cost of their "
    "connections; at most half of limits.memory." },
  { "gooseberrysail_caller_memory_shed_total",
    MetricType::kCounter,
    "what",
    kEveryRole,
    "Given up because that limit was reached: `arriving`, requests that had not arrived "
    "completely; "
    "`request`, whole requests that were refused; `answer`, answers that were cut." },
  { "gooseberrysail_http_closed_total",
    MetricType::kCounter,
    "reason",
    kEveryRole,
    "Connections of callers closed without a response: `unread`, they waited too long to be read; "
    "`limit`, too many connections or descriptors were in use." },
  { "gooseberrysail_http_callers_gone_total",
    MetricType::kCounter,
    "when",
    kEveryRole,
    "Callers who left before their response was whole: `unread`, before their request was passed "
    "on; `served`, after it." },
  { "gooseberrysail_http_cut_total",
    MetricType::kCounter,
    "cause",
    kEveryRole,
    "Responses that were aborted or cut before their end, by the cause that event 210 tells; "
    "`caller`: the caller disconnected, without an event." },
  { "gooseberrysail_http_ended_total",
    MetricType::kCounter,
    "cause",
    kEveryRole,
    "Connections that ended although a request on them may have got no response, by the cause that "
    "event 217 tells: `-kept` if a request on the connection was passed on before, otherwise "
    "`-new`." },
  { "gooseberrysail_timeline_dropped_events_total",
    MetricType::kCounter,
    "",
    kEveryRole,
    "Events dropped from the ring of the time line; raise observe.timelineEvents if it matters." },
  { "gooseberrysail_requests_total",
    MetricType::kCounter,
    "outcome",
    "entry",
    "Requests answered, by outcome." },
  { "gooseberrysail_answers_total",
    MetricType::kCounter,
    "origin,status,statement",
    "entry",
    "Answers to callers on routes: whose answer it is (`entry` or `target`), its status (408, 421, "
    "429 and 503 by themselves, others by class) and whether whoever made it states that the "
    "request did not run (`not-run` or `none`)." },
  { "gooseberrysail_request_attempts_total",
    MetricType::kCounter,
    "",
    "entry",
    "Attempts of answered requests; over gooseberrysail_requests_total it is attempts a request." },
  { "gooseberrysail_request_duration_seconds",
    MetricType::kHistogram,
    "",
    "entry",
    "From a request's arrival to its final answer." },
  { "gooseberrysail_requests_refused_total",
    MetricType::kCounter,
    "urgency",
    "entry",
    "Requests refused that have not run, by urgency; 0 is the most urgent." },
  { "gooseberrysail_caller_retries_total",
    MetricType::kCounter,
    "outcome",
    "entry",
    "Requests of callers who were refused before, by outcome." },
  { "gooseberrysail_first_event_error_seconds",
    MetricType::kHistogram,
    "",
    "entry",
    "Difference between the predicted and the observed time until a head's first event." },
  { "gooseberrysail_gateway_answer_bound_total",
    MetricType::kCounter,
    "bound",
    "entry",
    "Calls ended because the target sent more than is held of an answer: `head`, `body` or "
    "`event`." },
  { "gooseberrysail_request_first_byte_seconds",
    MetricType::kHistogram,
    "",
    "entry",
    "From a request's arrival to the first part of its answer." },
  { "gooseberrysail_gate_open",
    MetricType::kGauge,
    "",
    "agent",
    "1 while this agent, as head of a group, lets work reach its target." },
  { "gooseberrysail_outside_calls_refused_total",
    MetricType::kCounter,
    "",
    "control",
    "Calls of targets and operators that could not be understood, or named no known service." },
  { "gooseberrysail_raft_leader",
    MetricType::kGauge,
    "",
    "control",
    "1 on the control process that leads." },
  { "gooseberrysail_raft_term",
    MetricType::kGauge,
    "",
    "control",
    "Election term; it rises with each election." },
  { "gooseberrysail_raft_committed_index",
    MetricType::kGauge,
    "",
    "control",
    "Highest log index known to be committed." },
  { "gooseberrysail_raft_applied_index",
    MetricType::kGauge,
    "",
    "control",
    "Highest log index applied to the control state." },
});

const char* TypeName(MetricType type) noexcept
{
  switch (type) {
    case MetricType::kCounter:
      return "counter";
    case MetricType::kGauge:
      return "gauge";
    case MetricType::kHistogram:
      return "histogram";
  }
  return "unknown";
}

constexpr std::string_view kIntroduction =
  "# Metrics\n"
  "\n"
  "Each process serves its metrics at the path `/metrics` in the Prometheus text format, at\n"
  "`observe.metricsListen` or, without it, at `process.httpListen`. Names contain their\n"
  "unit (`_seconds`, `_bytes`), and those of counters end in `_total`.\n"
  "\n"
  "This page is generated by `gooseberrysail docs metrics` from the table that the code uses.\n"
  "\n"
  "| metric | type | label | roles | description |\n"
  "|---|---|---|---|---|\n";

} // namespace

std::span<const MetricInfo> AllMetrics() noexcept
{
  return kMetrics;
}

bool HasMetric(ProcessRole role, const MetricInfo& metric) noexcept
{
  return metric.roles == kEveryRole || metric.roles == ToString(role);
}

std::string MetricsReference()
{
  std::string page(kIntroduction);
  for (const MetricInfo& metric : kMetrics) {
    page += "| `" + std::string(metric.name) + "` | " + TypeName(metric.type) + " | ";
    page += metric.label.empty() ? "" : "`" + std::string(metric.label) + "`";
    page += " | " + std::string(metric.roles) + " | " + std::string(metric.help) + " |\n";
  }
  return page;
}

} // namespace gooseberrysail
