#include "gooseberrysail/cli/read_file.hpp"
#include "gooseberrysail/cli/tool_reference.hpp"
#include "gooseberrysail/observe/event_reference.hpp"
#include "gooseberrysail/observe/metrics.hpp"
#include "gooseberrysail/settings/settings.hpp"

#include <gtest/gtest.h>

namespace gooseberrysail {
namespace {

std::string Page(const std::string& name)
{
  const auto text = ReadWholeFile(std::string(GOOSEBERRYSAIL_SOURCE_DIR "/docs/") + name);
  return text ? text.value() : ToString(text.error());
}

// Guards against outdated reference pages, in which an operator finds a wrong description of an
// event, or none. If this fails, run tools/docs to regenerate the pages.
TEST(Docs, OfEventsSettingsMetricsAndToolMatchTheCode)
{
  EXPECT_EQ(Page("EVENTS.md"), EventsReference());
  EXPECT_EQ(Page("SETTINGS.md"), SettingsReference());
  EXPECT_EQ(Page("METRICS.md"), MetricsReference());
  EXPECT_EQ(Page("operators/tool.md"), ToolReference());
}

} // namespace
} // namespace gooseberrysail
