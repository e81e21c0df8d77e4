#include "support/loaded_entries.hpp"

#include "gooseberrysail/control/head_shares.hpp"
#include "support/plain_gateway_api.hpp"

#include <algorithm>
#include <span>

namespace gooseberrysail::tests {

namespace {

using namespace std::chrono_literals;

constexpr Duration kTick = 50ms;
constexpr Duration kNetworkDelay = 3ms;
constexpr int kLongestWaitDivisor = 3;
/// Requests that a head holds beside those in its slots.
constexpr std::size_t kQueued = 4;

Duration FromSeconds(double seconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

EngineSpec MakeEngine()
{
  EngineSpec engine;
  engine.slots = LoadedEntries::kSlots;
  engine.stepTime = LoadedEntries::kStepTime;
  engine.stepTimePerRequest = LoadedEntries::kStepTimePerRequest;
  engine.tokensPerEvent = LoadedEntries::kTokensPerEvent;
  engine.promptTokensPerSecond = LoadedEntries::kTokensPerSecond;
  engine.promptTokensPerPass = LoadedEntries::kTokensPerPass;
  engine.models = { { "m", 1, 1.0, 1.0, 16s, 1600ms } };
  return engine;
}

HttpRoute MakeRoute(const std::string& path, std::uint32_t priority)
{
  HttpRoute route;
  route.name = path;
  route.host = "h";
  route.pathPrefix = path;
  route.repeat = RepeatPolicy::kResumableStream;
  route.timeout = LoadedEntries::kTimeout;
  route.objective = LoadedEntries::kObjective;
  route.longestPause = 300ms;
  route.priority = priority;
  route.maxAttempts = 2;
  route.shares = { { "assist", 1 } };
  return route;
}

} // namespace

struct LoadedEntries::Node
{
  Node(const Options& options, std::uint64_t seed)
    : random(seed)
    , dispatcher(PlainApi(), {}, FailureDomainId("a"), [this] { return random(); })
  {
    options.setUp(dispatcher);
  }

  std::mt19937_64 random;
  Dispatcher dispatcher;
  std::vector<GatewayOutput> outbox;
  std::map<ExchangeId, CallerRecord*> callers;
  std::map<ExchangeId, Duration> timeLeft; ///< As the caller stated it.
};

struct LoadedEntries::Call
{
  std::size_t entry = 0;
  ExchangeId exchange;
  std::string requestId;
  std::uint32_t unread = 0;
  std::uint32_t unwritten = 0;
  std::uint32_t events = 0;
};

struct LoadedEntries::Head
{
  double pace = 1;
  std::vector<Call> calls; ///< In the order of their arrival.
  bool isWorking = false;
  std::size_t active = 0;       ///< Calls in the slots during the present pass.
  std::uint32_t passTokens = 0; ///< Prompt tokens that the present pass reads.
};

LoadedEntries::LoadedEntries(Options options)
  : m_options(std::move(options))
{
  ServingDocument document;
  document.version = 1;
  document.needsKeys = true;
  document.routes = { MakeRoute("/a/", m_options.priorityOfA),
                      MakeRoute("/b/", m_options.priorityOfB) };
  document.services.resize(1);
  document.services[0].name = "assist";
  document.services[0].engine = MakeEngine();
  for (std::size_t i = 0; i < m_options.workspaces; ++i) {
    const std::string number = std::to_string(i);
    document.workspaces.push_back({ "w" + number, { "k" + number }, std::nullopt });
  }
  m_snapshot.index = std::make_shared<const RouteIndex>(document);
  m_snapshot.targetsSequence = 1;
  std::vector<ServedTarget> targets;
  std::vector<HeadCapacity> capacities;
  for (std::size_t i = 0; i < m_options.headPaces.size(); ++i) {
    const std::string name = "h" + std::to_string(i);
    targets.push_back(
      { InstanceId(name), "assist", name, FailureDomainId("a"), kSlots, false, "m" });
    capacities.push_back({ InstanceId(name), FailureDomainId("a"), kSlots });
    m_heads.emplace(name, std::make_unique<Head>()).first->second->pace = m_options.headPaces[i];
  }
  std::vector<EntryDemand> demands;
  for (std::size_t i = 0; i < m_options.entries; ++i) {
    demands.push_back({ ProcessId("e" + std::to_string(i)),
                        FailureDomainId("a"),
                        1.0 / static_cast<double>(m_options.entries) });
  }
  const std::map<ProcessId, HeadShares> shares = DivideHeads(demands, capacities);
  for (std::size_t i = 0; i < m_options.entries; ++i) {
    m_nodes.push_back(std::make_unique<Node>(m_options, i + 1));
    Node& node = *m_nodes.back();
    node.dispatcher.Selector().SetEntries(static_cast<std::uint32_t>(m_options.entries));
    node.dispatcher.Selector().SetShares(shares.at(demands[i].entry));
    node.dispatcher.OnTargets(now, targets, node.outbox);
  }
}

LoadedEntries::~LoadedEntries() = default;

Dispatcher& LoadedEntries::Entry(std::size_t index)
{
  return m_nodes[index]->dispatcher;
}

double LoadedEntries::CapacityOf(double promptTokens, double outputTokens, double heads)
{
  const double step = std::chrono::duration<double>(kStepTime).count();
  const double perRequest = std::chrono::duration<double>(kStepTimePerRequest).count();
  return heads / (promptTokens / kTokensPerSecond + outputTokens * (step / kSlots + perRequest));
}

const CallerRecord& LoadedEntries::Ask(CallerRecord request)
{
  request.at = now;
  m_records.push_back(std::move(request));
  Send(m_records.back(), kTimeout);
  return m_records.back();
}

void LoadedEntries::AskSteadily(const CallerRecord& request, double perSecond, Duration duration)
{
  std::exponential_distribution<double> pause(perSecond);
  for (Duration at = FromSeconds(pause(m_random)); at < duration;
       at += FromSeconds(pause(m_random))) {
    At(now + at, [this, request] { Ask(request); });
  }
}

void LoadedEntries::Run(Duration duration)
{
  const TimePoint end = now + duration;
  TimePoint nextTick = now + kTick;
  while (now < end) {
    const TimePoint next =
      m_actions.empty() ? nextTick : std::min(nextTick, m_actions.begin()->first);
    now = std::max(now, next);
    while (!m_actions.empty() && m_actions.begin()->first <= now) {
      const auto action = m_actions.extract(m_actions.begin());
      action.mapped()();
    }
    if (now >= nextTick) {
      nextTick = now + kTick;
      for (std::size_t entry = 0; entry < m_nodes.size(); ++entry) {
        m_nodes[entry]->dispatcher.Tick(now, m_nodes[entry]->outbox);
        Process(entry);
      }
    }
  }
}

void LoadedEntries::At(TimePoint time, std::function<void()> action)
{
  m_actions.emplace(time, std::move(action));
}

void LoadedEntries::Send(CallerRecord& record, Duration timeLeft)
{
  ++record.attempts;
  const std::size_t entry = m_random() % m_nodes.size();
  HttpRequestIn request;
  request.exchange = ExchangeId(++m_lastExchange);
  request.method = "POST";
  request.target = record.route + "x";
  request.headers = { { "Host", "h" },
                      { "X-Request-Id", "r" + std::to_string(m_lastExchange) },
                      { "Key", record.key },
                      { "Model", "m" },
                      { "Left", std::to_string(ToMillis(timeLeft)) },
                      { "Prompt", std::to_string(record.promptTokens) },
                      { "Output", std::to_string(record.outputTokens) } };
  request.receivedAt = now;
  // Otherwise requests that repeat one another would count as one.
  request.body = std::to_string(m_lastExchange);
  Node& node = *m_nodes[entry];
  node.callers[request.exchange] = &record;
  node.timeLeft[request.exchange] = timeLeft;
  node.dispatcher.OnRequest(now, std::move(request), m_snapshot, node.outbox);
  Process(entry);
}

void LoadedEntries::Process(std::size_t entry)
{
  const std::vector<GatewayOutput> outputs = std::exchange(m_nodes[entry]->outbox, {});
  for (const GatewayOutput& output : outputs) {
    if (const auto* call = std::get_if<TargetCallOut>(&output)) {
      At(now + kNetworkDelay, [this, entry, call = *call] { Arrive(entry, call); });
    } else if (const auto* answer = std::get_if<HttpAnswerOut>(&output)) {
      OnAnswer(entry, *answer);
    } else if (const auto* cancel = std::get_if<TargetCancelOut>(&output)) {
      for (auto& [address, head] : m_heads) {
        std::erase_if(head->calls, [&](const Call& held) {
          return held.entry == entry && held.exchange == cancel->exchange;
        });
      }
    }
  }
}

void LoadedEntries::OnAnswer(std::size_t entry, const HttpAnswerOut& answer)
{
  Node& node = *m_nodes[entry];
  CallerRecord& record = *node.callers.at(answer.exchange);
  if (answer.status == 503U) {
    OnRefused(record, answer);
    return;
  }
  if (record.hasFailed || (answer.status && *answer.status / 100 != 2)) {
    record.hasFailed = true;
    return;
  }
  if (record.firstEventAt == TimePoint{} && !answer.bytes.empty()) {
    record.firstEventAt = now;
  }
  record.isServed = record.isServed || (answer.end && !answer.abort);
}

void LoadedEntries::OnRefused(CallerRecord& record, const HttpAnswerOut& answer)
{
  const Duration left = kTimeout - (now - record.at);
  if (record.attempts <= m_options.callerRepeats) {
    At(now + kNetworkDelay, [this, &record, left] { Send(record, left); });
    return;
  }
  const std::string_view told = FindHeader(answer.headers, "Retry-After");
  if (record.attempts > m_options.callerRepeats + 1 || told.empty()) {
    return;
  }
  const Duration wait =
    std::min(FromSeconds(std::stod(std::string(told))), left / kLongestWaitDivisor);
  At(now + wait, [this, &record, left, wait] {
    record.hasWaited = true;
    Send(record, left - wait);
  });
}

void LoadedEntries::Arrive(std::size_t entry, const TargetCallOut& call)
{
  Head& head = *m_heads.at(call.address);
  const std::string requestId(FindHeader(call.headers, "X-Request-Id"));
  if (head.calls.size() >= kSlots + kQueued) {
    TargetAnswerIn part;
    part.exchange = call.exchange;
    part.status = 503;
    part.headers = { { "X-Request-Id", requestId }, { "Never-Ran", "1" } };
    part.end = true;
    Deliver(entry, std::move(part));
    return;
  }
  const auto number = [&](std::string_view name) {
    return static_cast<std::uint32_t>(std::stoul(std::string(FindHeader(call.headers, name))));
  };
  head.calls.push_back({ entry, call.exchange, requestId, number("Prompt"), number("Output"), 0 });
  if (!head.isWorking) {
    BeginPass(head);
  }
}

void LoadedEntries::BeginPass(Head& head)
{
  head.isWorking = !head.calls.empty();
  if (!head.isWorking) {
    return;
  }
  std::uint32_t unread = 0;
  std::uint32_t writers = 0;
  head.active = std::min<std::size_t>(head.calls.size(), kSlots);
  for (const Call& call : std::span(head.calls).first(head.active)) {
    unread += call.unread;
    writers += call.unread == 0 ? 1 : 0;
  }
  head.passTokens = std::min(unread, kTokensPerPass);
  const double reading = head.passTokens / kTokensPerSecond;
  const Duration step = kStepTime + kStepTimePerRequest * writers;
  const Duration writing = writers > 0 ? step * kTokensPerEvent : Duration::zero();
  const Duration pass =
    FromSeconds(reading * head.pace) + std::chrono::duration_cast<Duration>(writing * head.pace);
  At(now + pass, [this, &head] { EndPass(head); });
}

void LoadedEntries::EndPass(Head& head)
{
  std::uint32_t budget = head.passTokens;
  std::vector<std::pair<std::size_t, TargetAnswerIn>> parts;
  for (Call& call : std::span(head.calls).first(std::min(head.active, head.calls.size()))) {
    if (call.unread > 0) {
      const std::uint32_t read = std::min(call.unread, budget);
      call.unread -= read;
      budget -= read;
      continue;
    }
    TargetAnswerIn part;
    part.exchange = call.exchange;
    if (call.events == 0) {
      part.status = 200;
      part.headers = { { "X-Request-Id", call.requestId }, { "Seal", "s" } };
    }
    ++call.events;
    call.unwritten -= std::min(call.unwritten, kTokensPerEvent);
    part.bytes = "id: " + std::to_string(call.events) + "\ndata: x\n\n";
    part.end = call.unwritten == 0;
    parts.emplace_back(call.entry, std::move(part));
  }
  std::erase_if(head.calls,
                [](const Call& call) { return call.unread == 0 && call.unwritten == 0; });
  for (auto& [entry, part] : parts) {
    Deliver(entry, std::move(part));
  }
  BeginPass(head);
}

void LoadedEntries::Deliver(std::size_t entry, TargetAnswerIn part)
{
  At(now + kNetworkDelay, [this, entry, part = std::move(part)] {
    Node& node = *m_nodes[entry];
    node.dispatcher.OnAnswer(now, part, node.outbox);
    Process(entry);
  });
}

} // namespace gooseberrysail::tests
