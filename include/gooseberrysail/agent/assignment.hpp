#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief One VM of a group and the agent that runs on it.
struct AssignedMember
{
  VmId vm;
  ProcessId process;
  std::string address;
};

/// \brief A committed assignment of this VM to a group.
struct Assignment
{
  GroupId group;
  Epoch epoch;
  EntryName entry;
  std::string modelVersion; ///< "" for plain services.
  VmId head;
  std::vector<AssignedMember> members;
};

/// \brief The group that this VM belongs to.
/// \remarks Refuses assignments whose epoch is not above the highest one seen.
class VmMembership
{
public:
  explicit VmMembership(VmId ownVm);

  enum class AcceptResult
  {
    kAccepted,
    kRepeated, ///< The same group and epoch as the current assignment.
    kRefused,  ///< An epoch at or below the highest accepted one.
  };
  [[nodiscard]] AcceptResult Accept(const Assignment& assignment);

  enum class ReleaseResult
  {
    kStarted,
    kRepeated,
    kNotHeld, ///< This VM isn't in that group; there is nothing to drain.
  };
  /// \param graceUntil When requests that are still in flight are cut.
  /// \remarks Also raises the highest epoch, so that an Assign that arrives after the Release of
  /// the same epoch is refused.
  [[nodiscard]] ReleaseResult StartRelease(GroupId group, Epoch epoch, TimePoint graceUntil);

  /// \brief Leaves the group at the end of a release.
  void Leave();

  [[nodiscard]] const std::optional<Assignment>& Current() const noexcept { return m_current; }
  [[nodiscard]] bool Holds(GroupId group, Epoch epoch) const noexcept;
  [[nodiscard]] bool IsHead() const noexcept;
  [[nodiscard]] bool Releasing() const noexcept { return m_graceUntil.has_value(); }
  [[nodiscard]] TimePoint GraceUntil() const noexcept { return m_graceUntil.value_or(TimePoint{}); }
  [[nodiscard]] Epoch HighestEpoch() const noexcept { return m_highestEpoch; }

private:
  VmId m_ownVm;
  std::optional<Assignment> m_current;
  std::optional<TimePoint> m_graceUntil;
  Epoch m_highestEpoch;
};

} // namespace gooseberrysail
