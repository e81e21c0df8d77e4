#include "gooseberrysail/gateway/target_statements.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail {

const char* ToString(LimitChange change) noexcept
{
  switch (change) {
    case LimitChange::kNone:
      return "none";
    case LimitChange::kNamed:
      return "named";
    case LimitChange::kEnded:
      return "ended";
    case LimitChange::kInvalid:
      return "invalid";
  }
  return "unknown";
}

const char* ToString(BackoffChange change) noexcept
{
  switch (change) {
    case BackoffChange::kNone:
      return "none";
    case BackoffChange::kRequested:
      return "requested";
    case BackoffChange::kInvalid:
      return "invalid";
  }
  return "unknown";
}

TargetStatements::Row* TargetStatements::Touch(TimePoint now, const TargetIncarnation& life)
{
  auto found = m_rows.find(life.instance);
  if (found == m_rows.end()) {
    std::erase_if(m_rows, [&](const auto& row) { return now - row.second.statedAt > kKeptFor; });
    found = m_rows.emplace(life.instance, Row{}).first;
    found->second.born = life.born;
  }
  Row& row = found->second;
  if (life.born < row.born) {
    return nullptr;
  }
  if (row.born < life.born) {
    row = Row{};
    row.born = life.born;
  }
  row.statedAt = now;
  return &row;
}

const TargetStatements::Row* TargetStatements::Find(const InstanceId& instance,
                                                    Incarnation born) const
{
  const auto found = m_rows.find(instance);
  return found == m_rows.end() || found->second.born != born ? nullptr : &found->second;
}

// Answers on different connections may overtake each other, so the latest end counts and an answer
// without a time ends nothing.
BackoffChange TargetStatements::OnBackoff(TimePoint now,
                                          const TargetIncarnation& life,
                                          const BackoffStatement& statement)
{
  const bool saysSomething = statement.isInvalid || statement.retryAfter > Duration::zero();
  Row* row = saysSomething ? Touch(now, life) : nullptr;
  if (row == nullptr) {
    return BackoffChange::kNone;
  }
  const bool hadInvalidRetryAfter = std::exchange(row->hasInvalidRetryAfter, statement.isInvalid);
  if (!statement.retryAfter) {
    return hadInvalidRetryAfter ? BackoffChange::kNone : BackoffChange::kInvalid;
  }
  const bool wasInBackoff = now < row->backoffUntil;
  row->backoffUntil =
    std::max(row->backoffUntil, now + std::min(*statement.retryAfter, kMaxBackoff));
  return wasInBackoff ? BackoffChange::kNone : BackoffChange::kRequested;
}

// Answers on different connections may overtake each other, so one to a request that was sent
// before the limit was known doesn't show that it ended.
LimitChange TargetStatements::OnLimit(TimePoint now,
                                      const TargetIncarnation& life,
                                      TimePoint sentAt,
                                      const LimitStatement& statement)
{
  const bool saysSomething = statement.isInvalid || statement.perSecond;
  Row* row =
    saysSomething || Find(life.instance, life.born) != nullptr ? Touch(now, life) : nullptr;
  if (row == nullptr) {
    return LimitChange::kNone;
  }
  const bool hadInvalidLimit = std::exchange(row->hasInvalidLimit, statement.isInvalid);
  if (statement.isInvalid) {
    return hadInvalidLimit ? LimitChange::kNone : LimitChange::kInvalid;
  }
  if (!statement.perSecond) {
    if (!row->limit || sentAt < row->limitLearnedAt) {
      return LimitChange::kNone;
    }
    row->limit.reset();
    return LimitChange::kEnded;
  }
  if (row->limit == statement.perSecond) {
    return LimitChange::kNone;
  }
  if (!row->limit) {
    row->limitLearnedAt = now;
    row->limitLeft = 0;
    row->limitLeftAt = now;
  }
  row->limit = statement.perSecond;
  return LimitChange::kNamed;
}

void TargetStatements::SetLimitLeft(TimePoint now, const TargetIncarnation& life, double left)
{
  const auto found = m_rows.find(life.instance);
  if (found != m_rows.end() && found->second.born == life.born) {
    found->second.limitLeft = left;
    found->second.limitLeftAt = now;
  }
}

bool TargetStatements::OnLeaving(TimePoint now, const TargetIncarnation& life)
{
  Row* row = Touch(now, life);
  if (row == nullptr || row->leavingSince) {
    return false;
  }
  row->leavingSince = now;
  return true;
}

} // namespace gooseberrysail
