#include "gooseberrysail/control/config_service.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

constexpr std::size_t kMaxWaiting = 20'000;
constexpr Duration kWaitLimit = std::chrono::seconds(5);
constexpr Duration kCheckInterval = std::chrono::milliseconds(250);
constexpr std::size_t kMaxInForceTimes = 512;

bool TakesConfiguration(const PeerRow& peer)
{
  return peer.role == "entry" || peer.role == "agent";
}

} // namespace

void ConfigService::OnQuery(const ControlContext& context,
                            const ProcessId& peer,
                            const wire::ConfigQueryT& query)
{
  if (m_waitingQueries.size() < kMaxWaiting) {
    m_waitingQueries.push_back(
      WaitingQuery{ peer, query.nonce, LogIndex(query.haveVersion), TakeTicket(context) });
  }
}

void ConfigService::OnInForce(const ControlContext& context,
                              const ProcessId& peer,
                              const wire::InForceT& report)
{
  InForce& row = m_inForce[peer];
  row.version = LogIndex(report.version);
  row.failureDomain = report.failureDomain;
  row.reportedAt = context.now;
}

void ConfigService::OnLeaderStart(const ControlContext& context)
{
  m_waitingQueries.clear();
  m_inForceEverywhereAt.clear();
  m_pushedVersion = context.state.GetCatalogue().Version();
}

void ConfigService::Tick(ControlContext& context)
{
  AnswerQueries(context);
  PushNewVersion(context);
  if (context.now >= m_nextCheck) {
    m_nextCheck = context.now + kCheckInterval;
    RecordInForceEverywhere(context);
  }
}

void ConfigService::AnswerQueries(ControlContext& context)
{
  // An answer confirms that no newer version was committed when the query arrived. A leader that is
  // not aware of being deposed can't confirm that: its answer would keep an outdated copy in use
  // after its successor has changed the catalogue. So each answer waits until a quorum has
  // confirmed the leader.
  while (!m_waitingQueries.empty() && IsConfirmed(context, m_waitingQueries.front().ticket)) {
    const WaitingQuery waiting = m_waitingQueries.front();
    m_waitingQueries.pop_front();
    wire::ConfigStateT state = context.state.GetCatalogue().StateSince(waiting.haveVersion);
    state.nonce = waiting.nonce;
    state.leaderTerm = context.replication.term.Get();
    context.SendMessage(waiting.peer, std::move(state));
  }
  while (!m_waitingQueries.empty() &&
         context.now - m_waitingQueries.front().ticket.asked > kWaitLimit) {
    m_waitingQueries.pop_front();
  }
}

void ConfigService::PushNewVersion(ControlContext& context)
{
  const LogIndex version = context.state.GetCatalogue().Version();
  if (version <= m_pushedVersion) {
    return;
  }
  // Nonce 0 belongs to no query: the message delivers the change at once but confirms nothing. It
  // goes to entries only. Agents see the new version in their next lease grant or heartbeat and
  // query it, which saves the leader a frame to every target VM.
  wire::ConfigStateT state = context.state.GetCatalogue().StateSince(m_pushedVersion);
  state.leaderTerm = context.replication.term.Get();
  const auto envelope = MakeEnvelope(std::move(state));
  for (const ProcessId& entry : context.ListEntries()) {
    context.Send(entry, envelope);
  }
  m_pushedVersion = version;
}

const ConfigService::InForce* ConfigService::FindInForce(const ProcessId& process) const
{
  const auto found = m_inForce.find(process);
  return found == m_inForce.end() ? nullptr : &found->second;
}

bool ConfigService::MustReport(const ControlContext& context, const PeerRow& peer, Duration limit)
{
  // A disconnected process stops using its copy within the confirmation limit, so after that it no
  // longer delays a change.
  return TakesConfiguration(peer) && (peer.up || context.now - peer.since < limit);
}

std::vector<ProcessId> ConfigService::Lagging(const ControlContext& context, LogIndex version) const
{
  std::vector<ProcessId> lagging;
  const Duration limit = context.catalogue.Policy().confirmationLimit;
  for (const auto& [process, peer] : context.peers) {
    if (!MustReport(context, peer, limit)) {
      continue;
    }
    const InForce* row = FindInForce(process);
    if (row == nullptr || row->version < version) {
      lagging.push_back(process);
    }
  }
  std::sort(lagging.begin(), lagging.end());
  return lagging;
}

void ConfigService::RecordInForceEverywhere(const ControlContext& context)
{
  LogIndex everywhere = context.state.GetCatalogue().Version();
  if (m_inForceEverywhereAt.contains(everywhere)) {
    return;
  }
  const Duration limit = context.catalogue.Policy().confirmationLimit;
  for (const auto& [process, peer] : context.peers) {
    if (MustReport(context, peer, limit)) {
      const InForce* row = FindInForce(process);
      everywhere = std::min(everywhere, row != nullptr ? row->version : LogIndex());
    }
  }
  const auto& changes = context.state.GetCatalogue().Changes();
  for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
    if (!change->ok || LogIndex(change->index) > everywhere) {
      continue;
    }
    if (!m_inForceEverywhereAt.emplace(LogIndex(change->index), context.wallMillis).second) {
      break; // Already recorded, as are all earlier changes.
    }
    if (m_inForceEverywhereAt.size() >= kMaxInForceTimes) {
      m_inForceEverywhereAt.erase(m_inForceEverywhereAt.begin());
      break;
    }
  }
}

std::optional<WallMillis> ConfigService::InForceEverywhereAt(LogIndex version) const
{
  const auto found = m_inForceEverywhereAt.find(version);
  return found == m_inForceEverywhereAt.end() ? std::nullopt : std::optional(found->second);
}

} // namespace gooseberrysail
