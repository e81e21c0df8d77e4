#include "gooseberrysail/cli/read_file.hpp"
#include "gooseberrysail/settings/settings.hpp"
#include "support/cli_runner.hpp"
#include "support/section.hpp"

#include <filesystem>
#include <gtest/gtest.h>

namespace gooseberrysail {
namespace {

TEST(Examples, SettingsOfBothDeploymentsAreValid)
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

TEST(Examples, CataloguesOfBothDeploymentsAreValid)
{
  for (const char* deployment : { "hire-authority", "registry" }) {
    test::CliRunner cli;
    const auto text = ReadWholeFile(std::string(GOOSEBERRYSAIL_SOURCE_DIR "/examples/") +
                                    deployment + "/catalogue.json");
    ASSERT_TRUE(text.has_value()) << text.error();
    cli.files["catalogue.json"] = text.value();
    const auto outcome = cli.Run({ "catalogue", "apply", "--check", "catalogue.json" });
    EXPECT_EQ(outcome.code, ExitCode::kDone) << deployment << ": " << outcome.err;
    EXPECT_EQ(outcome.out, "catalogue.json: 13 entries, no errors\n");
  }
}

} // namespace
} // namespace gooseberrysail
