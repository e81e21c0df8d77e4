#include "support/agent_harness.hpp"

#include "gooseberrysail/catalogue/codec.hpp"
#include "gooseberrysail/wire/envelope.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace gooseberrysail::test {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(50);
constexpr std::uint32_t kLeaseMillis = 4000;
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr std::uint64_t kGroup = 5;

std::string MemberName(std::size_t index)
{
  return "vm-" + std::to_string(index + 1);
}

template<class Spec>
std::unique_ptr<wire::CatalogueItemT> Item(const std::string& name, Spec spec)
{
  CatalogueEntry entry;
  entry.name = EntryName(name);
  entry.owner = "hire-desk";
  entry.revision = 1;
  entry.version = LogIndex(1);
  entry.spec = std::move(spec);
  return std::make_unique<wire::CatalogueItemT>(PackEntry(entry));
}

} // namespace

AgentHarness::AgentHarness()
  : AgentHarness(Shape{})
{
}

AgentHarness::AgentHarness(Shape shape)
  : m_shape(shape)
{
  AgentSettings settings;
  settings.process = ProcessId("agent-vm-1");
  settings.incarnation = Incarnation(shape.incarnation);
  settings.address = "10.0.0.1:7000";
  settings.vm = VmId("vm-1");
  settings.failureDomain = FailureDomainId("half-way-tree");
  settings.fabricDomain = FabricDomainId("fabric-a");
  settings.kind = shape.kind;
  settings.service = EntryName(shape.kind == wire::TargetKind::Service ? "booking-portal" : "");
  settings.accelerators = 2;
  settings.controls = { { ProcessId("control-1"), "10.0.1.1:7000" } };
  settings.maxHeldOutputBytes = shape.maxHeldOutputBytes;
  m_role = std::make_unique<AgentRole>(
    std::move(settings),
    RoleHooks{ [this] { return ++m_random; }, [] { return WallMillis{ 0 }; } });
}

void AgentHarness::Deliver(AgentInput input)
{
  m_inbox.push_back(std::move(input));
  Tick();
}

void AgentHarness::Advance(Duration duration)
{
  const TimePoint end = m_now + duration;
  while (m_now < end) {
    m_now += std::min(kStep, end - m_now);
    Tick();
  }
}

void AgentHarness::Pause(Duration duration)
{
  m_now += duration;
}

void AgentHarness::Tick()
{
  std::vector<AgentInput> inbox;
  inbox.swap(m_inbox);
  if (onInput) {
    for (const AgentInput& input : inbox) {
      onInput(m_now, input);
    }
  }
  std::vector<AgentOutput> outbox;
  if (beforeTick) {
    beforeTick();
  }
  m_role->Tick(m_now, inbox, outbox);
  if (afterTick) {
    afterTick();
  }
  for (const AgentOutput& output : outbox) {
    if (onOutput) {
      onOutput(m_now, output);
    }
    Handle(output);
  }
}

void AgentHarness::Handle(const AgentOutput& output)
{
  if (const auto* frame = std::get_if<FrameOut>(&output)) {
    m_sent.push_back(*frame);
    HandleFrame(*frame);
  } else if (const auto* call = std::get_if<TargetCallOut>(&output)) {
    HandleCall(*call);
  } else if (const auto* cancel = std::get_if<TargetCancelOut>(&output)) {
    for (TargetCall& each : m_calls) {
      each.cancelled = each.cancelled || each.exchange == cancel->exchange;
    }
  } else if (const auto* event = std::get_if<EventOut>(&output)) {
    m_events.push_back(event->number);
  } else {
    m_stopped = true;
  }
}

void AgentHarness::HandleFrame(const FrameOut& frame)
{
  const auto& body = frame.envelope->body;
  const auto reply = [this, &frame](auto message) {
    m_inbox.push_back(FrameIn{ frame.peer, Incarnation(1), MakeEnvelope(std::move(message)) });
  };
  if (const auto* query = body.AsConfigQuery(); query != nullptr && controlAnswersConfig) {
    AnswerConfig(frame, *query);
  } else if (const auto* report = body.AsGroupReport(); report != nullptr && controlGrantsLease) {
    wire::LeaseGrantT grant;
    grant.nonce = report->nonce;
    grant.group = report->group;
    grant.epoch = report->epoch;
    grant.leaseMillis = kLeaseMillis;
    grant.granted = true;
    grant.configVersion = catalogueVersion;
    reply(grant);
  } else if (const auto* beat = body.AsBeatRequest()) {
    const std::string vm = frame.peer.Get().substr(std::string_view("agent-").size());
    if (silentMembers.contains(vm)) {
      return;
    }
    wire::BeatReplyT answer;
    answer.group = beat->group;
    answer.epoch = beat->epoch;
    answer.nonce = beat->nonce;
    answer.vm = vm;
    answer.engineAlive = true;
    answer.weightsLoaded = true;
    answer.leaving = leavingMembers.contains(vm);
    reply(answer);
  }
}

wire::ConfigStateT AgentHarness::Catalogue() const
{
  wire::ConfigStateT state;
  state.version = catalogueVersion;
  state.leaderTerm = 1;
  ModelSpec model;
  model.version = "2026-11";
  model.maxConcurrent = m_shape.maxConcurrent;
  model.maxQueued = m_shape.maxQueued;
  ServiceSpec service;
  service.maxConcurrent = m_shape.maxConcurrent;
  service.maxQueued = m_shape.maxQueued;
  state.items.push_back(Item("hire-assist", model));
  state.items.push_back(Item("booking-portal", service));
  state.items.push_back(Item("default", policy));
  if (!drainingVm.empty()) {
    state.items.push_back(Item(drainingVm, TargetSpec{ true }));
  }
  return state;
}

void AgentHarness::AnswerConfig(const FrameOut& frame, const wire::ConfigQueryT& query)
{
  wire::ConfigStateT state = Catalogue();
  state.nonce = query.nonce;
  if (query.haveVersion == state.version) {
    state.fromVersion = query.haveVersion;
    state.items.clear();
  }
  m_inbox.push_back(FrameIn{ frame.peer, Incarnation(1), MakeEnvelope(std::move(state)) });
}

void AgentHarness::Answer(ExchangeId exchange, unsigned status, std::string body)
{
  TargetAnswerIn answer;
  answer.exchange = exchange;
  answer.status = status;
  answer.bytes = std::move(body);
  answer.end = true;
  m_inbox.push_back(std::move(answer));
}

void AgentHarness::HandleCall(const TargetCallOut& call)
{
  if (call.path == "/health") {
    if (targetAlive) {
      Answer(call.exchange,
             kOk,
             boost::json::serialize(boost::json::object{ { "model", engineModel },
                                                         { "version", engineVersion },
                                                         { "loading", engineLoading } }));
    } else {
      m_inbox.push_back(TargetFailedIn{
        call.exchange, Error{ ErrorCode::kTimeout, "call target", "target", "no answer" }, false });
    }
    return;
  }
  if (call.path.starts_with("/orders/")) {
    HandleOrder(call);
    return;
  }
  if (call.path.starts_with("/cache_events")) {
    Answer(call.exchange, cacheEvents.empty() ? kNotFound : kOk, cacheEvents);
    return;
  }
  std::string request;
  for (const HttpHeader& header : call.headers) {
    request = header.name == "X-Request-Id" ? header.value : request;
  }
  m_calls.push_back(TargetCall{ call.exchange, request, call.path, call.body, false });
}

void AgentHarness::HandleOrder(const TargetCallOut& call)
{
  m_orders.push_back(call.path + " " + call.body);
  const auto body = boost::json::parse(call.body).as_object();
  const auto fencing = body.at("fencing").to_number<std::uint64_t>();
  if (fencing < m_engineFencing && !engineIgnoresFencing) {
    Answer(call.exchange, kConflict, "");
    return;
  }
  m_engineFencing = std::max(m_engineFencing, fencing);
  const bool load = call.path == "/orders/load";
  m_orderedModel = load ? std::string(body.at("model").as_string()) : "";
  m_orderedVersion = load ? std::string(body.at("version").as_string()) : "";
  if (!engineAnswersOrders) {
    engineLoading = true;
    m_openOrder = call.exchange;
    return;
  }
  engineModel = m_orderedModel;
  engineVersion = m_orderedVersion;
  Answer(call.exchange, kOk, "{}");
}

void AgentHarness::FailOpenOrder()
{
  Deliver(TargetFailedIn{ *m_openOrder,
                          Error{ ErrorCode::kTimeout, "call target", "target", "connection lost" },
                          false });
  m_openOrder.reset();
}

void AgentHarness::FinishLoad()
{
  engineLoading = false;
  engineModel = m_orderedModel;
  engineVersion = m_orderedVersion;
  if (const auto order = std::exchange(m_openOrder, std::nullopt)) {
    Answer(*order, kOk, "{}");
    Tick();
  }
}

void AgentHarness::Assign(std::uint64_t epoch, const std::string& head, std::uint64_t group)
{
  m_epoch = epoch;
  const bool service = m_shape.kind == wire::TargetKind::Service;
  wire::AssignT assign;
  assign.group = group;
  assign.epoch = epoch;
  assign.entry = service ? "booking-portal" : "hire-assist";
  assign.modelVersion = service ? "" : assignedVersion;
  assign.head = head;
  assign.version = 1;
  for (std::size_t index = 0; index < (service ? 1 : m_shape.members); ++index) {
    auto member = std::make_unique<wire::GroupMemberT>();
    member->vm = MemberName(index);
    member->process = "agent-" + member->vm;
    member->address = "10.0.0." + std::to_string(index + 1) + ":7000";
    assign.members.push_back(std::move(member));
  }
  Frame("control-1", std::move(assign));
}

void AgentHarness::FormGroup(std::uint64_t epoch, const std::string& head)
{
  Advance(std::chrono::milliseconds(500));
  Assign(epoch, head);
  Advance(std::chrono::seconds(2));
}

void AgentHarness::Release(std::uint64_t epoch, std::uint32_t graceMillis, std::uint64_t group)
{
  wire::ReleaseT release;
  release.group = group;
  release.epoch = epoch;
  release.graceMillis = graceMillis;
  Frame("control-1", release);
}

void AgentHarness::Start(const std::string& request, const StartOptions& options)
{
  wire::StartT start;
  start.request = request;
  start.attempt = options.attempt;
  start.agentIncarnation = options.incarnation != 0 ? options.incarnation : m_shape.incarnation;
  start.group = kGroup;
  start.epoch = options.epoch != 0 ? options.epoch : m_epoch;
  start.entry = "hire-assist";
  start.workspace = "kingston";
  start.method = "POST";
  start.path = "/v1/chat/completions";
  const std::string body = "body of " + request;
  start.body.assign(body.begin(), body.end());
  start.priority = options.priority;
  start.deadlineMillis = options.deadlineMillis;
  start.repeatable = options.repeatable;
  Frame(options.entry, std::move(start), options.entryIncarnation);
}

void AgentHarness::Seal(const std::string& request,
                        std::uint32_t attempt,
                        std::uint64_t incarnation)
{
  wire::SealT seal;
  seal.request = request;
  seal.attempt = attempt;
  seal.agentIncarnation = incarnation != 0 ? incarnation : m_shape.incarnation;
  Frame("entry-1", seal);
}

void AgentHarness::Resume(const std::string& request,
                          std::uint64_t offset,
                          std::uint64_t incarnation)
{
  wire::ResumeT resume;
  resume.request = request;
  resume.attempt = 1;
  resume.agentIncarnation = incarnation != 0 ? incarnation : m_shape.incarnation;
  resume.offset = offset;
  Frame("entry-1", resume);
}

void AgentHarness::Acknowledge(const std::string& request, std::uint64_t offset, bool done)
{
  wire::AckT ack;
  ack.request = request;
  ack.attempt = 1;
  ack.offset = offset;
  ack.done = done;
  Frame("entry-1", ack);
}

void AgentHarness::Cancel(const std::string& request, const std::string& reason)
{
  wire::CancelT cancel;
  cancel.request = request;
  cancel.attempt = 1;
  cancel.reason = reason;
  Frame("entry-1", cancel);
}

std::size_t AgentHarness::RunsOf(const std::string& request) const
{
  return static_cast<std::size_t>(
    std::count_if(m_calls.begin(), m_calls.end(), [&](const TargetCall& call) {
      return call.request == request;
    }));
}

const AgentHarness::TargetCall* AgentHarness::CallOf(const std::string& request) const
{
  const auto call = std::find_if(m_calls.rbegin(), m_calls.rend(), [&](const TargetCall& each) {
    return each.request == request;
  });
  return call == m_calls.rend() ? nullptr : &*call;
}

void AgentHarness::AnswerCall(const std::string& request,
                              const std::string& bytes,
                              bool end,
                              bool first)
{
  const TargetCall* call = CallOf(request);
  TargetAnswerIn answer;
  answer.exchange = call->exchange;
  answer.bytes = bytes;
  answer.end = end;
  if (first) {
    answer.status = kOk;
  }
  Deliver(std::move(answer));
}

void AgentHarness::FailCall(const std::string& request, bool neverSent)
{
  Deliver(TargetFailedIn{ CallOf(request)->exchange,
                          Error{ ErrorCode::kIo, "call target", "target", "connection reset" },
                          neverSent });
}

AgentHarness::Received AgentHarness::ReceivedOf(const std::string& request) const
{
  Received received;
  for (const auto* frame : Sent<wire::OutputT>()) {
    if (frame->request != request) {
      continue;
    }
    if (frame->offset == 0 && frame->status != 0) {
      received.status = frame->status;
    }
    if (frame->offset <= received.bytes.size()) {
      const std::string bytes(frame->bytes.begin(), frame->bytes.end());
      received.bytes.resize(frame->offset);
      received.bytes += bytes;
    }
    received.ended = frame->end;
    received.cutReason = frame->cutReason;
  }
  return received;
}

std::string AgentHarness::RefusalOf(const std::string& request) const
{
  std::string reason;
  for (const auto* refused : Sent<wire::RefusedT>()) {
    reason = refused->request == request ? refused->reason : reason;
  }
  return reason;
}

std::size_t AgentHarness::Events(EventNumber number) const
{
  return static_cast<std::size_t>(
    std::count(m_events.begin(), m_events.end(), static_cast<std::uint32_t>(number)));
}

bool AgentHarness::Serves()
{
  const std::string request = "entry-1.1." + std::to_string(++m_probeRequests);
  Start(request);
  const TargetCall* call = CallOf(request);
  if (call == nullptr) {
    m_lastRefusal = RefusalOf(request);
    return false;
  }
  AnswerCall(request, "ok", true);
  Acknowledge(request, 2, true);
  return true;
}

} // namespace gooseberrysail::test
