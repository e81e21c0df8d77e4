#include "gooseberrysail/cli/read_file.hpp"
#include "gooseberrysail/settings/settings.hpp"
#include "support/section.hpp"

#include <filesystem>
#include <gtest/gtest.h>

namespace gooseberrysail {
namespace {

TEST(Examples, SettingsOfBothDeploymentsHaveNoFault)
{
  for (const char* deployment : { "hire-authority", "registry" }) {
    std::size_t files = 0;
    const auto folder = std::filesystem::path(GOOSEBERRYSAIL_SOURCE_DIR) / "examples" / deployment;
    for (const auto& file : std::filesystem::directory_iterator(folder)) {
      if (file.path().extension() != ".ini") {
        continue;
      }
      SECTION(file.path().string())
      {
        const SettingsResult settings = LoadSettings(file.path().string(), ReadWholeFile);
        if (!settings) {
          ADD_FAILURE() << settings.error().front();
        }
      }
      ++files;
    }
    EXPECT_GE(files, 6U) << deployment;
  }
}

} // namespace
} // namespace gooseberrysail
