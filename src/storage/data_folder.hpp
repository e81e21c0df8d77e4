#pragma once

#include "gooseberrysail/core/result.hpp"
#include "gooseberrysail/storage/file_system.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace gooseberrysail::impl {

/// \brief An open file that closes itself.
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

[[nodiscard]] Result<void> MakeFolder(const std::string& folder, const FileSystem& files);

/// \brief Locks the folder for this process until the handle closes.
[[nodiscard]] Result<FileHandle> LockFolder(const std::string& folder);

/// \brief The names of plain files in it, sorted.
[[nodiscard]] Result<std::vector<std::string>> ListFiles(const std::string& folder);

[[nodiscard]] Result<std::vector<std::uint8_t>> ReadFile(const std::string& path);

/// \brief Opens for appending; `create` fails when the file exists.
[[nodiscard]] Result<FileHandle> OpenForAppend(const std::string& path, bool create);

/// \brief Replaces a file so that after a crash either the old or the new one is there, whole.
[[nodiscard]] Result<void> ReplaceFile(const std::string& folder,
                                       const std::string& name,
                                       std::span<const std::uint8_t> bytes,
                                       const FileSystem& files);

/// \brief Removes files that nothing refers to any more; what stays is tried again at next start.
void RemoveFiles(const std::string& folder, std::span<const std::string> names);

} // namespace gooseberrysail::impl
