#include "gooseberrysail/control/target_verifier.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>

namespace gooseberrysail {

namespace {

TargetIncarnation LifeOf(const TargetRow& row)
{
  return { row.latest.instance, row.latest.born };
}

} // namespace

void TargetVerifier::Clear()
{
  m_identities = {};
  m_reports = {};
  m_replaced.clear();
  m_contested.clear();
}

void TargetVerifier::Forget(const TargetTable& targets)
{
  m_identities.Forget(targets);
  m_reports.Forget(targets);
  std::erase_if(m_replaced, [&](const TargetIncarnation& life) {
    return targets.Find(life.instance) == nullptr;
  });
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
    const Answer* answer = m_identities.FindAnswer(*other);
    return other != &row && answer != nullptr && answer->askedAt > row.lastSeenAt;
  });
  return present == rows.end() ? nullptr : *present;
}

std::vector<InstanceId> TargetVerifier::TakeContested(
  TimePoint now,
  const TargetTable& targets,
  const std::function<bool(const TargetRow&)>& isEngine)
{
  return Take(now, targets, m_identities, [&](const TargetRow& row) {
    return IsContested(row.latest.instance) && isEngine(row);
  });
}

std::vector<InstanceId> TargetVerifier::TakeDoubtful(
  TimePoint now,
  const TargetTable& targets,
  const std::function<bool(const TargetRow&)>& isDoubtful)
{
  return Take(now, targets, m_reports, isDoubtful);
}

std::vector<InstanceId> TargetVerifier::Take(
  TimePoint now,
  const TargetTable& targets,
  Question& question,
  const std::function<bool(const TargetRow&)>& mustAsk) const
{
  std::vector<InstanceId> due;
  for (const auto& [instance, row] : targets.Rows()) {
    const bool isThere = !row.latest.address.empty() && !row.latest.left && !IsReplaced(row);
    if (isThere && question.MayAsk(now, row) && mustAsk(row)) {
      question.askedAt[instance] = now;
      due.push_back(instance);
    }
  }
  return due;
}

void TargetVerifier::OnIdentified(TimePoint askedAt, const TargetIncarnation& life)
{
  m_identities.answers[life.instance] = { life.born, askedAt, {} };
}

void TargetVerifier::OnReport(TimePoint askedAt,
                              const TargetIncarnation& life,
                              const TargetReport& report)
{
  m_reports.answers[life.instance] = { life.born, askedAt, report.membership };
}

bool TargetVerifier::Confirms(const TargetRow& row) const
{
  const Answer* answer = m_reports.FindAnswer(row);
  return answer != nullptr && answer->membership && answer->membership->IsOf(row.latest.membership);
}

bool TargetVerifier::DeniesGroup(const TargetRow& row,
                                 const GroupMembership& membership,
                                 TimePoint since) const
{
  const Answer* answer = m_reports.FindAnswer(row);
  return answer != nullptr && answer->askedAt >= since && answer->membership &&
         !answer->membership->IsOf(membership);
}

const TargetVerifier::Answer* TargetVerifier::Question::FindAnswer(const TargetRow& row) const
{
  const auto answer = answers.find(row.latest.instance);
  const bool isOfThisLife = answer != answers.end() && answer->second.born == row.latest.born;
  return isOfThisLife ? &answer->second : nullptr;
}

// One that gave no answer is asked again when it has spoken since: a target that is cut off would
// be asked in vain for as long as the cut lasts.
bool TargetVerifier::Question::MayAsk(TimePoint now, const TargetRow& row) const
{
  const auto asked = askedAt.find(row.latest.instance);
  if (asked == askedAt.end()) {
    return true;
  }
  const Answer* answer = FindAnswer(row);
  const bool isReachable = answer != nullptr && answer->askedAt >= asked->second;
  return now - asked->second >= kAskAgain && (isReachable || row.lastSeenAt > asked->second);
}

void TargetVerifier::Question::Forget(const TargetTable& targets)
{
  const auto isGone = [&](const auto& row) { return targets.Find(row.first) == nullptr; };
  std::erase_if(askedAt, isGone);
  std::erase_if(answers, isGone);
}

} // namespace gooseberrysail
