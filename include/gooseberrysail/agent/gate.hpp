#pragma once

#include "gooseberrysail/agent/heartbeats.hpp"
#include "gooseberrysail/agent/lease.hpp"
#include "gooseberrysail/core/time.hpp"

#include <optional>
#include <span>
#include <string>

namespace gooseberrysail {

/// \brief Why the gate before the target is closed.
enum class GateReason : std::uint8_t
{
  kOpen,
  kNoGroup,
  kNotHead,
  kLeaving,   ///< This agent or a member's was told to stop.
  kReleasing, ///< The group is being dissolved.
  kDraining,  ///< The catalogue drains a member.
  kLeaseEnded,
  kMemberMissing,
  kWeightsNotLoaded,
  kUnconfirmed, ///< Our configuration was not confirmed recently enough.
  kNoEntry,     ///< The catalogue entry is not in our copy.
};

/// \brief An answer of the gate, with the member it is about.
struct GateState
{
  GateReason reason = GateReason::kOpen;
  VmId member;
  [[nodiscard]] bool Open() const noexcept { return reason == GateReason::kOpen; }
};

/// \brief For people: `member missing: vm-3`.
[[nodiscard]] std::string ToString(const GateState& state);

/// \brief Everything the gate looks at.
struct GateFacts
{
  bool grouped = false;
  bool head = false;
  bool leaving = false;
  bool releasing = false;
  bool entryKnown = false;
  std::optional<VmId> drainingMember;
  const GroupLease* lease = nullptr;
  std::span<const MemberBeat> beats;
  Duration memberTimeout{};
  std::optional<TimePoint> confirmedAt; ///< Our copy was the newest at some moment after this.
  Duration confirmationLimit{};
  bool serveUnconfirmed = false;
};

/// \brief Whether the target may be given new work at this moment.
/// \remarks A pure function of time, called at each use: after a pause of the process it answers
/// "closed" although no timer has run yet.
[[nodiscard]] GateState CheckGate(TimePoint now, const GateFacts& facts);

/// \brief Whether output of running work may leave at this moment: the group is whole and ours.
[[nodiscard]] GateState CheckWhole(TimePoint now, const GateFacts& facts);

} // namespace gooseberrysail
