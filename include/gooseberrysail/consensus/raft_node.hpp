#pragma once

#include "gooseberrysail/consensus/log_types.hpp"
#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/roles/control_role.hpp"
#include "gooseberrysail/roles/inputs.hpp"

#include <algorithm>
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
  /// \brief All configured control processes, including this one; if `wantedVoters` is set, only
  /// those that found the cluster.
  std::vector<ProcessId> voters;
  /// \brief 0: the members are the configured processes. Otherwise any authenticated process may
  /// join; once there are this many voters, it can only replace one that no longer responds.
  std::size_t wantedVoters = 0;
  /// \brief Whether this process may found a cluster; false if the cluster was founded before.
  bool mayFound = true;
  /// \brief Time for which a leader refuses proposals while its new cluster waits for
  /// `wantedVoters`; it then goes on with fewer.
  Duration formingWait = std::chrono::seconds(2);
  /// \brief Time without a reply after which a caught-up learner may replace a voter.
  Duration replaceAfter = std::chrono::seconds(2);
  Duration heartbeat = std::chrono::milliseconds(200);
  /// \brief Time without a message from the leader before an election; each timeout is drawn
  /// at random between this value and twice this value.
  Duration electionTimeout = std::chrono::milliseconds(1000);
  std::size_t maxCommandBytes = 4 * 1024 * 1024;
  std::size_t maxAppendBytes = 256 * 1024;        ///< Per message, unless one entry is larger.
  std::size_t maxInFlight = 32;                   ///< Unacknowledged appends to one peer.
  std::size_t maxBacklogBytes = 16 * 1024 * 1024; ///< Proposed but uncommitted entries.
  std::size_t snapshotChunkBytes = 256 * 1024;
  /// \brief A snapshot is due after this many applied entries, or after as many bytes of them as
  /// SnapshotDueBytes says.
  std::uint64_t snapshotEvery = 256;
  std::size_t snapshotLogBytes = 8 * 1024 * 1024;
  std::size_t snapshotLogFactor = 4; ///< Bounds what snapshots add to the bytes that are written.
  /// \brief Entries kept before a snapshot, for lagging followers; as bytes, at most `keepBytes` or
  /// those of the snapshot, which is sent in their place. While one is sent, those after it are
  /// kept too, as bytes at most SnapshotDueBytes.
  std::uint64_t keepEntries = 256;
  std::size_t keepBytes = 1024 * 1024;
};

/// \brief The bytes of entries after which a snapshot is due that replaces one of this size.
[[nodiscard]] constexpr std::size_t SnapshotDueBytes(const RaftSettings& settings,
                                                     std::size_t snapshotBytes) noexcept
{
  return std::max(settings.snapshotLogBytes, settings.snapshotLogFactor * snapshotBytes);
}

struct RaftHooks
{
  std::function<std::uint64_t()> random; ///< Uniform 64-bit numbers.
};

/// \brief Pending work of a node. The caller must persist, restore, send and apply, in this order,
/// and then call RaftNode::Advance.
struct ReadyOutput
{
  std::shared_ptr<const RaftSnapshot> persistSnapshot;
  /// \brief The snapshot came from a leader; all entries stored so far must be discarded.
  bool snapshotReplacesLog = false;
  std::optional<HardState> hardState;
  /// \brief Entries to append; they replace all stored entries from the first one's index on.
  std::vector<LogRecord> entries;
  /// \brief Replaces the applied state; also set once at start if a snapshot was recovered.
  std::shared_ptr<const RaftSnapshot> restoreSnapshot;
  /// \brief Messages to send once everything above is synced; `to` names the receiver. Message loss
  /// is tolerated.
  std::vector<wire::RaftMessageT> messages;
  std::vector<LogRecord> committed; ///< Commands to apply, in order.
  std::vector<EventOut> events;
};

/// \brief One node of the replicated log (Raft with pre-vote and check-quorum). It does no I/O.
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

  /// \brief Advances the timers of elections, heartbeats and check-quorum.
  /// \remarks Call it at least every half of RaftSettings::heartbeat.
  void Tick(TimePoint now);

  /// \brief Handles a message from another control process.
  void Step(TimePoint now, const wire::RaftMessageT& message);

  /// \brief Appends a command to the leader's log.
  /// \returns The index of its entry. The command is committed only once ReadyOutput::committed
  /// holds an entry with that index and with the term that Status returned when it was proposed.
  [[nodiscard]] Result<LogIndex> Propose(std::vector<std::uint8_t> command);

  /// \brief Removes a process from the cluster by a membership change.
  /// \remarks Remove it from the settings of all processes first, or it is added again.
  [[nodiscard]] Result<LogIndex> RemoveMember(const ProcessId& process);

  [[nodiscard]] bool HasReady() const;

  /// \brief Returns the work to do now; call Advance once it is done.
  [[nodiscard]] ReadyOutput TakeReady();

  /// \brief Reports that the work of the last ReadyOutput is done.
  void Advance();

  /// \brief Whether a snapshot is due, by the number of the entries that were applied since the
  /// last one or by their bytes.
  [[nodiscard]] bool WantsSnapshot() const;

  /// \brief Stores a snapshot of the applied state at `index`, which is at most the applied index.
  void OnSnapshotTaken(LogIndex index, std::vector<std::uint8_t> state);

  /// \remarks On a leader, `quorumHeardAt` is the latest time such that a quorum answered messages
  /// sent at or after it; it is zero until an entry of the leader's own term is committed.
  [[nodiscard]] ReplicationStatus Status() const;

  [[nodiscard]] const Membership& CurrentMembership() const noexcept;

  /// \brief The entries that are in memory, for tests and tools.
  [[nodiscard]] std::span<const LogRecord> Entries() const noexcept;

  struct Impl;

private:
  std::unique_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
