#include "consensus/raft_core.hpp"

#include <algorithm>
#include <functional>

namespace gooseberrysail {

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
  peers.clear();
  votes.clear();
  newestImage = nullptr;
  ResetElectionTimer();
}

void RaftNode::Impl::ResetElectionTimer()
{
  // Equal timeouts would let voters campaign at the same moment and split the votes for ever.
  const auto span = static_cast<std::uint64_t>(settings.electionTimeout.count());
  const auto extra =
    Duration(static_cast<Duration::rep>(hooks.random() % std::max(span, std::uint64_t{ 1 })));
  electionDeadline = now + settings.electionTimeout + extra;
}

bool RaftNode::Impl::IsVoter() const
{
  const Member* member = membership.Find(settings.self);
  return member != nullptr && member->voter && member->identity == identity;
}

bool RaftNode::Impl::HeardFromLeader() const
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

// Asks first whether an election could be won, without entering a new term. Without it, a voter
// that was frozen or cut off would come back with a higher term and depose the leader.
void RaftNode::Impl::StartPreVote()
{
  ResetElectionTimer();
  role = RaftRole::kPreCandidate;
  leader.clear();
  votes.clear();
  votes[self] = true;
  if (membership.Quorum() == 1) {
    StartElection();
    return;
  }
  AskForVotes(Kind::PreVote, hardState.term.Get() + 1);
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
  AskForVotes(Kind::Vote, hardState.term.Get());
}

void RaftNode::Impl::AskForVotes(Kind kind, std::uint64_t forTerm)
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
    grant = message.term > term && upToDate && !HeardFromLeader();
  } else {
    const bool free = hardState.vote.IsNone() || hardState.vote.Get() == message.from;
    grant = message.term == term && free && upToDate;
  }
  // A voter whose place was given away while it was gone doesn't know, and would ask for ever.
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
  const std::uint64_t asked = hardState.term.Get() + (pre ? 1 : 0);
  if (role != (pre ? RaftRole::kPreCandidate : RaftRole::kCandidate)) {
    return;
  }
  if (message.granted && message.term != asked) {
    return; // Answers an earlier round.
  }
  // A voter whose disk was lost has forgotten for whom it voted and what it acknowledged. Its vote
  // could elect a leader that lacks acknowledged changes, so only the disk that the cluster let in
  // counts.
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
  leadingSince = now;
  peers.clear();
  UseMembership(membership, membershipIndex);
  Emit(EventNumber::kRaftLeaderElected,
       { { "leader", self }, { "term", std::to_string(hardState.term.Get()) } });
  // Entries of earlier terms may only be counted as committed together with one of this term: a
  // later leader could still replace them although a majority holds them.
  termStartIndex = AppendAsLeader(LogEntryKind::kLeaderStart, {});
  SendHeartbeats();
}

// The moment up to which a quorum certainly still followed: each peer counts with the time at which
// the append was sent that it answered. Counted from the answer, a reply that was long on its way
// would vouch for a time at which the peer already followed another leader.
TimePoint RaftNode::Impl::QuorumHeardAt() const
{
  std::vector<TimePoint> heard;
  for (const Member& member : membership.members) {
    if (!member.voter) {
      continue;
    }
    if (member.process == settings.self) {
      heard.push_back(now);
      continue;
    }
    const auto peer = peers.find(member.process.Get());
    heard.push_back(peer == peers.end() ? TimePoint{} : peer->second.heardSentAt);
  }
  const std::size_t quorum = membership.Quorum();
  if (heard.size() < quorum) {
    return TimePoint{};
  }
  std::sort(heard.begin(), heard.end(), std::greater<>());
  return heard[quorum - 1];
}

void RaftNode::Impl::CheckQuorum()
{
  const TimePoint heard = std::max(QuorumHeardAt(), leadingSince);
  if (now - heard < settings.electionTimeout) {
    return;
  }
  BecomeFollower(hardState.term.Get(), "", "no quorum answered for an election timeout");
}

} // namespace gooseberrysail
