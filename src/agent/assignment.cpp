#include "gooseberrysail/agent/assignment.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail {

VmMembership::VmMembership(VmId ownVm)
  : m_ownVm(std::move(ownVm))
{
}

VmMembership::AcceptResult VmMembership::Accept(const Assignment& assignment)
{
  if (Holds(assignment.group, assignment.epoch)) {
    return AcceptResult::kRepeated;
  }
  if (assignment.epoch <= m_highestEpoch) {
    return AcceptResult::kRefused;
  }
  m_highestEpoch = assignment.epoch;
  m_current = assignment;
  m_graceUntil.reset();
  return AcceptResult::kAccepted;
}

VmMembership::ReleaseResult VmMembership::StartRelease(GroupId group,
                                                       Epoch epoch,
                                                       TimePoint graceUntil)
{
  m_highestEpoch = std::max(m_highestEpoch, epoch);
  // A release also covers older epochs of the same group: its sender has seen those end.
  if (!m_current || m_current->group != group || m_current->epoch > epoch) {
    return ReleaseResult::kNotHeld;
  }
  if (m_graceUntil) {
    m_graceUntil = std::min(*m_graceUntil, graceUntil);
    return ReleaseResult::kRepeated;
  }
  m_graceUntil = graceUntil;
  return ReleaseResult::kStarted;
}

void VmMembership::Leave()
{
  m_current.reset();
  m_graceUntil.reset();
}

bool VmMembership::Holds(GroupId group, Epoch epoch) const noexcept
{
  return m_current && m_current->group == group && m_current->epoch == epoch;
}

bool VmMembership::IsHead() const noexcept
{
  return m_current && m_current->head == m_ownVm;
}

} // namespace gooseberrysail
