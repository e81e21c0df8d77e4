#pragma once

#include "gooseberrysail/agent/heartbeats.hpp"
#include "gooseberrysail/agent/lease.hpp"
#include "gooseberrysail/core/time.hpp"

#include <optional>
#include <span>
#include <string>

namespace gooseberrysail {

/// \brief Why the gate in front of the target is closed.
enum class GateReason : std::uint8_t
{
  kOpen,
  kNoGroup,
  kNotHead,
  kLeaving,   ///< This agent or a member's agent is stopping.
  kReleasing, ///< The group is being dissolved.
  kDraining,  ///< The catalogue marks a member as draining.
  kLeaseEnded,
  kMemberMissing,
  kWeightsNotLoaded,
  kUnconfirmed, ///< The last confirmation of the configuration is too old.
  kNoEntry,     ///< The local catalogue doesn't contain the entry.
};

/// \brief State of the gate, with the member that keeps it closed, if any.
struct GateState
{
  GateReason reason = GateReason::kOpen;
  VmId member;
  [[nodiscard]] bool Open() const noexcept { return reason == GateReason::kOpen; }
};

/// \brief Human-readable reason, such as `member missing: vm-3`.
[[nodiscard]] std::string ToString(const GateState& state);

/// \brief All inputs of the gate decision.
struct GateInputs
{
  bool hasGroup = false;
  bool isHead = false;
  bool leaving = false;
  bool releasing = false;
  bool entryKnown = false;
  std::optional<VmId> drainingMember;
  const GroupLease* lease = nullptr;
  std::span<const MemberHeartbeat> heartbeats;
  Duration memberTimeout{};
  std::optional<TimePoint> confirmedAt; ///< The local copy was the newest some time after this.
  Duration confirmationLimit{};
  bool serveUnconfirmed = false;
};

/// \brief Whether new requests may be sent to the target now.
/// \remarks Evaluated from the current time at each use, so that the gate is closed after a pause
/// of the process even before any timer has fired.
[[nodiscard]] GateState CheckGate(TimePoint now, const GateInputs& inputs);

/// \brief Whether output of running requests may be sent now: this VM is the head, all members
/// answer and the lease is valid.
[[nodiscard]] GateState CheckGroupIntact(TimePoint now, const GateInputs& inputs);

} // namespace gooseberrysail
