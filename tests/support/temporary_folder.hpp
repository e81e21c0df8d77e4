#pragma once

#include "gooseberrysail/storage/file_system.hpp"

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <string>

namespace gooseberrysail::testing {

/// \brief A real file system without fsync, for tests that kill processes but not machines.
inline FileSystem UnsyncedFileSystem()
{
  FileSystem files = RealFileSystem();
  files.sync = [](int) { return 0; };
  files.syncFolder = [](const std::string&) { return 0; };
  // Some file systems flush a file to disk when it replaces another one by rename.
  files.rename = [](const std::string& from, const std::string& to) {
    (void)std::remove(to.c_str());
    return std::rename(from.c_str(), to.c_str()) == 0 ? 0 : errno;
  };
  return files;
}

/// \brief A temporary folder for one test, removed by the destructor.
class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    std::string name = (std::filesystem::temp_directory_path() / "gooseberrysail-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
      std::abort();
    }
    m_path = name;
  }
  ~TemporaryFolder()
  {
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  [[nodiscard]] const std::string& Path() const noexcept { return m_path; }

private:
  std::string m_path;
};

} // namespace gooseberrysail::testing
