#include "gooseberrysail/control/target_verifier.hpp"

#include <algorithm>
#include <string_view>

namespace gooseberrysail {

void TargetVerifier::Clear()
{
  m_askedAt.clear();
  m_answers.clear();
  m_replaced.clear();
  m_contested.clear();
}

// An address belongs to one target at a time. Whoever answers there after the last word of another
// identity came after it; by the order in which their first words arrived nobody can tell.
void TargetVerifier::Update(const TargetTable& targets)
{
  const auto isGone = [&](const auto& row) { return targets.Find(row.first) == nullptr; };
  std::erase_if(m_askedAt, isGone);
  std::erase_if(m_answers, isGone);
  std::erase_if(m_replaced,
                [&](const TargetLife& life) { return targets.Find(life.instance) == nullptr; });
  m_contested.clear();
  std::map<std::string_view, std::vector<const TargetRow*>> byAddress;
  for (const auto& [instance, row] : targets.Rows()) {
    if (!row.latest.address.empty() && !IsReplaced(row)) {
      byAddress[row.latest.address].push_back(&row);
    }
  }
  for (const auto& [address, rows] : byAddress) {
    std::vector<const TargetRow*> present;
    for (const TargetRow* row : rows) {
      const bool isOver = std::ranges::any_of(rows, [&](const TargetRow* other) {
        return other != row && HasAnsweredSince(*other, row->heardAt);
      });
      if (isOver) {
        OnReplaced({ row->latest.instance, row->latest.born });
      } else {
        present.push_back(row);
      }
    }
    if (present.size() < 2) {
      continue;
    }
    for (const TargetRow* row : present) {
      m_contested.insert(row->latest.instance);
    }
  }
}

bool TargetVerifier::HasAnsweredSince(const TargetRow& row, TimePoint since) const
{
  const auto answer = m_answers.find(row.latest.instance);
  return answer != m_answers.end() && answer->second.born == row.latest.born &&
         answer->second.askedAt > since;
}

std::vector<InstanceId> TargetVerifier::TakeDue(TimePoint now, const TargetTable& targets)
{
  std::vector<InstanceId> due;
  for (const auto& [instance, row] : targets.Rows()) {
    if (row.latest.address.empty() || row.latest.left || !IsContested(instance)) {
      continue;
    }
    TimePoint& askedAt = m_askedAt[instance];
    if (askedAt == TimePoint{} || now - askedAt >= kAskAgain) {
      askedAt = now;
      due.push_back(instance);
    }
  }
  return due;
}

void TargetVerifier::OnAnswer(TimePoint askedAt, const TargetLife& life)
{
  m_answers[life.instance] = { life.born, askedAt };
}

} // namespace gooseberrysail
