#include "gooseberrysail/control/config_service.hpp"

#include <algorithm>

namespace gooseberrysail {

namespace {

constexpr std::size_t kMaxWaiting = 20'000;
constexpr Duration kWaitLimit = std::chrono::seconds(5);
constexpr Duration kCheckInterval = std::chrono::milliseconds(250);
constexpr std::size_t kMaxForceTimes = 512;

bool TakesConfiguration(const PeerRow& peer)
{
  return peer.role == "entry" || peer.role == "agent";
}

} // namespace

void ConfigService::OnQuery(const ControlContext& context,
                            const ProcessId& peer,
                            const wire::ConfigQueryT& query)
{
  if (m_waiting.size() < kMaxWaiting) {
    m_waiting.push_back(
      Waiting{ peer, query.nonce, LogIndex(query.haveVersion), TakeTicket(context) });
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
  m_waiting.clear();
  m_everywhereAt.clear();
  m_pushed = context.state.GetCatalogue().Version();
}

void ConfigService::Tick(ControlContext& context)
{
  AnswerQueries(context);
  PushNewVersion(context);
  if (context.now >= m_nextCheck) {
    m_nextCheck = context.now + kCheckInterval;
    NoteInForceEverywhere(context);
  }
}

void ConfigService::AnswerQueries(ControlContext& context)
{
  // An answer confirms that no newer version was committed when the query arrived. A leader that is
  // not aware of being deposed can't confirm that: its answer would keep an outdated copy in use
  // after its successor has changed the catalogue. So each answer waits until a quorum has
  // confirmed the leader.
  while (!m_waiting.empty() && IsConfirmed(context, m_waiting.front().ticket)) {
    const Waiting waiting = m_waiting.front();
    m_waiting.pop_front();
    wire::ConfigStateT state = context.state.GetCatalogue().StateSince(waiting.haveVersion);
    state.nonce = waiting.nonce;
    state.leaderTerm = context.replication.term.Get();
    context.SendMessage(waiting.peer, std::move(state));
  }
  while (!m_waiting.empty() && context.now - m_waiting.front().ticket.asked > kWaitLimit) {
    m_waiting.pop_front();
  }
}

void ConfigService::PushNewVersion(ControlContext& context)
{
  const LogIndex version = context.state.GetCatalogue().Version();
  if (version <= m_pushed) {
    return;
  }
  // Nonce 0 belongs to no query: the message delivers the change at once but confirms nothing. It
  // goes to entries only. Agents see the new version in their next lease grant or heartbeat and
  // query it, which saves the leader a frame to every target VM.
  wire::ConfigStateT state = context.state.GetCatalogue().StateSince(m_pushed);
  state.leaderTerm = context.replication.term.Get();
  const auto envelope = MakeEnvelope(std::move(state));
  for (const auto& [process, peer] : context.peers) {
    if (peer.up && peer.role == "entry") {
      context.Send(process, envelope);
    }
  }
  m_pushed = version;
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

void ConfigService::NoteInForceEverywhere(const ControlContext& context)
{
  LogIndex everywhere = context.state.GetCatalogue().Version();
  if (m_everywhereAt.contains(everywhere)) {
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
    if (!m_everywhereAt.emplace(LogIndex(change->index), context.wallMillis).second) {
      break; // Already recorded, as are all earlier changes.
    }
    if (m_everywhereAt.size() >= kMaxForceTimes) {
      m_everywhereAt.erase(m_everywhereAt.begin());
      break;
    }
  }
}

std::optional<WallMillis> ConfigService::InForceEverywhereAt(LogIndex version) const
{
  const auto found = m_everywhereAt.find(version);
  return found == m_everywhereAt.end() ? std::nullopt : std::optional(found->second);
}

} // namespace gooseberrysail
