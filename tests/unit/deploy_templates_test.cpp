#include "gooseberrysail/cli/read_file.hpp"
#include "gooseberrysail/settings/settings.hpp"
#include "support/section.hpp"

#include <filesystem>
#include <gmock/gmock.h>
#include <map>
#include <regex>
#include <set>

namespace gooseberrysail {
namespace {

using ::testing::HasSubstr;

const std::filesystem::path kSource = GOOSEBERRYSAIL_SOURCE_DIR;
constexpr const char* kZones = "{{#zones}}{{@}}{{,}}{{/zones}}";

std::string ReadText(const std::filesystem::path& path)
{
  const Result<std::string> text = ReadWholeFile(path.string());
  EXPECT_TRUE(text.has_value()) << path;
  return text ? text.value() : std::string();
}

void ReplaceAll(std::string& text, const std::string& from, const std::string& to)
{
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

/// The names in the placeholders of a template, except for the list of zones.
std::set<std::string> PlaceholdersOf(std::string text)
{
  ReplaceAll(text, kZones, "");
  const std::regex placeholder(R"(\{\{[#/]?([A-Za-z0-9.]+)\}\})");
  std::set<std::string> names;
  for (auto match = std::sregex_iterator(text.begin(), text.end(), placeholder);
       match != std::sregex_iterator();
       ++match) {
    names.insert((*match)[1]);
  }
  return names;
}

/// One value for each placeholder, as a platform fills it in.
const std::map<std::string, std::string> kValues{ { "nodeName", "front-1" },
                                                  { "zone", "a" },
                                                  { "ip", "127.0.0.1" },
                                                  { "internalPorts.0", "7340" },
                                                  { "listen.front", "127.0.0.1:8227" },
                                                  { "listen.ready", "127.0.0.1:8220" },
                                                  { "listen.control", "127.0.0.1:8229" },
                                                  { "seeds", "127.0.0.1:8229" },
                                                  { "dataDir", "data" },
                                                  { "bootstrap", "true" },
                                                  { "heartbeatMs", "1200" },
                                                  { "limits.memoryMb", "112" },
                                                  { "faultTolerance.machines", "1" },
                                                  { "bounds.graceS", "8" },
                                                  { "bounds.passMs", "120" },
                                                  { "bounds.stallMs", "5000" },
                                                  { "bounds.drainMs", "2000" },
                                                  { "bounds.retryBudgetRatio", "0.2" },
                                                  { "bounds.budgetSlack", "158" },
                                                  { "bounds.budgetWindowS", "10" } };

std::string Fill(std::string text)
{
  ReplaceAll(text, kZones, "a,b");
  for (const auto& [name, value] : kValues) {
    ReplaceAll(text, "{{#" + name + "}}\n", "");
    ReplaceAll(text, "{{/" + name + "}}\n", "");
    ReplaceAll(text, "{{" + name + "}}", value);
  }
  return text;
}

// Guards against a placeholder that a template gains and that is filled in nowhere else.
TEST(DeployTemplates, AreValidOnceTheyAreFilledIn)
{
  const std::string trials = ReadText(kSource / "review/common/cluster.hpp");
  for (const char* name : { "entry.ini", "control.ini" }) {
    SECTION(name)
    {
      const std::string text = ReadText(kSource / "deploy" / name);
      for (const std::string& placeholder : PlaceholdersOf(text)) {
        EXPECT_TRUE(kValues.contains(placeholder)) << placeholder;
        EXPECT_THAT(trials, HasSubstr("\"" + placeholder + "\""));
      }
      const SettingsResult settings =
        LoadSettings(name, [&](const std::string&) { return Result<std::string>(Fill(text)); });
      if (!settings) {
        ADD_FAILURE() << settings.error().front();
      } else {
        EXPECT_EQ(settings.value().limits.memoryBytes, 112'000'000U);
      }
    }
  }
}

} // namespace
} // namespace gooseberrysail
