#include "gooseberrysail/control/serving_feed.hpp"

#include "gooseberrysail/control/control_list_feed.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// An entry queries every 500 ms; one without a query for this long is removed.
constexpr Duration kEntryTimeout = 3s;
/// A disconnected entry reconnects with its next query; after two missed queries its callers are
/// taken to use other entries.
constexpr Duration kReconnectTimeout = 1s;
/// Long enough to smooth Poisson arrivals of about 10 requests a second, and short enough to follow
/// a burst within a few seconds.
constexpr double kDemandMemorySeconds = 3;
/// Smaller differences are within the variation of Poisson arrivals over kDemandMemorySeconds.
constexpr double kMinPartChange = 0.04;
/// An entry with few recent requests keeps at least this fraction of an even part.
constexpr double kMinPart = 0.4;

/// Whether parts of models' requests, or shares of heads' slots, differ by at least kMinPartChange.
template<class Key>
bool Differ(const std::map<Key, double>& left, const std::map<Key, double>& right)
{
  return !std::ranges::equal(left, right, [](const auto& former, const auto& now) {
    return former.first == now.first && std::abs(former.second - now.second) < kMinPartChange;
  });
}

} // namespace

void ServingFeed::OnLeaderStart()
{
  m_entries.clear();
  m_targets.Reset();
  m_suspects = {};
  m_sharedSuspects = 0;
  m_promptParts = {};
  m_sharedParts = 0;
  m_trials.clear();
  m_urgentSequence = 0;
  m_heads.clear();
  m_areSharesCurrent = false;
  m_firstQueryAt = TimePoint{};
  m_hasAnnounced = false;
}

void ServingFeed::OnQuery(ControlContext& context,
                          const ProcessId& process,
                          const wire::ServingQueryT& query)
{
  const auto [found, fresh] = m_entries.try_emplace(process);
  Entry& entry = found->second;
  if (fresh) {
    context.outbox.emplace_back(MakeEvent(EventNumber::kEntrySubscribed,
                                          { { "entry", process.Get() },
                                            { "document", std::to_string(query.haveDocument) },
                                            { "targets", std::to_string(query.haveTargets) } }));
  }
  if (m_firstQueryAt == TimePoint{}) {
    m_firstQueryAt = context.now;
  }
  entry.lastQueryAt = context.now;
  entry.isConnected = true;
  entry.failureDomain = FailureDomainId(query.failureDomain);
  UpdateSentState(context, entry, query);
  MergeSuspects(context, process, query);
  MergePromptParts(context, process, query);
  m_hasTraffic = m_hasTraffic || !query.demand.empty();
  for (const auto& demand : query.demand) {
    RecordDemand(entry, std::chrono::milliseconds(query.countedAtMillis), *demand);
  }
  entry.steps.clear();
  for (const auto& head : query.heads) {
    if (head->stepMillis != 0) {
      entry.steps[InstanceId(head->instance)] = std::chrono::milliseconds(head->stepMillis);
    }
    const Duration ago = std::chrono::milliseconds(head->answeredAgoMillis);
    if (ago < kRecentAnswerWindow) {
      entry.answeredAt[InstanceId(head->instance)] = context.now - ago;
    }
    if (head->failing) {
      entry.failedAt[InstanceId(head->instance)] = context.now;
    }
  }
}

// Frames of one connection arrive in order or not at all, so state sent on it counts as received. A
// query may have been sent before that state arrived, and a document sent again for each such query
// would fill a slow link with copies. After a restart or a reconnect of the entry, everything is
// sent again.
void ServingFeed::UpdateSentState(const ControlContext& context,
                                  Entry& entry,
                                  const wire::ServingQueryT& query) const
{
  const bool isCurrentTerm = query.haveTerm == context.replication.term.Get();
  entry.hasTargets = query.haveTargets != 0 && !(isCurrentTerm && !m_areTargetsComplete);
  const std::uint64_t targets = isCurrentTerm ? query.haveTargets : 0;
  SentState& sent = entry.sent;
  const bool mustResend = query.sendAgain || context.now - sent.at >= kResendAfter;
  sent.document = mustResend ? query.haveDocument : std::max(sent.document, query.haveDocument);
  sent.targets = mustResend ? targets : std::max(sent.targets, targets);
  const bool isSuspectsTerm = query.suspectsTerm == context.replication.term.Get();
  const std::uint64_t suspects = isSuspectsTerm ? query.haveSuspects : 0;
  sent.suspects = mustResend ? suspects : std::max(sent.suspects, suspects);
  const std::uint64_t promptParts = isSuspectsTerm ? query.havePromptParts : 0;
  sent.promptParts = mustResend ? promptParts : std::max(sent.promptParts, promptParts);
}

void ServingFeed::MergeSuspects(ControlContext& context,
                                const ProcessId& process,
                                const wire::ServingQueryT& query)
{
  for (const auto& row : query.suspects) {
    const RequestFingerprint fingerprint = FingerprintOf(*row);
    const bool wasQuarantined = m_suspects.IsQuarantined(fingerprint);
    if (!m_suspects.Merge(context.now, *row) ||
        m_suspects.IsQuarantined(fingerprint) == wasQuarantined) {
      continue;
    }
    context.outbox.emplace_back(
      MakeEvent(EventNumber::kRequestSuspected,
                { { "fingerprint", ToString(fingerprint) },
                  { "state", wasQuarantined ? "cleared" : "quarantined" },
                  { "crashed", std::to_string(m_suspects.Find(fingerprint)->crashed.size()) },
                  { "entry", process.Get() },
                  { "ageMillis", std::to_string(row->ageMillis) } }));
  }
  if (!query.suspects.empty()) {
    m_sharedSuspects = m_suspects.SequenceOf(kMinSharedCrashes);
  }
}

void ServingFeed::MergePromptParts(ControlContext& context,
                                   const ProcessId& process,
                                   const wire::ServingQueryT& query)
{
  for (const auto& row : query.promptParts) {
    const RequestFingerprint part = FingerprintOf(*row);
    const bool wasHeld = m_promptParts.IsHeld(part);
    if (!m_promptParts.Merge(context.now, *row) || m_promptParts.IsHeld(part) == wasHeld) {
      continue;
    }
    context.outbox.emplace_back(
      MakeEvent(EventNumber::kPromptPartSuspected,
                { { "part", ToString(part) },
                  { "state", wasHeld ? "released" : "held" },
                  { "crashed", std::to_string(m_promptParts.Find(part)->crashes.size()) },
                  { "entry", process.Get() } }));
  }
  if (!query.promptParts.empty()) {
    m_sharedParts = m_promptParts.SequenceOf(kMinSharedCrashes);
  }
}

// One grant for each trial: if each entry tried a part by itself, each trial would cost as many
// targets as there are entries.
void ServingFeed::GrantTrials(const ControlContext& context)
{
  std::erase_if(m_trials, [&](const auto& trial) {
    return !m_promptParts.IsHeld(trial.first) || context.now - trial.second >= kTrialTimeout;
  });
  std::vector<Entry*> connected;
  for (auto& [process, entry] : m_entries) {
    if (entry.isConnected) {
      connected.push_back(&entry);
    }
  }
  for (const RequestFingerprint& part : m_promptParts.Held()) {
    const bool isDue = context.now >= m_promptParts.TrialDueAt(part);
    if (isDue && !connected.empty() && m_trials.emplace(part, context.now).second) {
      connected[m_trialsGranted++ % connected.size()]->trials.push_back(part);
    }
  }
}

// The demand of a disconnected entry is kept: its callers are still there, and without them models
// would appear unused and the heads would be divided among the other entries.
void ServingFeed::OnPeerDown(const ProcessId& process)
{
  const auto found = m_entries.find(process);
  if (found == m_entries.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.isConnected = false;
  entry.hasControls = false;
  entry.sent = {};
  entry.sentParts.clear();
  entry.sentShares.clear();
  entry.trials.clear();
}

void ServingFeed::SetTargets(std::span<const ServedTarget> targets)
{
  const TargetChanges::Urgency urgency = m_targets.Set(targets);
  if (urgency == TargetChanges::Urgency::kNone) {
    return;
  }
  if (urgency == TargetChanges::Urgency::kImmediate) {
    m_urgentSequence = m_targets.Sequence();
  }
  m_areSharesCurrent = false;
  m_heads.clear();
  for (const ServedTarget& target : targets) {
    if (!target.servedModel.empty() && !target.leaving) {
      m_heads[target.servedModel].push_back(
        { target.instance, target.failureDomain, std::max(target.slots, 1U) });
    }
  }
}

// The first shares are sent once all targets have reported and the time for discovering entries has
// passed. Entries may use heads that this leader has not recorded yet, and would stop using them if
// the shares did not contain them. Later, shares are updated at once when heads change, since a
// head in no entry's share gets little work, and at an interval as demand changes.
void ServingFeed::UpdateHeadShares(TimePoint now, const std::map<std::string, ModelDemand>& demand)
{
  const bool isDue = !m_areSharesCurrent || now >= m_nextShareUpdate;
  const bool knowsEntries =
    m_firstQueryAt != TimePoint{} && now - m_firstQueryAt >= kEntryDiscoveryTime;
  if (isDue && knowsEntries && m_areTargetsComplete) {
    m_nextShareUpdate = now + kShareInterval;
    m_areSharesCurrent = true;
    AssignHeadShares(demand);
  }
}

void ServingFeed::AssignHeadShares(const std::map<std::string, ModelDemand>& demand)
{
  for (auto& [process, entry] : m_entries) {
    entry.shares.clear();
  }
  for (const auto& [model, heads] : m_heads) {
    std::vector<EntryDemand> demands;
    for (const auto& [process, entry] : m_entries) {
      demands.push_back({ process, entry.failureDomain, PartOf(entry, model, demand) });
    }
    for (auto& [process, shares] : DivideHeads(demands, heads)) {
      m_entries.at(process).shares.merge(shares);
    }
  }
}

// Entries would learn of a new leader by their next query only, up to half a second later.
void ServingFeed::AnnounceLeader(ControlContext& context)
{
  m_hasAnnounced = true;
  const std::vector<ProcessId> entries = context.ListEntries();
  wire::ServingStateT state = MakeState(context, {});
  state.entries = static_cast<std::uint32_t>(entries.size()); // None of them has queried yet.
  const std::shared_ptr<wire::EnvelopeT> message = MakeEnvelope(std::move(state));
  for (const ProcessId& entry : entries) {
    context.Send(entry, message);
  }
}

void ServingFeed::Tick(ControlContext& context)
{
  if (!m_hasAnnounced) {
    AnnounceLeader(context);
  }
  std::erase_if(m_entries, [&](const auto& row) {
    const Entry& entry = row.second;
    return context.now - entry.lastQueryAt >
           (entry.isConnected ? kEntryTimeout : kReconnectTimeout);
  });
  const std::map<std::string, ModelDemand> demand = Demand();
  m_suspects.RemoveExpired(context.now);
  m_promptParts.RemoveExpired(context.now);
  GrantTrials(context);
  UpdateControls(context);
  UpdateHeadShares(context.now, demand);
  Messages messages;
  for (auto& [process, entry] : m_entries) {
    if (!entry.isConnected) {
      continue;
    }
    SendMissingState(context, process, entry, demand, messages);
  }
}

void ServingFeed::UpdateControls(const ControlContext& context)
{
  const auto isSame = [](const auto& former, const auto& now) {
    return former.process == now.process && former.address == now.address;
  };
  if (std::ranges::equal(m_sentControls, context.controls, isSame)) {
    return;
  }
  m_sentControls = context.controls;
  for (auto& [process, entry] : m_entries) {
    entry.hasControls = false;
  }
}

// Sending the whole list for each changed row would take traffic proportional to entries x targets
// x changes, which saturates the leader's link and fills its memory. So changes that are not urgent
// are batched.
bool ServingFeed::AreTargetsDue(const ControlContext& context, const Entry& entry) const
{
  const bool maySend = m_areTargetsComplete || !entry.hasTargets;
  if (!maySend || entry.sent.targets == m_targets.Sequence()) {
    return false;
  }
  const bool isUrgent = entry.sent.targets < m_urgentSequence || entry.sent.targets == 0;
  return isUrgent || context.now - entry.sent.at >= kBatchInterval;
}

// The document is sent whole: with 500 routes it has about 120 KB, which an entry parses in about a
// millisecond.
void ServingFeed::SendMissingState(ControlContext& context,
                                   const ProcessId& process,
                                   Entry& entry,
                                   const std::map<std::string, ModelDemand>& demand,
                                   Messages& messages)
{
  const StoredDocument& document = context.state.GetDocument();
  MissingState missing;
  missing.document = entry.sent.document < document.version;
  if (AreTargetsDue(context, entry)) {
    missing.targetsSince = entry.sent.targets;
  }
  if (entry.sent.suspects < m_sharedSuspects) {
    missing.suspectsSince = entry.sent.suspects;
  }
  if (entry.sent.promptParts < m_sharedParts) {
    missing.promptPartsSince = entry.sent.promptParts;
  }
  Parts parts = PartsOf(entry, demand);
  const bool partsChanged = Differ(entry.sentParts, parts);
  const bool sharesChanged = Differ(entry.sentShares, entry.shares);
  const bool hasOwnState = partsChanged || sharesChanged || !entry.trials.empty();
  const bool isNothingDue = !missing.document && !missing.targetsSince && !missing.suspectsSince &&
                            !missing.promptPartsSince && !hasOwnState;
  if (isNothingDue || !context.HasQueueCapacity(process)) {
    return;
  }
  missing.controls = !entry.hasControls;
  entry.hasControls = true;
  entry.sent = { std::max(document.version, entry.sent.document),
                 missing.targetsSince ? m_targets.Sequence() : entry.sent.targets,
                 missing.suspectsSince ? m_suspects.Sequence() : entry.sent.suspects,
                 missing.promptPartsSince ? m_promptParts.Sequence() : entry.sent.promptParts,
                 context.now };
  if (hasOwnState) {
    wire::ServingStateT state = MakeState(context, missing);
    entry.sentParts = std::move(parts);
    entry.sentShares = entry.shares;
    AddShares(entry, state);
    for (const RequestFingerprint& part : std::exchange(entry.trials, {})) {
      state.trials.push_back(std::make_unique<wire::PartTrialT>());
      state.trials.back()->partHigh = part.high;
      state.trials.back()->partLow = part.low;
    }
    context.SendMessage(process, std::move(state));
    return;
  }
  std::shared_ptr<wire::EnvelopeT>& message = messages[missing];
  if (!message) {
    message = MakeEnvelope(MakeState(context, missing));
  }
  context.Send(process, message);
}

void ServingFeed::AddShares(const Entry& entry, wire::ServingStateT& state)
{
  for (const auto& [model, part] : entry.sentParts) {
    auto modelPart = std::make_unique<wire::ModelPartT>();
    modelPart->model = model;
    modelPart->part = static_cast<float>(part);
    state.parts.push_back(std::move(modelPart));
  }
  for (const auto& [head, share] : entry.sentShares) {
    auto headShare = std::make_unique<wire::HeadShareT>();
    headShare->instance = head.Get();
    headShare->share = static_cast<float>(share);
    state.shares.push_back(std::move(headShare));
  }
}

wire::ServingStateT ServingFeed::MakeState(const ControlContext& context,
                                           const MissingState& missing) const
{
  wire::ServingStateT state = missing.controls ? MakeControlList(context) : wire::ServingStateT();
  state.leader = true;
  state.term = context.replication.term.Get();
  state.entries = static_cast<std::uint32_t>(m_entries.size());
  if (missing.document) {
    const StoredDocument& document = context.state.GetDocument();
    state.documentVersion = document.version;
    state.document = document.text;
  }
  if (missing.targetsSince) {
    m_targets.Fill(context.now, *missing.targetsSince, state);
  }
  if (missing.suspectsSince) {
    state.suspectsSequence = m_suspects.Sequence();
    for (wire::CrashSuspectT& row :
         m_suspects.ListChanged(context.now, *missing.suspectsSince, kMinSharedCrashes)) {
      state.suspects.push_back(std::make_unique<wire::CrashSuspectT>(std::move(row)));
    }
  }
  if (missing.promptPartsSince) {
    state.promptPartsSequence = m_promptParts.Sequence();
    for (wire::PromptSuspectT& row :
         m_promptParts.ListChanged(context.now, *missing.promptPartsSince, kMinSharedCrashes)) {
      state.promptParts.push_back(std::make_unique<wire::PromptSuspectT>(std::move(row)));
    }
  }
  return state;
}

ServingFeed::Parts ServingFeed::PartsOf(const Entry& entry,
                                        const std::map<std::string, ModelDemand>& demand) const
{
  Parts parts;
  for (const auto& [model, rate] : entry.rates) {
    parts[model] = PartOf(entry, model, demand);
  }
  return parts;
}

double ServingFeed::PartOf(const Entry& entry,
                           const std::string& model,
                           const std::map<std::string, ModelDemand>& demand) const
{
  const double even = 1.0 / static_cast<double>(std::max<std::size_t>(m_entries.size(), 1));
  const auto rate = entry.rates.find(model);
  if (rate == entry.rates.end()) {
    return kMinPart * even;
  }
  const double sum = demand.at(model).requests;
  const double part = sum > 0 ? rate->second.perSecond.requests / sum : even;
  return std::max(part, kMinPart * even);
}

// The entry's clock tells over which time requests were counted. The times at which queries arrive
// don't: those that were held up by a broken connection arrive together.
void ServingFeed::RecordDemand(Entry& entry, Duration countedAt, const wire::ModelDemandT& demand)
{
  const auto [found, fresh] = entry.rates.try_emplace(demand.model);
  ModelRate& rate = found->second;
  const ModelDemand counted{ static_cast<double>(demand.requests),
                             static_cast<double>(demand.promptTokens),
                             static_cast<double>(demand.outputTokens) };
  const Duration elapsed = countedAt - rate.countedAt;
  // The totals of a restarted entry start at zero again.
  const bool isComparable =
    !fresh && counted.requests >= rate.counted.requests && elapsed >= Duration::zero();
  if (isComparable && elapsed == Duration::zero()) {
    return;
  }
  if (isComparable) {
    const double seconds = std::chrono::duration<double>(elapsed).count();
    // The time before the first count is left out of the average: a new leader that treated it as
    // time without requests would close groups that are needed.
    rate.observedSeconds += seconds;
    const double weight = (1 - std::exp(-seconds / kDemandMemorySeconds)) /
                          (1 - std::exp(-rate.observedSeconds / kDemandMemorySeconds));
    const auto blend = [&](double former, double before, double after) {
      return former + weight * ((after - before) / seconds - former);
    };
    rate.perSecond = {
      blend(rate.perSecond.requests, rate.counted.requests, counted.requests),
      blend(rate.perSecond.promptTokens, rate.counted.promptTokens, counted.promptTokens),
      blend(rate.perSecond.outputTokens, rate.counted.outputTokens, counted.outputTokens)
    };
  }
  rate.counted = counted;
  rate.countedAt = countedAt;
}

std::map<std::string, ModelDemand> ServingFeed::Demand() const
{
  std::map<std::string, ModelDemand> sums;
  for (const auto& [process, entry] : m_entries) {
    for (const auto& [model, rate] : entry.rates) {
      ModelDemand& sum = sums[model];
      sum.requests += rate.perSecond.requests;
      sum.promptTokens += rate.perSecond.promptTokens;
      sum.outputTokens += rate.perSecond.outputTokens;
    }
  }
  return sums;
}

std::map<InstanceId, Duration> ServingFeed::HeadSteps(TimePoint now) const
{
  std::map<InstanceId, Duration> steps;
  for (const auto& [process, entry] : m_entries) {
    if (now - entry.lastQueryAt > kRecentAnswerWindow) {
      continue;
    }
    for (const auto& [head, step] : entry.steps) {
      const auto [found, fresh] = steps.try_emplace(head, step);
      found->second = std::min(found->second, step);
    }
  }
  return steps;
}

std::set<InstanceId> ServingFeed::FailingHeads(TimePoint now) const
{
  std::set<InstanceId> heads;
  for (const auto& [process, entry] : m_entries) {
    for (const auto& [head, at] : entry.failedAt) {
      if (now - at < kRecentAnswerWindow && at - LastAnswer(head) > kHeadStallTime) {
        heads.insert(head);
      }
    }
  }
  return heads;
}

TimePoint ServingFeed::LastAnswer(const InstanceId& head) const
{
  TimePoint latest{};
  for (const auto& [process, entry] : m_entries) {
    if (const auto found = entry.answeredAt.find(head); found != entry.answeredAt.end()) {
      latest = std::max(latest, found->second);
    }
  }
  return latest;
}

std::set<InstanceId> ServingFeed::AnsweringHeads(TimePoint now) const
{
  std::set<InstanceId> heads;
  for (const auto& [process, entry] : m_entries) {
    for (const auto& [head, at] : entry.answeredAt) {
      if (now - at < kRecentAnswerWindow) {
        heads.insert(head);
      }
    }
  }
  return heads;
}

} // namespace gooseberrysail
