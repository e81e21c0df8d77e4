#include "gooseberrysail/gateway/target_statements.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrysail {

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
    found = m_rows.emplace(life.instance, Row{ .born = life.born }).first;
  }
  Row& row = found->second;
  if (life.born < row.born) {
    return nullptr;
  }
  if (row.born < life.born) {
    row = Row{ .born = life.born };
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

} // namespace gooseberrysail
