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
      peer.chunkSent = false; // The chunk or its answer may be lost.
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

/// \param heartbeat Sent in any case, and without entries unless the peer is being probed.
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
    return; // Two leaders in one term cannot be; a forged or mixed-up message.
  }
  if (role != RaftRole::kFollower || leader != message.from) {
    BecomeFollower(message.term, message.from, "");
  }
  leaderHeardAt = now;
  ResetElectionTimer();
  if (message.lastIndex < commit) {
    // Committed entries are the same everywhere: no need to compare below them.
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

// Tells the leader the latest place where the logs may agree, so that it steps back over a whole
// term at once and not entry by entry.
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
  bool membershipTouched = false;
  for (const auto& row : message.entries) {
    if (row->index != last + 1) {
      return; // Not a contiguous run: malformed.
    }
    last = row->index;
    if (log.TermAt(last) == row->term) {
      continue;
    }
    if (last <= log.LastIndex()) {
      if (last <= commit) {
        return; // A committed entry is never replaced, whoever asks.
      }
      membershipTouched = membershipTouched || membershipIndex >= last;
      log.TruncateFrom(last);
      persisted = std::min(persisted, last - 1);
    }
    log.Append(FromWire(*row));
    membershipTouched = membershipTouched || log.At(last).kind == LogEntryKind::kMembership;
  }
  if (membershipTouched) {
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
    Message reply = NewMessage(Kind::SnapshotReply, message.from); // From the start again.
    reply.lastIndex = message.lastIndex;
    Send(std::move(reply));
    return;
  }
  snapshot = std::make_shared<const RaftSnapshot>(std::move(decoded).value());
  const std::uint64_t index = snapshot->index.Get();
  Emit(EventNumber::kRaftSnapshotReceived,
       { { "index", std::to_string(index) }, { "bytes", std::to_string(bytes.size()) } });
  // Entries behind the snapshot that belong to the same history may stay; others are void.
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

/// \returns The peer that sent it, when it is the disk that the cluster knows.
Progress* RaftNode::Impl::CountedPeer(const Message& message)
{
  if (role != RaftRole::kLeader) {
    return nullptr;
  }
  const auto peer = peers.find(message.from);
  if (peer == peers.end() || peer->second.identity.Get() != message.identity) {
    // An empty disk under an old name acknowledges entries, but the cluster still counts on what
    // the lost disk had acknowledged; counting both would let committed entries vanish.
    OnUnknownDisk(ProcessId(message.from), StorageIdentity(message.identity));
    return nullptr;
  }
  Progress& known = peer->second;
  known.repliedAt = now;
  const TimePoint sentAt = FromContext(message.readContext);
  if (sentAt <= now) {
    known.heardSentAt = std::max(known.heardSentAt, sentAt);
  }
  return &known;
}

void RaftNode::Impl::OnAppendReply(const Message& message)
{
  Progress* peer = CountedPeer(message);
  if (peer == nullptr) {
    return;
  }
  if (!message.granted) {
    OnAppendRejected(message, *peer);
    return;
  }
  if (message.lastIndex > log.LastIndex()) {
    return; // Acknowledges what was never sent: malformed.
  }
  peer->inFlight -= peer->inFlight > 0 ? 1 : 0;
  peer->match = std::max(peer->match, message.lastIndex);
  peer->next = std::max(peer->next, peer->match + 1);
  if (peer->mode == Progress::Mode::kSnapshot && peer->match < log.Base()) {
    // Either a late answer, or the image that it took is older than what the log still holds.
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
    peer->inFlight = 0; // Answers may have been lost; nothing is outstanding any more.
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
  Progress* peer = CountedPeer(message);
  if (peer == nullptr || peer->mode != Progress::Mode::kSnapshot || !peer->image ||
      message.lastIndex != peer->image->index) {
    return;
  }
  peer->snapshotOffset = message.snapshotOffset;
  peer->chunkSent = false;
  SendSnapshotChunk(message.from, *peer);
}

// An entry is committed once a majority of voters has it synced; this process counts for itself
// only up to what it has synced too.
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

void RaftNode::Impl::TakeOverSnapshot(std::uint64_t index, std::vector<std::uint8_t> state)
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
  if (index > settings.keepEntries) {
    log.CompactTo(std::min(index, index - settings.keepEntries));
  }
}

} // namespace gooseberrysail
