#include "support/control_cluster.hpp"
#include "support/section.hpp"

#include <algorithm>
#include <gmock/gmock.h>

namespace gooseberrysail::test {
namespace {

using ::testing::HasSubstr;

/// The body of a PUT is the document's version; any other method reads the document.
OutsideApi PlainDocumentApi()
{
  OutsideApi api;
  api.decode = [](const HttpRequestIn& request) -> std::optional<OutsideCall> {
    if (request.method == "PUT") {
      return PutDocumentCall{ request.body };
    }
    return GetDocumentCall{};
  };
  api.encode = [](ExchangeId exchange, const OutsideAnswer& answer) {
    HttpAnswerOut out;
    out.exchange = exchange;
    out.status = static_cast<unsigned>(answer.status);
    out.bytes = boost::json::serialize(
      boost::json::object{ { "text", answer.text }, { "reason", answer.reason } });
    out.end = true;
    return out;
  };
  api.readDocument = [](std::string_view text) -> Result<ServingDocument> {
    ServingDocument document;
    document.version = std::stoull(std::string(text));
    return document;
  };
  return api;
}

struct DocumentCalls
{
  DocumentCalls()
  {
    control.outside = PlainDocumentApi();
    control.Restart();
    control.Lead(1);
  }

  static ControlInput Put(std::uint64_t exchange, const std::string& version)
  {
    return Called(exchange, "PUT", "/document", version);
  }
  static ControlInput Get(std::uint64_t exchange) { return Called(exchange, "GET", "/document"); }

  static OutsideStatus StatusOf(const Answer& answer)
  {
    return static_cast<OutsideStatus>(answer.status);
  }

  static bool IsStopped(const std::vector<ControlOutput>& outbox)
  {
    return std::ranges::any_of(
      outbox, [](const auto& output) { return std::holds_alternative<StoppedOut>(output); });
  }

  std::shared_ptr<ScriptedLog> log = std::make_shared<ScriptedLog>();
  ControlNode control{ "control-1", log, MakeControlSettings("control-1") };
};

// Guards against a change that was read and gets no answer because its control process loses the
// lead while the change waits for its commit.
TEST(DocumentCalls, EndWhenLeadershipIsLost)
{
  DocumentCalls test;
  test.log->holdBack = true;
  test.control.cutOff = true;
  test.control.now += milliseconds(50);
  test.control.Tick({ DocumentCalls::Put(1, "7"), DocumentCalls::Get(2) });
  test.control.leader = false;
  test.control.cutOff = false;
  test.control.leaderHint = ProcessId("control-2");
  const auto outbox = test.control.Tick();
  ASSERT_TRUE(AnswerOf(outbox, 1));
  ASSERT_TRUE(AnswerOf(outbox, 2));
  EXPECT_EQ(DocumentCalls::StatusOf(*AnswerOf(outbox, 1)), OutsideStatus::kUnconfirmed);
  EXPECT_THAT(std::string(AnswerOf(outbox, 1)->body.at("reason").as_string()),
              HasSubstr("may still be committed"));
  EXPECT_EQ(DocumentCalls::StatusOf(*AnswerOf(outbox, 2)), OutsideStatus::kUnavailable);

  SECTION("a change that is committed later is answered once")
  {
    test.log->Commit();
    test.log->holdBack = false;
    test.control.Lead(2);
    test.control.seen.clear();
    test.control.Tick({ DocumentCalls::Put(3, "7") });
    test.control.Run(seconds(2));
    EXPECT_FALSE(AnswerOf(test.control.seen, 1));
    ASSERT_TRUE(AnswerOf(test.control.seen, 3));
    EXPECT_EQ(DocumentCalls::StatusOf(*AnswerOf(test.control.seen, 3)), OutsideStatus::kDone);
  }
}

// Guards against a stop that drops changes: a process that ends while a change waits for its commit
// or while its connections drain.
TEST(DocumentCalls, EndBeforeAStoppingProcess)
{
  DocumentCalls test;
  test.log->holdBack = true;
  test.control.Tick({ DocumentCalls::Put(1, "7") });
  EXPECT_FALSE(DocumentCalls::IsStopped(test.control.Tick({ StopRequested{} })));
  SECTION("a commit is still acknowledged")
  {
    test.log->Commit();
    const auto outbox = test.control.Tick();
    ASSERT_TRUE(AnswerOf(outbox, 1));
    EXPECT_EQ(DocumentCalls::StatusOf(*AnswerOf(outbox, 1)), OutsideStatus::kDone);
    EXPECT_TRUE(DocumentCalls::IsStopped(outbox));
  }
  SECTION("a change that arrives while the connections drain is answered within a second")
  {
    test.control.Tick({ DocumentCalls::Put(2, "8") });
    const auto outbox = test.control.Run(seconds(1));
    ASSERT_TRUE(AnswerOf(outbox, 2));
    EXPECT_EQ(DocumentCalls::StatusOf(*AnswerOf(outbox, 2)), OutsideStatus::kUnconfirmed);
  }
}

// Guards against reads that take memory without limit, and against reads that keep changes out,
// while no quorum confirms the leader.
TEST(DocumentCalls, WaitingReadsAreLimitedAndKeepNoChangeOut)
{
  constexpr std::uint64_t kReads = 200;
  DocumentCalls test;
  test.control.cutOff = true;
  test.control.now += milliseconds(50);
  std::vector<ControlInput> inbox;
  for (std::uint64_t exchange = 1; exchange <= kReads; ++exchange) {
    inbox.push_back(DocumentCalls::Get(exchange));
  }
  const auto refused = test.control.Tick(std::move(inbox));
  EXPECT_FALSE(AnswerOf(refused, 1));
  ASSERT_TRUE(AnswerOf(refused, kReads));
  EXPECT_EQ(DocumentCalls::StatusOf(*AnswerOf(refused, kReads)), OutsideStatus::kUnavailable);
  SECTION("a change waits for its commit")
  {
    const auto outbox = test.control.Tick({ DocumentCalls::Put(kReads + 1, "7") });
    EXPECT_FALSE(AnswerOf(outbox, kReads + 1));
  }
  SECTION("all calls are answered in time")
  {
    test.control.Run(seconds(1));
    for (std::uint64_t exchange = 1; exchange <= kReads + 1; ++exchange) {
      EXPECT_TRUE(AnswerOf(test.control.seen, exchange)) << exchange;
    }
  }
}

} // namespace
} // namespace gooseberrysail::test
