#include "fakes/fake_gateways.hpp"

#include "gooseberrysail/observe/event.hpp"
#include "support/plain_gateway_api.hpp"

#include <algorithm>

namespace gooseberrysail::fakes {

namespace {

using namespace std::chrono_literals;

constexpr Duration kNetworkDelay = 1ms;
constexpr std::uint32_t kSlots = 34;

std::string EntryName(std::size_t entry)
{
  return "entry-" + std::to_string(entry);
}

HttpRoute Route(const std::string& path, RepeatPolicy repeat, const std::string& service)
{
  HttpRoute route;
  route.name = path;
  route.host = "hire.example";
  route.pathPrefix = path;
  route.repeat = repeat;
  route.timeout = 6s;
  route.objective = 300ms;
  route.maxAttempts = 2;
  route.shares = { { service, 1 } };
  return route;
}

ServingDocument Document()
{
  ServingDocument document;
  document.version = 1;
  document.needsKeys = true;
  document.routes = { Route("/stream/", RepeatPolicy::kResumableStream, "assist"),
                      Route("/safe/", RepeatPolicy::kIdempotent, "portal") };
  document.services.resize(2);
  document.services[0].name = "portal";
  document.services[1].name = "assist";
  document.services[1].engine.emplace();
  document.workspaces = { { "parish", { "secret" }, std::nullopt } };
  return document;
}

} // namespace

struct FakeGateways::Entry
{
  std::unique_ptr<GatewayRole> role;
  std::uint64_t life = 0;
  bool isCut = false;
  std::vector<GatewayInput> inbox;
  std::map<ExchangeId, std::string> bodies; ///< Of callers' requests in flight.
  std::set<ExchangeId> answered;            ///< Those of them with the head of a success.
  std::set<ExchangeId> dialling;            ///< Calls whose connection is being made.
  std::map<ExchangeId, std::pair<std::string, std::uint64_t>> calls; ///< Target and number.
};

FakeGateways::FakeGateways(std::size_t entries, std::size_t targets, std::uint64_t seed)
  : m_random(seed)
{
  m_world.replication.term = Term(1);
  m_world.feed.SetTargetsComplete(true);
  for (std::size_t number = 0; number < targets; ++number) {
    AddTarget("head-" + std::to_string(number));
  }
  for (std::size_t number = 0; number < 3; ++number) {
    AddTarget("plain-" + std::to_string(number));
  }
  for (std::size_t entry = 0; entry < entries; ++entry) {
    m_entries.push_back(std::make_unique<Entry>());
    StartEntry(*m_entries.back());
  }
  Run(3s);
}

FakeGateways::~FakeGateways() = default;

void FakeGateways::AddTarget(const std::string& name)
{
  const bool isHead = name.starts_with("head");
  Target& target = m_targets[name];
  target.self = { InstanceId(name),
                  isHead ? "assist" : "portal",
                  name + ":80",
                  FailureDomainId("a"),
                  kSlots,
                  false,
                  isHead ? "large" : "" };
}

void FakeGateways::StartEntry(Entry& entry)
{
  GatewayApi api = tests::PlainApi();
  api.readDocument = [](std::string_view) -> Result<ServingDocument> { return Document(); };
  GatewaySettings settings;
  settings.failureDomain = FailureDomainId("a");
  settings.controls = { { ProcessId("control-1"), "control-1:7100" } };
  RoleHooks hooks;
  hooks.random = [this] { return m_random(); };
  hooks.wallMillis = [] { return WallMillis(0); };
  entry.role = std::make_unique<GatewayRole>(settings, hooks, api);
  ++entry.life;
  entry.inbox.clear();
  entry.bodies.clear();
  entry.answered.clear();
  entry.dialling.clear();
  entry.calls.clear();
}

void FakeGateways::Ask(std::size_t entry, const CallerRequest& request)
{
  HttpRequestIn in;
  in.exchange = ExchangeId(++m_lastNumber);
  in.method = "POST";
  in.target = request.path;
  in.headers = { { "Host", "hire.example" },
                 { "X-Request-Id", "r" + std::to_string(m_lastNumber) },
                 { "Key", request.key },
                 { "Model", "large" } };
  for (const std::string& part : request.parts) {
    in.headers.push_back({ "Part", part });
  }
  in.body = request.body;
  m_entries[entry]->bodies[in.exchange] = request.body;
  m_entries[entry]->inbox.emplace_back(std::move(in));
}

void FakeGateways::Run(Duration duration)
{
  const TimePoint until = now + duration;
  while (now < until) {
    now += kStep;
    Step();
  }
}

void FakeGateways::Step()
{
  m_world.now = now;
  while (!m_scheduled.empty() && m_scheduled.begin()->first <= now) {
    const std::function<void()> action = std::move(m_scheduled.begin()->second);
    m_scheduled.erase(m_scheduled.begin());
    action();
  }
  UpdateTargets();
  m_world.Tick();
  for (FrameOut& frame : m_world.TakeFrames()) {
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
      if (frame.peer.Get() != EntryName(entry) || m_entries[entry]->isCut) {
        continue;
      }
      auto envelope = std::make_shared<wire::EnvelopeT>(*frame.envelope);
      envelope->body.AsServingState()->documentVersion = m_documentVersion;
      FrameIn in;
      in.peer = ProcessId("control-1");
      in.envelope = std::move(envelope);
      m_entries[entry]->inbox.emplace_back(std::move(in));
    }
  }
  for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
    std::vector<GatewayOutput> outbox;
    m_entries[entry]->role->Tick(now, std::exchange(m_entries[entry]->inbox, {}), outbox);
    for (GatewayOutput& output : outbox) {
      Handle(entry, std::move(output));
    }
  }
}

void FakeGateways::UpdateTargets()
{
  std::vector<ServedTarget> served;
  for (const auto& [name, target] : m_targets) {
    const bool isBelievedToRun = target.isRunning || now < target.crashedAt + m_listLag;
    if (isBelievedToRun && target.isListed) {
      served.push_back(target.self);
    }
  }
  m_world.feed.SetTargets(served);
}

void FakeGateways::Handle(std::size_t entry, GatewayOutput output)
{
  Entry& state = *m_entries[entry];
  if (const auto* frame = std::get_if<FrameOut>(&output)) {
    if (!state.isCut) {
      Schedule(kNetworkDelay, [this, entry, envelope = frame->envelope] {
        m_world.Ask(EntryName(entry), *envelope->body.AsServingQuery());
      });
    }
  } else if (const auto* call = std::get_if<TargetCallOut>(&output)) {
    const std::string target = call->address.substr(0, call->address.find(':'));
    const std::string requestId(FindHeader(call->headers, "X-Request-Id"));
    std::vector<std::string> parts;
    for (const HttpHeader& header : call->headers) {
      if (header.name == "Part") {
        parts.push_back(header.value);
      }
    }
    Dial({ entry, state.life, call->exchange, requestId, call->body, std::move(parts) }, target);
  } else if (const auto* cancel = std::get_if<TargetCancelOut>(&output)) {
    state.dialling.erase(cancel->exchange);
    if (const auto found = state.calls.find(cancel->exchange); found != state.calls.end()) {
      m_targets.at(found->second.first).calls.erase(found->second.second);
      state.calls.erase(found);
    }
  } else if (const auto* withdraw = std::get_if<TargetWithdrawOut>(&output)) {
    if (state.dialling.erase(withdraw->exchange) > 0) {
      TargetFailedIn failed;
      failed.exchange = withdraw->exchange;
      failed.neverSent = true;
      failed.isWithdrawn = true;
      state.inbox.emplace_back(std::move(failed));
    }
  } else if (const auto* answer = std::get_if<HttpAnswerOut>(&output)) {
    CountAnswer(state, *answer);
  } else if (const auto* event = std::get_if<EventOut>(&output)) {
    CountEvent(*event);
  }
}

void FakeGateways::CountAnswer(Entry& entry, const HttpAnswerOut& answer)
{
  const std::string& body = entry.bodies[answer.exchange];
  if (answer.status) {
    ++m_answers[body][*answer.status];
  }
  if (answer.status == 200) {
    entry.answered.insert(answer.exchange);
  }
  if (answer.end && entry.answered.contains(answer.exchange)) {
    ++m_served[body];
  }
}

void FakeGateways::CountEvent(const EventOut& event)
{
  const auto has = [&](const char* name, const char* value) {
    return std::ranges::find(event.fields, std::pair<std::string, std::string>(name, value)) !=
           event.fields.end();
  };
  const auto isNumber = [&](EventNumber number) {
    return event.number == static_cast<std::uint32_t>(number);
  };
  if (isNumber(EventNumber::kGatewayRequestSuspected) && has("state", "quarantined")) {
    ++m_quarantined;
  }
  if (isNumber(EventNumber::kGatewayPromptPart) && has("state", "held")) {
    m_heldParts.insert(event.fields.front().second);
  }
}

std::string FakeGateways::NameOf(const std::string& part)
{
  return ToString(FingerprintOf(PromptPart{ "assist", "large", part }));
}

void FakeGateways::SetDeadly(const std::string& part, bool isDeadly)
{
  if (isDeadly) {
    m_deadly.insert(part);
  } else {
    m_deadly.erase(part);
  }
}

bool FakeGateways::IsDeadly(const Call& call) const
{
  return call.body == kCrashBody || std::ranges::any_of(call.parts, [&](const std::string& part) {
           return m_deadly.contains(part);
         });
}

std::size_t FakeGateways::CountServed(std::string_view bodyPrefix) const
{
  std::size_t served = 0;
  for (const auto& [body, count] : m_served) {
    served += body.starts_with(bodyPrefix) ? count : 0;
  }
  return served;
}

void FakeGateways::Dial(const Call& call, const std::string& target)
{
  const Duration dialTime = m_targets.at(target).dialTime;
  if (dialTime == Duration::zero()) {
    Arrive(call, target);
    return;
  }
  m_entries[call.entry]->dialling.insert(call.exchange);
  Schedule(dialTime, [this, call, target] {
    Entry& entry = *m_entries[call.entry];
    if (entry.life == call.life && entry.dialling.erase(call.exchange) > 0) {
      Arrive(call, target);
    }
  });
}

void FakeGateways::Arrive(const Call& call, const std::string& target)
{
  Target& state = m_targets.at(target);
  if (!state.isRunning) {
    Schedule(kNetworkDelay, [this, call] { Fail(call, true); });
    return;
  }
  state.arrivals.push_back({ now, call.entry, call.life });
  if (state.backoff) {
    TurnAway(call, state);
    return;
  }
  if (IsDeadly(call)) {
    m_crashArrivals.push_back(now);
  }
  const std::uint64_t number = ++m_lastNumber;
  m_entries[call.entry]->calls[call.exchange] = { target, number };
  state.calls.emplace(number, call);
  Schedule(kQueueTime, [this, target, number] { BeginToRun(target, number); });
}

void FakeGateways::TurnAway(const Call& call, Target& target)
{
  target.backoffs.push_back({ target.arrivals.back(), now + *target.backoff });
  TargetAnswerIn answer;
  answer.exchange = call.exchange;
  answer.status = 503;
  answer.headers = { { "X-Request-Id", call.requestId },
                     { "Never-Ran", "1" },
                     { "Backoff", std::to_string(ToMillis(*target.backoff)) } };
  answer.end = true;
  Schedule(kNetworkDelay, [this, call, answer] { Deliver(call, answer); });
}

void FakeGateways::BeginToRun(const std::string& target, std::uint64_t number)
{
  Target& state = m_targets.at(target);
  const auto found = state.calls.find(number);
  if (found == state.calls.end()) {
    return;
  }
  if (IsDeadly(found->second)) {
    Schedule(kTimeToCrash, [this, target, number] {
      if (m_targets.at(target).calls.contains(number)) {
        m_crashes.push_back(now);
        Crash(target);
      }
    });
    return;
  }
  if (!state.self.servedModel.empty()) {
    Schedule(kEventInterval, [this, target, number] { SendFirstEvent(target, number); });
    for (Duration at = 2 * kEventInterval; at < kRunTime; at += kEventInterval) {
      Schedule(at, [this, target, number] { SendEvent(target, number, "more", false); });
    }
  }
  Schedule(kRunTime, [this, target, number] { Finish(target, number); });
}

void FakeGateways::SendFirstEvent(const std::string& target, std::uint64_t number)
{
  Target& runner = m_targets.at(target);
  const auto running = runner.calls.find(number);
  if (running == runner.calls.end()) {
    return;
  }
  const Call& call = running->second;
  TargetAnswerIn answer;
  answer.exchange = call.exchange;
  answer.status = 200;
  answer.headers = { { "X-Request-Id", call.requestId }, { "Seal", "s" } };
  if (runner.limit) {
    answer.headers.push_back({ "Limit", std::to_string(*runner.limit) });
    runner.toldAt.emplace(call.entry, now);
  }
  if (runner.isLeaving) {
    answer.headers.push_back({ "Leaving", "1" });
    runner.toldLeavingAt.try_emplace({ call.entry, call.life }, now);
  }
  answer.bytes = "id: 1\ndata: begun\n\n";
  Deliver(call, std::move(answer));
}

void FakeGateways::Finish(const std::string& target, std::uint64_t number)
{
  Target& runner = m_targets.at(target);
  const auto running = runner.calls.find(number);
  if (running == runner.calls.end()) {
    return;
  }
  if (runner.self.servedModel.empty()) {
    SendFirstEvent(target, number);
  }
  SendEvent(target, number, "done", true);
  runner.calls.erase(number);
}

void FakeGateways::SendEvent(const std::string& target,
                             std::uint64_t number,
                             const std::string& data,
                             bool isLast)
{
  const Target& runner = m_targets.at(target);
  const auto running = runner.calls.find(number);
  if (running == runner.calls.end()) {
    return;
  }
  TargetAnswerIn part;
  part.exchange = running->second.exchange;
  part.bytes = "id: " + std::to_string(++m_lastNumber) + "\ndata: " + data + "\n\n";
  part.end = isLast;
  Deliver(running->second, std::move(part));
}

void FakeGateways::Crash(const std::string& target)
{
  m_targets.at(target).isRunning = false;
  m_targets.at(target).crashedAt = now;
  EndAnswers(target);
  CloseConnections(target);
  const std::string successor =
    target.substr(0, target.find('/')) + "/" + std::to_string(++m_lastNumber);
  Schedule(kReturnTime, [this, successor] { AddTarget(successor); });
}

void FakeGateways::EndAnswers(const std::string& target)
{
  std::erase_if(m_targets.at(target).calls, [&](const auto& numbered) {
    const Call& call = numbered.second;
    const bool ends = m_crashSign == CrashSign::kEndOfAll ||
                      (m_crashSign == CrashSign::kEndOfCause && call.body == kCrashBody);
    if (ends) {
      TargetAnswerIn answer;
      answer.exchange = call.exchange;
      answer.status = 200;
      answer.headers = { { "X-Request-Id", call.requestId }, { "Seal", "s" } };
      answer.framing = AnswerFraming::kUntilClose;
      answer.bytes = "id: 1\ndata: begun\n\n";
      answer.end = true;
      Schedule(kNetworkDelay, [this, call, answer] { Deliver(call, answer); });
    }
    return ends;
  });
}

void FakeGateways::CloseConnections(const std::string& target)
{
  for (const auto& [number, call] : std::exchange(m_targets.at(target).calls, {})) {
    Schedule(kNetworkDelay, [this, call = call] { Fail(call, false); });
  }
}

void FakeGateways::SetLimit(const std::string& target, std::optional<double> limit)
{
  Target& state = m_targets.at(target);
  state.limit = limit;
  state.toldAt.clear();
}

void FakeGateways::SetCold(const std::string& target, Duration coldFor, double perSecond)
{
  ServedTarget& self = m_targets.at(target).self;
  self.coldUntil = now + coldFor;
  self.coldPerSecond = perSecond;
  UpdateTargets();
}

void FakeGateways::SetClosed(const std::string& target, bool isClosed)
{
  m_targets.at(target).self.leaving = isClosed;
  UpdateTargets();
}

void FakeGateways::SetBackoff(const std::string& target, std::optional<Duration> backoff)
{
  m_targets.at(target).backoff = backoff;
}

void FakeGateways::SetLeaving(const std::string& target)
{
  m_targets.at(target).isLeaving = true;
}

std::size_t FakeGateways::CountAfterLeaving(const std::string& target, Duration drainTime) const
{
  const Target& state = m_targets.at(target);
  return static_cast<std::size_t>(
    std::ranges::count_if(state.arrivals, [&](const Arrival& arrival) {
      const auto told = state.toldLeavingAt.find({ arrival.entry, arrival.life });
      return told != state.toldLeavingAt.end() && arrival.at > told->second + drainTime;
    }));
}

void FakeGateways::SetListed(const std::string& target, bool isListed)
{
  m_targets.at(target).isListed = isListed;
}

void FakeGateways::SetDialTime(const std::string& target, Duration dialTime)
{
  m_targets.at(target).dialTime = dialTime;
}

std::size_t FakeGateways::MostDuringBackoff(const std::string& target) const
{
  const Target& state = m_targets.at(target);
  std::size_t most = 0;
  for (const Backoff& backoff : state.backoffs) {
    const Arrival& first = backoff.turnedAway;
    const auto isInBackoff = [&](const Arrival& arrival) {
      return arrival.entry == first.entry && arrival.life == first.life &&
             arrival.at > first.at + kToldTime && arrival.at < backoff.until;
    };
    most =
      std::max(most, static_cast<std::size_t>(std::ranges::count_if(state.arrivals, isInBackoff)));
  }
  return most;
}

std::size_t FakeGateways::CountArrivals(const std::string& target, TimePoint from) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    m_targets.at(target).arrivals, [&](const Arrival& arrival) { return arrival.at >= from; }));
}

std::size_t FakeGateways::MostArrivals(const std::string& target,
                                       TimePoint from,
                                       TimePoint until,
                                       Duration window) const
{
  std::vector<TimePoint> counted;
  for (const Arrival& arrival : m_targets.at(target).arrivals) {
    if (arrival.at >= from && arrival.at < until) {
      counted.push_back(arrival.at);
    }
  }
  std::ranges::sort(counted);
  std::size_t most = 0;
  for (auto first = counted.begin(); first != counted.end(); ++first) {
    const auto end = std::lower_bound(first, counted.end(), *first + window);
    most = std::max(most, static_cast<std::size_t>(end - first));
  }
  return most;
}

std::size_t FakeGateways::MostFromToldEntries(const std::string& target,
                                              TimePoint from,
                                              Duration window) const
{
  const Target& state = m_targets.at(target);
  std::vector<TimePoint> counted;
  for (const Arrival& arrival : state.arrivals) {
    const auto told = state.toldAt.find(arrival.entry);
    if (arrival.at >= from && told != state.toldAt.end() &&
        arrival.at >= told->second + kToldTime) {
      counted.push_back(arrival.at);
    }
  }
  std::size_t most = 0;
  for (auto first = counted.begin(); first != counted.end(); ++first) {
    const auto end = std::upper_bound(first, counted.end(), *first + window);
    most = std::max(most, static_cast<std::size_t>(end - first));
  }
  return most;
}

void FakeGateways::Fail(const Call& call, bool neverSent)
{
  TargetFailedIn failed;
  failed.exchange = call.exchange;
  failed.error = { ErrorCode::kUnavailable, "read answer", "", "closed" };
  failed.neverSent = neverSent;
  Deliver(call, std::move(failed));
}

void FakeGateways::Deliver(const Call& call, GatewayInput input)
{
  Entry& entry = *m_entries[call.entry];
  if (entry.life == call.life) {
    entry.inbox.push_back(std::move(input));
  }
}

void FakeGateways::Schedule(Duration delay, std::function<void()> action)
{
  m_scheduled.emplace(now + delay, std::move(action));
}

void FakeGateways::ChangeLeader()
{
  m_world.replication.term = Term(m_world.replication.term.Get() + 1);
  m_world.feed.OnLeaderStart();
}

void FakeGateways::RestartEntry(std::size_t entry)
{
  m_world.feed.OnPeerDown(ProcessId(EntryName(entry)));
  StartEntry(*m_entries[entry]);
}

void FakeGateways::SetCut(std::size_t entry, bool isCut)
{
  m_entries[entry]->isCut = isCut;
  if (isCut) {
    m_world.feed.OnPeerDown(ProcessId(EntryName(entry)));
  }
}

std::vector<std::string> FakeGateways::ListRunning(const std::string& prefix) const
{
  std::vector<std::string> names;
  for (const auto& [name, target] : m_targets) {
    if (target.isRunning && name.starts_with(prefix)) {
      names.push_back(name);
    }
  }
  return names;
}

std::size_t FakeGateways::CountArrivalsSince(TimePoint time) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(m_crashArrivals, [&](TimePoint arrival) { return arrival > time; }));
}

std::map<unsigned, std::size_t> FakeGateways::Answers(const std::string& body) const
{
  const auto found = m_answers.find(body);
  return found == m_answers.end() ? std::map<unsigned, std::size_t>() : found->second;
}

} // namespace gooseberrysail::fakes
