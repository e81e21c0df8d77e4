#include "gooseberrysail/observe/event.hpp"
#include "gooseberrysail/observe/process_observer.hpp"
#include "gooseberrysail/wire/envelope.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail {
namespace {

using ::testing::HasSubstr;

constexpr WallMillis kNoon = 1'796'212'800'000;

ProcessObserver MakeObserver(ProcessRole role, const std::string& name)
{
  ProcessSettings settings;
  settings.role = role;
  settings.process = ProcessId(name);
  settings.observe.timelineEvents = 100;
  return { settings,
           Incarnation(7),
           { .wallMillis = [] { return kNoon; },
             .sample =
               [] {
                 MetricsSample sample;
                 sample.residentBytes = 4096;
                 return sample;
               } } };
}

TEST(ProcessObserver, AnswersTimelineQueriesOfPeersAndOfItsOwnRole)
{
  ProcessObserver observer = MakeObserver(ProcessRole::kControl, "control-1");
  observer.OnEvent(MakeEvent(EventNumber::kProcessStopping, { { "inFlight", "1" } }));
  wire::TimelineQueryT query;
  query.nonce = 11;
  SECTION("query from a peer")
  {
    const FrameIn frame{ ProcessId("control-2"), Incarnation(3), MakeEnvelope(query) };
    const auto answer = observer.OnFrameIn(frame);
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->peer, ProcessId("control-2"));
    const auto* timeline = answer->envelope->body.AsTimelineAnswer();
    ASSERT_NE(timeline, nullptr);
    EXPECT_EQ(timeline->nonce, 11U);
    EXPECT_EQ(timeline->events.size(), 1U);
  }
  SECTION("query from the role of the same process")
  {
    const auto answer = observer.OnFrameOut({ ProcessId("control-1"), "", MakeEnvelope(query) });
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->peer, ProcessId("control-1"));
    EXPECT_NE(answer->envelope->body.AsTimelineAnswer(), nullptr);
  }
  SECTION("query to another process: sent with a stamp")
  {
    const FrameOut outgoingQuery{ ProcessId("entry-1"), "", MakeEnvelope(query) };
    EXPECT_FALSE(observer.OnFrameOut(outgoingQuery).has_value());
    EXPECT_EQ(outgoingQuery.envelope->hlcWall, kNoon);
  }
}

TEST(ProcessObserver, ServesMetricsAndPassesOtherRequestsToTheRole)
{
  ProcessObserver observer = MakeObserver(ProcessRole::kAgent, "agent-1");
  auto envelope = MakeEnvelope(wire::PingT{});
  envelope->version = 42;
  EXPECT_FALSE(observer.OnFrameOut({ ProcessId("entry-1"), "", envelope }).has_value());
  const FrameOut withoutVersion{ ProcessId("entry-1"), "", MakeEnvelope(wire::PingT{}) };
  EXPECT_FALSE(observer.OnFrameOut(withoutVersion).has_value());
  HttpRequestIn request;
  request.exchange = ExchangeId(5);
  request.method = "GET";
  request.target = "/metrics";
  const auto page = observer.OnRequest(TimePoint{}, request);
  ASSERT_TRUE(page.has_value());
  EXPECT_EQ(page->exchange, ExchangeId(5));
  EXPECT_TRUE(page->end);
  EXPECT_THAT(page->bytes, HasSubstr("gooseberrysail_config_version 42"));
  EXPECT_THAT(page->bytes, HasSubstr("gooseberrysail_process_resident_memory_bytes 4096"));
  request.target = "/healthz";
  EXPECT_FALSE(observer.OnRequest(TimePoint{}, request).has_value());
}

} // namespace
} // namespace gooseberrysail
