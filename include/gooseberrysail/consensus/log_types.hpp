#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/result.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// \file The types of the replicated log, shared by the protocol (RaftNode) and its storage
/// (ControlStore).

namespace gooseberrysail {

/// \brief Random identity of a disk, drawn when its data folder is created; detects wiped disks.
using StorageIdentity = impl::StrongId<struct StorageIdentityTag, std::uint64_t>;

enum class LogEntryKind : std::uint8_t
{
  kCommand = 0,    ///< A command for the state machine.
  kMembership = 1, ///< An encoded Membership; takes effect once it is appended.
  kLeaderStart = 2 ///< A new leader's first entry; it commits entries of earlier terms.
};

struct LogRecord
{
  LogIndex index;
  Term term;
  LogEntryKind kind = LogEntryKind::kCommand;
  std::vector<std::uint8_t> payload;

  friend bool operator==(const LogRecord&, const LogRecord&) = default;
};

/// \brief One process in the cluster, on one disk.
struct Member
{
  ProcessId process;
  StorageIdentity identity;
  bool voter = false; ///< false: a learner, which receives the log but has no vote.

  friend bool operator==(const Member&, const Member&) = default;
};

struct Membership
{
  std::uint64_t cluster = 0; ///< Identity of the founder's disk when it founded the cluster.
  std::vector<Member> members;
  bool forming = false; ///< It has never had as many voters as are wanted.

  [[nodiscard]] const Member* Find(const ProcessId& process) const noexcept;
  [[nodiscard]] std::size_t VoterCount() const noexcept;
  [[nodiscard]] std::size_t Quorum() const noexcept { return VoterCount() / 2 + 1; }
  friend bool operator==(const Membership&, const Membership&) = default;
};

/// \brief The applied state at an index; it replaces the log up to that index.
struct RaftSnapshot
{
  LogIndex index;
  Term term;
  Membership membership;
  std::vector<std::uint8_t> state;
};

/// \brief A voter's persistent state; must be synced before any message that relies on it is sent.
struct HardState
{
  Term term;
  ProcessId vote;            ///< The candidate that it voted for in `term`, if any.
  std::uint64_t cluster = 0; ///< The cluster that it belongs to; 0: none yet.

  friend bool operator==(const HardState&, const HardState&) = default;
};

/// \brief The contents of a data folder at start.
struct RecoveredLog
{
  StorageIdentity identity;
  HardState hardState;
  std::shared_ptr<const RaftSnapshot> snapshot;
  std::vector<LogRecord> entries; ///< The entries after the snapshot, without gaps.
};

[[nodiscard]] std::vector<std::uint8_t> EncodeMembership(const Membership& membership);
[[nodiscard]] Result<Membership> DecodeMembership(std::span<const std::uint8_t> bytes);
[[nodiscard]] std::vector<std::uint8_t> EncodeSnapshot(const RaftSnapshot& snapshot);
[[nodiscard]] Result<RaftSnapshot> DecodeSnapshot(std::span<const std::uint8_t> bytes);
[[nodiscard]] std::vector<std::uint8_t> EncodeHardState(const HardState& state);
[[nodiscard]] Result<HardState> DecodeHardState(std::span<const std::uint8_t> bytes);
[[nodiscard]] std::vector<std::uint8_t> EncodeLogBatch(std::span<const LogRecord> entries);
[[nodiscard]] Result<std::vector<LogRecord>> DecodeLogBatch(std::span<const std::uint8_t> bytes);

} // namespace gooseberrysail
