#include "gooseberrysail/agent/assignment.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail {

GroupMembership::GroupMembership(VmId ownVm)
  : m_ownVm(std::move(ownVm))
{
}

GroupMembership::Verdict GroupMembership::Accept(const Assignment& assignment)
{
  if (Holds(assignment.group, assignment.epoch)) {
    return Verdict::kRepeated;
  }
  if (assignment.epoch <= m_highestEpoch) {
    return Verdict::kRefused;
  }
  m_highestEpoch = assignment.epoch;
  m_current = assignment;
  m_graceUntil.reset();
  return Verdict::kAccepted;
}

GroupMembership::ReleaseVerdict GroupMembership::StartRelease(GroupId group,
                                                              Epoch epoch,
                                                              TimePoint graceUntil)
{
  m_highestEpoch = std::max(m_highestEpoch, epoch);
  // A release also ends older epochs of the same group: whoever sent it has seen those end.
  if (!m_current || m_current->group != group || m_current->epoch > epoch) {
    return ReleaseVerdict::kNotHeld;
  }
  if (m_graceUntil) {
    m_graceUntil = std::min(*m_graceUntil, graceUntil);
    return ReleaseVerdict::kRepeated;
  }
  m_graceUntil = graceUntil;
  return ReleaseVerdict::kStarted;
}

void GroupMembership::Leave()
{
  m_current.reset();
  m_graceUntil.reset();
}

bool GroupMembership::Holds(GroupId group, Epoch epoch) const noexcept
{
  return m_current && m_current->group == group && m_current->epoch == epoch;
}

bool GroupMembership::IsHead() const noexcept
{
  return m_current && m_current->head == m_ownVm;
}

} // namespace gooseberrysail
