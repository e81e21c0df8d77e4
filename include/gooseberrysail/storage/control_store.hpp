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
  std::uint64_t segmentBytes = 8 * 1024 * 1024; ///< A log file is closed when it is larger.
};

/// \brief The synced files of one control process: identity, hard state, snapshot and log.
/// \remarks Holds a lock on its folder until it is destroyed. After a failed write or sync it
/// refuses everything: what the disk then holds is unknown until the folder is opened anew.
class ControlStore
{
public:
  /// \brief Locks the folder and reads what it holds.
  /// \returns kConflict when another process holds the folder; kCorrupt, with file and offset in
  /// Error::peer, when something synced earlier is damaged.
  [[nodiscard]] static Result<ControlStore> Open(ControlStoreOptions options);

  ControlStore(ControlStore&&) noexcept;
  ControlStore& operator=(ControlStore&&) noexcept;
  ~ControlStore();

  /// \brief What the folder held at Open; moved out on the first call.
  [[nodiscard]] RecoveredLog TakeRecovered();

  /// \brief Events of opening, such as a torn tail that was cut.
  [[nodiscard]] const std::vector<EventOut>& OpenEvents() const noexcept;

  /// \brief Writes and syncs; when it returns without error, all of it outlives a crash.
  [[nodiscard]] Result<void> Persist(const ReadyOutput& ready);

  /// \brief Bytes in all files, for metrics.
  [[nodiscard]] std::uint64_t UsedBytes() const;

private:
  struct Impl;
  explicit ControlStore(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

} // namespace gooseberrysail
