#pragma once

#include "consensus/raft_log.hpp"
#include "gooseberrysail/consensus/raft_node.hpp"
#include "gooseberrysail/observe/event.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrysail::impl {

enum class RaftRole
{
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader
};

/// \brief An encoded snapshot that is being sent to peers.
struct SnapshotImage
{
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::vector<std::uint8_t> bytes;
};

/// \brief The leader's replication state for one peer.
struct Progress
{
  enum class Mode
  {
    kProbe,     ///< Searching for the last common entry, one append at a time.
    kReplicate, ///< Pipelining appends without waiting for replies.
    kSnapshot   ///< Sending a snapshot, since its next entry was compacted away.
  };

  StorageIdentity identity;
  bool voter = false;
  Mode mode = Mode::kProbe;
  std::uint64_t match = 0; ///< Highest index known to be synced on the peer.
  std::uint64_t next = 1;  ///< Next index to send.
  std::size_t inFlight = 0;
  bool probeSent = false;
  TimePoint ackedSentAt{};                    ///< Send time of the latest message that it answered.
  TimePoint repliedAt{};                      ///< Time of its latest reply.
  std::shared_ptr<const SnapshotImage> image; ///< Being sent, even if a newer one exists.
  std::uint64_t snapshotOffset = 0;
  bool chunkSent = false;
};

/// \brief Another process's reply to a join query, kept until the cluster is founded.
struct FoundingAnswer
{
  StorageIdentity identity;
  bool empty = false;
  std::uint64_t nonce = 0;
};

} // namespace gooseberrysail::impl

namespace gooseberrysail {

/// \brief The state of a node. Its functions are defined in the raft_*.cpp files, by topic.
struct RaftNode::Impl
{
  using Message = wire::RaftMessageT;
  using Kind = wire::RaftKind;

  // ---- raft_node.cpp: lifecycle, dispatch, ready output ----
  Impl(RaftSettings settings, RaftHooks hooks, RecoveredLog recovered);
  void Tick(TimePoint moment);
  void Step(TimePoint moment, const Message& message);
  [[nodiscard]] bool CheckCluster(const Message& message);
  [[nodiscard]] bool HandleTerm(const Message& message);
  void Dispatch(const Message& message);
  [[nodiscard]] bool HasReady() const;
  [[nodiscard]] ReadyOutput TakeReady();
  void TakeCommitted(ReadyOutput& ready);
  void Advance();
  void UpdateClock(TimePoint moment);
  [[nodiscard]] Message NewMessage(Kind kind, const std::string& to) const;
  void Send(Message message);
  void Emit(EventNumber number, std::vector<std::pair<std::string, std::string>> fields);

  // ---- raft_election.cpp ----
  void BecomeFollower(std::uint64_t newTerm, const std::string& newLeader, const char* reason);
  void CampaignIfDue();
  void StartPreVote();
  void StartElection();
  void BecomeLeader();
  void RequestVotes(Kind kind, std::uint64_t forTerm);
  void OnVoteRequest(const Message& message);
  void OnVoteReply(const Message& message);
  [[nodiscard]] bool HasLeaderContact() const;
  [[nodiscard]] bool IsVoter() const;
  void ResetElectionTimer();
  void ResetPreVoteTimer();
  /// \brief A random time from `least` to twice as long.
  [[nodiscard]] Duration DrawTimeout(Duration least) const;
  void CheckQuorum();
  [[nodiscard]] TimePoint QuorumHeardAt() const;

  // ---- raft_replication.cpp ----
  std::uint64_t AppendAsLeader(LogEntryKind kind, std::vector<std::uint8_t> payload);
  void SendHeartbeats();
  void SendAppends();
  void SendAppend(const std::string& to, impl::Progress& peer, bool heartbeat);
  void SendSnapshotChunk(const std::string& to, impl::Progress& peer);
  void OnAppend(const Message& message);
  void RejectAppend(const Message& message);
  void AcceptEntries(const Message& message);
  void OnAppendReply(const Message& message);
  void OnAppendRejected(const Message& message, impl::Progress& peer);
  void OnSnapshotChunk(const Message& message);
  void InstallSnapshot(std::vector<std::uint8_t> bytes, const Message& message);
  void OnSnapshotReply(const Message& message);
  [[nodiscard]] impl::Progress* RecordReply(const Message& message);
  void AdvanceCommit();
  void SetCommit(std::uint64_t index);
  void OnLocalSnapshot(std::uint64_t index, std::vector<std::uint8_t> state);
  /// \brief The last entry that no follower needs once a snapshot is taken at `index`.
  [[nodiscard]] std::uint64_t LastUnneeded(std::uint64_t index) const;

  // ---- raft_membership.cpp ----
  void SendJoinQueries();
  void OnJoinQuery(const Message& message);
  void OnJoinReply(const Message& message);
  void FoundClusterIfAllEmpty();
  void FoundCluster(const Membership& founded);
  [[nodiscard]] bool IsEmpty() const;
  [[nodiscard]] bool IsMember() const;
  [[nodiscard]] const ProcessId& Founder() const;
  [[nodiscard]] bool IsConfigured(const ProcessId& process) const;
  /// Whether proposals are refused until the cluster has as many voters as are wanted.
  [[nodiscard]] bool IsForming() const;
  void OnUnknownDisk(const ProcessId& process, StorageIdentity identity);
  [[nodiscard]] bool MayChangeMembers() const;
  std::uint64_t ProposeMembership(const Membership& changed);
  void PromoteLearners();
  void RemoveUnresponsiveVoter();
  void SetMembership(Membership newest, std::uint64_t index);
  void RecomputeMembership();
  [[nodiscard]] Membership MembershipAt(std::uint64_t index) const;

  RaftSettings settings;
  RaftHooks hooks;
  StorageIdentity identity;
  std::string self;

  // Persistent state.
  HardState hardState;
  HardState persistedHardState;
  impl::RaftLog log;
  std::shared_ptr<const RaftSnapshot> snapshot;
  std::uint64_t persisted = 0; ///< Last index that is synced on this disk.

  // Volatile state.
  TimePoint now{};
  bool started = false;
  impl::RaftRole role = impl::RaftRole::kFollower;
  std::string leader;
  std::uint64_t commit = 0;
  std::uint64_t applied = 0;
  Membership membership;
  std::uint64_t membershipIndex = 0;
  TimePoint electionDeadline{};
  bool hasKnownLeader = false; ///< Since this process started.
  TimePoint leaderHeardAt{};
  std::map<std::string, bool> votes;

  // Leader state.
  std::map<std::string, impl::Progress> peers;
  TimePoint leadingSince{};
  TimePoint heartbeatAt{};
  std::uint64_t termStartIndex = 0; ///< The leader's first entry of its term.
  std::shared_ptr<const impl::SnapshotImage> newestImage;

  // State while joining.
  std::uint64_t joinNonce = 0;
  TimePoint joinQuerySentAt{};
  bool joinQuerySent = false;
  std::map<std::string, impl::FoundingAnswer> foundingAnswers;
  std::set<std::string> knownMembers; ///< Members of the cluster, taken from join replies.
  bool waitingToJoinReported = false;
  std::set<std::string> otherClusterReported;

  // A snapshot being received.
  std::vector<std::uint8_t> incoming;
  std::string incomingFrom;
  std::uint64_t incomingTerm = 0;
  std::uint64_t incomingIndex = 0;

  // Output of the next TakeReady.
  std::vector<Message> messages;
  std::vector<EventOut> events;
  std::shared_ptr<const RaftSnapshot> persistSnapshot;
  std::shared_ptr<const RaftSnapshot> restoreSnapshot;
  bool snapshotReplacesLog = false;

  // State at the last TakeReady, until Advance.
  struct PendingReady
  {
    HardState hardState;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    std::uint64_t applied = 0;
  };
  std::optional<PendingReady> pendingReady;
};

} // namespace gooseberrysail
