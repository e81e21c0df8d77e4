#include "support/entry_fixture.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail::test {
namespace {

using ::testing::HasSubstr;

constexpr const char* kFirst = "entry-1.7.1";
const std::vector<HttpHeader> kKeyed = { { "Idempotency-Key", "order-17" } };

void Prepare(EntryFixture& entry)
{
  entry.Boot();
  entry.ConnectPeer("agent-9", 3);
  entry.Routes({ { 12, "agent-9" } }, "booking-portal");
}

wire::ClaimReplyT Reply(wire::ClaimState state, std::string holder = kFirst)
{
  wire::ClaimReplyT reply;
  reply.workspace = "hire-desk";
  reply.key = "order-17";
  reply.request = kFirst;
  reply.state = state;
  reply.holder = std::move(holder);
  reply.bodyMatches = true;
  return reply;
}

wire::ClaimOutcomeAckT OutcomeAck()
{
  wire::ClaimOutcomeAckT ack;
  ack.workspace = "hire-desk";
  ack.key = "order-17";
  ack.request = kFirst;
  return ack;
}

TEST(EntryClaims, NoAttemptIsSentBeforeTheClaimIsGranted)
{
  // Guards against a booking that is made twice: a caller resends it through a second entry while
  // the first entry runs it, and the second one finds no claim because the first one sent the
  // booking before its claim was committed.
  EntryFixture entry;
  Prepare(entry);
  const std::uint64_t booking = entry.Book(kKeyed);
  SECTION("the claim request is resent until answered")
  {
    EXPECT_TRUE(entry.Sent<wire::StartT>().empty());
    entry.Advance(std::chrono::milliseconds(600));
    EXPECT_EQ(entry.Sent<wire::ClaimRequestT>().size(), 2U);
    EXPECT_TRUE(entry.Sent<wire::StartT>().empty());
  }
  SECTION("a grant sends one Start, a second grant none")
  {
    entry.Frame("control-1", Reply(wire::ClaimState::Granted));
    entry.Frame("control-1", Reply(wire::ClaimState::Granted));
    ASSERT_EQ(entry.Sent<wire::StartT>().size(), 1U);
    EXPECT_FALSE(entry.Sent<wire::StartT>()[0].repeatable);
  }
  SECTION("the outcome with the answer is resent to control until acknowledged")
  {
    wire::OutputT output = MakeOutput(kFirst, 1, 0, "booked", 201, true);
    output.headers.push_back(MakeWireHeader("Content-Type", "text/plain"));
    entry.Frame("agent-9", std::move(output));
    EXPECT_EQ(entry.Caller(booking).status, 201U);
    entry.Advance(std::chrono::milliseconds(600));
    const auto outcomes = entry.Sent<wire::ClaimOutcomeT>();
    ASSERT_EQ(outcomes.size(), 2U);
    EXPECT_TRUE(outcomes[0].ran);
    EXPECT_EQ(outcomes[0].outcome, "completed");
    EXPECT_EQ(outcomes[0].status, 201U);
    EXPECT_EQ(std::string(outcomes[0].body.begin(), outcomes[0].body.end()), "booked");
    ASSERT_EQ(outcomes[0].headers.size(), 1U);
  }
  SECTION("a shutdown waits for the acknowledgement")
  {
    entry.Tick({ StopRequested{} });
    EXPECT_FALSE(entry.Stopped());
    entry.Frame("control-1", OutcomeAck());
    EXPECT_TRUE(entry.Stopped());
  }
}

TEST(EntryClaims, AnotherHolderOfTheKeyDeterminesTheAnswer)
{
  struct Case
  {
    const char* label;
    wire::ClaimReplyT reply;
    unsigned status;
    const char* expectedText;
  };
  std::vector<Case> cases;
  cases.push_back({ "running", Reply(wire::ClaimState::Running, "entry-2.5.8"), 409, "running" });
  cases.push_back(
    { "unknown", Reply(wire::ClaimState::Unknown, "entry-2.5.8"), 409, "same-key-unknown" });
  cases.push_back(
    { "cut", Reply(wire::ClaimState::Finished, "entry-2.5.8"), 409, "agent-restart" });
  cases.back().reply.outcome = "cut";
  cases.back().reply.reason = "agent-restarted";
  cases.push_back(
    { "answer gone", Reply(wire::ClaimState::Finished, "entry-2.5.8"), 409, "answer-gone" });
  cases.back().reply.outcome = "completed";
  cases.push_back(
    { "other body", Reply(wire::ClaimState::Finished, "entry-2.5.8"), 422, "other-request" });
  cases.back().reply.bodyMatches = false;
  for (const Case& each : cases) {
    SECTION(each.label)
    {
      EntryFixture entry;
      Prepare(entry);
      const std::uint64_t booking = entry.Book(kKeyed);
      entry.Frame("control-1", each.reply);
      EXPECT_EQ(entry.Caller(booking).status, each.status);
      EXPECT_THAT(entry.Caller(booking).body, HasSubstr(each.expectedText));
      EXPECT_THAT(entry.Caller(booking).body, HasSubstr(R"("holder":"entry-2.5.8")"));
      EXPECT_TRUE(entry.Sent<wire::StartT>().empty());
      EXPECT_TRUE(entry.Sent<wire::ClaimOutcomeT>().empty())
        << "the claim belongs to another request";
    }
  }
  SECTION("finished: its answer is replayed and marked")
  {
    EntryFixture entry;
    Prepare(entry);
    const std::uint64_t booking = entry.Book(kKeyed);
    wire::ClaimReplyT reply = Reply(wire::ClaimState::Finished, "entry-2.5.8");
    reply.outcome = "completed";
    reply.status = 201;
    reply.body = { 'o', 'k' };
    entry.Frame("control-1", reply);
    EXPECT_EQ(entry.Caller(booking).status, 201U);
    EXPECT_EQ(entry.Caller(booking).body, "ok");
    EXPECT_EQ(entry.Caller(booking).Header("Idempotent-Replayed"), "true");
    EXPECT_EQ(entry.Caller(booking).Header("X-Request-Id"), kFirst);
  }
}

// Guards against a kept answer whose status tells a retry that the request of its key has not run.
TEST(EntryClaims, AKeptAnswerThatMeansNotRunIsNotReplayed)
{
  for (const unsigned status : { 408U, 421U, 429U, 503U }) {
    SECTION(std::to_string(status))
    {
      EntryFixture entry;
      Prepare(entry);
      const std::uint64_t booking = entry.Book(kKeyed);
      wire::ClaimReplyT reply = Reply(wire::ClaimState::Finished, "entry-2.5.8");
      reply.outcome = "completed";
      reply.status = status;
      reply.headers.push_back(MakeWireHeader("Retry-After", "77"));
      entry.Frame("control-1", std::move(reply));
      EXPECT_EQ(entry.Caller(booking).status, 409U);
      EXPECT_EQ(entry.Caller(booking).Header("Retry-After"), "");
      EXPECT_THAT(entry.Caller(booking).body, HasSubstr(R"("outcome":"cut")"));
      EXPECT_THAT(entry.Caller(booking).body, HasSubstr("same-key-unknown"));
      EXPECT_TRUE(entry.Sent<wire::StartT>().empty());
      EXPECT_TRUE(entry.Sent<wire::ClaimOutcomeT>().empty());
    }
  }
}

TEST(EntryClaims, TheClaimOfARequestThatNeverRanIsReleased)
{
  // Guards against a retry with the same key that is refused for good after "not run": the claim is
  // kept although every group refused the request, or it was granted after the caller's deadline.
  SECTION("refused before its start")
  {
    EntryFixture entry;
    Prepare(entry);
    entry.Book(kKeyed);
    entry.Frame("control-1", Reply(wire::ClaimState::Granted));
    wire::RefusedT refused;
    refused.request = kFirst;
    refused.attempt = 1;
    refused.reason = "queue full";
    entry.Frame("agent-9", refused);
    ASSERT_EQ(entry.Sent<wire::ClaimOutcomeT>().size(), 1U);
    EXPECT_FALSE(entry.Sent<wire::ClaimOutcomeT>()[0].ran);
  }
  SECTION("granted after the deadline")
  {
    EntryFixture entry;
    Prepare(entry);
    std::vector<HttpHeader> headers = kKeyed;
    headers.push_back({ "X-Deadline-Ms", "300" });
    const std::uint64_t booking = entry.Book(headers);
    entry.Advance(std::chrono::milliseconds(350));
    EXPECT_EQ(entry.Caller(booking).status, 504U);
    EXPECT_THAT(entry.Caller(booking).body, HasSubstr(R"("outcome":"not-run")"));
    ASSERT_EQ(entry.Sent<wire::ClaimOutcomeT>().size(), 1U);
    EXPECT_FALSE(entry.Sent<wire::ClaimOutcomeT>()[0].ran);
    entry.Frame("control-1", OutcomeAck());
    entry.Clear();
    entry.Frame("control-1", Reply(wire::ClaimState::Granted));
    EXPECT_TRUE(entry.Sent<wire::StartT>().empty());
    ASSERT_EQ(entry.Sent<wire::ClaimOutcomeT>().size(), 1U);
    EXPECT_FALSE(entry.Sent<wire::ClaimOutcomeT>()[0].ran);
  }
  SECTION("granted after the caller was told that another request held the key")
  {
    EntryFixture entry;
    Prepare(entry);
    entry.Book(kKeyed);
    entry.Frame("control-1", Reply(wire::ClaimState::Running, "entry-2.5.8"));
    entry.Frame("control-1", Reply(wire::ClaimState::Granted));
    EXPECT_TRUE(entry.Sent<wire::StartT>().empty());
    ASSERT_EQ(entry.Sent<wire::ClaimOutcomeT>().size(), 1U);
    EXPECT_FALSE(entry.Sent<wire::ClaimOutcomeT>()[0].ran);
  }
}

TEST(EntryClaims, AKeyedRequestKeepsItsClaimWithoutCallerOrAgent)
{
  EntryFixture entry;
  Prepare(entry);
  const std::uint64_t booking = entry.Book(kKeyed);
  entry.Frame("control-1", Reply(wire::ClaimState::Granted));
  SECTION("the caller disconnects: the answer is stored with the claim")
  {
    entry.Tick({ HttpCallerGone{ ExchangeId(booking) } });
    entry.Frame("agent-9", MakeOutput(kFirst, 1, 0, "booked", 201, true));
    ASSERT_EQ(entry.Sent<wire::ClaimOutcomeT>().size(), 1U);
    EXPECT_EQ(entry.Sent<wire::ClaimOutcomeT>()[0].status, 201U);
  }
  SECTION("the agent restarts: the outcome is unknown, so the claim is kept")
  {
    EntryFixture other;
    Prepare(other);
    other.Book(kKeyed);
    other.Frame("control-1", Reply(wire::ClaimState::Granted));
    other.DisconnectPeer("agent-9", 3);
    other.ConnectPeer("agent-9", 4);
    ASSERT_EQ(other.Sent<wire::ClaimOutcomeT>().size(), 1U);
    EXPECT_TRUE(other.Sent<wire::ClaimOutcomeT>()[0].ran);
    EXPECT_EQ(other.Sent<wire::ClaimOutcomeT>()[0].outcome, "cut");
    EXPECT_EQ(other.Sent<wire::StartT>().size(), 1U);
  }
}

} // namespace
} // namespace gooseberrysail::test
