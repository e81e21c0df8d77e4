#include "gooseberrysail/control/serving_feed.hpp"

#include "gooseberrysail/observe/event.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrysail {

namespace {

using namespace std::chrono_literals;

/// An entry asks every 500 ms; after this many without a word it is not counted.
constexpr Duration kEntryGone = 3s;
/// Long enough to smooth Poisson arrivals of some 10 requests a second, short enough to follow a
/// burst within a few seconds.
constexpr double kDemandMemorySeconds = 3;
/// Smaller differences are within the scatter of Poisson arrivals over kDemandMemorySeconds.
constexpr double kPartChange = 0.04;
/// An entry that had few requests lately keeps room for this much of an even part.
constexpr double kLeastPart = 0.4;

bool Differ(const std::map<std::string, double>& left, const std::map<std::string, double>& right)
{
  return !std::ranges::equal(left, right, [](const auto& former, const auto& now) {
    return former.first == now.first && std::abs(former.second - now.second) < kPartChange;
  });
}

} // namespace

wire::ServingStateT MakeControlList(const ControlContext& context)
{
  wire::ServingStateT state;
  for (const EntrySettings::Control& control : context.controls) {
    auto address = std::make_unique<wire::ControlAddressT>();
    address->process = control.process.Get();
    address->address = control.address;
    state.controls.push_back(std::move(address));
  }
  return state;
}

void ServingFeed::OnLeaderStart()
{
  m_entries.clear();
  m_targets.clear();
  m_sequence = 0;
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
  entry.heardAt = context.now;
  // An entry that restarted, or whose connection broke, has less than it was sent.
  const bool isCurrentTerm = query.haveTerm == context.replication.term.Get();
  entry.document = query.haveDocument;
  entry.targets = isCurrentTerm ? query.haveTargets : 0;
  entry.knowsTargets = query.haveTargets != 0 && !(isCurrentTerm && !m_isWhole);
  m_hasTraffic = m_hasTraffic || !query.demand.empty();
  for (const auto& demand : query.demand) {
    NoteDemand(context.now, entry, *demand);
  }
  entry.steps.clear();
  for (const auto& head : query.heads) {
    if (head->stepMillis != 0) {
      entry.steps[InstanceId(head->instance)] = std::chrono::milliseconds(head->stepMillis);
    }
    const Duration ago = std::chrono::milliseconds(head->answeredAgoMillis);
    if (ago < kAnsweredLately) {
      entry.answeredAt[InstanceId(head->instance)] = context.now - ago;
    }
    if (head->failing) {
      entry.failedAt[InstanceId(head->instance)] = context.now;
    }
  }
  Supply(context, process, entry, Demand());
}

void ServingFeed::OnPeerDown(const ProcessId& process)
{
  m_entries.erase(process);
}

void ServingFeed::SetTargets(std::vector<ServedTarget> targets)
{
  if (m_sequence != 0 && targets == m_targets) {
    return;
  }
  m_targets = std::move(targets);
  ++m_sequence;
}

void ServingFeed::Tick(ControlContext& context)
{
  std::erase_if(m_entries,
                [&](const auto& row) { return context.now - row.second.heardAt > kEntryGone; });
  const std::map<std::string, ModelDemand> demand = Demand();
  for (auto& [process, entry] : m_entries) {
    Supply(context, process, entry, demand);
  }
}

// The document is sent whole: at 500 routes it has some 120 KB, which an entry reads in about a
// millisecond. Frames of one connection arrive in order or not at all, so what was sent counts as
// had until the entry's next question says otherwise.
void ServingFeed::Supply(ControlContext& context,
                         const ProcessId& process,
                         Entry& entry,
                         const std::map<std::string, ModelDemand>& demand)
{
  const StoredDocument& document = context.state.GetDocument();
  const bool lacksDocument = entry.document < document.version;
  const bool mayBeTold = m_isWhole || !entry.knowsTargets;
  const bool lacksTargets = mayBeTold && m_sequence != 0 && entry.targets != m_sequence;
  Parts parts = PartsOf(entry, demand);
  const bool lacksParts = Differ(entry.toldParts, parts);
  if (!lacksDocument && !lacksTargets && !lacksParts) {
    return;
  }
  wire::ServingStateT state = MakeControlList(context);
  state.leader = true;
  state.term = context.replication.term.Get();
  state.entries = static_cast<std::uint32_t>(m_entries.size());
  if (lacksParts) {
    for (const auto& [model, part] : parts) {
      auto told = std::make_unique<wire::ModelPartT>();
      told->model = model;
      told->part = static_cast<float>(part);
      state.parts.push_back(std::move(told));
    }
    entry.toldParts = std::move(parts);
  }
  if (lacksDocument) {
    state.documentVersion = document.version;
    state.document = document.text;
    entry.document = document.version;
  }
  if (lacksTargets) {
    state.wholeTargets = true;
    state.targetsSequence = m_sequence;
    for (const ServedTarget& target : m_targets) {
      state.targets.push_back(std::make_unique<wire::ServingTargetT>(ToWire(target)));
    }
    entry.targets = m_sequence;
  }
  context.SendMessage(process, std::move(state));
}

ServingFeed::Parts ServingFeed::PartsOf(const Entry& entry,
                                        const std::map<std::string, ModelDemand>& demand) const
{
  Parts parts;
  const double even = 1.0 / static_cast<double>(std::max<std::size_t>(m_entries.size(), 1));
  for (const auto& [model, rate] : entry.rates) {
    const double sum = demand.at(model).requests;
    const double part = sum > 0 ? rate.perSecond.requests / sum : even;
    parts[model] = std::max(part, kLeastPart * even);
  }
  return parts;
}

void ServingFeed::NoteDemand(TimePoint now, Entry& entry, const wire::ModelDemandT& demand)
{
  const auto [found, fresh] = entry.rates.try_emplace(demand.model);
  ModelRate& rate = found->second;
  const ModelDemand counted{ static_cast<double>(demand.requests),
                             static_cast<double>(demand.promptTokens),
                             static_cast<double>(demand.outputTokens) };
  const double seconds = std::chrono::duration<double>(now - rate.at).count();
  if (!fresh && seconds > 0 && counted.requests >= rate.counted.requests) {
    // What came before the first count is not known, and counts nothing: a new leader that took it
    // for no work would close groups that are needed.
    rate.seenSeconds += seconds;
    const double weight = (1 - std::exp(-seconds / kDemandMemorySeconds)) /
                          (1 - std::exp(-rate.seenSeconds / kDemandMemorySeconds));
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
  rate.at = now;
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
    if (now - entry.heardAt > kAnsweredLately) {
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
      if (now - at < kAnsweredLately && at - LastAnswer(head) > kStandsStill) {
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
      if (now - at < kAnsweredLately) {
        heads.insert(head);
      }
    }
  }
  return heads;
}

} // namespace gooseberrysail
