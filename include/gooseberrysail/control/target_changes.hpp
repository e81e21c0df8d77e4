#pragma once

#include "gooseberrysail/serving/served_target.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief The targets that entries use, each with the sequence number of its latest change, so that
/// an entry can be sent only the changes since an earlier sequence number.
/// \code
/// TargetChanges changes;
/// changes.Set(targets);
/// changes.Fill(now, entryHas, state);
/// \endcode
class TargetChanges
{
public:
  /// \brief How soon a change must be sent to entries.
  enum class Urgency
  {
    kNone,       ///< Nothing changed.
    kDeferrable, ///< It may be delayed and batched with others.
    kImmediate,  ///< Callers are served worse until entries receive it.
  };

  /// \brief Replaces the list; a difference starts a new sequence number.
  Urgency Set(std::span<const ServedTarget> targets);

  /// \brief Removes all state and restarts the sequence.
  void Reset();

  /// \brief The sequence number of the latest change; 0 before the first Set().
  [[nodiscard]] std::uint64_t Sequence() const noexcept { return m_sequence; }

  /// \brief Writes the changes after `base`, or the whole list when they are not all recorded.
  /// \param base The sequence number that the reader has; 0 when it has no state of this leader.
  void Fill(TimePoint now, std::uint64_t base, wire::ServingStateT& state) const;

  /// \brief Maximum number of recorded removals; a reader that has missed older ones is sent the
  /// whole list.
  static constexpr std::size_t kMaxRemoved = 4096;

private:
  struct Row
  {
    ServedTarget target;
    std::uint64_t changedIn = 0;
  };

  Urgency Add(const ServedTarget& target);
  void RecordRemoval(const InstanceId& instance);

  std::map<InstanceId, Row> m_rows;
  std::map<InstanceId, std::uint64_t> m_removed; ///< The sequence number of the removal.
  std::uint64_t m_sequence = 0;
  std::uint64_t m_oldestBase = 0; ///< Removals after an earlier base are not all recorded.
};

} // namespace gooseberrysail
