#include "consensus/raft_core.hpp"

#include <algorithm>
#include <functional>

namespace gooseberrysail {

namespace {

/// Until a process has known a leader, it campaigns after the election timeout divided by this.
constexpr int kFirstPreVoteDivisor = 4;

} // namespace

using impl::Progress;
using impl::RaftRole;

void RaftNode::Impl::BecomeFollower(std::uint64_t newTerm,
                                    const std::string& newLeader,
                                    const char* reason)
{
  if (role == RaftRole::kLeader) {
    Emit(EventNumber::kRaftSteppedDown,
         { { "term", std::to_string(hardState.term.Get()) }, { "reason", reason } });
  }
  if (newTerm > hardState.term.Get()) {
    hardState.term = Term(newTerm);
    hardState.vote = ProcessId();
  }
  if (!newLeader.empty() && newLeader != leader) {
    Emit(EventNumber::kRaftLeaderKnown,
         { { "leader", newLeader }, { "term", std::to_string(newTerm) } });
  }
  role = RaftRole::kFollower;
  leader = newLeader;
  hasKnownLeader = hasKnownLeader || !newLeader.empty();
  peers.clear();
  votes.clear();
  newestImage = nullptr;
  ResetElectionTimer();
}

void RaftNode::Impl::ResetElectionTimer()
{
  electionDeadline = now + DrawTimeout(settings.electionTimeout);
}

// A process that has just started has no leader that it could depose by a pre-vote. After the
// restart of all processes nothing is served until the first of them campaigns.
void RaftNode::Impl::ResetPreVoteTimer()
{
  const int divisor = hasKnownLeader ? 1 : kFirstPreVoteDivisor;
  electionDeadline = now + DrawTimeout(settings.electionTimeout / divisor);
}

// With equal timeouts voters would campaign at the same time and could split the votes forever.
Duration RaftNode::Impl::DrawTimeout(Duration least) const
{
  const auto span = static_cast<std::uint64_t>(least.count());
  return least +
         Duration(static_cast<Duration::rep>(hooks.random() % std::max(span, std::uint64_t{ 1 })));
}

bool RaftNode::Impl::IsVoter() const
{
  const Member* member = membership.Find(settings.self);
  return member != nullptr && member->voter && member->identity == identity;
}

bool RaftNode::Impl::HasLeaderContact() const
{
  if (role == RaftRole::kLeader) {
    return true;
  }
  return !leader.empty() && now < leaderHeardAt + settings.electionTimeout;
}

void RaftNode::Impl::CampaignIfDue()
{
  if (IsVoter() && now >= electionDeadline && membershipIndex <= persisted) {
    StartPreVote();
  }
}

// Checks whether an election could be won without entering a new term. Otherwise a voter that was
// suspended or partitioned would return with a higher term and depose the leader.
void RaftNode::Impl::StartPreVote()
{
  ResetPreVoteTimer();
  role = RaftRole::kPreCandidate;
  leader.clear();
  votes.clear();
  votes[self] = true;
  if (membership.Quorum() == 1) {
    StartElection();
    return;
  }
  RequestVotes(Kind::PreVote, hardState.term.Get() + 1);
}

void RaftNode::Impl::StartElection()
{
  ResetElectionTimer();
  role = RaftRole::kCandidate;
  leader.clear();
  hardState.term = Term(hardState.term.Get() + 1);
  hardState.vote = settings.self;
  votes.clear();
  votes[self] = true;
  if (membership.Quorum() == 1) {
    BecomeLeader();
    return;
  }
  RequestVotes(Kind::Vote, hardState.term.Get());
}

void RaftNode::Impl::RequestVotes(Kind kind, std::uint64_t forTerm)
{
  for (const Member& member : membership.members) {
    if (!member.voter || member.process == settings.self) {
      continue;
    }
    Message message = NewMessage(kind, member.process.Get());
    message.term = forTerm;
    message.lastIndex = log.LastIndex();
    message.lastTerm = log.LastTerm();
    Send(std::move(message));
  }
}

void RaftNode::Impl::OnVoteRequest(const Message& message)
{
  const bool pre = message.kind == Kind::PreVote;
  const bool upToDate =
    std::pair(message.lastTerm, message.lastIndex) >= std::pair(log.LastTerm(), log.LastIndex());
  const std::uint64_t term = hardState.term.Get();
  bool grant = false;
  if (pre) {
    grant = message.term > term && upToDate && !HasLeaderContact();
  } else {
    const bool free = hardState.vote.IsNone() || hardState.vote.Get() == message.from;
    grant = message.term == term && free && upToDate;
  }
  // A voter that was replaced while it was down cannot learn of it and would campaign forever.
  if (role == RaftRole::kLeader && settings.wantedVoters > 0) {
    OnUnknownDisk(ProcessId(message.from), StorageIdentity(message.identity));
  }
  Message reply = NewMessage(pre ? Kind::PreVoteReply : Kind::VoteReply, message.from);
  reply.granted = grant;
  if (pre) {
    reply.cluster = message.cluster;
    reply.term = grant ? message.term : term;
  } else if (grant) {
    hardState.vote = ProcessId(message.from);
    ResetElectionTimer();
  }
  Send(std::move(reply));
}

void RaftNode::Impl::OnVoteReply(const Message& message)
{
  const bool pre = message.kind == Kind::PreVoteReply;
  const std::uint64_t expectedTerm = hardState.term.Get() + (pre ? 1 : 0);
  if (role != (pre ? RaftRole::kPreCandidate : RaftRole::kCandidate)) {
    return;
  }
  if (message.granted && message.term != expectedTerm) {
    return; // A reply to an earlier round.
  }
  // A voter that lost its disk also lost its vote and the entries that it acknowledged. Its vote
  // could elect a leader that lacks acknowledged changes, so only votes from the disk recorded in
  // the membership count.
  const Member* member = membership.Find(ProcessId(message.from));
  if (member == nullptr || !member->voter || member->identity.Get() != message.identity) {
    return;
  }
  votes[message.from] = message.granted;
  const auto granted = static_cast<std::size_t>(
    std::count_if(votes.begin(), votes.end(), [](const auto& vote) { return vote.second; }));
  if (granted < membership.Quorum()) {
    return;
  }
  if (pre) {
    StartElection();
  } else {
    BecomeLeader();
  }
}

void RaftNode::Impl::BecomeLeader()
{
  role = RaftRole::kLeader;
  leader = self;
  hasKnownLeader = true;
  leadingSince = now;
  peers.clear();
  SetMembership(membership, membershipIndex);
  Emit(EventNumber::kRaftLeaderElected,
       { { "leader", self }, { "term", std::to_string(hardState.term.Get()) } });
  // Entries of earlier terms are committed only together with an entry of this term: a later leader
  // could still replace them although a majority stores them.
  termStartIndex = AppendAsLeader(LogEntryKind::kLeaderStart, {});
  SendHeartbeats();
}

// The latest time at which a quorum is known to have followed this leader. Each peer counts with
// the send time of the latest message that it answered. The arrival time of a delayed reply could
// be a time at which the peer already followed another leader.
TimePoint RaftNode::Impl::QuorumHeardAt() const
{
  std::vector<TimePoint> contacts;
  for (const Member& member : membership.members) {
    if (!member.voter) {
      continue;
    }
    if (member.process == settings.self) {
      contacts.push_back(now);
      continue;
    }
    const auto peer = peers.find(member.process.Get());
    contacts.push_back(peer == peers.end() ? TimePoint{} : peer->second.ackedSentAt);
  }
  const std::size_t quorum = membership.Quorum();
  if (contacts.size() < quorum) {
    return TimePoint{};
  }
  std::sort(contacts.begin(), contacts.end(), std::greater<>());
  return contacts[quorum - 1];
}

void RaftNode::Impl::CheckQuorum()
{
  const TimePoint lastContact = std::max(QuorumHeardAt(), leadingSince);
  if (now - lastContact < settings.electionTimeout) {
    return;
  }
  BecomeFollower(hardState.term.Get(), "", "no quorum answered for an election timeout");
}

} // namespace gooseberrysail
