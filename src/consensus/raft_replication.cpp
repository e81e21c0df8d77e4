#include "consensus/raft_core.hpp"

#include <algorithm>
#include <cassert>
#include <functional>

namespace gooseberrysail {

using impl::Progress;
using impl::RaftRole;

namespace {

std::uint64_t ToContext(TimePoint moment)
{
  return static_cast<std::uint64_t>(moment.time_since_epoch().count());
}

TimePoint FromContext(std::uint64_t context)
{
  return TimePoint(Duration(static_cast<Duration::rep>(context)));
}

std::unique_ptr<wire::LogEntryT> ToWire(const LogRecord& entry)
{
  auto row = std::make_unique<wire::LogEntryT>();
  row->term = entry.term.Get();
  row->index = entry.index.Get();
  row->kind = static_cast<std::uint8_t>(entry.kind);
  row->payload = entry.payload;
  return row;
}

LogRecord FromWire(const wire::LogEntryT& row)
{
  return { LogIndex(row.index), Term(row.term), static_cast<LogEntryKind>(row.kind), row.payload };
}

} // namespace

std::uint64_t RaftNode::Impl::AppendAsLeader(LogEntryKind kind, std::vector<std::uint8_t> payload)
{
  const std::uint64_t index = log.LastIndex() + 1;
  log.Append({ LogIndex(index), hardState.term, kind, std::move(payload) });
  return index;
}

void RaftNode::Impl::SendHeartbeats()
{
  heartbeatAt = now + settings.heartbeat;
  for (auto& [process, peer] : peers) {
    if (peer.mode == Progress::Mode::kSnapshot) {
      peer.chunkSent = false; // The chunk or its reply may be lost.
      SendSnapshotChunk(process, peer);
      continue;
    }
    SendAppend(process, peer, true);
  }
}

void RaftNode::Impl::SendAppends()
{
  for (auto& [process, peer] : peers) {
    while (peer.mode == Progress::Mode::kReplicate && peer.next <= log.LastIndex() &&
           peer.inFlight < settings.maxInFlight) {
      SendAppend(process, peer, false);
    }
    if (peer.mode == Progress::Mode::kProbe && !peer.probeSent && peer.next <= log.LastIndex()) {
      SendAppend(process, peer, false);
    }
  }
}

/// \param heartbeat Sends a message without entries, unless the peer is being probed.
void RaftNode::Impl::SendAppend(const std::string& to, Progress& peer, bool heartbeat)
{
  const std::uint64_t previous = peer.next - 1;
  const auto previousTerm = log.TermAt(previous);
  if (!previousTerm) {
    peer.mode = Progress::Mode::kSnapshot;
    peer.image = nullptr;
    peer.chunkSent = false;
    SendSnapshotChunk(to, peer);
    return;
  }
  Message message = NewMessage(Kind::Append, to);
  message.lastIndex = previous;
  message.lastTerm = *previousTerm;
  message.commit = commit;
  message.readContext = ToContext(now);
  const bool withEntries = !heartbeat || peer.mode == Progress::Mode::kProbe;
  std::size_t bytes = 0;
  for (std::uint64_t index = peer.next; withEntries && index <= log.LastIndex(); ++index) {
    const LogRecord& entry = log.At(index);
    if (!message.entries.empty() && bytes + entry.payload.size() > settings.maxAppendBytes) {
      break;
    }
    bytes += entry.payload.size();
    message.entries.push_back(ToWire(entry));
  }
  if (peer.mode == Progress::Mode::kProbe) {
    peer.probeSent = true;
  } else {
    peer.next += message.entries.size();
    peer.inFlight += message.entries.empty() ? 0 : 1;
  }
  Send(std::move(message));
}

void RaftNode::Impl::SendSnapshotChunk(const std::string& to, Progress& peer)
{
  if (peer.chunkSent || !snapshot) {
    return;
  }
  if (!peer.image) {
    if (!newestImage || newestImage->index != snapshot->index.Get()) {
      newestImage = std::make_shared<const impl::SnapshotImage>(impl::SnapshotImage{
        snapshot->index.Get(), snapshot->term.Get(), EncodeSnapshot(*snapshot) });
    }
    peer.image = newestImage;
    peer.snapshotOffset = 0;
  }
  const std::vector<std::uint8_t>& bytes = peer.image->bytes;
  const std::size_t offset = std::min<std::size_t>(peer.snapshotOffset, bytes.size());
  const std::size_t size = std::min(settings.snapshotChunkBytes, bytes.size() - offset);
  Message message = NewMessage(Kind::Snapshot, to);
  message.lastIndex = peer.image->index;
  message.lastTerm = peer.image->term;
  message.commit = commit;
  message.readContext = ToContext(now);
  message.snapshotOffset = offset;
  message.snapshotDone = offset + size == bytes.size();
  const auto chunk = std::span(bytes).subspan(offset, size);
  message.snapshot.assign(chunk.begin(), chunk.end());
  peer.chunkSent = true;
  Send(std::move(message));
}

// ---- follower ----

void RaftNode::Impl::OnAppend(const Message& message)
{
  if (role == RaftRole::kLeader) {
    return; // A term has only one leader, so this message is forged or misdirected.
  }
  if (role != RaftRole::kFollower || leader != message.from) {
    BecomeFollower(message.term, message.from, "");
  }
  leaderHeardAt = now;
  ResetElectionTimer();
  if (message.lastIndex < commit) {
    // Committed entries are identical on all processes and need no comparison.
    Message reply = NewMessage(Kind::AppendReply, message.from);
    reply.granted = true;
    reply.lastIndex = commit;
    reply.readContext = message.readContext;
    Send(std::move(reply));
    return;
  }
  if (log.TermAt(message.lastIndex) != message.lastTerm) {
    RejectAppend(message);
    return;
  }
  AcceptEntries(message);
}

// Sends the leader the latest index at which the logs may match, so that it skips a whole term at
// once instead of going back entry by entry.
void RaftNode::Impl::RejectAppend(const Message& message)
{
  std::uint64_t hint = std::min(message.lastIndex, log.LastIndex());
  while (hint > log.Base() && log.TermAt(hint).value_or(0) > message.lastTerm) {
    --hint;
  }
  Message reply = NewMessage(Kind::AppendReply, message.from);
  reply.lastIndex = message.lastIndex;
  reply.hintIndex = hint;
  reply.lastTerm = log.TermAt(hint).value_or(0);
  reply.readContext = message.readContext;
  Send(std::move(reply));
}

void RaftNode::Impl::AcceptEntries(const Message& message)
{
  std::uint64_t last = message.lastIndex;
  bool membershipChanged = false;
  for (const auto& row : message.entries) {
    if (row->index != last + 1) {
      return; // Malformed: the entries are not contiguous.
    }
    last = row->index;
    if (log.TermAt(last) == row->term) {
      continue;
    }
    if (last <= log.LastIndex()) {
      if (last <= commit) {
        return; // A committed entry is never replaced.
      }
      membershipChanged = membershipChanged || membershipIndex >= last;
      log.TruncateFrom(last);
      persisted = std::min(persisted, last - 1);
    }
    log.Append(FromWire(*row));
    membershipChanged = membershipChanged || log.At(last).kind == LogEntryKind::kMembership;
  }
  if (membershipChanged) {
    RecomputeMembership();
  }
  SetCommit(std::min(message.commit, last));
  Message reply = NewMessage(Kind::AppendReply, message.from);
  reply.granted = true;
  reply.lastIndex = last;
  reply.readContext = message.readContext;
  Send(std::move(reply));
}

void RaftNode::Impl::OnSnapshotChunk(const Message& message)
{
  if (role == RaftRole::kLeader) {
    return;
  }
  if (role != RaftRole::kFollower || leader != message.from) {
    BecomeFollower(message.term, message.from, "");
  }
  leaderHeardAt = now;
  ResetElectionTimer();
  if (message.lastIndex <= commit) {
    Message reply = NewMessage(Kind::AppendReply, message.from);
    reply.granted = true;
    reply.lastIndex = commit;
    reply.readContext = message.readContext;
    Send(std::move(reply));
    return;
  }
  const bool same = incomingFrom == message.from && incomingTerm == message.term &&
                    incomingIndex == message.lastIndex;
  if (!same) {
    incoming.clear();
    incomingFrom = message.from;
    incomingTerm = message.term;
    incomingIndex = message.lastIndex;
  }
  if (message.snapshotOffset == incoming.size()) {
    incoming.insert(incoming.end(), message.snapshot.begin(), message.snapshot.end());
    if (message.snapshotDone) {
      InstallSnapshot(std::exchange(incoming, {}), message);
      return;
    }
  }
  Message reply = NewMessage(Kind::SnapshotReply, message.from);
  reply.lastIndex = message.lastIndex;
  reply.snapshotOffset = incoming.size();
  reply.readContext = message.readContext;
  Send(std::move(reply));
}

void RaftNode::Impl::InstallSnapshot(std::vector<std::uint8_t> bytes, const Message& message)
{
  Result<RaftSnapshot> decoded = DecodeSnapshot(bytes);
  if (!decoded || decoded.value().index.Get() != message.lastIndex) {
    Message reply = NewMessage(Kind::SnapshotReply, message.from); // Restarts the transfer.
    reply.lastIndex = message.lastIndex;
    Send(std::move(reply));
    return;
  }
  snapshot = std::make_shared<const RaftSnapshot>(std::move(decoded).value());
  const std::uint64_t index = snapshot->index.Get();
  Emit(EventNumber::kRaftSnapshotReceived,
       { { "index", std::to_string(index) }, { "bytes", std::to_string(bytes.size()) } });
  // Entries after the snapshot stay only if the log matches the snapshot's last entry.
  const bool sameHistory = log.TermAt(index) == snapshot->term.Get();
  if (sameHistory) {
    log.CompactTo(index);
    persisted = std::max(persisted, index);
  } else {
    log.Reset(index, snapshot->term.Get());
    persisted = index;
    snapshotReplacesLog = true;
  }
  commit = applied = index;
  persistSnapshot = restoreSnapshot = snapshot;
  RecomputeMembership();
  Message reply = NewMessage(Kind::AppendReply, message.from);
  reply.granted = true;
  reply.lastIndex = index;
  reply.readContext = message.readContext;
  Send(std::move(reply));
}

// ---- leader ----

/// Records the contact with the peer that sent a reply.
/// \returns The peer, or null if its disk is not the one in the membership.
Progress* RaftNode::Impl::RecordReply(const Message& message)
{
  if (role != RaftRole::kLeader) {
    return nullptr;
  }
  const auto peer = peers.find(message.from);
  if (peer == peers.end() || peer->second.identity.Get() != message.identity) {
    // A new disk under an existing name must not count: the cluster still relies on the entries
    // that the lost disk acknowledged, so counting the new one could lose committed entries.
    OnUnknownDisk(ProcessId(message.from), StorageIdentity(message.identity));
    return nullptr;
  }
  Progress& known = peer->second;
  known.repliedAt = now;
  const TimePoint sentAt = FromContext(message.readContext);
  if (sentAt <= now) {
    known.ackedSentAt = std::max(known.ackedSentAt, sentAt);
  }
  return &known;
}

void RaftNode::Impl::OnAppendReply(const Message& message)
{
  Progress* peer = RecordReply(message);
  if (peer == nullptr) {
    return;
  }
  if (!message.granted) {
    OnAppendRejected(message, *peer);
    return;
  }
  if (message.lastIndex > log.LastIndex()) {
    return; // Malformed: acknowledges entries that were never sent.
  }
  peer->inFlight -= peer->inFlight > 0 ? 1 : 0;
  peer->match = std::max(peer->match, message.lastIndex);
  peer->next = std::max(peer->next, peer->match + 1);
  if (peer->mode == Progress::Mode::kSnapshot && peer->match < log.Base()) {
    // Either a late reply, or the log no longer has the entries after the installed snapshot.
    if (peer->image && peer->match >= peer->image->index) {
      peer->image = nullptr;
      peer->chunkSent = false;
      SendSnapshotChunk(message.from, *peer);
    }
    return;
  }
  if (peer->mode != Progress::Mode::kReplicate) {
    peer->mode = Progress::Mode::kReplicate;
    peer->next = peer->match + 1;
    peer->image = nullptr;
  }
  if (peer->next == peer->match + 1) {
    peer->inFlight = 0; // Nothing is outstanding; replies may have been lost.
  }
  AdvanceCommit();
  SendAppends();
}

void RaftNode::Impl::OnAppendRejected(const Message& message, Progress& peer)
{
  if (peer.mode == Progress::Mode::kSnapshot) {
    return;
  }
  const std::uint64_t rejected = message.lastIndex;
  const bool stale =
    peer.mode == Progress::Mode::kReplicate ? rejected <= peer.match : rejected != peer.next - 1;
  if (stale) {
    return;
  }
  std::uint64_t candidate = std::min(message.hintIndex, log.LastIndex());
  while (candidate > log.Base() && log.TermAt(candidate).value_or(0) > message.lastTerm) {
    --candidate;
  }
  peer.mode = Progress::Mode::kProbe;
  peer.inFlight = 0;
  peer.probeSent = false;
  peer.next = std::max(std::min(candidate, rejected - 1), peer.match) + 1;
  SendAppend(message.from, peer, false);
}

void RaftNode::Impl::OnSnapshotReply(const Message& message)
{
  Progress* peer = RecordReply(message);
  if (peer == nullptr || peer->mode != Progress::Mode::kSnapshot || !peer->image ||
      message.lastIndex != peer->image->index) {
    return;
  }
  peer->snapshotOffset = message.snapshotOffset;
  peer->chunkSent = false;
  if (peer->image->index < log.Base()) {
    peer->image = nullptr; // The entries after it are gone; the newest one is sent instead.
  }
  SendSnapshotChunk(message.from, *peer);
}

// An entry is committed once a majority of voters has synced it. This process also counts only
// with the entries that it has synced.
void RaftNode::Impl::AdvanceCommit()
{
  std::vector<std::uint64_t> synced;
  for (const Member& member : membership.members) {
    if (!member.voter) {
      continue;
    }
    if (member.process == settings.self) {
      synced.push_back(persisted);
      continue;
    }
    const auto peer = peers.find(member.process.Get());
    synced.push_back(peer == peers.end() ? 0 : peer->second.match);
  }
  const std::size_t quorum = membership.Quorum();
  if (synced.size() < quorum) {
    return;
  }
  std::sort(synced.begin(), synced.end(), std::greater<>());
  const std::uint64_t index = synced[quorum - 1];
  if (index > commit && log.TermAt(index) == hardState.term.Get()) {
    SetCommit(index);
  }
}

void RaftNode::Impl::SetCommit(std::uint64_t index)
{
  if (index <= commit) {
    return;
  }
  const std::uint64_t before = commit;
  commit = index;
  if (membershipIndex > before && membershipIndex <= commit) {
    std::string names;
    for (const Member& member : membership.members) {
      names +=
        (names.empty() ? "" : ",") + member.process.Get() + (member.voter ? "" : "(learner)");
    }
    Emit(EventNumber::kRaftMembershipChanged,
         { { "index", std::to_string(membershipIndex) }, { "members", names } });
  }
}

void RaftNode::Impl::OnLocalSnapshot(std::uint64_t index, std::vector<std::uint8_t> state)
{
  assert(index <= applied);
  const auto term = log.TermAt(index);
  if (!term || (snapshot && index <= snapshot->index.Get())) {
    return;
  }
  RaftSnapshot taken;
  taken.index = LogIndex(index);
  taken.term = Term(*term);
  taken.membership = MembershipAt(index);
  taken.state = std::move(state);
  snapshot = std::make_shared<const RaftSnapshot>(std::move(taken));
  persistSnapshot = snapshot;
  log.CompactTo(LastUnneeded(index));
}

// A follower that lacks more than the snapshot's bytes gets it sooner than the entries. One that is
// being sent an image needs the entries after it, or it would be sent the next one in turn.
std::uint64_t RaftNode::Impl::LastUnneeded(std::uint64_t index) const
{
  const auto within = [&](std::uint64_t before, std::size_t bytes) {
    while (log.BytesBetween(before, index) > bytes) {
      ++before;
    }
    return before;
  };
  const std::size_t snapshotBytes = snapshot->state.size();
  std::uint64_t before = within(index - std::min(index, settings.keepEntries),
                                std::max(settings.keepBytes, snapshotBytes));
  for (const auto& [process, peer] : peers) {
    const bool isReceiving = peer.image && now - peer.repliedAt < settings.electionTimeout;
    if (isReceiving) {
      before =
        std::min(before, within(peer.image->index, SnapshotDueBytes(settings, snapshotBytes)));
    }
  }
  return before;
}

} // namespace gooseberrysail
