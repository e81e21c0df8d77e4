#include "support/entry_fixture.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail::test {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

constexpr const char* kFirst = "entry-1.7.1";

/// Two groups, whose heads' agents are connected.
void Prepare(EntryFixture& entry)
{
  entry.Boot();
  entry.PeerUpFrom("agent-1", 3);
  entry.PeerUpFrom("agent-2", 4);
  entry.Routes({ { 11, "agent-1" }, { 12, "agent-2" } });
}

std::uint64_t IncarnationOf(const std::string& agent)
{
  return agent == "agent-1" ? 3 : 4;
}

wire::OutputT StreamHead(std::string_view bytes)
{
  wire::OutputT output = MakeOutput(kFirst, 1, 0, bytes, 200);
  output.headers.push_back(MakeWireHeader("Content-Type", "text/event-stream"));
  return output;
}

wire::SealReplyT Sealed(wire::SealResult result)
{
  wire::SealReplyT reply;
  reply.request = kFirst;
  reply.attempt = 1;
  reply.result = result;
  return reply;
}

wire::UnknownRequestT Unknown(std::uint64_t incarnation)
{
  wire::UnknownRequestT unknown;
  unknown.request = kFirst;
  unknown.attempt = 1;
  unknown.agentIncarnation = incarnation;
  return unknown;
}

TEST(EntryRecovery, FramesLateTwiceAndOutOfOrderMakeTheSameAnswer)
{
  // Symptom: a caller's answer has a part twice or lacks one. Events: after a change of connection
  // the agent sends again from an older offset while frames of the former one still arrive. Cause:
  // frames taken in order of arrival in place of their offsets.
  EntryFixture entry;
  Prepare(entry);
  const std::uint64_t chat = entry.Chat(true);
  const std::string agent = entry.LastReceiver<wire::StartT>();
  entry.Frame(agent, StreamHead("data: 1\n\n"));
  SECTION("a frame ahead of its turn isn't used; the missing part is asked for")
  {
    entry.Frame(agent, MakeOutput(kFirst, 1, 18, "data: 3\n\n", 0, true));
    EXPECT_EQ(entry.Caller(chat).body, "data: 1\n\n");
    ASSERT_EQ(entry.Sent<wire::ResumeT>().size(), 1U);
    EXPECT_EQ(entry.Sent<wire::ResumeT>()[0].offset, 9U);
  }
  SECTION("known bytes are left out")
  {
    entry.Frame(agent, StreamHead("data: 1\n\n"));
    entry.Frame(agent, MakeOutput(kFirst, 1, 4, ": 1\n\ndata: 2\n\n"));
    EXPECT_EQ(entry.Caller(chat).body, "data: 1\n\ndata: 2\n\n");
  }
  SECTION("frames of another attempt or agent change nothing")
  {
    entry.Frame(agent, MakeOutput(kFirst, 2, 18, "data: x\n\n"));
    entry.Frame("agent-3", MakeOutput(kFirst, 1, 18, "data: y\n\n"));
    entry.Frame(agent, MakeOutput("entry-1.7.99", 1, 0, "data: z\n\n", 200));
    EXPECT_EQ(entry.Caller(chat).body, "data: 1\n\ndata: 2\n\n");
  }
  SECTION("the end")
  {
    entry.Frame(agent, MakeOutput(kFirst, 1, 18, "data: 3\n\n", 0, true));
    EXPECT_EQ(entry.Caller(chat).body, "data: 1\n\ndata: 2\n\ndata: 3\n\n");
    EXPECT_TRUE(entry.Caller(chat).ended);
  }
}

TEST(EntryRecovery, ASilentConnectionIsResumedAtItsOffset)
{
  // Symptom: a streamed answer stops for good, or starts anew. Events: something between entry and
  // agent forgets their connection; a new one works. Cause: the stream was tied to a connection.
  EntryFixture entry;
  Prepare(entry);
  const std::uint64_t chat = entry.Chat(true);
  const std::string agent = entry.LastReceiver<wire::StartT>();
  entry.Frame(agent, StreamHead("data: 1\n\n"));
  entry.PeerDownFrom(agent, IncarnationOf(agent));
  entry.Clear();
  entry.Advance(std::chrono::seconds(2));
  EXPECT_FALSE(entry.Sent<wire::PingT>(agent).empty()) << "the agent is dialled again";
  EXPECT_TRUE(entry.Sent<wire::StartT>().empty()) << "and the request is sent nowhere else";
  entry.PeerUpFrom(agent, IncarnationOf(agent));
  ASSERT_EQ(entry.Sent<wire::ResumeT>().size(), 1U);
  EXPECT_EQ(entry.Sent<wire::ResumeT>()[0].offset, 9U);
  entry.Frame(agent, MakeOutput(kFirst, 1, 9, "data: 2\n\n", 0, true));
  EXPECT_EQ(entry.Caller(chat).body, "data: 1\n\ndata: 2\n\n");
  EXPECT_TRUE(entry.Caller(chat).ended);
}

TEST(EntryRecovery, AnAgentIsNotAskedWithoutNeed)
{
  // Symptom: each request costs a second frame. Events: a request waits for its first byte. Cause:
  // the time of the next question was left at zero, so that the first sweep asked.
  EntryFixture entry;
  Prepare(entry);
  entry.Chat(true);
  entry.Advance(std::chrono::milliseconds(4900));
  EXPECT_TRUE(entry.Sent<wire::ResumeT>().empty());
  SECTION("only after five silent seconds, in case a frame was lost unnoticed")
  {
    entry.Advance(std::chrono::milliseconds(200));
    EXPECT_EQ(entry.Sent<wire::ResumeT>().size(), 1U);
  }
}

TEST(EntryRecovery, RefusedBeforeStartGoesElsewhereWithinBounds)
{
  EntryFixture entry;
  Prepare(entry);
  const std::uint64_t chat = entry.Chat();
  const std::string first = entry.LastReceiver<wire::StartT>();
  wire::RefusedT refused;
  refused.request = kFirst;
  refused.attempt = 1;
  refused.reason = "member missing: vm-7";
  refused.retryAfterMillis = 3000;
  entry.Frame(first, refused);
  SECTION("to the other group, as the second attempt")
  {
    ASSERT_EQ(entry.Sent<wire::StartT>().size(), 2U);
    EXPECT_EQ(entry.Sent<wire::StartT>()[1].attempt, 2U);
    EXPECT_NE(entry.LastReceiver<wire::StartT>(), first);
  }
  SECTION("refused by all: not run, the agent's reason and when to try again")
  {
    refused.attempt = 2;
    entry.Frame(entry.LastReceiver<wire::StartT>(), refused);
    EXPECT_EQ(entry.Caller(chat).status, 503U);
    EXPECT_THAT(entry.Caller(chat).body, HasSubstr(R"("outcome":"not-run")"));
    EXPECT_THAT(entry.Caller(chat).body, HasSubstr("member missing: vm-7"));
    EXPECT_EQ(entry.Caller(chat).Header("Retry-After"), "3");
  }
  SECTION("the record tells both attempts")
  {
    const std::string record = entry.Record(kFirst);
    EXPECT_THAT(record, HasSubstr("vm-agent-1"));
    EXPECT_THAT(record, HasSubstr("vm-agent-2"));
  }
}

TEST(EntryRecovery, NotRunIsSaidOnlyAfterASeal)
{
  // Symptom: "not run" is told and the booking is made all the same. Events: the connection dies
  // while the Start is on its way; the agent, asked to resume, does not know the request; the
  // Start arrives after that over the old connection. Cause: "unknown" was taken for "never".
  EntryFixture entry;
  Prepare(entry);
  const std::uint64_t chat = entry.Chat();
  const std::string agent = entry.LastReceiver<wire::StartT>();
  const std::uint64_t incarnation = IncarnationOf(agent);
  entry.PeerDownFrom(agent, incarnation);
  entry.PeerUpFrom(agent, incarnation);
  entry.Frame(agent, Unknown(incarnation));
  SECTION("unknown isn't enough: the agent is asked to seal it")
  {
    EXPECT_FALSE(entry.Caller(chat).status.has_value());
    EXPECT_EQ(entry.Sent<wire::StartT>().size(), 1U);
    EXPECT_EQ(entry.Sent<wire::SealT>().size(), 1U);
  }
  SECTION("sealed: it may go to the other group")
  {
    entry.Frame(agent, Sealed(wire::SealResult::Sealed));
    ASSERT_EQ(entry.Sent<wire::StartT>().size(), 2U);
    EXPECT_NE(entry.LastReceiver<wire::StartT>(), agent);
  }
}

TEST(EntryRecovery, ARestartedAgentMeansCut)
{
  // Symptom: a caller is told "not run" for a booking that exists. Events: the agent hands the
  // call to its service and dies; the next agent knows nothing of it. Cause: the entry believed an
  // agent about the time before its own life.
  for (const bool byReply : { false, true }) {
    EntryFixture entry;
    Prepare(entry);
    const std::uint64_t chat = entry.Chat();
    const std::string agent = entry.LastReceiver<wire::StartT>();
    if (byReply) {
      entry.Frame(agent, Unknown(77));
    } else {
      entry.PeerDownFrom(agent, IncarnationOf(agent));
      entry.PeerUpFrom(agent, 77);
    }
    EXPECT_EQ(entry.Caller(chat).status, 502U);
    EXPECT_THAT(entry.Caller(chat).body, HasSubstr(R"("outcome":"cut")"));
    EXPECT_THAT(entry.Caller(chat).body, HasSubstr("agent-restarted"));
    EXPECT_EQ(entry.Sent<wire::StartT>().size(), 1U) << "never run a second time";
  }
}

TEST(EntryRecovery, AnUnreachableAgentIsGivenUpAtOnceAndResolvedLater)
{
  EntryFixture entry;
  Prepare(entry);
  const std::uint64_t chat = entry.Chat();
  const std::string agent = entry.LastReceiver<wire::StartT>();
  entry.PeerDownFrom(agent, IncarnationOf(agent));
  entry.Advance(std::chrono::milliseconds(4900));
  EXPECT_FALSE(entry.Caller(chat).status.has_value());
  entry.Advance(std::chrono::milliseconds(200));
  SECTION("the caller hears cut, as it may have run")
  {
    EXPECT_EQ(entry.Caller(chat).status, 502U);
    EXPECT_THAT(entry.Caller(chat).body, HasSubstr("agent-unreachable"));
    EXPECT_THAT(entry.Caller(chat).body, HasSubstr(R"("outcome":"cut")"));
    EXPECT_EQ(entry.Caller(chat).Header("Retry-After"), "1");
  }
  SECTION("the agent is back and seals it: the record says so, nothing is sent again")
  {
    entry.PeerUpFrom(agent, IncarnationOf(agent));
    ASSERT_EQ(entry.Sent<wire::SealT>().size(), 1U);
    entry.Frame(agent, Sealed(wire::SealResult::Sealed));
    EXPECT_THAT(entry.Record(kFirst), HasSubstr(R"("outcome":"not-run")"));
    EXPECT_EQ(entry.Sent<wire::StartT>().size(), 1U);
  }
}

TEST(EntryRecovery, ACutAnswerNeverLooksWhole)
{
  // Symptom: half a hire agreement is taken for the whole. Events: the engine dies in the middle
  // of an answer. Cause: the answer was ended like a whole one.
  wire::OutputT cut = MakeOutput(kFirst, 1, 9, "", 0, true);
  cut.cutReason = "target failed";
  SECTION("a stream gets a last error event, then its connection is aborted")
  {
    EntryFixture entry;
    Prepare(entry);
    const std::uint64_t chat = entry.Chat(true);
    const std::string agent = entry.LastReceiver<wire::StartT>();
    entry.Frame(agent, StreamHead("data: 1\n\n"));
    entry.Frame(agent, cut);
    EXPECT_THAT(entry.Caller(chat).body, HasSubstr("event: error\ndata: {"));
    EXPECT_THAT(entry.Caller(chat).body, HasSubstr(R"("outcome":"cut")"));
    EXPECT_TRUE(entry.Caller(chat).aborted);
    EXPECT_FALSE(entry.Caller(chat).ended);
  }
  SECTION("an answer without stated length is aborted")
  {
    EntryFixture entry;
    Prepare(entry);
    const std::uint64_t chat = entry.Chat();
    const std::string agent = entry.LastReceiver<wire::StartT>();
    entry.Frame(agent, MakeOutput(kFirst, 1, 0, "123456789", 200));
    entry.Frame(agent, cut);
    EXPECT_TRUE(entry.Caller(chat).aborted);
    EXPECT_FALSE(entry.Caller(chat).ended);
  }
  SECTION("a short answer was held back, so that the caller gets a clear error")
  {
    EntryFixture entry;
    Prepare(entry);
    const std::uint64_t chat = entry.Chat();
    const std::string agent = entry.LastReceiver<wire::StartT>();
    wire::OutputT head = MakeOutput(kFirst, 1, 0, "123456789", 200);
    head.headers.push_back(MakeWireHeader("Content-Length", "20"));
    entry.Frame(agent, std::move(head));
    entry.Frame(agent, cut);
    EXPECT_EQ(entry.Caller(chat).status, 502U);
    EXPECT_THAT(entry.Caller(chat).body, HasSubstr(R"("outcome":"cut")"));
    EXPECT_TRUE(entry.Caller(chat).ended);
  }
}

TEST(EntryRecovery, DeadlinePassedAndCallerGoneCancelAndNeverRunTwice)
{
  SECTION("the deadline passes: final answer at once, the agent is told to stop")
  {
    EntryFixture entry;
    Prepare(entry);
    const std::uint64_t chat = entry.Chat(false, { { "X-Deadline-Ms", "300" } });
    EXPECT_EQ(entry.Sent<wire::StartT>().at(0).deadlineMillis, 300U);
    entry.Advance(std::chrono::milliseconds(350));
    EXPECT_EQ(entry.Caller(chat).status, 504U);
    EXPECT_THAT(entry.Caller(chat).body, HasSubstr("deadline-passed"));
    EXPECT_EQ(entry.Sent<wire::CancelT>().size(), 1U);
    SECTION("refused from the queue after that: the record becomes not-run, no second attempt")
    {
      wire::RefusedT refused;
      refused.request = kFirst;
      refused.attempt = 1;
      refused.reason = "cancelled: deadline-passed";
      entry.Frame(entry.LastReceiver<wire::StartT>(), refused);
      EXPECT_EQ(entry.Sent<wire::StartT>().size(), 1U);
      EXPECT_THAT(entry.Record(kFirst), HasSubstr(R"("outcome":"not-run")"));
    }
  }
  SECTION("the caller of a repeatable call leaves")
  {
    EntryFixture entry;
    Prepare(entry);
    entry.Tick({ HttpCallerGone{ ExchangeId(entry.Chat()) } });
    EXPECT_EQ(entry.Sent<wire::CancelT>().size(), 1U);
    EXPECT_THAT(entry.Record(kFirst), HasSubstr("caller-gone"));
  }
  SECTION("the caller of a booking leaves: kept from starting, but not cut once begun")
  {
    EntryFixture entry;
    entry.Boot();
    entry.PeerUpFrom("agent-9", 3);
    entry.Routes({ { 12, "agent-9" } }, "booking-portal");
    entry.Tick({ HttpCallerGone{ ExchangeId(entry.Book()) } });
    EXPECT_TRUE(entry.Sent<wire::CancelT>().empty());
    EXPECT_EQ(entry.Sent<wire::SealT>().size(), 1U);
    entry.Frame("agent-9", Sealed(wire::SealResult::Started));
    entry.Advance(std::chrono::seconds(40));
    EXPECT_TRUE(entry.Sent<wire::CancelT>().empty());
    entry.Frame("agent-9", MakeOutput(kFirst, 1, 0, "booked", 201, true));
    EXPECT_THAT(entry.Record(kFirst), HasSubstr("the target finished after"));
  }
}

TEST(EntryRecovery, AShutdownFinishesWhatIsInFlight)
{
  // Symptom: a restart of an entry cuts answers. Events: SIGTERM while streams run. Cause: the
  // process left before its last stream's end.
  EntryFixture entry;
  Prepare(entry);
  const std::uint64_t chat = entry.Chat(true);
  const std::string agent = entry.LastReceiver<wire::StartT>();
  entry.Frame(agent, StreamHead("data: 1\n\n"));
  entry.Tick({ StopRequested{} });
  SECTION("not ready, new work refused")
  {
    EXPECT_EQ(entry.Caller(entry.Call("GET", "/readyz")).status, 503U);
    const std::uint64_t late = entry.Chat();
    EXPECT_EQ(entry.Caller(late).status, 503U);
    EXPECT_THAT(entry.Caller(late).body, HasSubstr("shutting-down"));
    EXPECT_EQ(entry.Caller(late).Header("Retry-After"), "1");
  }
  SECTION("the stream goes on to its end")
  {
    entry.Advance(std::chrono::seconds(30));
    EXPECT_FALSE(entry.Stopped());
    entry.Frame(agent, MakeOutput(kFirst, 1, 9, "data: 2\n\n", 0, true));
    EXPECT_TRUE(entry.Caller(chat).ended);
    EXPECT_TRUE(entry.Stopped());
  }
  SECTION("a request whose caller has left holds nothing up")
  {
    EntryFixture other;
    Prepare(other);
    other.Tick({ HttpCallerGone{ ExchangeId(other.Chat()) } });
    other.Tick({ StopRequested{} });
    EXPECT_TRUE(other.Stopped());
  }
}

} // namespace
} // namespace gooseberrysail::test
