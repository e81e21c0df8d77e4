#include "consensus/raft_core.hpp"

#include <algorithm>

namespace gooseberrysail {

using impl::FoundingAnswer;
using impl::Progress;
using impl::RaftRole;

bool RaftNode::Impl::IsEmpty() const
{
  return hardState.term.IsNone() && log.LastIndex() == 0 && !snapshot;
}

bool RaftNode::Impl::IsMember() const
{
  const Member* member = membership.Find(settings.self);
  return member != nullptr && member->identity == identity;
}

bool RaftNode::Impl::IsConfigured(const ProcessId& process) const
{
  if (settings.wantedVoters > 0) {
    return true; // Who has the cluster's key may join; whether it votes is decided apart.
  }
  return std::find(settings.voters.begin(), settings.voters.end(), process) !=
         settings.voters.end();
}

const ProcessId& RaftNode::Impl::Founder() const
{
  return *std::min_element(settings.voters.begin(), settings.voters.end());
}

// An empty disk may be a new cluster's or a lost one's, and the process cannot tell by itself. It
// asks all others. Only when every configured process says that its disk is empty too is there
// nothing to lose, and the first of them by name founds the cluster. A majority would not do: two
// of three wiped disks would found a new cluster beside the one that holds the data.
void RaftNode::Impl::AskToJoin()
{
  if (joinAsked && now < joinAskedAt + 2 * settings.heartbeat) {
    return;
  }
  joinAsked = true;
  joinAskedAt = now;
  joinNonce = hooks.random();
  foundingAnswers.clear();
  std::set<std::string> asked(joinHints);
  for (const ProcessId& process : settings.voters) {
    asked.insert(process.Get());
  }
  asked.erase(self);
  for (const std::string& process : asked) {
    Message query = NewMessage(Kind::JoinQuery, process);
    query.granted = IsEmpty();
    query.readContext = joinNonce;
    Send(std::move(query));
  }
  if (!waitingToJoinTold && settings.voters.size() > 1) {
    waitingToJoinTold = true;
    Emit(EventNumber::kRaftWaitingToJoin,
         { { "reason", IsEmpty() ? "empty disk" : "the cluster does not know this disk" } });
  }
  FoundIfAllEmpty();
}

void RaftNode::Impl::OnJoinQuery(const Message& message)
{
  const ProcessId process(message.from);
  if (!IsConfigured(process)) {
    return;
  }
  if (role == RaftRole::kLeader) {
    OnUnknownDisk(process, StorageIdentity(message.identity));
  }
  const bool empty = IsEmpty();
  Message reply = NewMessage(Kind::JoinReply, message.from);
  reply.granted = !empty || process != Founder();
  reply.readContext = message.readContext;
  for (const Member& member : membership.members) {
    reply.members.push_back(member.process.Get());
  }
  Send(std::move(reply));
}

void RaftNode::Impl::OnJoinReply(const Message& message)
{
  if (message.readContext != joinNonce || !IsConfigured(ProcessId(message.from))) {
    return;
  }
  // The processes of the settings may all be followers, or replaced since: the leader is asked too.
  joinHints.insert(message.members.begin(), message.members.end());
  foundingAnswers[message.from] =
    FoundingAnswer{ StorageIdentity(message.identity), !message.granted, message.readContext };
  FoundIfAllEmpty();
}

void RaftNode::Impl::FoundIfAllEmpty()
{
  if (!settings.mayFound || !IsEmpty() || settings.self != Founder()) {
    return;
  }
  // After a pause the answers are old: a process may have data by now.
  if (now - joinAskedAt >= settings.electionTimeout) {
    return;
  }
  Membership founded;
  founded.cluster = identity.Get();
  for (const ProcessId& process : settings.voters) {
    if (process == settings.self) {
      founded.members.push_back({ process, identity, true });
      continue;
    }
    const auto answer = foundingAnswers.find(process.Get());
    if (answer == foundingAnswers.end() || !answer->second.empty) {
      return;
    }
    founded.members.push_back({ process, answer->second.identity, true });
  }
  Found(founded);
}

void RaftNode::Impl::Found(const Membership& founded)
{
  // The term stays 0 until this entry is synced: a crash in between must leave a disk that counts
  // as empty, or nobody could found the cluster any more.
  hardState.cluster = founded.cluster;
  log.Append({ LogIndex(1), Term(0), LogEntryKind::kMembership, EncodeMembership(founded) });
  Emit(EventNumber::kRaftFounded,
       { { "cluster", std::to_string(founded.cluster) },
         { "members", std::to_string(founded.members.size()) } });
  RecomputeMembership();
  electionDeadline = now;
}

// A configured process came with a disk that the membership doesn't hold. One change takes the lost
// disk's vote away and lets the new disk in as a learner; a second one makes it a voter once it has
// the log. Two steps, so that each change adds or removes one voter: majorities before and after a
// change then always share a process.
void RaftNode::Impl::OnUnknownDisk(const ProcessId& process, StorageIdentity newDisk)
{
  const Member* member = membership.Find(process);
  if (!IsConfigured(process) || newDisk.IsNone() || process == settings.self) {
    return;
  }
  if ((member != nullptr && member->identity == newDisk) || !MayChangeMembers()) {
    return;
  }
  const auto peer = peers.find(process.Get());
  const bool oldIsAlive = peer != peers.end() && peer->second.repliedAt != TimePoint{} &&
                          now - peer->second.repliedAt < settings.electionTimeout;
  const std::vector<std::pair<std::string, std::string>> fields = {
    { "process", process.Get() },
    { "old", member == nullptr ? "" : std::to_string(member->identity.Get()) },
    { "new", std::to_string(newDisk.Get()) }
  };
  if (member != nullptr && oldIsAlive) {
    Emit(EventNumber::kRaftDuplicateProcess, fields);
    return;
  }
  Emit(EventNumber::kRaftNewDisk, fields);
  Membership changed = membership;
  std::erase_if(changed.members, [&](const Member& each) { return each.process == process; });
  changed.members.push_back({ process, newDisk, false });
  ProposeMembership(changed);
}

// One change at a time, and none before an entry of this term committed: majorities of two changes
// that overlap need not share a process.
bool RaftNode::Impl::MayChangeMembers() const
{
  return role == RaftRole::kLeader && commit >= termStartIndex && membershipIndex <= commit;
}

std::uint64_t RaftNode::Impl::ProposeMembership(const Membership& changed)
{
  const std::uint64_t index = AppendAsLeader(LogEntryKind::kMembership, EncodeMembership(changed));
  UseMembership(changed, index);
  return index;
}

void RaftNode::Impl::PromoteLearners()
{
  if (!MayChangeMembers()) {
    return;
  }
  for (const Member& member : membership.members) {
    const auto peer = peers.find(member.process.Get());
    if (member.voter || peer == peers.end() || !IsConfigured(member.process)) {
      continue;
    }
    const bool caughtUp = peer->second.match >= commit;
    const bool alive = now - peer->second.heardSentAt < settings.electionTimeout;
    if (!caughtUp || !alive) {
      continue;
    }
    if (settings.wantedVoters > 0 && membership.VoterCount() >= settings.wantedVoters) {
      RetireSilentVoter();
      return;
    }
    Membership changed = membership;
    for (Member& each : changed.members) {
      each.voter = each.voter || each.process == member.process;
    }
    ProposeMembership(changed);
    return;
  }
}

// A machine that is gone for good keeps its vote until another process stands ready to take its
// place; the vote of one that is only slow to come back is so never lost for nothing. Its removal
// and the newcomer's vote are two changes, of one voter each.
void RaftNode::Impl::RetireSilentVoter()
{
  const std::string* longest = nullptr;
  TimePoint oldest = now - settings.replaceAfter;
  for (const auto& [process, peer] : peers) {
    // A leader that just began has not heard anybody yet.
    const TimePoint heard = std::max(peer.repliedAt, leadingSince);
    if (peer.voter && heard <= oldest) {
      oldest = heard;
      longest = &process;
    }
  }
  if (longest == nullptr) {
    return;
  }
  Emit(EventNumber::kRaftVoterRetired, { { "process", *longest } });
  Membership changed = membership;
  std::erase_if(changed.members,
                [&](const Member& each) { return each.process.Get() == *longest; });
  ProposeMembership(changed);
}

void RaftNode::Impl::UseMembership(Membership newest, std::uint64_t index)
{
  membership = std::move(newest);
  membershipIndex = index;
  if (role != RaftRole::kLeader) {
    return;
  }
  std::map<std::string, Progress> kept;
  for (const Member& member : membership.members) {
    if (member.process == settings.self) {
      continue;
    }
    const auto before = peers.find(member.process.Get());
    Progress progress;
    if (before != peers.end() && before->second.identity == member.identity) {
      progress = before->second;
    } else {
      progress.identity = member.identity;
      progress.next = log.LastIndex() + 1;
    }
    progress.voter = member.voter;
    kept.emplace(member.process.Get(), std::move(progress));
  }
  peers = std::move(kept);
}

Membership RaftNode::Impl::MembershipAt(std::uint64_t index) const
{
  for (std::uint64_t i = std::min(index, log.LastIndex()); i > log.Base(); --i) {
    if (log.At(i).kind != LogEntryKind::kMembership) {
      continue;
    }
    Result<Membership> decoded = DecodeMembership(log.At(i).payload);
    if (decoded) {
      return std::move(decoded).value();
    }
  }
  return snapshot ? snapshot->membership : Membership{};
}

void RaftNode::Impl::RecomputeMembership()
{
  std::uint64_t index = snapshot ? snapshot->index.Get() : 0;
  for (std::uint64_t i = log.LastIndex(); i > log.Base(); --i) {
    if (log.At(i).kind == LogEntryKind::kMembership) {
      index = i;
      break;
    }
  }
  UseMembership(MembershipAt(log.LastIndex()), index);
}

} // namespace gooseberrysail
