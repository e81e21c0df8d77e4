#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>

namespace gooseberrysail {

/// \brief System calls for durable writes; tests replace them to simulate failing disks.
/// \remarks Each returns 0 or an errno value.
struct FileSystem
{
  std::function<int(int file, std::span<const std::uint8_t> bytes)> write;
  std::function<int(int file)> sync;
  std::function<int(const std::string& from, const std::string& to)> rename;
  std::function<int(const std::string& folder)> syncFolder;
};

/// \brief Uses write(2) in a loop, fdatasync(2), rename(2), and fsync(2) of the folder.
[[nodiscard]] FileSystem RealFileSystem();

} // namespace gooseberrysail
