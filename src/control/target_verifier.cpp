#include "gooseberrysail/control/target_verifier.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>

namespace gooseberrysail {

namespace {

TargetLife LifeOf(const TargetRow& row)
{
  return { row.latest.instance, row.latest.born };
}

} // namespace

void TargetVerifier::Clear()
{
  m_askedAt.clear();
  m_answers.clear();
  m_replaced.clear();
  m_contested.clear();
}

void TargetVerifier::Forget(const TargetTable& targets)
{
  const auto isGone = [&](const auto& row) { return targets.Find(row.first) == nullptr; };
  std::erase_if(m_askedAt, isGone);
  std::erase_if(m_answers, isGone);
  std::erase_if(m_replaced,
                [&](const TargetLife& life) { return targets.Find(life.instance) == nullptr; });
}

std::vector<TargetVerifier::Replacement> TargetVerifier::Update(const TargetTable& targets)
{
  Forget(targets);
  m_contested.clear();
  std::map<std::string_view, Rows> byAddress;
  for (const auto& [instance, row] : targets.Rows()) {
    if (!row.latest.address.empty() && !IsReplaced(row)) {
      byAddress[row.latest.address].push_back(&row);
    }
  }
  std::vector<Replacement> replacements;
  for (const auto& [address, rows] : byAddress) {
    Rows left;
    for (const TargetRow* row : rows) {
      if (const TargetRow* present = FindPresent(rows, *row)) {
        replacements.push_back({ LifeOf(*row), present->latest.instance });
        OnReplaced(LifeOf(*row));
      } else {
        left.push_back(row);
      }
    }
    if (left.size() > 1) {
      std::ranges::transform(left,
                             std::inserter(m_contested, m_contested.end()),
                             [](const TargetRow* row) { return row->latest.instance; });
    }
  }
  return replacements;
}

// An address belongs to one target at a time. Whoever answers there after the last word of another
// identity came after it; the order in which their first words arrived tells nothing.
const TargetRow* TargetVerifier::FindPresent(const Rows& rows, const TargetRow& row) const
{
  const auto present = std::ranges::find_if(rows, [&](const TargetRow* other) {
    const Answer* answer = FindAnswer(*other);
    return other != &row && answer != nullptr && answer->askedAt > row.heardAt;
  });
  return present == rows.end() ? nullptr : *present;
}

const TargetVerifier::Answer* TargetVerifier::FindAnswer(const TargetRow& row) const
{
  const auto answer = m_answers.find(row.latest.instance);
  const bool isOfThisLife = answer != m_answers.end() && answer->second.born == row.latest.born;
  return isOfThisLife ? &answer->second : nullptr;
}

std::vector<InstanceId> TargetVerifier::TakeDue(
  TimePoint now,
  const TargetTable& targets,
  const std::function<bool(const TargetRow&)>& isDoubtful)
{
  std::vector<InstanceId> due;
  for (const auto& [instance, row] : targets.Rows()) {
    if (MayAsk(now, row) && (IsContested(instance) || isDoubtful(row))) {
      m_askedAt[instance] = now;
      due.push_back(instance);
    }
  }
  return due;
}

// One that gave no answer is asked again when it has spoken since: a target that is cut off would
// be asked in vain for as long as the cut lasts.
bool TargetVerifier::MayAsk(TimePoint now, const TargetRow& row) const
{
  if (row.latest.address.empty() || row.latest.left || IsReplaced(row)) {
    return false;
  }
  const auto asked = m_askedAt.find(row.latest.instance);
  if (asked == m_askedAt.end()) {
    return true;
  }
  const Answer* answer = FindAnswer(row);
  const bool isReachable = answer != nullptr && answer->askedAt >= asked->second;
  return now - asked->second >= kAskAgain && (isReachable || row.heardAt > asked->second);
}

void TargetVerifier::OnAnswer(TimePoint askedAt, const TargetLife& life, const TargetReport& report)
{
  m_answers[life.instance] = { life.born, askedAt, report.membership };
}

bool TargetVerifier::Confirms(const TargetRow& row) const
{
  const Answer* answer = FindAnswer(row);
  return answer != nullptr && answer->membership && answer->membership->IsOf(row.latest.membership);
}

bool TargetVerifier::DeniesGroup(const TargetRow& row,
                                 const GroupMembership& membership,
                                 TimePoint since) const
{
  const Answer* answer = FindAnswer(row);
  return answer != nullptr && answer->askedAt >= since && answer->membership &&
         !answer->membership->IsOf(membership);
}

} // namespace gooseberrysail
