#pragma once

#include "gooseberrysail/consensus/raft_node.hpp"
#include "gooseberrysail/core/result.hpp"
#include "gooseberrysail/storage/file_system.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrysail {

struct ControlStoreOptions
{
  std::string folder;                    ///< Created when missing (its parent must exist).
  std::function<std::uint64_t()> random; ///< For the storage identity of a fresh folder.
  FileSystem files = RealFileSystem();
  std::uint64_t segmentBytes = 8 * 1024 * 1024; ///< A larger log file is closed.
};

/// \brief The persistent state of one control process: identity, hard state, snapshot and log.
/// \remarks Holds a lock on its folder until it is destroyed. After a failed write or sync every
/// further Persist fails, since the contents of the disk are unknown until the folder is reopened.
class ControlStore
{
public:
  /// \brief Locks the folder and reads its contents.
  /// \returns kConflict if another process has locked the folder; kCorrupt, with file and offset in
  /// Error::peer, if data that had been synced is damaged.
  [[nodiscard]] static Result<ControlStore> Open(ControlStoreOptions options);

  ControlStore(ControlStore&&) noexcept;
  ControlStore& operator=(ControlStore&&) noexcept;
  ~ControlStore();

  /// \brief The contents of the folder at Open; the first call moves them out.
  [[nodiscard]] RecoveredLog TakeRecovered();

  /// \brief Events that occurred in Open, such as the truncation of a torn tail.
  [[nodiscard]] const std::vector<EventOut>& OpenEvents() const noexcept;

  /// \brief Writes and syncs; if it returns no error, the data survives a crash.
  [[nodiscard]] Result<void> Persist(const ReadyOutput& ready);

  /// \brief Size of the log files and the snapshot in bytes, for metrics.
  [[nodiscard]] std::uint64_t UsedBytes() const;

private:
  struct Impl;
  explicit ControlStore(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
