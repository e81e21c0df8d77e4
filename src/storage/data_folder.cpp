#include "storage/data_folder.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace gooseberrysail::impl {

namespace {

constexpr mode_t kFileMode = 0600;
constexpr mode_t kFolderMode = 0700;
constexpr const char* kLockName = "LOCK";
constexpr const char* kTemporarySuffix = ".new";

std::string ParentOf(const std::string& folder)
{
  std::filesystem::path path(folder);
  if (!path.has_filename()) {
    path = path.parent_path(); // The parent of "data/" is "data".
  }
  const std::string parent = path.parent_path().string();
  return parent.empty() ? "." : parent;
}

} // namespace

FileHandle::FileHandle(FileHandle&& other) noexcept
  : m_file(std::exchange(other.m_file, -1))
{
}

FileHandle& FileHandle::operator=(FileHandle&& other) noexcept
{
  std::swap(m_file, other.m_file);
  return *this;
}

FileHandle::~FileHandle()
{
  if (m_file >= 0) {
    ::close(m_file);
  }
}

Error IoError(const char* step, const std::string& path, int error)
{
  return Error{ ErrorCode::kIo, step, path, std::strerror(error) };
}

Result<void> MakeFolder(const std::string& folder, const FileSystem& files)
{
  if (::mkdir(folder.c_str(), kFolderMode) == 0) {
    return SyncParent(folder, files);
  }
  if (errno != EEXIST) {
    return IoError("make data folder", folder, errno);
  }
  return outcome::success();
}

Result<void> SyncParent(const std::string& folder, const FileSystem& files)
{
  if (const int error = files.syncFolder(ParentOf(folder)); error != 0) {
    return IoError("sync folder", ParentOf(folder), error);
  }
  return outcome::success();
}

Result<FileHandle> LockFolder(const std::string& folder)
{
  const std::string path = folder + "/" + kLockName;
  FileHandle file(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
  if (!file.IsOpen()) {
    return IoError("open lock", path, errno);
  }
  if (::flock(file.Get(), LOCK_EX | LOCK_NB) == 0) {
    return file;
  }
  if (errno == EWOULDBLOCK) {
    return Error{
      ErrorCode::kConflict, "lock data folder", folder, "another process is using this folder"
    };
  }
  return IoError("lock data folder", folder, errno);
}

Result<std::vector<std::string>> ListFiles(const std::string& folder)
{
  std::vector<std::string> names;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    names.push_back(entry.path().filename().string());
  }
  if (error) {
    return IoError("list data folder", folder, error.value());
  }
  std::sort(names.begin(), names.end());
  return names;
}

Result<std::vector<std::uint8_t>> ReadFile(const std::string& path)
{
  const FileHandle file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  struct stat status = {};
  if (!file.IsOpen() || ::fstat(file.Get(), &status) != 0) {
    return IoError("open file", path, errno);
  }
  std::vector<std::uint8_t> bytes(static_cast<std::size_t>(status.st_size));
  std::size_t total = 0;
  while (total < bytes.size()) {
    const ssize_t count = ::read(file.Get(), bytes.data() + total, bytes.size() - total);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      return IoError("read file", path, errno);
    }
    if (count == 0) {
      break;
    }
    total += static_cast<std::size_t>(count);
  }
  bytes.resize(total);
  return bytes;
}

Result<FileHandle> OpenForAppend(const std::string& path, bool create)
{
  const int flags = O_WRONLY | O_APPEND | O_CLOEXEC | (create ? O_CREAT | O_EXCL : 0);
  FileHandle file(::open(path.c_str(), flags, kFileMode));
  if (!file.IsOpen()) {
    return IoError("open log file", path, errno);
  }
  return file;
}

Result<void> ReplaceFile(const std::string& folder,
                         const std::string& name,
                         std::span<const std::uint8_t> bytes,
                         const FileSystem& files)
{
  const std::string path = folder + "/" + name;
  const std::string temporary = path + kTemporarySuffix;
  const FileHandle file(
    ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
  if (!file.IsOpen()) {
    return IoError("open file", temporary, errno);
  }
  if (const int error = files.write(file.Get(), bytes); error != 0) {
    return IoError("write file", temporary, error);
  }
  // Synced before the rename: otherwise the new name could survive a crash without the contents.
  if (const int error = files.sync(file.Get()); error != 0) {
    return IoError("sync file", temporary, error);
  }
  if (const int error = files.rename(temporary, path); error != 0) {
    return IoError("rename file", path, error);
  }
  if (const int error = files.syncFolder(folder); error != 0) {
    return IoError("sync folder", folder, error);
  }
  return outcome::success();
}

void RemoveFiles(const std::string& folder, std::span<const std::string> names)
{
  for (const std::string& name : names) {
    const std::filesystem::path path = std::filesystem::path(folder) / name;
    ::unlink(path.c_str());
  }
}

} // namespace gooseberrysail::impl
