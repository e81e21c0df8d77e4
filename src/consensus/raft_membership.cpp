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
    return true; // Any authenticated process may join; its vote is decided separately.
  }
  return std::find(settings.voters.begin(), settings.voters.end(), process) !=
         settings.voters.end();
}

const ProcessId& RaftNode::Impl::Founder() const
{
  return *std::min_element(settings.voters.begin(), settings.voters.end());
}

// An empty disk can mean a new cluster or a lost disk, which a process cannot tell on its own, so
// it queries all others. Only if every configured process reports an empty disk is there no data to
// lose, and the first of them by name founds the cluster. A majority is not enough: two wiped disks
// out of three would found a second cluster beside the one that holds the data.
void RaftNode::Impl::SendJoinQueries()
{
  if (joinQuerySent && now < joinQuerySentAt + 2 * settings.heartbeat) {
    return;
  }
  joinQuerySent = true;
  joinQuerySentAt = now;
  joinNonce = hooks.random();
  foundingAnswers.clear();
  std::set<std::string> receivers(knownMembers);
  for (const ProcessId& process : settings.voters) {
    receivers.insert(process.Get());
  }
  receivers.erase(self);
  for (const std::string& process : receivers) {
    Message query = NewMessage(Kind::JoinQuery, process);
    query.granted = IsEmpty();
    query.readContext = joinNonce;
    Send(std::move(query));
  }
  if (!waitingToJoinReported && settings.voters.size() > 1) {
    waitingToJoinReported = true;
    Emit(EventNumber::kRaftWaitingToJoin,
         { { "reason", IsEmpty() ? "empty disk" : "the cluster does not know this disk" } });
  }
  FoundClusterIfAllEmpty();
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
  // All processes in the settings may be followers or may have been replaced, so the members that
  // they report are queried as well, which includes the leader.
  knownMembers.insert(message.members.begin(), message.members.end());
  foundingAnswers[message.from] =
    FoundingAnswer{ StorageIdentity(message.identity), !message.granted, message.readContext };
  FoundClusterIfAllEmpty();
}

void RaftNode::Impl::FoundClusterIfAllEmpty()
{
  if (!settings.mayFound || !IsEmpty() || settings.self != Founder()) {
    return;
  }
  // The replies may be outdated, for example after a pause: a process may have data by now.
  if (now - joinQuerySentAt >= settings.electionTimeout) {
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
  founded.forming = founded.members.size() < settings.wantedVoters;
  FoundCluster(founded);
}

void RaftNode::Impl::FoundCluster(const Membership& founded)
{
  // The term stays 0 until this entry is synced: after a crash before that the disk must still
  // count as empty, or the cluster could never be founded.
  hardState.cluster = founded.cluster;
  log.Append({ LogIndex(1), Term(0), LogEntryKind::kMembership, EncodeMembership(founded) });
  Emit(EventNumber::kRaftFounded,
       { { "cluster", std::to_string(founded.cluster) },
         { "members", std::to_string(founded.members.size()) },
         { "wanted", std::to_string(std::max(settings.wantedVoters, settings.voters.size())) } });
  RecomputeMembership();
  electionDeadline = now;
}

// What is acknowledged must outlast as many lost disks as the wanted voters do. With fewer voters,
// these disks could be half of them.
bool RaftNode::Impl::IsForming() const
{
  return membership.forming && now - leadingSince < settings.formingWait;
}

// Handles a configured process whose disk is not in the membership. A first change removes the old
// disk and adds the new one as a learner; a second change makes it a voter once it has caught up.
// Each change thus adds or removes at most one voter, so that the majorities before and after it
// overlap.
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

// Only one membership change may be pending, and none before an entry of this term is committed:
// the majorities of two concurrent changes need not overlap.
bool RaftNode::Impl::MayChangeMembers() const
{
  return role == RaftRole::kLeader && commit >= termStartIndex && membershipIndex <= commit;
}

std::uint64_t RaftNode::Impl::ProposeMembership(const Membership& changed)
{
  const std::uint64_t index = AppendAsLeader(LogEntryKind::kMembership, EncodeMembership(changed));
  SetMembership(changed, index);
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
    const bool alive = now - peer->second.ackedSentAt < settings.electionTimeout;
    if (!caughtUp || !alive) {
      continue;
    }
    if (settings.wantedVoters > 0 && membership.VoterCount() >= settings.wantedVoters) {
      RemoveUnresponsiveVoter();
      return;
    }
    Membership changed = membership;
    for (Member& each : changed.members) {
      each.voter = each.voter || each.process == member.process;
    }
    changed.forming = changed.forming && changed.VoterCount() < settings.wantedVoters;
    ProposeMembership(changed);
    return;
  }
}

// A failed voter is removed only once a learner is ready to replace it, so that a voter that is
// slow to return does not lose its vote needlessly. Removing it and promoting the learner are two
// changes of one voter each.
void RaftNode::Impl::RemoveUnresponsiveVoter()
{
  const std::string* longestSilent = nullptr;
  TimePoint oldest = now - settings.replaceAfter;
  for (const auto& [process, peer] : peers) {
    // A new leader has not received any replies yet.
    const TimePoint lastContact = std::max(peer.repliedAt, leadingSince);
    if (peer.voter && lastContact <= oldest) {
      oldest = lastContact;
      longestSilent = &process;
    }
  }
  if (longestSilent == nullptr) {
    return;
  }
  Emit(EventNumber::kRaftVoterRetired, { { "process", *longestSilent } });
  Membership changed = membership;
  std::erase_if(changed.members,
                [&](const Member& each) { return each.process.Get() == *longestSilent; });
  ProposeMembership(changed);
}

void RaftNode::Impl::SetMembership(Membership newest, std::uint64_t index)
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
  SetMembership(MembershipAt(log.LastIndex()), index);
}

} // namespace gooseberrysail
