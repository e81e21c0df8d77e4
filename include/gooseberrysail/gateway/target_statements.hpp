#pragma once

#include "gooseberrysail/core/time.hpp"
#include "gooseberrysail/serving/target_table.hpp"

#include <map>
#include <optional>

namespace gooseberrysail {

/// \brief What an answer of a target says of its limit.
struct LimitStatement
{
  std::optional<double> perSecond; ///< From all entries together; none where it names no limit.
  bool isInvalid = false;          ///< It names one that can't be understood.
};

/// \brief How a target's limit changed.
enum class LimitChange
{
  kNone,
  kNamed,   ///< For the first time, or another one.
  kEnded,   ///< The target names none any more.
  kInvalid, ///< The target names one that can't be understood, which is ignored.
};

/// \brief Text for log lines.
[[nodiscard]] const char* ToString(LimitChange change) noexcept;

/// \brief What an answer of a target says of a backoff.
struct BackoffStatement
{
  std::optional<Duration> retryAfter; ///< It wants no requests from this entry for so long.
  bool isInvalid = false;             ///< It names a time that can't be understood.
};

/// \brief How the backoff that a target asks for changed.
enum class BackoffChange
{
  kNone,      ///< Includes a later end of one that has begun.
  kRequested, ///< It wants no requests from now on.
  kInvalid,   ///< The target names a time that can't be understood, which is ignored.
};

/// \brief Text for log lines.
[[nodiscard]] const char* ToString(BackoffChange change) noexcept;

/// \brief Keeps what targets said of themselves in answers to this entry.
/// \remarks Kept apart from control's list, which may leave a target out for a moment. A statement
/// holds for one incarnation of its target.
class TargetStatements
{
public:
  /// \brief The statements of a target's latest incarnation.
  struct Row
  {
    Incarnation born{};
    TimePoint statedAt{};                  ///< The latest of all statements.
    TimePoint backoffUntil{};              ///< Until then it wants no requests from this entry.
    bool hasInvalidRetryAfter = false;     ///< Its latest time was not valid.
    std::optional<TimePoint> leavingSince; ///< When this entry learned that it leaves.
    std::optional<double> limit;  ///< Requests a second that it takes from all entries together.
    TimePoint limitLearnedAt{};   ///< When this entry learned that it has one.
    bool hasInvalidLimit = false; ///< Its latest limit was not valid.
    double limitLeft = 0;         ///< Requests left of this entry's part of the limit, as of
    TimePoint limitLeftAt{};      ///< this time.
  };

  /// \brief The head of an answer to a request that was sent at `sentAt`.
  /// \returns How it changes the target's limit.
  LimitChange OnLimit(TimePoint now,
                      const TargetIncarnation& life,
                      TimePoint sentAt,
                      const LimitStatement& statement);

  /// \brief Sets what is left of this entry's part of a target's limit.
  void SetLimitLeft(TimePoint now, const TargetIncarnation& life, double left);

  BackoffChange OnBackoff(TimePoint now,
                          const TargetIncarnation& life,
                          const BackoffStatement& statement);

  /// \brief The target says that it leaves, which it doesn't take back.
  /// \returns Whether that is new.
  bool OnLeaving(TimePoint now, const TargetIncarnation& life);

  /// \brief Null for an incarnation that has stated nothing.
  [[nodiscard]] const Row* Find(const InstanceId& instance, Incarnation born) const;

  /// \brief Longest backoff. A target that asks for more gets one request then.
  static constexpr Duration kMaxBackoff = std::chrono::hours(1);
  /// \brief How long statements are kept after the latest one: longer than any backoff.
  static constexpr Duration kKeptFor = 2 * kMaxBackoff;

private:
  /// \brief The row for a new statement; null for an incarnation before the latest one.
  Row* Touch(TimePoint now, const TargetIncarnation& life);

  std::map<InstanceId, Row> m_rows;
};

} // namespace gooseberrysail
