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
  m_identityQueries = {};
  m_reportQueries = {};
  m_replaced.clear();
  m_contested.clear();
}

void TargetVerifier::Forget(const TargetTable& targets)
{
  m_identityQueries.Forget(targets);
  m_reportQueries.Forget(targets);
  std::erase_if(m_replaced, [&](const TargetIncarnation& incarnation) {
    return targets.Find(incarnation.instance) == nullptr;
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
      if (const TargetRow* replacement = FindReplacement(rows, *row)) {
        replacements.push_back({ LifeOf(*row), replacement->latest.instance });
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

// An address belongs to one target at a time. A target that answers there after the last
// announcement of another identity has replaced it. The order in which the first announcements of
// the identities arrived is not conclusive.
const TargetRow* TargetVerifier::FindReplacement(const Rows& rows, const TargetRow& row) const
{
  const auto replacement = std::ranges::find_if(rows, [&](const TargetRow* other) {
    const Answer* answer = m_identityQueries.FindAnswer(*other);
    return other != &row && answer != nullptr && answer->askedAt > row.lastSeenAt;
  });
  return replacement == rows.end() ? nullptr : *replacement;
}

std::vector<InstanceId> TargetVerifier::TakeContested(
  TimePoint now,
  const TargetTable& targets,
  const std::function<bool(const TargetRow&)>& isEngine)
{
  return TakeDue(now, targets, m_identityQueries, [&](const TargetRow& row) {
    return IsContested(row.latest.instance) && isEngine(row);
  });
}

std::vector<InstanceId> TargetVerifier::TakeUnconfirmed(
  TimePoint now,
  const TargetTable& targets,
  const std::function<bool(const TargetRow&)>& isUnconfirmed)
{
  return TakeDue(now, targets, m_reportQueries, isUnconfirmed);
}

std::vector<InstanceId> TargetVerifier::TakeDue(
  TimePoint now,
  const TargetTable& targets,
  QueryRecords& queries,
  const std::function<bool(const TargetRow&)>& needsQuery) const
{
  std::vector<InstanceId> due;
  for (const auto& [instance, row] : targets.Rows()) {
    const bool isAddressable = !row.latest.address.empty() && !row.latest.left && !IsReplaced(row);
    if (isAddressable && queries.IsQueryDue(now, row) && needsQuery(row)) {
      queries.askedAt[instance] = now;
      due.push_back(instance);
    }
  }
  return due;
}

void TargetVerifier::OnIdentified(TimePoint askedAt, const TargetIncarnation& incarnation)
{
  m_identityQueries.answers[incarnation.instance] = { incarnation.born, askedAt, {} };
}

void TargetVerifier::OnReport(TimePoint askedAt,
                              const TargetIncarnation& incarnation,
                              const TargetReport& report)
{
  m_reportQueries.answers[incarnation.instance] = { incarnation.born, askedAt, report.membership };
}

bool TargetVerifier::Confirms(const TargetRow& row) const
{
  const Answer* answer = m_reportQueries.FindAnswer(row);
  return answer != nullptr && answer->membership && answer->membership->IsOf(row.latest.membership);
}

bool TargetVerifier::DeniesGroup(const TargetRow& row,
                                 const GroupMembership& membership,
                                 TimePoint since) const
{
  const Answer* answer = m_reportQueries.FindAnswer(row);
  return answer != nullptr && answer->askedAt >= since && answer->membership &&
         !answer->membership->IsOf(membership);
}

const TargetVerifier::Answer* TargetVerifier::QueryRecords::FindAnswer(const TargetRow& row) const
{
  const auto answer = answers.find(row.latest.instance);
  const bool isOfThisLife = answer != answers.end() && answer->second.born == row.latest.born;
  return isOfThisLife ? &answer->second : nullptr;
}

// A target that did not answer is queried again only after another announcement. Otherwise a
// target that is cut off would be queried without an answer for as long as it is unreachable.
bool TargetVerifier::QueryRecords::IsQueryDue(TimePoint now, const TargetRow& row) const
{
  const auto asked = askedAt.find(row.latest.instance);
  if (asked == askedAt.end()) {
    return true;
  }
  const Answer* answer = FindAnswer(row);
  const bool isReachable = answer != nullptr && answer->askedAt >= asked->second;
  return now - asked->second >= kMinQueryInterval &&
         (isReachable || row.lastSeenAt > asked->second);
}

void TargetVerifier::QueryRecords::Forget(const TargetTable& targets)
{
  const auto isGone = [&](const auto& row) { return targets.Find(row.first) == nullptr; };
  std::erase_if(askedAt, isGone);
  std::erase_if(answers, isGone);
}

} // namespace gooseberrysail
