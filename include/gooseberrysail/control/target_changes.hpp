#pragma once

#include "gooseberrysail/serving/served_target.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief The targets that entries use, each with the sequence of its latest change: what an entry
/// lacks since any earlier sequence can be told without the rest.
/// \code
/// TargetChanges changes;
/// changes.Set(targets);
/// changes.Fill(entryHas, state);
/// \endcode
class TargetChanges
{
public:
  /// \brief How soon entries must learn of a change.
  enum class Urgency
  {
    kNone,     ///< Nothing changed.
    kDeferrable, ///< It may wait for a moment and go out with others.
    kImmediate,   ///< A caller is served worse while an entry doesn't know it.
  };

  /// \brief Takes over the whole list; a difference makes a new sequence.
  Urgency Set(std::span<const ServedTarget> targets);

  /// \brief Forgets everything; sequences start anew.
  void Reset();

  /// \brief Of the latest change; 0: no list was taken over yet.
  [[nodiscard]] std::uint64_t Sequence() const noexcept { return m_sequence; }

  /// \brief Writes what changed after `base`, or the whole list where that can't be told.
  /// \param base The sequence that the reader has; 0: none of this leader's.
  void Fill(std::uint64_t base, wire::ServingStateT& state) const;

  /// \brief Rows that are gone are remembered up to this many; a reader that lacks more is told the
  /// whole list.
  static constexpr std::size_t kMaxGone = 4096;

private:
  struct Row
  {
    ServedTarget target;
    std::uint64_t changedIn = 0;
  };

  Urgency Add(const ServedTarget& target);
  void RememberGone(const InstanceId& instance);

  std::map<InstanceId, Row> m_rows;
  std::map<InstanceId, std::uint64_t> m_gone; ///< With the sequence in which they went.
  std::uint64_t m_sequence = 0;
  std::uint64_t m_oldestBase = 0; ///< What is gone since an earlier sequence isn't all known.
};

} // namespace gooseberrysail
