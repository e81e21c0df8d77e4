#include "gooseberrysail/observe/event.hpp"
#include "gooseberrysail/observe/timeline.hpp"
#include "gooseberrysail/observe/timeline_report.hpp"
#include "gooseberrysail/wire/envelope.hpp"
#include "support/section.hpp"

#include <boost/json/parse.hpp>
#include <gmock/gmock.h>
#include <random>

namespace gooseberrysail {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;

constexpr WallMillis kNoon = 1'796'212'800'000;

EventOut Step(const std::string& text)
{
  return MakeEvent(EventNumber::kProcessStarted, { { "step", text } });
}

std::string StepOf(const wire::EventT& event)
{
  return event.fields.front()->value;
}

std::vector<std::string> Steps(const MergedTimeline& merged)
{
  std::vector<std::string> steps;
  for (const wire::EventT& event : merged.events) {
    steps.push_back(StepOf(event));
  }
  return steps;
}

/// \brief A process whose wall clock is off by `skew`.
struct Process
{
  Process(const std::string& name, WallMillis skewMillis)
    : timeline(ProcessId(name), 1000)
    , skew(skewMillis)
  {
  }

  std::shared_ptr<wire::EnvelopeT> Send(WallMillis now)
  {
    auto envelope = MakeEnvelope(wire::PingT{});
    timeline.StampOutgoing(now + skew, *envelope);
    return envelope;
  }

  Timeline timeline;
  WallMillis skew;
};

// Guards against a timeline that shows an event of an agent before the event of the entry that
// caused it: the agent's clock is three hours behind, and events are sorted by wall clock alone.
TEST(Timeline, OrdersCausesBeforeEffectsWhenClocksDifferByHours)
{
  Process entry("entry-1", 0);
  Process agent("agent-1", -3 * 3'600'000);
  Process control("control-1", 2 * 3'600'000);
  entry.timeline.Record(kNoon, Step("1 entry sends"));
  agent.timeline.Receive(kNoon + 1 + agent.skew, *entry.Send(kNoon));
  agent.timeline.Record(kNoon + 1 + agent.skew, Step("2 agent starts"));
  control.timeline.Receive(kNoon + 2 + control.skew, *agent.Send(kNoon + 1));
  control.timeline.Record(kNoon + 2 + control.skew, Step("3 control receives"));
  entry.timeline.Receive(kNoon + 3, *control.Send(kNoon + 2));
  entry.timeline.Record(kNoon + 3, Step("4 entry receives"));

  const std::vector<wire::TimelineAnswerT> answers{ control.timeline.Answer({}),
                                                    agent.timeline.Answer({}),
                                                    entry.timeline.Answer({}) };
  EXPECT_THAT(
    Steps(MergeTimelines(answers)),
    ElementsAre("1 entry sends", "2 agent starts", "3 control receives", "4 entry receives"));
}

// The same guarantee for random sequences of messages and events, while clocks are also set back or
// forward from time to time.
TEST(Timeline, OrdersCausesBeforeEffectsInRandomExchanges)
{
  constexpr int kRounds = 300;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SECTION("seed " + std::to_string(seed))
    {
      std::mt19937_64 random(seed);
      const auto skew = [&random] {
        return static_cast<WallMillis>(random() % 7'200'000) - 3'600'000;
      };
      std::vector<Process> processes;
      for (int index = 0; index < 4; ++index) {
        processes.emplace_back("p" + std::to_string(index), skew());
      }
      std::vector<std::pair<int, int>> causes; // Pairs of rounds: cause and effect.
      std::vector<int> lastEvent(processes.size(), -1);
      for (int round = 0; round < kRounds; ++round) {
        const std::size_t from = random() % processes.size();
        const std::size_t to = random() % processes.size();
        if (random() % 20 == 0) {
          processes[to].skew = skew();
        }
        if (from != to) {
          const auto frame = processes[from].Send(kNoon + round);
          processes[to].timeline.Receive(kNoon + round + processes[to].skew, *frame);
          causes.emplace_back(lastEvent[from], round);
        }
        causes.emplace_back(lastEvent[to], round);
        processes[to].timeline.Record(kNoon + round + processes[to].skew,
                                      Step(std::to_string(round)));
        lastEvent[to] = round;
      }
      std::vector<wire::TimelineAnswerT> answers;
      for (const Process& process : processes) {
        answers.push_back(process.timeline.Answer({}));
      }
      const MergedTimeline merged = MergeTimelines(answers);
      ASSERT_EQ(merged.events.size(), static_cast<std::size_t>(kRounds));
      std::vector<std::size_t> position(kRounds);
      for (std::size_t index = 0; index < merged.events.size(); ++index) {
        position[std::stoul(StepOf(merged.events[index]))] = index;
      }
      for (const auto& [cause, effect] : causes) {
        if (cause >= 0) {
          ASSERT_LT(position[cause], position[effect]) << cause << " caused " << effect;
        }
      }
    }
  }
}

TEST(Timeline, KeepsTheLatestEventsAndCountsDroppedOnes)
{
  Timeline timeline(ProcessId("entry-1"), 3);
  for (int step = 1; step <= 5; ++step) {
    timeline.Record(kNoon + step, Step(std::to_string(step)));
  }
  EXPECT_EQ(timeline.Size(), 3U);
  EXPECT_EQ(timeline.Dropped(), 2U);
  const std::vector<wire::TimelineAnswerT> answers{ timeline.Answer({}) };
  const MergedTimeline merged = MergeTimelines(answers);
  EXPECT_THAT(Steps(merged), ElementsAre("3", "4", "5"));
  EXPECT_THAT(TimelineText(merged), HasSubstr("# 2 older events are no longer available\n"));
}

TEST(Timeline, IsFilteredByRequestGroupTargetAndTime)
{
  Timeline timeline(ProcessId("control-1"), 100);
  const auto record = [&](WallMillis now, std::vector<std::pair<std::string, std::string>> fields) {
    fields.insert(fields.begin(), { "step", std::to_string(now) });
    timeline.Record(now, MakeEvent(EventNumber::kProcessStarted, std::move(fields)));
  };
  record(1, { { "request", "entry-1.7.1" }, { "group", "12" } });
  record(2, { { "request", "entry-1.7.10" }, { "vm", "vm-1" } });
  record(3, { { "group", "12" }, { "members", "vm-1,vm-2" } });
  record(4, { { "group", "1" }, { "head", "vm-2" } });
  const auto steps = [&](wire::TimelineQueryT query) {
    const std::vector<wire::TimelineAnswerT> answers{ timeline.Answer(query) };
    return Steps(MergeTimelines(answers));
  };
  wire::TimelineQueryT query;
  query.request = "entry-1.7.1";
  EXPECT_THAT(steps(query), ElementsAre("1"));
  query = {};
  query.group = 12;
  EXPECT_THAT(steps(query), ElementsAre("1", "3"));
  query = {};
  query.vm = "vm-2";
  EXPECT_THAT(steps(query), ElementsAre("3", "4"));
  query = {};
  query.sinceHlc = 3;
  EXPECT_THAT(steps(query), ElementsAre("3", "4"));
  query = {};
  query.limit = 1;
  EXPECT_THAT(steps(query), ElementsAre("4"));

  SECTION("a query for the VM of an agent matches all events of the agent")
  {
    Timeline own(ProcessId("agent-1"), 100, VmId("vm-1"));
    own.Record(kNoon, Step("closed"));
    query = {};
    query.vm = "vm-1";
    EXPECT_EQ(own.Answer(query).events.size(), 1U);
    query.vm = "vm-2";
    EXPECT_EQ(own.Answer(query).events.size(), 0U);
  }
}

TEST(Timeline, IsFormattedAsTextAndAsATrace)
{
  Timeline timeline(ProcessId("entry-1"), 100);
  timeline.Record(kNoon,
                  MakeEvent(EventNumber::kProcessStopping,
                            { { "request", "entry-1.7.1" }, { "inFlight", "1 2" } }));
  timeline.Record(kNoon, MakeEvent(EventNumber::kProcessStopped, { { "request", "entry-1.7.1" } }));
  const std::vector<wire::TimelineAnswerT> answers{ timeline.Answer({}) };
  MergedTimeline merged = MergeTimelines(answers);
  merged.notReached.emplace_back("agent-2");
  EXPECT_EQ(TimelineText(merged),
            "# agent-2 did not answer; its events are missing\n"
            "2026-12-02T12:00:00.000Z+0 entry-1 info 101 ProcessStopping request=entry-1.7.1 "
            "inFlight=\"1 2\"\n"
            "2026-12-02T12:00:00.000Z+1 entry-1 info 102 ProcessStopped request=entry-1.7.1\n");

  SECTION("each event is an instant event of its process, in order within one millisecond")
  {
    const auto trace = boost::json::parse(TimelineChromeTrace(merged)).as_object();
    std::vector<std::string> phases;
    std::int64_t last = 0;
    for (const auto& event : trace.at("traceEvents").as_array()) {
      phases.emplace_back(event.at("ph").as_string());
      EXPECT_EQ(event.at("pid").as_int64(), 1);
      if (phases.back() == "i") {
        EXPECT_GT(event.at("ts").as_int64(), last);
        last = event.at("ts").as_int64();
      }
    }
    EXPECT_THAT(phases, ElementsAre("M", "i", "s", "i", "t"));
  }
  SECTION("the JSON of the admin API yields the same timeline")
  {
    const auto again = TimelineFromJson(boost::json::parse(R"({
      "events":[
        {"number":102,"name":"ProcessStopped","hlcWall":1796212800000,"hlcLogical":1,
         "process":"entry-1","fields":{"request":"entry-1.7.1"}},
        {"number":101,"name":"ProcessStopping","hlcWall":1796212800000,"hlcLogical":0,
         "process":"entry-1","fields":{"request":"entry-1.7.1","inFlight":"1 2"}}],
      "answered":["entry-1"],"notReached":["agent-2"],"notAsked":0,"dropped":0,
      "truncated":false})"),
                                        "control-1");
    ASSERT_TRUE(again.has_value()) << again.error();
    EXPECT_EQ(TimelineText(again.value()), TimelineText(merged));
  }
  SECTION("invalid JSON is rejected with the name of the peer")
  {
    const auto refused = TimelineFromJson(boost::json::parse(R"({"events":7})"), "control-1");
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().peer, "control-1");
  }
}

} // namespace
} // namespace gooseberrysail
