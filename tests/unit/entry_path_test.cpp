#include "gooseberrysail/entry/caller_api.hpp"
#include "support/entry_fixture.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail::test {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

TEST(EntryPath, ACallIsSentToTheGroupAndItsAnswerToTheCaller)
{
  EntryFixture entry;
  entry.Boot();
  entry.Routes({ { 11, "agent-1" } });
  EXPECT_EQ(entry.LastReceiver<wire::PingT>(), "agent-1") << "an unconnected head is dialled";
  entry.ConnectPeer("agent-1", 3);

  SECTION("a model call is sent without the caller's token")
  {
    const std::uint64_t chat = entry.Chat(false, { { "X-Site", "Kingston 7" } });
    ASSERT_EQ(entry.Sent<wire::StartT>().size(), 1U);
    const wire::StartT start = entry.Sent<wire::StartT>()[0];
    EXPECT_EQ(start.request, "entry-1.7.1");
    EXPECT_EQ(start.agentIncarnation, 3U);
    EXPECT_EQ(start.group, 11U);
    EXPECT_EQ(start.configVersion, 40U);
    EXPECT_EQ(start.workspace, "hire-desk");
    EXPECT_EQ(start.path, "/v1/chat/completions");
    EXPECT_EQ(start.deadlineMillis, 120'000U);
    ASSERT_EQ(start.headers.size(), 1U);
    EXPECT_EQ(start.headers[0]->value, "Kingston 7");

    wire::OutputT output = MakeOutput(start.request, 1, 0, R"({"ok":1})", 200, true);
    output.headers.push_back(MakeWireHeader("Content-Type", "application/json"));
    output.headers.push_back(MakeWireHeader("Content-Length", "8"));
    entry.Frame("agent-1", std::move(output));
    EXPECT_EQ(entry.Caller(chat).status, 200U);
    EXPECT_EQ(entry.Caller(chat).body, R"({"ok":1})");
    EXPECT_TRUE(entry.Caller(chat).ended);
    EXPECT_EQ(entry.Caller(chat).Header("X-Request-Id"), "entry-1.7.1");
    ASSERT_EQ(entry.Sent<wire::AckT>().size(), 1U);
    EXPECT_TRUE(entry.Sent<wire::AckT>()[0].done);
  }
  SECTION("its record is visible to its own workspace only")
  {
    const std::string record = entry.Record("entry-1.7.1");
    EXPECT_THAT(record, HasSubstr(R"("outcome":"completed")"));
    EXPECT_THAT(record, HasSubstr(R"("vm":"vm-agent-1")"));
    const auto other = entry.Call("GET", "/requests/entry-1.7.1", "", {}, kOtherToken);
    EXPECT_EQ(entry.Caller(other).status, 404U);
  }
}

TEST(EntryPath, AServiceCallPassesMethodHeadersPathAndQuery)
{
  EntryFixture entry;
  entry.Boot();
  entry.ConnectPeer("agent-9", 3);
  entry.Routes({ { 12, "agent-9" } }, "booking-portal");
  entry.Call(
    "PUT", "/services/booking-portal/stock/rollers?depot=3", "body", { { "If-Match", "2" } });
  ASSERT_EQ(entry.Sent<wire::StartT>().size(), 1U);
  const wire::StartT start = entry.Sent<wire::StartT>()[0];
  EXPECT_EQ(start.method, "PUT");
  EXPECT_EQ(start.path, "/stock/rollers?depot=3");
  EXPECT_EQ(start.headers.at(0)->name, "If-Match");
  EXPECT_TRUE(start.repeatable);

  SECTION("a call that is not repeatable is marked for the agent")
  {
    entry.Clear();
    entry.Book();
    EXPECT_FALSE(entry.Sent<wire::StartT>().at(0).repeatable);
  }
}

TEST(EntryPath, StreamedOutputIsForwardedAtOnce)
{
  EntryFixture entry;
  entry.Boot();
  entry.ConnectPeer("agent-1", 3);
  entry.Routes({ { 11, "agent-1" } });
  const std::uint64_t chat = entry.Chat(true);
  wire::OutputT first = MakeOutput("entry-1.7.1", 1, 0, "data: a\n\n", 200);
  first.headers.push_back(MakeWireHeader("Content-Type", "text/event-stream"));
  entry.Frame("agent-1", std::move(first));
  EXPECT_EQ(entry.Caller(chat).body, "data: a\n\n");
  EXPECT_FALSE(entry.Caller(chat).ended);
  entry.Frame("agent-1", MakeOutput("entry-1.7.1", 1, 9, "data: b\n\n", 0, true));
  EXPECT_EQ(entry.Caller(chat).body, "data: a\n\ndata: b\n\n");
  EXPECT_TRUE(entry.Caller(chat).ended);
}

TEST(EntryPath, InvalidCallsGetSpecificErrorsAndRunNothing)
{
  EntryFixture entry;
  entry.Boot();
  entry.ConnectPeer("agent-1", 3);
  entry.Routes({ { 11, "agent-1" } });

  struct Case
  {
    const char* label;
    std::string method;
    std::string target;
    std::string body;
    std::vector<HttpHeader> headers;
    std::string_view token;
    unsigned status;
    const char* expectedText;
  };
  const std::string chat = "/v1/chat/completions";
  const std::vector<HttpHeader> tooMany(kMaxHeaders + 1, { "X-A", "b" });
  const std::vector<Case> cases = {
    { "no JSON", "POST", chat, "{", {}, kToken, 400, "not JSON" },
    { "no object", "POST", chat, "[]", {}, kToken, 400, "not a JSON object" },
    { "no model", "POST", chat, "{}", {}, kToken, 400, "`model`" },
    { "invalid stream", "POST", chat, R"({"model":"m","stream":1})", {}, kToken, 400, "`stream`" },
    { "unknown model", "POST", chat, R"({"model":"gone"})", {}, kToken, 404, "model gone" },
    { "unknown service", "GET", "/services/gone/x", "", {}, kToken, 404, "service gone" },
    { "no service", "GET", "/services/", "", {}, kToken, 404, "no service" },
    { "unknown path", "GET", "/nothing", "", {}, kToken, 404, "/nothing" },
    { "wrong method", "GET", chat, "", {}, kToken, 405, "only POST" },
    { "wrong token", "POST", chat, R"({"model":"hire-assist"})", {}, "wrong", 401, "token" },
    { "bad deadline",
      "POST",
      chat,
      R"({"model":"hire-assist"})",
      { { "X-Deadline-Ms", "soon" } },
      kToken,
      400,
      "X-Deadline-Ms" },
    { "long key",
      "POST",
      chat,
      R"({"model":"hire-assist"})",
      { { "Idempotency-Key", std::string(201, 'k') } },
      kToken,
      400,
      "Idempotency-Key" },
    { "large body", "POST", chat, std::string(kMaxBodyBytes + 1, ' '), {}, kToken, 413, "body" },
    { "many headers", "GET", "/v1/models", "", tooMany, kToken, 413, "headers" },
  };
  for (const Case& each : cases) {
    SECTION(each.label)
    {
      const auto exchange =
        entry.Call(each.method, each.target, each.body, each.headers, each.token);
      const CallerView& caller = entry.Caller(exchange);
      EXPECT_EQ(caller.status, each.status);
      EXPECT_THAT(caller.body, HasSubstr(each.expectedText));
      EXPECT_THAT(caller.body, HasSubstr(R"("outcome":"not-run")"));
      EXPECT_THAT(caller.Header("X-Request-Id"), HasSubstr("entry-1.7."));
      EXPECT_TRUE(caller.ended);
    }
  }
  EXPECT_TRUE(entry.Sent<wire::StartT>().empty());
}

TEST(EntryPath, ModelsAreListedForTheWorkspace)
{
  EntryFixture entry;
  entry.Boot();
  const CallerView& caller = entry.Caller(entry.Call("GET", "/v1/models"));
  EXPECT_EQ(caller.status, 200U);
  EXPECT_THAT(caller.body, HasSubstr(R"("id":"hire-assist")"));
  EXPECT_THAT(caller.body, Not(HasSubstr("booking-portal")));
}

TEST(EntryPath, AnUnconfirmedCatalogueAdmitsNothing)
{
  // Guards against serving a workspace that was removed: the entry is disconnected from control,
  // the operator removes the workspace, and the entry uses a catalogue copy that has not been
  // confirmed within the limit.
  EntryFixture entry;
  entry.SetControlSilent(true);
  SECTION("before the first confirmation")
  {
    const CallerView& caller = entry.Caller(entry.Chat());
    EXPECT_EQ(caller.status, 503U);
    EXPECT_THAT(caller.body, HasSubstr("configuration-unconfirmed"));
    EXPECT_EQ(caller.Header("Retry-After"), "2");
    EXPECT_EQ(entry.Caller(entry.Call("GET", "/readyz")).status, 503U);
  }
  entry.SetControlSilent(false);
  entry.Boot();
  entry.ConnectPeer("agent-1", 3);
  entry.Routes({ { 11, "agent-1" } });
  entry.SetControlSilent(true);
  SECTION("within the limit of 5 s, counted from when the query was sent")
  {
    EXPECT_EQ(entry.Caller(entry.Call("GET", "/readyz")).status, 200U);
    entry.Advance(std::chrono::milliseconds(4900));
    entry.Chat();
    EXPECT_EQ(entry.Sent<wire::StartT>().size(), 1U);
  }
  SECTION("after the limit")
  {
    entry.Advance(std::chrono::milliseconds(200));
    const CallerView& caller = entry.Caller(entry.Chat());
    EXPECT_EQ(caller.status, 503U);
    EXPECT_THAT(caller.body, HasSubstr("configuration-unconfirmed"));
    EXPECT_EQ(entry.Sent<wire::StartT>().size(), 1U);
  }
  SECTION("records can still be looked up")
  {
    EXPECT_THAT(entry.Record(entry.Sent<wire::StartT>().at(0).request),
                HasSubstr(R"("outcome":"running")"));
  }
  SECTION("confirmed again")
  {
    entry.SetControlSilent(false);
    entry.Advance(std::chrono::seconds(1));
    entry.Chat();
    EXPECT_EQ(entry.Sent<wire::StartT>().size(), 2U);
  }
}

} // namespace
} // namespace gooseberrysail::test
