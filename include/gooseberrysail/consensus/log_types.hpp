#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/result.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// \file What the replicated log consists of, shared by the decisions (RaftNode) and the files
/// (ControlStore).

namespace gooseberrysail {

/// \brief Names one disk: drawn at random when a data folder is first used, so a wiped disk shows.
using StorageIdentity = impl::StrongId<struct StorageIdentityTag, std::uint64_t>;

enum class LogEntryKind : std::uint8_t
{
  kCommand = 0,    ///< Bytes for the applied state.
  kMembership = 1, ///< An encoded Membership; in force as soon as it is appended.
  kLeaderStart = 2 ///< A new leader's first entry: lets it commit what its predecessors left.
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
  bool voter = false; ///< false: a learner, which receives the log but doesn't count.

  friend bool operator==(const Member&, const Member&) = default;
};

struct Membership
{
  std::uint64_t cluster = 0; ///< The founder's identity at the founding.
  std::vector<Member> members;

  [[nodiscard]] const Member* Find(const ProcessId& process) const noexcept;
  [[nodiscard]] std::size_t VoterCount() const noexcept;
  [[nodiscard]] std::size_t Quorum() const noexcept { return VoterCount() / 2 + 1; }
  friend bool operator==(const Membership&, const Membership&) = default;
};

/// \brief The applied state up to an index, which stands for the log up to there.
struct RaftSnapshot
{
  LogIndex index;
  Term term;
  Membership membership;
  std::vector<std::uint8_t> state;
};

/// \brief What a voter has promised; must be synced before any message that relies on it.
struct HardState
{
  Term term;
  ProcessId vote;            ///< Whom it voted for in `term`; none when nobody.
  std::uint64_t cluster = 0; ///< The cluster it first heard from; 0: none yet.

  friend bool operator==(const HardState&, const HardState&) = default;
};

/// \brief All that a data folder held at start.
struct RecoveredLog
{
  StorageIdentity identity;
  HardState hardState;
  std::shared_ptr<const RaftSnapshot> snapshot;
  std::vector<LogRecord> entries; ///< Those after the snapshot, without gaps.
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
