#include "gooseberrysail/storage/file_system.hpp"

#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace gooseberrysail {

namespace {

int WriteAll(int file, std::span<const std::uint8_t> bytes)
{
  while (!bytes.empty()) {
    const ssize_t written = ::write(file, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return errno;
    }
    bytes = bytes.subspan(static_cast<std::size_t>(written));
  }
  return 0;
}

int Sync(int file)
{
  return ::fdatasync(file) == 0 ? 0 : errno;
}

int Rename(const std::string& from, const std::string& to)
{
  return std::rename(from.c_str(), to.c_str()) == 0 ? 0 : errno;
}

int SyncFolder(const std::string& folder)
{
  const int file = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (file < 0) {
    return errno;
  }
  const int result = ::fsync(file) == 0 ? 0 : errno;
  ::close(file);
  return result;
}

} // namespace

FileSystem RealFileSystem()
{
  return { WriteAll, Sync, Rename, SyncFolder };
}

} // namespace gooseberrysail
