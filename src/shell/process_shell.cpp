#include "shell/process_shell.hpp"

#include "gooseberrysail/cli/read_file.hpp"
#include "gooseberrysail/observe/event.hpp"
#include "gooseberrysail/process/usage.hpp"
#include "gooseberrysail/shell/clock.hpp"

#include <csignal>
#include <cstdlib>
#include <tuple>

namespace gooseberrysail::impl {

namespace {

constexpr Duration kDrainTimeout = std::chrono::seconds(10);
constexpr Duration kFlushTimeout = std::chrono::seconds(2);
/// Applies a changed file within two seconds; reading a file of about 1 KB takes about 20 us.
constexpr Duration kSettingsWatchInterval = std::chrono::seconds(1);

/// Short enough to show bursts of traffic; writing one line takes about 20 us.
constexpr Duration kTrafficInterval = std::chrono::seconds(5);

/// Callers may use this part of the memory.
constexpr std::size_t kCallersFraction = 2;
/// Probes and scrapes need no body, and come from a few monitors.
constexpr std::uint64_t kMaxProbeBodyBytes = std::uint64_t{ 16 } * 1024;
constexpr std::size_t kMaxProbeConnections = 64;

/// Increases with each start unless the wall clock is set back; in that case the random part makes
/// a duplicate unlikely.
Incarnation MakeIncarnation(std::mt19937_64& random)
{
  constexpr std::uint64_t kRandomPart = 1024;
  const auto millis = static_cast<std::uint64_t>(WallNow());
  return Incarnation(millis * kRandomPart + random() % kRandomPart);
}

PeerMeshSettings MeshSettings(const ProcessSettings& settings, Incarnation incarnation)
{
  PeerMeshSettings mesh;
  mesh.process = settings.process;
  mesh.role = ToString(settings.role);
  mesh.incarnation = incarnation;
  mesh.listenAddress = settings.listen;
  mesh.announcedAddress = settings.announce;
  mesh.clusterKey = settings.clusterKey;
  mesh.heartbeatInterval = settings.peers.heartbeatInterval;
  mesh.silenceTimeout = settings.peers.silenceTimeout;
  return mesh;
}

/// Returns "" if the file can't be read; the resulting reload reports the error.
std::string ReadSettingsText(const std::string& file)
{
  Result<std::string> text = ReadWholeFile(file);
  return text ? std::move(text).value() : std::string();
}

HttpServerSettings HttpSettings(const ProcessSettings& settings,
                                std::shared_ptr<CallerMemory> memory)
{
  HttpServerSettings http;
  http.listenAddress = settings.httpListen;
  http.memory = std::move(memory);
  http.maxHeaderBytes = static_cast<std::uint32_t>(settings.limits.maxHeaderBytes);
  http.maxBodyBytes = settings.limits.maxBodyBytes;
  // Only the callers of an entry have another one to try.
  const bool isEntry = settings.role == ProcessRole::kEntry;
  http.maxUnreadWait = isEntry ? settings.limits.maxUnreadWait : Duration::zero();
  return http;
}

} // namespace

ProcessShell::ProcessShell(const ProcessSettings& settings)
  : m_settings(settings)
  , m_random(std::random_device{}())
  , m_incarnation(MakeIncarnation(m_random))
  , m_logger(settings.process, settings.observe.logLevel, WallNow)
  , m_memory(std::make_shared<CallerMemory>(settings.limits.memoryBytes / kCallersFraction))
  , m_observer(settings, m_incarnation, { .wallMillis = WallNow, .sample = [this] {
                                           return SampleMetrics();
                                         } })
{
}

Result<void> ProcessShell::Start(ShellHooks hooks)
{
  m_hooks = std::move(hooks);
  const auto record = [this](const EventOut& event) { Record(event); };
  m_mesh = std::make_unique<PeerMesh>(
    m_runtime,
    MeshSettings(m_settings, m_incarnation),
    PeerMeshHooks{ .onUp = m_hooks.onUp,
                   .onDown = m_hooks.onDown,
                   .onFrame = [this](FrameIn frame) { OnFrame(std::move(frame)); },
                   .onEvent = record });
  BOOST_OUTCOME_TRY(m_mesh->Start());
  m_http = std::make_unique<HttpServer>(
    m_runtime,
    HttpSettings(m_settings, m_memory),
    HttpServerHooks{ .onRequest = [this](HttpRequestIn request) { OnRequest(std::move(request)); },
                     .onCallerGone = [this](HttpCallerGone gone) { OnCallerGone(gone); },
                     .onEvent = record,
                     .errorBody = {} });
  BOOST_OUTCOME_TRY(m_http->Start());
  BOOST_OUTCOME_TRY(StartMetrics());
  // A single hook, because each hook of a runtime is called for the signals of all hooks.
  m_runtime.OnSignals({ SIGTERM, SIGINT, SIGHUP }, [this](int number) { OnSignal(number); });
  m_settingsText = ReadSettingsText(m_settings.file);
  m_runtime.Spawn([this] { RunPeriodicTasks(); });
  Record(MakeEvent(EventNumber::kProcessStarted,
                   { { "role", ToString(m_settings.role) },
                     { "incarnation", std::to_string(m_incarnation.Get()) },
                     { "version", GOOSEBERRYSAIL_VERSION },
                     { "listen", m_mesh->ListenAddress() },
                     { "http", m_http->ListenAddress() } }));
  return outcome::success();
}

Result<void> ProcessShell::StartMetrics()
{
  if (m_settings.observe.metricsListen.empty()) {
    return outcome::success();
  }
  m_metricsHttp = std::make_unique<HttpServer>(
    m_runtime,
    ProbeSettings(m_settings.observe.metricsListen),
    HttpServerHooks{ .onRequest = [this](const HttpRequestIn& in) { OnMetricsRequest(in); },
                     .onCallerGone = [](HttpCallerGone) {},
                     .onEvent = {},
                     .errorBody = {} });
  return m_metricsHttp->Start();
}

HttpServerSettings ProcessShell::ProbeSettings(std::string address) const
{
  HttpServerSettings http;
  http.listenAddress = std::move(address);
  http.maxBodyBytes = kMaxProbeBodyBytes;
  http.maxConnections = kMaxProbeConnections;
  http.memory = m_memory;
  http.maxUnreadWait = Duration::zero();
  http.usesReservedDescriptors = true;
  return http;
}

void ProcessShell::OnMetricsRequest(const HttpRequestIn& request)
{
  if (std::optional<HttpAnswerOut> page = m_observer.OnRequest(BootNow(), request)) {
    m_metricsHttp->Send(std::move(*page));
    return;
  }
  m_metricsHttp->Send(AnswerHealth(request));
}

void ProcessShell::DrainCallers(std::function<void()> drained, Duration closeAfter)
{
  m_runtime.Spawn([this, drained = std::move(drained), closeAfter] {
    m_http->StopAccepting();
    const Duration left = m_stoppingSince + closeAfter - BootNow();
    m_http->WaitDrained(closeAfter > Duration::zero() ? left : kDrainTimeout);
    drained();
  });
}

void ProcessShell::Run()
{
  m_runtime.Run();
  m_runtime.Join();
}

void ProcessShell::Finish()
{
  CloseServers();
  m_mesh->Flush(kFlushTimeout);
  m_mesh->Close();
  Record(MakeEvent(EventNumber::kProcessStopped));
  m_runtime.Stop();
}

void ProcessShell::Abandon(const Error& error)
{
  RecordFailure(error);
  CloseServers();
  if (m_mesh) {
    m_mesh->Close();
  }
  m_runtime.Join();
}

void ProcessShell::CloseServers()
{
  m_finished = true;
  m_finishing.Notify();
  if (m_http) {
    m_http->Close();
  }
  if (m_metricsHttp) {
    m_metricsHttp->Close();
  }
}

void ProcessShell::Record(const EventOut& event)
{
  m_logger.Write(event);
  m_observer.OnEvent(event);
}

void ProcessShell::RecordFailure(const Error& error)
{
  Record(MakeEvent(EventNumber::kProcessFailed,
                   { { "step", error.step },
                     { "peer", error.peer },
                     { "code", ToString(error.code) },
                     { "description", error.description } }));
}

RoleHooks ProcessShell::MakeRoleHooks()
{
  return RoleHooks{ .random = [this] { return m_random(); }, .wallMillis = WallNow };
}

// Both tasks share one fiber, because its stack is most of their cost.
void ProcessShell::RunPeriodicTasks()
{
  while (!m_finished) {
    m_finishing.WaitFor(kSettingsWatchInterval);
    if (!m_finished) {
      WatchSettings();
      ReportTraffic();
    }
  }
}

// Reloads a changed settings file without a SIGHUP.
void ProcessShell::WatchSettings()
{
  if (ReadSettingsText(m_settings.file) != m_settingsText) {
    Reload("file changed");
  }
}

void ProcessShell::ReportTraffic()
{
  const TimePoint now = BootNow();
  if (now >= m_nextTraffic) {
    m_nextTraffic = now + kTrafficInterval;
    Record(m_traffic.MakeReport(now, m_mesh->Counters(), m_mesh->MostQueuedBytes()));
    if (const std::optional<EventOut> callers = m_callers.MakeReport(
          now, m_http->Counters(), m_http->OpenConnections(), m_runtime.Times())) {
      Record(*callers);
    }
    m_runtime.ResetLongestRound();
  }
}

// An invalid file is reported and ignored; the current settings stay in effect.
void ProcessShell::Reload(const char* cause)
{
  m_settingsText = ReadSettingsText(m_settings.file);
  const SettingsResult settings = LoadSettings(m_settings.file, ReadWholeFile);
  if (!settings) {
    for (const SettingsFault& fault : settings.error()) {
      Record(MakeEvent(EventNumber::kSettingsRefused,
                       { { "cause", cause }, { "fault", ToString(fault) } }));
    }
    return;
  }
  Record(MakeEvent(EventNumber::kSettingsReloaded, { { "cause", cause } }));
  if (m_hooks.onReload) {
    m_hooks.onReload(settings.value());
  }
}

void ProcessShell::OnSignal(int number)
{
  if (number == SIGHUP) {
    Reload("signal");
    return;
  }
  if (!m_stopping) {
    m_stopping = true;
    m_stoppingSince = BootNow();
    m_hooks.onStop();
    return;
  }
  // Supervisors and scripts repeat SIGTERM while the requests in flight finish; an interrupt comes
  // from a terminal.
  if (number == SIGINT) {
    Record(MakeEvent(EventNumber::kProcessAborted));
    std::_Exit(EXIT_FAILURE);
  }
  Record(MakeEvent(EventNumber::kProcessStopRepeated,
                   { { "signal", std::to_string(number) },
                     { "inFlight", std::to_string(m_http->PendingExchanges()) } }));
}

void ProcessShell::OnRequest(HttpRequestIn request)
{
  // With a separate metrics listener, this listener serves callers only.
  if (m_metricsHttp) {
    m_observer.OnCallerRequest(BootNow(), request);
    m_hooks.onRequest(std::move(request));
    return;
  }
  if (std::optional<HttpAnswerOut> page = m_observer.OnRequest(BootNow(), request)) {
    m_http->Send(std::move(*page));
    return;
  }
  m_hooks.onRequest(std::move(request));
}

void ProcessShell::OnCallerGone(HttpCallerGone gone)
{
  m_observer.OnCallerGone(gone);
  m_hooks.onCallerGone(gone);
}

void ProcessShell::OnFrame(FrameIn frame)
{
  if (const std::optional<FrameOut> answer = m_observer.OnFrameIn(frame)) {
    Send(*answer);
    return;
  }
  m_hooks.onFrame(std::move(frame));
}

void ProcessShell::Send(const FrameOut& frame)
{
  if (std::optional<FrameIn> loopback = m_observer.OnFrameOut(frame)) {
    m_hooks.onFrame(std::move(*loopback));
    return;
  }
  m_mesh->Send(frame);
}

bool ProcessShell::IsCallerConnected(ExchangeId exchange)
{
  return m_http->IsCallerConnected(exchange);
}

void ProcessShell::SetLimits(const CallerLimits& limits)
{
  const auto fieldsOf = [](const CallerLimits& each) {
    return std::tie(each.maxHeaderBytes, each.maxBodyBytes, each.headerTimeout, each.idleTimeout);
  };
  if (fieldsOf(limits) == fieldsOf(m_callerLimits)) {
    return;
  }
  m_callerLimits = limits;
  HttpServerSettings http = HttpSettings(m_settings, m_memory);
  http.headTimeout = limits.headerTimeout;
  if (limits.maxHeaderBytes != 0) {
    http.maxHeaderBytes = limits.maxHeaderBytes;
  }
  if (limits.maxBodyBytes != 0) {
    http.maxBodyBytes = limits.maxBodyBytes;
  }
  if (limits.idleTimeout > Duration::zero()) {
    http.idleTimeout = limits.idleTimeout;
  }
  m_http->SetLimits(http);
}

void ProcessShell::SetHeldBytes(ExchangeId exchange, std::size_t bytes)
{
  m_http->SetHeldBytes(exchange, bytes);
}

std::size_t ProcessShell::QueuedBytes(const ProcessId& peer) const
{
  return m_mesh->QueuedBytes(peer);
}

void ProcessShell::Send(HttpAnswerOut answer)
{
  m_observer.OnAnswer(BootNow(), answer);
  answer.endsConnection = answer.endsConnection || m_stopping;
  m_http->Send(std::move(answer));
}

MetricsSample ProcessShell::SampleMetrics() const
{
  MetricsSample sample;
  if (const Result<ProcessUsage> usage = ReadProcessUsage()) {
    sample.cpuSeconds = usage.value().cpuSeconds;
    sample.residentBytes = usage.value().residentBytes;
  }
  const PeerMeshCounters& peers = m_mesh->Counters();
  sample.peerFramesSent = peers.framesSent;
  sample.peerFramesReceived = peers.framesReceived;
  sample.peerBytesSent = peers.bytesSent;
  sample.peerBytesReceived = peers.bytesReceived;
  sample.peerQueuedBytes = m_mesh->MostQueuedBytes();
  sample.peerKinds = TotalsByKind(peers);
  sample.httpRequests = m_http->Counters().requests;
  sample.httpRejected = m_http->Counters().rejected;
  sample.httpInFlight = m_http->PendingExchanges();
  sample.httpConnections = m_http->OpenConnections();
  sample.callerMemoryBytes = m_memory->UsedBytes();
  sample.callerMemory = m_memory->Counters();
  sample.httpClosedUnread = m_http->Counters().closedUnread;
  sample.httpClosedAtLimit = m_http->Counters().closedAtLimit;
  sample.httpCallersGone = m_http->Counters().callersGone;
  sample.httpCallersGoneUnread = m_http->Counters().callersGoneUnread;
  for (std::size_t cause = 0; cause < kAnswerCutCauses; ++cause) {
    sample.httpCuts.push_back(
      { ToString(static_cast<AnswerCutCause>(cause)), m_http->Counters().cuts.at(cause) });
  }
  for (std::size_t number = 0; number < kHttpEndCauses; ++number) {
    const auto cause = static_cast<HttpEndCause>(number);
    const HttpEndCount& count = m_http->Counters().ended.at(number);
    sample.httpEnded.push_back({ ToString(cause, false), count.fresh });
    sample.httpEnded.push_back({ ToString(cause, true), count.kept });
  }
  return sample;
}

std::vector<EntrySettings::Control> ControlsOf(const ProcessSettings& settings)
{
  std::vector<EntrySettings::Control> controls;
  for (const gooseberrysail::PeerAddress& control : settings.controls) {
    controls.push_back({ control.process, control.address });
  }
  return controls;
}

HttpAnswerOut AnswerHealth(const HttpRequestIn& request)
{
  const bool health = request.target == "/healthz";
  return HttpAnswerOut{ .exchange = request.exchange,
                        .status = health ? 200U : 404U,
                        .headers = { { "Content-Type", "text/plain" } },
                        .bytes = health ? "ok\n" : "not found\n",
                        .end = true,
                        .abort = false };
}

std::string AnnouncedAddress(const ProcessSettings& settings)
{
  return settings.announce.empty() ? settings.listen : settings.announce;
}

} // namespace gooseberrysail::impl
