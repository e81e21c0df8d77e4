#include "gooseberrysail/agent/heartbeats.hpp"

#include <algorithm>

namespace gooseberrysail {

void BeatTable::Begin(const Assignment& assignment)
{
  Clear();
  for (const AssignedMember& member : assignment.members) {
    m_rows.push_back(MemberBeat{ member.vm, std::nullopt, false, false });
  }
}

void BeatTable::Clear()
{
  m_rows.clear();
  m_rounds = impl::NonceRing{};
}

bool BeatTable::Due(TimePoint now) const noexcept
{
  return m_rounds.Due(now, kInterval);
}

void BeatTable::OnAsked(TimePoint now, std::uint64_t nonce)
{
  m_rounds.OnSent(now, nonce);
}

MemberBeat* BeatTable::Find(const VmId& vm) noexcept
{
  const auto row = std::find_if(
    m_rows.begin(), m_rows.end(), [&vm](const MemberBeat& each) { return each.vm == vm; });
  return row == m_rows.end() ? nullptr : &*row;
}

bool BeatTable::OnReply(const VmId& vm,
                        std::uint64_t nonce,
                        bool engineAlive,
                        bool weightsLoaded,
                        bool leaving)
{
  const auto askedAt = m_rounds.SentAt(nonce);
  MemberBeat* row = Find(vm);
  if (!askedAt || row == nullptr) {
    return false;
  }
  if (row->askedAt && *askedAt < *row->askedAt) {
    return true; // A late reply to an earlier round tells nothing new.
  }
  row->weightsLoaded = weightsLoaded;
  row->leaving = leaving;
  // An agent whose engine is dead is as good as missing: its beat doesn't count.
  if (engineAlive) {
    row->askedAt = askedAt;
  }
  return true;
}

void BeatTable::OnOwnTarget(const VmId& vm, TimePoint askedAt, bool weightsLoaded)
{
  if (MemberBeat* row = Find(vm)) {
    row->askedAt = askedAt;
    row->weightsLoaded = weightsLoaded;
  }
}

} // namespace gooseberrysail
