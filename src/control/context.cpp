#include "gooseberrysail/control/context.hpp"

namespace gooseberrysail {

namespace {

constexpr Duration kFreshQuorum = std::chrono::seconds(1);
/// About what one write to the socket takes; a longer queue only delays newer state.
constexpr std::size_t kMaxQueuedBytes = 64 * 1024;

} // namespace

bool Proposer::IsDue(TimePoint now, const std::string& key)
{
  const auto [found, isNew] = m_proposedAt.try_emplace(key, now);
  if (!isNew && now - found->second < kRetryAfter) {
    return false;
  }
  found->second = now;
  return true;
}

void Proposer::Forget(TimePoint now)
{
  std::erase_if(m_proposedAt, [&](const auto& item) { return now - item.second >= kRetryAfter; });
}

bool ControlContext::HasFreshQuorum() const
{
  return ready && replication.quorumHeardAt + kFreshQuorum >= now;
}

bool ControlContext::HasQueueCapacity(const ProcessId& peer) const
{
  return queuedBytes == nullptr || !*queuedBytes || (*queuedBytes)(peer) < kMaxQueuedBytes;
}

bool ControlContext::IsUp(const ProcessId& peer) const
{
  const auto found = peers.find(peer);
  return found != peers.end() && found->second.up;
}

std::vector<ProcessId> ControlContext::ListEntries() const
{
  std::vector<ProcessId> entries;
  for (const auto& [process, peer] : peers) {
    if (peer.up && peer.role == "entry") {
      entries.push_back(process);
    }
  }
  return entries;
}

void ControlContext::Send(const ProcessId& peer, std::shared_ptr<wire::EnvelopeT> envelope)
{
  envelope->version = state.GetCatalogue().Version().Get();
  outbox.emplace_back(FrameOut{ peer, "", std::move(envelope) });
}

ReadTicket TakeTicket(const ControlContext& context)
{
  return ReadTicket{ context.now, context.replication.committed };
}

bool IsConfirmed(const ControlContext& context, const ReadTicket& ticket)
{
  return context.ready && context.replication.quorumHeardAt >= ticket.asked &&
         context.replication.applied >= ticket.committed;
}

} // namespace gooseberrysail
