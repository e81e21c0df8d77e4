#pragma once

#include "gooseberrysail/core/result.hpp"
#include "gooseberrysail/storage/file_system.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace gooseberrysail::impl {

/// \brief Owns a file descriptor and closes it on destruction.
class FileHandle
{
public:
  FileHandle() = default;
  explicit FileHandle(int file) noexcept
    : m_file(file)
  {
  }
  FileHandle(FileHandle&& other) noexcept;
  FileHandle& operator=(FileHandle&& other) noexcept;
  ~FileHandle();

  [[nodiscard]] int Get() const noexcept { return m_file; }
  [[nodiscard]] bool IsOpen() const noexcept { return m_file >= 0; }

private:
  int m_file = -1;
};

[[nodiscard]] Error IoError(const char* step, const std::string& path, int error);

/// \brief Creates the folder if it does not exist.
[[nodiscard]] Result<void> MakeFolder(const std::string& folder, const FileSystem& files);

/// \brief Syncs the folder's entry in its parent, which an earlier process may have left unsynced.
[[nodiscard]] Result<void> SyncParent(const std::string& folder, const FileSystem& files);

/// \brief Locks the folder for this process until the handle is closed.
[[nodiscard]] Result<FileHandle> LockFolder(const std::string& folder);

/// \brief Returns the names of the entries in a folder, sorted.
[[nodiscard]] Result<std::vector<std::string>> ListFiles(const std::string& folder);

[[nodiscard]] Result<std::vector<std::uint8_t>> ReadFile(const std::string& path);

/// \brief Opens a file for appending. With `create` it must not exist yet.
[[nodiscard]] Result<FileHandle> OpenForAppend(const std::string& path, bool create);

/// \brief Replaces a file atomically: after a crash either the old or the new contents are there.
[[nodiscard]] Result<void> ReplaceFile(const std::string& folder,
                                       const std::string& name,
                                       std::span<const std::uint8_t> bytes,
                                       const FileSystem& files);

/// \brief Removes obsolete files. Errors are ignored; the next start tries again.
void RemoveFiles(const std::string& folder, std::span<const std::string> names);

} // namespace gooseberrysail::impl
