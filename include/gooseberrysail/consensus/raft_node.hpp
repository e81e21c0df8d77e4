#pragma once

#include "gooseberrysail/consensus/log_types.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/control_role.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <vector>
#include <wire_generated.h>

namespace gooseberrysail {

struct RaftSettings
{
  ProcessId self;
  /// \brief Every configured control process, this one among them; with `wantedVoters` only those
  /// that found the cluster.
  std::vector<ProcessId> voters;
  /// \brief 0: the members are the configured processes. Otherwise any process that proved itself
  /// may join, and takes the vote of one that fell silent once this many vote.
  std::size_t wantedVoters = 0;
  /// \brief Whether this start may found a cluster; false where the whole was started before.
  bool mayFound = true;
  /// \brief Silence after which a voter's place may go to a process that waits for one.
  Duration replaceAfter = std::chrono::seconds(2);
  Duration heartbeat = std::chrono::milliseconds(200);
  /// \brief Silence of the leader before an election; drawn anew between this and twice this.
  Duration electionTimeout = std::chrono::milliseconds(1000);
  std::size_t maxCommandBytes = 4 * 1024 * 1024;
  std::size_t maxAppendBytes = 256 * 1024;        ///< Entries in one message, unless one is larger.
  std::size_t maxInFlight = 32;                   ///< Unanswered appends to one peer.
  std::size_t maxBacklogBytes = 16 * 1024 * 1024; ///< Proposed and not yet committed.
  std::size_t snapshotChunkBytes = 256 * 1024;
  std::uint64_t snapshotEvery = 256; ///< Applied entries between snapshots.
  std::uint64_t keepEntries = 256;   ///< Entries kept behind a snapshot for followers that lag.
};

struct RaftHooks
{
  std::function<std::uint64_t()> random; ///< Uniform 64-bit numbers.
};

/// \brief What to do now, in this order: persist, restore, send, apply; then RaftNode::Advance.
struct ReadyOutput
{
  std::shared_ptr<const RaftSnapshot> persistSnapshot;
  /// \brief The snapshot came from a leader: entries stored before it are void.
  bool snapshotReplacesLog = false;
  std::optional<HardState> hardState;
  /// \brief To append; what is stored at or after the first one's index is replaced.
  std::vector<LogRecord> entries;
  /// \brief Replaces the applied state, also once at start when a snapshot was recovered.
  std::shared_ptr<const RaftSnapshot> restoreSnapshot;
  /// \brief To send once all above is synced; `to` names the receiver. They may be lost.
  std::vector<wire::RaftMessageT> messages;
  std::vector<LogRecord> committed; ///< Commands to apply, in order.
  std::vector<EventOut> events;
};

/// \brief One voter of the replicated log (Raft with pre-vote and check-quorum). No I/O inside.
/// \code
/// RaftNode node(settings, hooks, store.TakeRecovered());
/// node.Tick(now);
/// while (node.HasReady()) {
///   const ReadyOutput ready = node.TakeReady();
///   OUTCOME_TRY(store.Persist(ready)); // failed: stop the process, send nothing
///   // restore, send ready.messages, apply ready.committed
///   node.Advance();
/// }
/// \endcode
class RaftNode
{
public:
  RaftNode(RaftSettings settings, RaftHooks hooks, RecoveredLog recovered);
  ~RaftNode();
  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  /// \brief Timers: elections, heartbeats, check-quorum.
  /// \remarks Call it at least every half of RaftSettings::heartbeat.
  void Tick(TimePoint now);

  /// \brief Takes in a message of another control process.
  void Step(TimePoint now, const wire::RaftMessageT& message);

  /// \brief Appends a command to the leader's log.
  /// \returns Its index. Accepted is not committed: it counts once it is in ReadyOutput::committed
  /// at that index and with the term that Status told.
  [[nodiscard]] Result<LogIndex> Propose(std::vector<std::uint8_t> command);

  /// \brief Takes a process out of the cluster by a committed change.
  /// \remarks Take it out of every process's settings first, or it is let in again.
  [[nodiscard]] Result<LogIndex> RemoveMember(const ProcessId& process);

  [[nodiscard]] bool HasReady() const;

  /// \brief What must be persisted, sent and applied now; Advance must follow.
  [[nodiscard]] ReadyOutput TakeReady();

  /// \brief All of the last ReadyOutput was done.
  void Advance();

  /// \brief Enough was applied since the last snapshot that the applied state should be handed in.
  [[nodiscard]] bool WantsSnapshot() const;

  /// \brief Hands in the applied state at `index` (at most the applied index).
  void OnSnapshotTaken(LogIndex index, std::vector<std::uint8_t> state);

  /// \remarks With a leader, `quorumHeardAt` is the time at which the latest heartbeat round was
  /// sent that a quorum answered; it stays zero until an entry of the leader's own term committed.
  [[nodiscard]] ReplicationStatus Status() const;

  [[nodiscard]] const Membership& CurrentMembership() const noexcept;

  /// \brief The part of the log that is in memory, for tests and tools.
  [[nodiscard]] std::span<const LogRecord> Entries() const noexcept;

  struct Impl;

private:
  std::unique_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
