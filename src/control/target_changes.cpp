#include "gooseberrysail/control/target_changes.hpp"

#include <algorithm>
#include <set>

namespace gooseberrysail {

namespace {

/// What an entry sends to a target that is leaving, lost its group or started again is sent in
/// vain. A place more is of use a moment later as well.
bool IsUrgent(const ServedTarget& former, const ServedTarget& now)
{
  const bool lostItsModel = !former.servedModel.empty() && now.servedModel != former.servedModel;
  return now.leaving != former.leaving || lostItsModel || now.born != former.born ||
         now.address != former.address;
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
    RememberGone(row->first);
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
  m_gone.erase(target.instance);
  return isUrgent ? Urgency::kImmediate : Urgency::kDeferrable;
}

void TargetChanges::RememberGone(const InstanceId& instance)
{
  m_gone[instance] = m_sequence;
  if (m_gone.size() <= kMaxGone) {
    return;
  }
  const auto oldest =
    std::ranges::min_element(m_gone, {}, [](const auto& row) { return row.second; });
  m_oldestBase = oldest->second;
  m_gone.erase(oldest);
}

void TargetChanges::Reset()
{
  m_rows.clear();
  m_gone.clear();
  m_sequence = 0;
  m_oldestBase = 0;
}

// Rows bear their latest values only, so that a reader that has more than `base` may take them over
// as well: what it has already is told again, and nothing goes back.
void TargetChanges::Fill(std::uint64_t base, wire::ServingStateT& state) const
{
  const bool isWhole = base == 0 || base < m_oldestBase;
  state.targetsSequence = m_sequence;
  state.wholeTargets = isWhole;
  state.targetsBase = isWhole ? 0 : base;
  for (const auto& [instance, row] : m_rows) {
    if (isWhole || row.changedIn > base) {
      state.targets.push_back(std::make_unique<wire::ServingTargetT>(ToWire(row.target)));
    }
  }
  if (isWhole) {
    return;
  }
  for (const auto& [instance, goneIn] : m_gone) {
    if (goneIn > base) {
      state.goneTargets.push_back(instance.Get());
    }
  }
}

} // namespace gooseberrysail
