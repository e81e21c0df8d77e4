#include "gooseberrysail/control/target_changes.hpp"

#include <algorithm>
#include <set>

namespace gooseberrysail {

namespace {

/// Requests that an entry sends to a target that is leaving, lost its group or restarted are
/// wasted. Added capacity can be announced slightly later without harm.
bool IsUrgent(const ServedTarget& former, const ServedTarget& now)
{
  const bool lostItsModel = !former.servedModel.empty() && now.servedModel != former.servedModel;
  return now.leaving != former.leaving || lostItsModel || now.born != former.born ||
         now.address != former.address || now.coldUntil > former.coldUntil;
}

} // namespace

TargetChanges::Urgency TargetChanges::Set(std::span<const ServedTarget> targets)
{
  const std::uint64_t former = m_sequence++;
  Urgency urgency = former == 0 ? Urgency::kDeferrable : Urgency::kNone;
  std::set<InstanceId> present;
  for (const ServedTarget& target : targets) {
    present.insert(target.instance);
    urgency = std::max(urgency, Add(target));
  }
  for (auto row = m_rows.begin(); row != m_rows.end();) {
    if (present.contains(row->first)) {
      ++row;
      continue;
    }
    RecordRemoval(row->first);
    row = m_rows.erase(row);
    urgency = Urgency::kImmediate;
  }
  if (urgency == Urgency::kNone) {
    m_sequence = former;
  }
  return urgency;
}

TargetChanges::Urgency TargetChanges::Add(const ServedTarget& target)
{
  const auto [found, fresh] = m_rows.try_emplace(target.instance);
  Row& row = found->second;
  if (!fresh && row.target == target) {
    return Urgency::kNone;
  }
  const bool isUrgent = !fresh && IsUrgent(row.target, target);
  row = { target, m_sequence };
  m_removed.erase(target.instance);
  return isUrgent ? Urgency::kImmediate : Urgency::kDeferrable;
}

void TargetChanges::RecordRemoval(const InstanceId& instance)
{
  m_removed[instance] = m_sequence;
  if (m_removed.size() <= kMaxRemoved) {
    return;
  }
  const auto oldest =
    std::ranges::min_element(m_removed, {}, [](const auto& row) { return row.second; });
  m_oldestBase = oldest->second;
  m_removed.erase(oldest);
}

void TargetChanges::Reset()
{
  m_rows.clear();
  m_removed.clear();
  m_sequence = 0;
  m_oldestBase = 0;
}

// Rows contain only their latest values, so that a reader with a later sequence number than `base`
// can apply them as well: it receives some values again, but none is reverted.
void TargetChanges::Fill(TimePoint now, std::uint64_t base, wire::ServingStateT& state) const
{
  const bool isWhole = base == 0 || base < m_oldestBase;
  state.targetsSequence = m_sequence;
  state.wholeTargets = isWhole;
  state.targetsBase = isWhole ? 0 : base;
  for (const auto& [instance, row] : m_rows) {
    if (isWhole || row.changedIn > base) {
      state.targets.push_back(std::make_unique<wire::ServingTargetT>(ToWire(now, row.target)));
    }
  }
  if (isWhole) {
    return;
  }
  for (const auto& [instance, removedIn] : m_removed) {
    if (removedIn > base) {
      state.goneTargets.push_back(instance.Get());
    }
  }
}

} // namespace gooseberrysail
