#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>

namespace gooseberrysail {

/// \brief The calls that make files last; tests replace them to let a disk fill or fail.
/// \remarks Each returns 0 or an errno value.
struct FileSystem
{
  std::function<int(int file, std::span<const std::uint8_t> bytes)> write;
  std::function<int(int file)> sync;
  std::function<int(const std::string& from, const std::string& to)> rename;
  std::function<int(const std::string& folder)> syncFolder;
};

/// \brief write(2) until all is written, fdatasync(2), rename(2), fsync(2) of a folder.
[[nodiscard]] FileSystem RealFileSystem();

} // namespace gooseberrysail
