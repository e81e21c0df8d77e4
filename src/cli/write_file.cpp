#include "gooseberrysail/cli/write_file.hpp"

#include <cerrno>
#include <fstream>
#include <system_error>

namespace gooseberrysail {

Result<void> WriteWholeFile(const std::string& path, const std::string& text)
{
  errno = 0;
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << text;
  file.close();
  if (!file) {
    const std::string reason = std::error_code(errno, std::generic_category()).message();
    return Error{ ErrorCode::kIo, "write file", path, reason };
  }
  return outcome::success();
}

} // namespace gooseberrysail
