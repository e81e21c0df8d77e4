#include "support/entry_fixture.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail::test {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

constexpr const char* kRequestOfOtherEntry = "entry-2.5.8";

wire::RequestAnswerT FoundAnswer(std::uint64_t nonce, const std::string& request)
{
  wire::RequestAnswerT answer;
  answer.nonce = nonce;
  answer.found = true;
  answer.record = std::make_unique<wire::RequestRecordT>();
  answer.record->request = request;
  answer.record->workspace = "hire-desk";
  answer.record->outcome = "cut";
  return answer;
}

TEST(EntryLookup, TheEntryNamedByTheIdIsQueried)
{
  EntryFixture entry;
  entry.Boot();
  SECTION("through control while it isn't connected")
  {
    entry.Call("GET", std::string("/requests/") + kRequestOfOtherEntry);
    EXPECT_EQ(entry.LastReceiver<wire::RequestQueryT>(), "control-1");
  }
  SECTION("directly when connected, for the caller's workspace only")
  {
    entry.ConnectPeer("entry-2", 5, "entry");
    entry.Clear();
    const std::uint64_t asked = entry.Call("GET", std::string("/requests/") + kRequestOfOtherEntry);
    ASSERT_EQ(entry.Sent<wire::RequestQueryT>("entry-2").size(), 1U);
    const wire::RequestQueryT query = entry.Sent<wire::RequestQueryT>("entry-2")[0];
    EXPECT_EQ(query.workspace, "hire-desk");
    entry.Frame("entry-2", FoundAnswer(query.nonce, kRequestOfOtherEntry));
    EXPECT_EQ(entry.Caller(asked).status, 200U);
    EXPECT_THAT(entry.Caller(asked).body, HasSubstr(R"("outcome":"cut")"));
  }
  SECTION("an answer about another request gives 404")
  {
    entry.Clear();
    const std::uint64_t asked = entry.Call("GET", std::string("/requests/") + kRequestOfOtherEntry);
    const wire::RequestQueryT query = entry.Sent<wire::RequestQueryT>().at(0);
    entry.Frame("entry-2", FoundAnswer(query.nonce, "entry-2.5.9"));
    EXPECT_EQ(entry.Caller(asked).status, 404U);
  }
  SECTION("no answer gives 503 with Retry-After")
  {
    const std::uint64_t asked = entry.Call("GET", std::string("/requests/") + kRequestOfOtherEntry);
    entry.Advance(std::chrono::milliseconds(2100));
    EXPECT_EQ(entry.Caller(asked).status, 503U);
    EXPECT_THAT(entry.Caller(asked).body, HasSubstr("entry-2"));
    EXPECT_EQ(entry.Caller(asked).Header("Retry-After"), "1");
  }
}

// Guards against "not run" in the answer to a question about a request of which nothing is known.
TEST(EntryLookup, AFailedLookupSaysNothingOfTheRequest)
{
  EntryFixture entry;
  entry.Boot();
  const auto expectUnknown = [&](std::uint64_t asked, unsigned status) {
    EXPECT_EQ(entry.Caller(asked).status, status);
    EXPECT_THAT(entry.Caller(asked).body, HasSubstr(R"("outcome":"unknown")"));
    EXPECT_THAT(entry.Caller(asked).body, Not(HasSubstr("not-run")));
  };
  SECTION("no record of this entry's own request is left")
  {
    expectUnknown(entry.Call("GET", "/requests/entry-1.6.1"), 404);
  }
  const std::string target = std::string("/requests/") + kRequestOfOtherEntry;
  SECTION("the entry that was asked has no record")
  {
    const std::uint64_t asked = entry.Call("GET", target);
    wire::RequestAnswerT answer;
    answer.nonce = entry.Sent<wire::RequestQueryT>().back().nonce;
    entry.Frame("control-1", std::move(answer));
    expectUnknown(asked, 404);
  }
  SECTION("that entry doesn't answer")
  {
    const std::uint64_t asked = entry.Call("GET", target);
    entry.Advance(std::chrono::milliseconds(2100));
    expectUnknown(asked, 503);
  }
}

TEST(EntryLookup, QueriesOfOtherProcessesAreFilteredByWorkspace)
{
  EntryFixture entry;
  entry.Boot();
  entry.ConnectPeer("agent-1", 3);
  entry.Routes({ { 11, "agent-1" } });
  entry.Chat();
  struct Case
  {
    const char* label;
    const char* workspace;
    bool found;
  };
  for (const Case& each : { Case{ "the workspace of the request", "hire-desk", true },
                            Case{ "another workspace", "registry", false },
                            Case{ "an operator's query", "", true } }) {
    SECTION(each.label)
    {
      entry.Clear();
      wire::RequestQueryT query;
      query.nonce = 9;
      query.request = "entry-1.7.1";
      query.workspace = each.workspace;
      entry.Frame("control-1", query);
      ASSERT_EQ(entry.Sent<wire::RequestAnswerT>("control-1").size(), 1U);
      EXPECT_EQ(entry.Sent<wire::RequestAnswerT>("control-1")[0].found, each.found);
    }
  }
}

} // namespace
} // namespace gooseberrysail::test
