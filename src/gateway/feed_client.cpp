#include "gooseberrysail/gateway/feed_client.hpp"

#include "gooseberrysail/observe/event.hpp"
#include "gooseberrysail/wire/envelope.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// Control pushes changes at once; queries only recover changes lost with a connection or a change
/// of the leader.
constexpr Duration kQueryInterval = 500ms;
/// Only the leader's answers matter while it is connected. The other processes are queried rarely:
/// so that the connections through which a new leader announces itself stay in use.
constexpr Duration kQueryAllInterval = 5s;
/// Missing answers are reported early, but those within this interval together.
constexpr Duration kNoAnswerReportInterval = 100ms;
/// The requests in flight at a target that crashed fail within a few milliseconds of each other.
constexpr Duration kCrashReportInterval = 10ms;
/// Upper limit of the reported time since the last answer; also stands for "never".
constexpr std::int64_t kMaxAgoMillis = 3'600'000;

} // namespace

FeedClient::FeedClient(std::vector<EntrySettings::Control> controls,
                       FailureDomainId ownDomain,
                       DocumentReader readDocument)
  : m_ownDomain(std::move(ownDomain))
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
  if (!IsQueryDue(now, dispatcher)) {
    return;
  }
  m_lastQuery = now;
  m_reportedNoAnswer = dispatcher.Selector().LatestNoAnswer();
  m_nextQuery = now + kQueryInterval;
  const bool toAll = !m_leaderIsConnected || now >= m_nextQueryToAll;
  m_nextQueryToAll = toAll ? now + kQueryAllInterval : m_nextQueryToAll;
  for (const auto& [process, address] : m_controls) {
    if (!toAll && process != m_leader) {
      continue;
    }
    wire::ServingQueryT query = MakeQuery();
    // Only the leader uses the observations. Sent to all control processes, those of dozens of
    // heads would be most of an entry's traffic to control.
    if (process == m_leader) {
      AddObservations(now, dispatcher, query);
      AddSuspects(now, dispatcher, query);
    }
    outbox.emplace_back(FrameOut{ process, address, MakeEnvelope(std::move(query)) });
  }
  m_missedChange = false;
}

bool FeedClient::IsQueryDue(TimePoint now, const Dispatcher& dispatcher) const
{
  const bool hasUnreportedNoAnswer = dispatcher.Selector().LatestNoAnswer() > m_reportedNoAnswer;
  const bool hasUnreportedCrash =
    !m_leader.IsNone() && (dispatcher.Suspects().Sequence() > m_reportedSuspects ||
                           dispatcher.PromptParts().Sequence() > m_reportedParts);
  return now >= m_nextQuery ||
         (hasUnreportedNoAnswer && now >= m_lastQuery + kNoAnswerReportInterval) ||
         (hasUnreportedCrash && now >= m_lastQuery + kCrashReportInterval);
}

wire::ServingQueryT FeedClient::MakeQuery() const
{
  wire::ServingQueryT query;
  query.haveDocument = m_snapshot.index ? m_snapshot.index->Document().version : 0;
  query.haveTerm = m_term;
  query.haveTargets = m_snapshot.targetsSequence;
  query.failureDomain = m_ownDomain.Get();
  query.sendAgain = m_missedChange;
  query.haveSuspects = m_heldSuspects;
  query.havePromptParts = m_heldParts;
  query.suspectsTerm = m_leaderTerm;
  return query;
}

void FeedClient::AddObservations(TimePoint now,
                                 const Dispatcher& dispatcher,
                                 wire::ServingQueryT& query)
{
  query.countedAtMillis = static_cast<std::uint64_t>(ToMillis(now.time_since_epoch()));
  for (const DemandRow& row : dispatcher.Demand()) {
    auto demand = std::make_unique<wire::ModelDemandT>();
    demand->service = row.service;
    demand->model = row.model;
    demand->requests = row.requests;
    demand->promptTokens = row.promptTokens;
    demand->outputTokens = row.outputTokens;
    query.demand.push_back(std::move(demand));
  }
  for (const auto& [instance, row] : dispatcher.Selector().Rows()) {
    const bool hasObservations = row.answeredAt != TimePoint{} || row.noAnswerAt != TimePoint{};
    if (row.target.servedModel.empty() || !hasObservations) {
      continue;
    }
    auto head = std::make_unique<wire::HeadViewT>();
    head->instance = instance.Get();
    head->inFlight = row.inFlight;
    head->answeredAgoMillis = static_cast<std::uint32_t>(
      std::min<std::int64_t>(ToMillis(now - row.answeredAt), kMaxAgoMillis));
    head->failing = row.noAnswerAt > row.answeredAt;
    head->stepMillis = static_cast<std::uint32_t>(ToMillis(row.stepTime.Estimate(now)));
    query.heads.push_back(std::move(head));
  }
}

void FeedClient::AddSuspects(TimePoint now,
                             const Dispatcher& dispatcher,
                             wire::ServingQueryT& query)
{
  for (wire::CrashSuspectT& row : dispatcher.Suspects().ListChanged(now, m_reportedSuspects, 1)) {
    query.suspects.push_back(std::make_unique<wire::CrashSuspectT>(std::move(row)));
  }
  for (wire::PromptSuspectT& row : dispatcher.PromptParts().ListChanged(now, m_reportedParts, 1)) {
    query.promptParts.push_back(std::make_unique<wire::PromptSuspectT>(std::move(row)));
  }
  m_reportedSuspects = dispatcher.Suspects().Sequence();
  m_reportedParts = dispatcher.PromptParts().Sequence();
}

void FeedClient::OnPeerDown(const ProcessId& peer) noexcept
{
  if (peer == m_leader) {
    m_reportedSuspects = 0; // Queries may have been lost with the connection.
    m_reportedParts = 0;
    m_leaderIsConnected = false;
  }
}

void FeedClient::ApplySuspects(TimePoint now,
                               const ProcessId& peer,
                               const wire::ServingStateT& state,
                               Dispatcher& dispatcher,
                               std::vector<GatewayOutput>& outbox)
{
  if (state.suspectsSequence == 0) {
    return;
  }
  m_heldSuspects = state.suspectsSequence;
  const bool hasUnreported = dispatcher.Suspects().Sequence() > m_reportedSuspects;
  dispatcher.MergeSuspects(now, peer, state.suspects, outbox);
  if (!hasUnreported) {
    // The leader has the rows that it sent.
    m_reportedSuspects = dispatcher.Suspects().Sequence();
  }
  dispatcher.ClearFinishedSuspects(now, state.suspects, outbox);
}

void FeedClient::ApplyPromptParts(TimePoint now,
                                  const ProcessId& peer,
                                  const wire::ServingStateT& state,
                                  Dispatcher& dispatcher,
                                  std::vector<GatewayOutput>& outbox)
{
  if (state.promptPartsSequence != 0) {
    m_heldParts = state.promptPartsSequence;
    const bool hasUnreported = dispatcher.PromptParts().Sequence() > m_reportedParts;
    dispatcher.MergePromptParts(now, peer, state.promptParts, outbox);
    if (!hasUnreported) {
      m_reportedParts = dispatcher.PromptParts().Sequence();
    }
  }
  for (const auto& trial : state.trials) {
    dispatcher.GrantTrial(now, peer, { trial->partHigh, trial->partLow }, outbox);
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
  if (!state.leader && peer == m_leader && std::exchange(m_leaderIsConnected, false)) {
    m_nextQuery = now; // It has lost an election; another process may lead.
  }
  // The last state of a deposed leader may arrive after the first one of its successor.
  if (!state.leader || state.term < m_term) {
    return;
  }
  m_leaderIsConnected = true;
  m_snapshot.confirmedAt = now;
  dispatcher.Retries().SetEntries(state.entries);
  dispatcher.Selector().SetEntries(state.entries);
  for (const auto& part : state.parts) {
    dispatcher.Selector().SetCallerFraction(part->model, part->part);
  }
  if (!state.shares.empty()) {
    std::map<InstanceId, double> shares;
    for (const auto& share : state.shares) {
      shares.emplace(share->instance, share->share);
    }
    dispatcher.Selector().SetShares(std::move(shares));
  }
  if (m_leader != peer) {
    // The new leader has no demand or observations of this entry yet.
    m_leader = peer;
    m_nextQuery = now;
  }
  if (m_leaderTerm != state.term) {
    m_leaderTerm = state.term;
    m_heldSuspects = 0;
    m_heldParts = 0;
    m_reportedSuspects = 0;
    m_reportedParts = 0;
  }
  ApplySuspects(now, peer, state, dispatcher, outbox);
  ApplyPromptParts(now, peer, state, dispatcher, outbox);
  ApplyDocument(peer, state, outbox);
  if (!ApplyTargets(now, state, dispatcher, outbox)) {
    return;
  }
  outbox.emplace_back(MakeEvent(EventNumber::kGatewayTargets,
                                { { "control", peer.Get() },
                                  { "term", std::to_string(m_term) },
                                  { "sequence", std::to_string(state.targetsSequence) },
                                  { "base", std::to_string(state.targetsBase) },
                                  { "told", std::to_string(state.targets.size()) },
                                  { "gone", std::to_string(state.goneTargets.size()) },
                                  { "targets", std::to_string(dispatcher.Selector().Listed()) } }));
}

// A change contains all differences between its base and its sequence, so it applies to every
// version from the base on. An entry with an older version would miss the changes in between.
bool FeedClient::ApplyTargets(TimePoint now,
                              const wire::ServingStateT& state,
                              Dispatcher& dispatcher,
                              std::vector<GatewayOutput>& outbox)
{
  const bool isSameTerm = state.term == m_term;
  const std::uint64_t held = m_snapshot.targetsSequence;
  if (state.targetsSequence == 0 || (isSameTerm && state.targetsSequence <= held)) {
    return false;
  }
  if (!state.wholeTargets && (!isSameTerm || state.targetsBase > held)) {
    m_missedChange = true;
    m_nextQuery = now;
    return false;
  }
  m_term = state.term;
  m_snapshot.targetsSequence = state.targetsSequence;
  std::vector<ServedTarget> targets;
  for (const auto& target : state.targets) {
    targets.push_back(FromWire(now, *target));
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

void FeedClient::ApplyDocument(const ProcessId& peer,
                               const wire::ServingStateT& state,
                               std::vector<GatewayOutput>& outbox)
{
  const std::uint64_t held = m_snapshot.index ? m_snapshot.index->Document().version : 0;
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
  m_snapshot.index = std::make_shared<const RouteIndex>(std::move(document).value());
  outbox.emplace_back(MakeEvent(EventNumber::kGatewayDocument,
                                { { "control", peer.Get() },
                                  { "version", std::to_string(state.documentVersion) },
                                  { "former", std::to_string(held) } }));
}

} // namespace gooseberrysail
