#pragma once

#include "gooseberrysail/core/ids.hpp"

#include <commands_generated.h>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>
#include <wire_generated.h>

namespace gooseberrysail {

/// \brief Value of `CatalogueWrite.expectedRevision` that accepts any current revision.
inline constexpr std::uint64_t kAnyRevision = std::numeric_limits<std::uint64_t>::max();

/// \brief Hash of a change without its time; distinguishes a repeated change from another that
/// reuses its id.
[[nodiscard]] std::string DigestOf(const wire::ChangeCatalogueT& change);

/// \brief The replicated catalogue and the outcomes of its latest changes.
/// \remarks Deterministic: every voter that applied the same commands holds the same table.
class CatalogueTable
{
public:
  using Key = std::pair<wire::EntryKind, std::string>;

  /// \brief Checks a change and applies all its writes or none.
  /// \remarks A change whose id is known is not applied again and keeps its first outcome.
  void Apply(LogIndex index, const wire::ChangeCatalogueT& change);

  /// \brief Log index of the latest change that took effect.
  [[nodiscard]] LogIndex Version() const noexcept { return m_version; }

  /// \returns Null when the entry does not exist or was removed.
  [[nodiscard]] const wire::CatalogueItemT* Find(wire::EntryKind kind, std::string_view name) const;

  /// \brief All entries by kind and name, including removed ones (`deleted`).
  [[nodiscard]] const std::map<Key, wire::CatalogueItemT>& Items() const noexcept
  {
    return m_items;
  }

  /// \brief The entries changed after `haveVersion`, or the whole catalogue when removals since
  /// then may have been pruned.
  [[nodiscard]] wire::ConfigStateT StateSince(LogIndex haveVersion) const;

  /// \returns Null when the id is unknown or its change is no longer kept.
  [[nodiscard]] const wire::ChangeRecordT* FindChange(std::string_view changeId) const;

  /// \brief The latest changes, oldest first.
  [[nodiscard]] const std::deque<wire::ChangeRecordT>& Changes() const noexcept
  {
    return m_changes;
  }

  void SaveTo(wire::ControlSnapshotT& snapshot) const;
  void LoadFrom(const wire::ControlSnapshotT& snapshot);

  static constexpr std::size_t kMaxChanges = 4'000;
  static constexpr std::size_t kMaxChangeBytes = 8 * 1024 * 1024;
  static constexpr std::size_t kMaxItems = 20'000;
  static constexpr std::size_t kMaxItemBytes = 8 * 1024 * 1024;

private:
  struct CheckResult;
  [[nodiscard]] CheckResult Check(const wire::ChangeCatalogueT& change) const;
  void Write(LogIndex index, const wire::CatalogueWriteT& write, wire::ChangeRecordT& record);
  void AddChange(wire::ChangeRecordT record);
  void PruneRemovals();

  LogIndex m_version;
  std::map<Key, wire::CatalogueItemT> m_items;
  std::size_t m_itemBytes = 0;
  /// Removals up to this version may have been pruned: a process with an older version needs the
  /// whole catalogue.
  std::uint64_t m_prunedVersion = 0;
  std::deque<wire::ChangeRecordT> m_changes;
  std::size_t m_changeBytes = 0;
  std::uint64_t m_firstChange = 0; ///< Sequence number of the oldest kept change.
  std::unordered_map<std::string, std::uint64_t> m_changeById;
};

} // namespace gooseberrysail
