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

// Symptom: an operator looks up a number from a log and finds another meaning, or none. A page
// written from the code was not written again after the code changed; run tools/docs.
TEST(Docs, OfEventsSettingsMetricsAndToolAreThoseOfTheCode)
{
  EXPECT_EQ(Page("EVENTS.md"), EventsReference());
  EXPECT_EQ(Page("SETTINGS.md"), SettingsReference());
  EXPECT_EQ(Page("METRICS.md"), MetricsReference());
  EXPECT_EQ(Page("operators/tool.md"), ToolReference());
}

} // namespace
} // namespace gooseberrysail
