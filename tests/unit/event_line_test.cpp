#include "gooseberrysail/observe/event.hpp"
#include "gooseberrysail/observe/event_line.hpp"
#include "support/section.hpp"

namespace gooseberrysail {
namespace {

constexpr WallMillis kNoon = 1'796'212'800'120; // 2026-12-02T12:00:00.120Z

TEST(EventLine, ContainsTimeLevelNumberNameProcessAndFields)
{
  const EventOut event = MakeEvent(EventNumber::kProcessStopping, { { "inFlight", "12" } });
  EXPECT_EQ(FormatEventLine(event, kNoon, ProcessId("entry-1")),
            "2026-12-02T12:00:00.120Z info 101 ProcessStopping process=entry-1 inFlight=12");
}

TEST(EventLine, OfAnUnknownNumberIsAnErrorThatKeepsTheFields)
{
  EXPECT_EQ(FormatEventLine({ 99, { { "a", "b" } } }, kNoon, ProcessId("entry-1")),
            "2026-12-02T12:00:00.120Z error 99 UnknownEvent process=entry-1 a=b");
}

// Guards against forged log lines: a caller sends a model name that contains a line break and the
// text of an event. The name is logged as a field; without escaping, it would start a new line.
TEST(EventLine, IsOneLineForAnyFieldValue)
{
  EXPECT_EQ(EscapeFieldValue("plain-1.2/3"), "plain-1.2/3");
  EXPECT_EQ(EscapeFieldValue(""), "\"\"");
  EXPECT_EQ(EscapeFieldValue("two words"), "\"two words\"");
  EXPECT_EQ(EscapeFieldValue("a=b"), "\"a=b\"");
  EXPECT_EQ(EscapeFieldValue("x\n2026 error 1 Forged \"y\"\\\x01"),
            "\"x\\n2026 error 1 Forged \\\"y\\\"\\\\\\u0001\"");
}

TEST(EventLine, FormatsTimesBefore1970)
{
  EXPECT_EQ(FormatWallTime(0), "1970-01-01T00:00:00.000Z");
  EXPECT_EQ(FormatWallTime(-1), "1969-12-31T23:59:59.999Z");
}

} // namespace
} // namespace gooseberrysail
