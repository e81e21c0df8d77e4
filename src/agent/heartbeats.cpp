#include "gooseberrysail/agent/heartbeats.hpp"

#include <algorithm>

namespace gooseberrysail {

void HeartbeatTable::Begin(const Assignment& assignment)
{
  Clear();
  for (const AssignedMember& member : assignment.members) {
    m_rows.push_back(MemberHeartbeat{ member.vm, std::nullopt, false, false });
  }
}

void HeartbeatTable::Clear()
{
  m_rows.clear();
  m_requests = impl::NonceRing{};
}

bool HeartbeatTable::Due(TimePoint now) const noexcept
{
  return m_requests.Due(now, kInterval);
}

void HeartbeatTable::OnRequestSent(TimePoint now, std::uint64_t nonce)
{
  m_requests.OnSent(now, nonce);
}

MemberHeartbeat* HeartbeatTable::Find(const VmId& vm) noexcept
{
  const auto row = std::find_if(
    m_rows.begin(), m_rows.end(), [&vm](const MemberHeartbeat& each) { return each.vm == vm; });
  return row == m_rows.end() ? nullptr : &*row;
}

bool HeartbeatTable::OnReply(const VmId& vm,
                             std::uint64_t nonce,
                             bool engineAlive,
                             bool weightsLoaded,
                             bool leaving)
{
  const auto sentAt = m_requests.SentAt(nonce);
  MemberHeartbeat* row = Find(vm);
  if (!sentAt || row == nullptr) {
    return false;
  }
  if (row->aliveAsOf && *sentAt < *row->aliveAsOf) {
    return true; // A late reply to an earlier request carries no new information.
  }
  row->weightsLoaded = weightsLoaded;
  row->leaving = leaving;
  // A member whose engine is dead counts as missing, although its agent answers.
  if (engineAlive) {
    row->aliveAsOf = sentAt;
  }
  return true;
}

void HeartbeatTable::OnOwnTarget(const VmId& vm, TimePoint aliveAsOf, bool weightsLoaded)
{
  if (MemberHeartbeat* row = Find(vm)) {
    row->aliveAsOf = aliveAsOf;
    row->weightsLoaded = weightsLoaded;
  }
}

} // namespace gooseberrysail
