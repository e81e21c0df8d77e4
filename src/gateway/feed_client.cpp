#include "gooseberrysail/gateway/feed_client.hpp"

#include "gooseberrysail/observe/event.hpp"
#include "gooseberrysail/wire/envelope.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// Control pushes changes at once; a question only heals what was lost with a connection or a
/// leader.
constexpr Duration kQueryInterval = 500ms;
/// A head that fell silent is told at once, several together.
constexpr Duration kNewsInterval = 100ms;
/// Stands for "never" in a report of when a head last answered.
constexpr std::int64_t kLongAgoMillis = 3'600'000;

} // namespace

FeedClient::FeedClient(std::vector<EntrySettings::Control> controls,
                       FailureDomainId own,
                       DocumentReader readDocument)
  : m_own(std::move(own))
  , m_readDocument(std::move(readDocument))
{
  AddControls(std::move(controls));
}

void FeedClient::AddControls(std::vector<EntrySettings::Control> controls)
{
  for (EntrySettings::Control& control : controls) {
    m_controls[control.process] = std::move(control.address);
  }
}

void FeedClient::Tick(TimePoint now,
                      const Dispatcher& dispatcher,
                      std::vector<GatewayOutput>& outbox)
{
  const bool hasNews = dispatcher.Board().LatestSilence() > m_toldSilence;
  if (now < m_nextQuery && !(hasNews && now >= m_lastQuery + kNewsInterval)) {
    return;
  }
  m_lastQuery = now;
  m_toldSilence = dispatcher.Board().LatestSilence();
  m_nextQuery = now + kQueryInterval;
  for (const auto& [process, address] : m_controls) {
    wire::ServingQueryT query = MakeQuery();
    // Views of dozens of heads told to all would be most of what entries send, and only the leader
    // decides by them.
    if (process == m_leader) {
      AddViews(now, dispatcher, query);
    }
    outbox.emplace_back(FrameOut{ process, address, MakeEnvelope(std::move(query)) });
  }
  m_lacksBase = false;
}

wire::ServingQueryT FeedClient::MakeQuery() const
{
  wire::ServingQueryT query;
  query.haveDocument = m_knowledge.index ? m_knowledge.index->Document().version : 0;
  query.haveTerm = m_term;
  query.haveTargets = m_knowledge.targetsSequence;
  query.failureDomain = m_own.Get();
  query.sendAgain = m_lacksBase;
  return query;
}

void FeedClient::AddViews(TimePoint now, const Dispatcher& dispatcher, wire::ServingQueryT& query)
{
  for (const DemandRow& row : dispatcher.Demand()) {
    auto demand = std::make_unique<wire::ModelDemandT>();
    demand->service = row.service;
    demand->model = row.model;
    demand->requests = row.requests;
    demand->promptTokens = row.promptTokens;
    demand->outputTokens = row.outputTokens;
    query.demand.push_back(std::move(demand));
  }
  for (const auto& [instance, row] : dispatcher.Board().Rows()) {
    const bool hasNews = row.answeredAt != TimePoint{} || row.silentAt != TimePoint{};
    if (row.target.servedModel.empty() || !hasNews) {
      continue;
    }
    auto head = std::make_unique<wire::HeadViewT>();
    head->instance = instance.Get();
    head->inFlight = row.inFlight;
    head->answeredAgoMillis = static_cast<std::uint32_t>(
      std::min<std::int64_t>(ToMillis(now - row.answeredAt), kLongAgoMillis));
    head->failing = row.silentAt > row.answeredAt;
    head->stepMillis = static_cast<std::uint32_t>(ToMillis(row.pace.Step(now)));
    query.heads.push_back(std::move(head));
  }
}

void FeedClient::OnState(TimePoint now,
                         const ProcessId& peer,
                         const wire::ServingStateT& state,
                         Dispatcher& dispatcher,
                         std::vector<GatewayOutput>& outbox)
{
  for (const auto& control : state.controls) {
    m_controls[ProcessId(control->process)] = control->address;
  }
  // What a deposed leader sent last may arrive after its successor's first word.
  if (!state.leader || state.term < m_term) {
    return;
  }
  m_knowledge.heardAt = now;
  dispatcher.Retries().SetEntries(state.entries);
  dispatcher.Board().SetEntries(state.entries);
  for (const auto& part : state.parts) {
    dispatcher.Board().SetPart(part->model, part->part);
  }
  if (!state.shares.empty()) {
    std::map<InstanceId, double> shares;
    for (const auto& share : state.shares) {
      shares.emplace(share->instance, share->share);
    }
    dispatcher.Board().SetShares(std::move(shares));
  }
  if (m_leader != peer) {
    // It knows nothing yet of this entry's callers.
    m_leader = peer;
    m_nextQuery = now;
  }
  TakeDocument(peer, state, outbox);
  if (!TakeTargets(now, state, dispatcher, outbox)) {
    return;
  }
  outbox.emplace_back(MakeEvent(EventNumber::kGatewayTargets,
                                { { "control", peer.Get() },
                                  { "term", std::to_string(m_term) },
                                  { "sequence", std::to_string(state.targetsSequence) },
                                  { "base", std::to_string(state.targetsBase) },
                                  { "told", std::to_string(state.targets.size()) },
                                  { "gone", std::to_string(state.goneTargets.size()) },
                                  { "targets", std::to_string(dispatcher.Board().Listed()) } }));
}

// A change holds all that differs between its base and its sequence, so it may be taken over by an
// entry that has any sequence from the base on. One that has less would miss what lies between.
bool FeedClient::TakeTargets(TimePoint now,
                             const wire::ServingStateT& state,
                             Dispatcher& dispatcher,
                             std::vector<GatewayOutput>& outbox)
{
  const bool isSameTerm = state.term == m_term;
  const std::uint64_t held = m_knowledge.targetsSequence;
  if (state.targetsSequence == 0 || (isSameTerm && state.targetsSequence <= held)) {
    return false;
  }
  if (!state.wholeTargets && (!isSameTerm || state.targetsBase > held)) {
    m_lacksBase = true;
    m_nextQuery = now;
    return false;
  }
  m_term = state.term;
  m_knowledge.targetsSequence = state.targetsSequence;
  std::vector<ServedTarget> targets;
  for (const auto& target : state.targets) {
    targets.push_back(FromWire(*target));
  }
  if (state.wholeTargets) {
    dispatcher.OnTargets(now, targets, outbox);
    return true;
  }
  std::vector<InstanceId> gone;
  for (const std::string& instance : state.goneTargets) {
    gone.emplace_back(instance);
  }
  dispatcher.OnTargetChanges(now, targets, gone, outbox);
  return true;
}

void FeedClient::TakeDocument(const ProcessId& peer,
                              const wire::ServingStateT& state,
                              std::vector<GatewayOutput>& outbox)
{
  const std::uint64_t held = m_knowledge.index ? m_knowledge.index->Document().version : 0;
  if (state.documentVersion <= held) {
    return;
  }
  Result<ServingDocument> document = m_readDocument(state.document);
  if (!document) {
    outbox.emplace_back(
      MakeEvent(EventNumber::kConfigurationRefused,
                { { "control", peer.Get() }, { "description", ToString(document.error()) } }));
    return;
  }
  m_knowledge.index = std::make_shared<const RouteIndex>(std::move(document).value());
  outbox.emplace_back(MakeEvent(EventNumber::kGatewayDocument,
                                { { "control", peer.Get() },
                                  { "version", std::to_string(state.documentVersion) },
                                  { "former", std::to_string(held) } }));
}

} // namespace gooseberrysail
