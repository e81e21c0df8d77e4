#pragma once

#include "gooseberrysail/core/ids.hpp"
#include "gooseberrysail/core/time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace gooseberrysail {

/// \brief One VM of a group and the agent beside it.
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

/// \brief Which group this VM belongs to; refuses everything older than what it accepted.
class GroupMembership
{
public:
  explicit GroupMembership(VmId ownVm);

  enum class Verdict
  {
    kAccepted,
    kRepeated, ///< Exactly what is held already.
    kRefused,  ///< An epoch at or below the highest accepted one.
  };
  [[nodiscard]] Verdict Accept(const Assignment& assignment);

  enum class ReleaseVerdict
  {
    kStarted,
    kRepeated,
    kNotHeld, ///< This VM is not in that group; nothing is to be drained.
  };
  /// \param graceUntil When work in flight is cut.
  /// \remarks Also raises the highest epoch: an Assign that the Release overtook is refused.
  [[nodiscard]] ReleaseVerdict StartRelease(GroupId group, Epoch epoch, TimePoint graceUntil);

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
