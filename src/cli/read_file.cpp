#include "gooseberrysail/cli/read_file.hpp"

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <istream>
#include <system_error>

namespace gooseberrysail {

namespace {

constexpr std::size_t kMaxFileBytes = 16 * 1024 * 1024;
constexpr std::size_t kBlockBytes = 64 * 1024;

Result<std::string> ReadStream(std::istream& input, const std::string& path)
{
  std::string text;
  std::string block(kBlockBytes, '\0');
  while (input.read(block.data(), static_cast<std::streamsize>(block.size())) ||
         input.gcount() > 0) {
    text.append(block, 0, static_cast<std::size_t>(input.gcount()));
    if (text.size() > kMaxFileBytes) {
      return Error{ ErrorCode::kTooLarge, "read file", path, "larger than 16 MiB" };
    }
  }
  if (input.bad()) {
    return Error{ ErrorCode::kIo, "read file", path, "read error" };
  }
  return text;
}

} // namespace

Result<std::string> ReadWholeFile(const std::string& path)
{
  if (path == "-") {
    return ReadStream(std::cin, "standard input");
  }
  // Opening a folder as a stream succeeds and yields no data, as if it were an empty file.
  std::error_code ignored;
  if (std::filesystem::is_directory(path, ignored)) {
    return Error{ ErrorCode::kIo, "open file", path, "is a directory" };
  }
  errno = 0;
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    const std::string reason = std::error_code(errno, std::generic_category()).message();
    return Error{ ErrorCode::kIo, "open file", path, reason };
  }
  return ReadStream(file, path);
}

} // namespace gooseberrysail
