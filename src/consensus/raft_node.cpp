#include "gooseberrysail/consensus/raft_node.hpp"

#include "consensus/raft_core.hpp"

#include <algorithm>
#include <cassert>

namespace gooseberrysail {

RaftNode::Impl::Impl(RaftSettings given, RaftHooks givenHooks, RecoveredLog recovered)
  : settings(std::move(given))
  , hooks(std::move(givenHooks))
  , identity(recovered.identity)
  , self(settings.self.Get())
  , hardState(recovered.hardState)
  , persistedHardState(recovered.hardState)
  , snapshot(recovered.snapshot)
  , joinNonce(hooks.random())
  , restoreSnapshot(recovered.snapshot)
{
  if (snapshot) {
    log.Reset(snapshot->index.Get(), snapshot->term.Get());
    commit = applied = snapshot->index.Get();
  }
  for (LogRecord& entry : recovered.entries) {
    log.Append(std::move(entry));
  }
  persisted = log.LastIndex();
  RecomputeMembership();
}

void RaftNode::Impl::Tick(TimePoint moment)
{
  UpdateClock(moment);
  if (role == impl::RaftRole::kLeader) {
    CheckQuorum();
  }
  if (role == impl::RaftRole::kLeader) {
    PromoteLearners();
    if (now >= heartbeatAt) {
      SendHeartbeats();
    }
    return;
  }
  // The admission that a learner has stored may never have been committed; no leader knows it then.
  if (!IsMember() || (!IsVoter() && !HasLeaderContact())) {
    SendJoinQueries();
    return;
  }
  CampaignIfDue();
}

// Advances the node's clock, which never goes back, even if calls arrive out of order.
void RaftNode::Impl::UpdateClock(TimePoint moment)
{
  now = std::max(now, moment);
  if (started) {
    return;
  }
  started = true;
  ResetPreVoteTimer();
  // The only voter can start its election without a timeout.
  if (IsVoter() && membership.VoterCount() == 1) {
    electionDeadline = now;
  }
}

void RaftNode::Impl::Step(TimePoint moment, const Message& message)
{
  UpdateClock(moment);
  if (message.to != self || message.from == self) {
    return;
  }
  if (message.kind == Kind::JoinQuery) {
    OnJoinQuery(message);
    return;
  }
  if (message.kind == Kind::JoinReply) {
    OnJoinReply(message);
    return;
  }
  if (!CheckCluster(message) || !HandleTerm(message)) {
    return;
  }
  Dispatch(message);
}

// Without this check two clusters that are configured with each other's addresses would overwrite
// each other's logs, since terms and indexes do not identify a cluster.
bool RaftNode::Impl::CheckCluster(const Message& message)
{
  const std::uint64_t expected = hardState.cluster != 0 ? hardState.cluster : message.cluster;
  const bool known = hardState.cluster != 0 || IsConfigured(ProcessId(message.from));
  if (message.cluster == expected && expected != 0 && known) {
    if (message.kind != Kind::PreVote && message.kind != Kind::PreVoteReply) {
      hardState.cluster = expected;
    }
    return true;
  }
  if (otherClusterReported.insert(message.from).second) {
    Emit(EventNumber::kRaftOtherCluster,
         { { "peer", message.from },
           { "cluster", std::to_string(message.cluster) },
           { "expected", std::to_string(expected) } });
  }
  return false;
}

/// \returns Whether the message is to be handled further.
bool RaftNode::Impl::HandleTerm(const Message& message)
{
  const std::uint64_t term = hardState.term.Get();
  if (message.kind == Kind::PreVote) {
    return true; // Its term has not been entered yet.
  }
  if (message.kind == Kind::PreVoteReply && message.granted) {
    return true;
  }
  if (message.term > term) {
    // A voter in contact with its leader ignores vote requests. Otherwise a process that was
    // partitioned or removed would repeatedly depose a healthy leader.
    if (message.kind == Kind::Vote && HasLeaderContact()) {
      return false;
    }
    const bool fromLeader = message.kind == Kind::Append || message.kind == Kind::Snapshot;
    BecomeFollower(message.term, fromLeader ? message.from : "", "a higher term");
    return true;
  }
  if (message.term < term) {
    // The reply makes a leader of an older term step down. Without it a process that returned with
    // a higher term would never accept a leader again.
    if (message.kind == Kind::Append || message.kind == Kind::Snapshot) {
      Message reply = NewMessage(Kind::AppendReply, message.from);
      reply.readContext = message.readContext;
      Send(std::move(reply));
    }
    return message.kind == Kind::Vote; // OnVoteRequest rejects it, with the newer term.
  }
  return true;
}

void RaftNode::Impl::Dispatch(const Message& message)
{
  switch (message.kind) {
    case Kind::PreVote:
    case Kind::Vote:
      OnVoteRequest(message);
      return;
    case Kind::PreVoteReply:
    case Kind::VoteReply:
      OnVoteReply(message);
      return;
    case Kind::Append:
      OnAppend(message);
      return;
    case Kind::AppendReply:
      OnAppendReply(message);
      return;
    case Kind::Snapshot:
      OnSnapshotChunk(message);
      return;
    case Kind::SnapshotReply:
      OnSnapshotReply(message);
      return;
    default:
      return;
  }
}

bool RaftNode::Impl::HasReady() const
{
  return !messages.empty() || !events.empty() || persistSnapshot || restoreSnapshot ||
         hardState != persistedHardState || log.LastIndex() > persisted || commit > applied;
}

ReadyOutput RaftNode::Impl::TakeReady()
{
  assert(!pendingReady);
  if (role == impl::RaftRole::kLeader) {
    SendAppends();
  }
  ReadyOutput ready;
  ready.persistSnapshot = std::exchange(persistSnapshot, nullptr);
  ready.snapshotReplacesLog = std::exchange(snapshotReplacesLog, false);
  ready.restoreSnapshot = std::exchange(restoreSnapshot, nullptr);
  if (hardState != persistedHardState) {
    ready.hardState = hardState;
  }
  const auto unstored = log.Slice(persisted + 1, log.LastIndex());
  ready.entries.assign(unstored.begin(), unstored.end());
  TakeCommitted(ready);
  ready.messages = std::exchange(messages, {});
  ready.events = std::exchange(events, {});
  pendingReady = PendingReady{ hardState, log.LastIndex(), log.LastTerm(), commit };
  return ready;
}

void RaftNode::Impl::TakeCommitted(ReadyOutput& ready)
{
  for (const LogRecord& entry : log.Slice(applied + 1, commit)) {
    if (entry.kind == LogEntryKind::kCommand) {
      ready.committed.push_back(entry);
    }
  }
}

void RaftNode::Impl::Advance()
{
  assert(pendingReady);
  const PendingReady done = *std::exchange(pendingReady, std::nullopt);
  persistedHardState = done.hardState;
  // If entries were replaced while they were written, the new ones still have to be persisted.
  if (log.TermAt(done.lastIndex) == done.lastTerm) {
    persisted = std::max(persisted, done.lastIndex);
  }
  applied = std::max(applied, done.applied);
  if (role == impl::RaftRole::kLeader) {
    AdvanceCommit();
  } else {
    CampaignIfDue(); // The founder campaigns once its first entry is synced.
  }
}

RaftNode::Impl::Message RaftNode::Impl::NewMessage(Kind kind, const std::string& to) const
{
  Message message;
  message.kind = kind;
  message.term = hardState.term.Get();
  message.from = self;
  message.to = to;
  message.identity = identity.Get();
  message.cluster = hardState.cluster;
  return message;
}

void RaftNode::Impl::Send(Message message)
{
  messages.push_back(std::move(message));
}

void RaftNode::Impl::Emit(EventNumber number,
                          std::vector<std::pair<std::string, std::string>> fields)
{
  events.push_back(MakeEvent(number, std::move(fields)));
}

// ---- public interface ----

RaftNode::RaftNode(RaftSettings settings, RaftHooks hooks, RecoveredLog recovered)
  : m_impl(std::make_unique<Impl>(std::move(settings), std::move(hooks), std::move(recovered)))
{
}

RaftNode::~RaftNode() = default;

void RaftNode::Tick(TimePoint now)
{
  m_impl->Tick(now);
}

void RaftNode::Step(TimePoint now, const wire::RaftMessageT& message)
{
  m_impl->Step(now, message);
}

Result<LogIndex> RaftNode::Propose(std::vector<std::uint8_t> command)
{
  if (m_impl->role != impl::RaftRole::kLeader) {
    return Error{
      ErrorCode::kUnavailable, "propose", m_impl->leader, "this process does not lead"
    };
  }
  if (m_impl->IsForming()) {
    return Error{ ErrorCode::kUnavailable,
                  "propose",
                  "",
                  "the new cluster has " + std::to_string(m_impl->membership.VoterCount()) +
                    " of " + std::to_string(m_impl->settings.wantedVoters) + " voters" };
  }
  if (command.size() > m_impl->settings.maxCommandBytes) {
    return Error{ ErrorCode::kTooLarge,
                  "propose",
                  "",
                  "the command has " + std::to_string(command.size()) + " bytes, the limit is " +
                    std::to_string(m_impl->settings.maxCommandBytes) };
  }
  if (m_impl->log.BytesAfter(m_impl->commit) + command.size() > m_impl->settings.maxBacklogBytes) {
    return Error{
      ErrorCode::kUnavailable, "propose", "", "too much is proposed and not yet committed"
    };
  }
  return LogIndex(m_impl->AppendAsLeader(LogEntryKind::kCommand, std::move(command)));
}

Result<LogIndex> RaftNode::RemoveMember(const ProcessId& process)
{
  const Member* member = m_impl->membership.Find(process);
  if (member == nullptr) {
    return Error{ ErrorCode::kNotFound, "remove member", process.Get(), "not in the cluster" };
  }
  if (process.Get() == m_impl->self) {
    return Error{
      ErrorCode::kConflict, "remove member", process.Get(), "ask another process after this stopped"
    };
  }
  if (!m_impl->MayChangeMembers()) {
    return Error{ ErrorCode::kUnavailable,
                  "remove member",
                  m_impl->leader,
                  "not leading, or an earlier change has not committed yet" };
  }
  Membership changed = m_impl->membership;
  std::erase_if(changed.members, [&](const Member& each) { return each.process == process; });
  return LogIndex(m_impl->ProposeMembership(changed));
}

bool RaftNode::HasReady() const
{
  return m_impl->HasReady();
}

ReadyOutput RaftNode::TakeReady()
{
  return m_impl->TakeReady();
}

void RaftNode::Advance()
{
  m_impl->Advance();
}

bool RaftNode::WantsSnapshot() const
{
  const std::uint64_t last = m_impl->snapshot ? m_impl->snapshot->index.Get() : 0;
  const std::size_t snapshotBytes = m_impl->snapshot ? m_impl->snapshot->state.size() : 0;
  return m_impl->applied >= last + m_impl->settings.snapshotEvery ||
         m_impl->log.BytesBetween(last, m_impl->applied) >=
           SnapshotDueBytes(m_impl->settings, snapshotBytes);
}

void RaftNode::OnSnapshotTaken(LogIndex index, std::vector<std::uint8_t> state)
{
  m_impl->OnLocalSnapshot(index.Get(), std::move(state));
}

ReplicationStatus RaftNode::Status() const
{
  ReplicationStatus status;
  status.leader = m_impl->role == impl::RaftRole::kLeader;
  status.term = m_impl->hardState.term;
  status.committed = LogIndex(m_impl->commit);
  status.applied = LogIndex(m_impl->applied);
  status.leaderHint = ProcessId(m_impl->leader);
  for (const Member& member : m_impl->membership.members) {
    status.members.push_back(member.process);
  }
  // Until an entry of its own term is committed, a new leader may not know the latest committed
  // index, and a read could miss changes that its predecessor acknowledged.
  if (status.leader && m_impl->commit >= m_impl->termStartIndex) {
    status.quorumHeardAt = m_impl->QuorumHeardAt();
  }
  return status;
}

const Membership& RaftNode::CurrentMembership() const noexcept
{
  return m_impl->membership;
}

std::span<const LogRecord> RaftNode::Entries() const noexcept
{
  return m_impl->log.All();
}

} // namespace gooseberrysail
