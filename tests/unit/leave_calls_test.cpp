#include "support/control_cluster.hpp"
#include "support/section.hpp"

#include <gmock/gmock.h>

namespace gooseberrysail::test {
namespace {

using ::testing::IsEmpty;
using ::testing::UnorderedElementsAre;

/// Every call states that the target which it names leaves.
OutsideApi PlainLeaveApi()
{
  OutsideApi api;
  api.decode = [](const HttpRequestIn& request) -> std::optional<OutsideCall> {
    return LeaveCall{ InstanceId(request.target) };
  };
  api.encode = [](ExchangeId exchange, const OutsideAnswer& answer) {
    HttpAnswerOut out;
    out.exchange = exchange;
    out.status = static_cast<unsigned>(answer.status);
    out.bytes = "{}";
    out.end = true;
    return out;
  };
  api.readDocument = [](std::string_view) -> Result<ServingDocument> { return ServingDocument(); };
  return api;
}

/// The processes that are told in these outputs that a target left.
std::vector<std::string> ToldThatItLeft(const std::vector<ControlOutput>& outbox,
                                        const std::string& target)
{
  std::vector<std::string> told;
  for (const ControlOutput& output : outbox) {
    const auto* frame = std::get_if<FrameOut>(&output);
    const auto* heard = frame == nullptr ? nullptr : frame->envelope->body.AsTargetsHeard();
    if (heard != nullptr && std::ranges::any_of(heard->heard, [&](const auto& row) {
          return row->left && row->instance == target;
        })) {
      told.push_back(frame->peer.Get());
    }
  }
  return told;
}

void CommitDeparture(ScriptedLog& log, const std::string& target)
{
  wire::RecordDeparturesT command;
  command.departures.push_back(std::make_unique<wire::DepartureT>());
  command.departures.back()->instance = target;
  command.departures.back()->left = true;
  log.entries.push_back({ Term(1), EncodeCommand(std::move(command)) });
}

// Guards against an acknowledgement of a departure that only the process which gave it knows of.
TEST(LeaveCalls, AreToldToAllControlProcessesBeforeTheirAcknowledgement)
{
  const auto log = std::make_shared<ScriptedLog>();
  ControlNode follower("control-2", log, MakeControlSettings("control-2"));
  follower.outside = PlainLeaveApi();
  follower.Restart();
  SECTION("without a leader, a departure is not acknowledged")
  {
    const auto outbox = follower.Tick({ Called(1, "DELETE", "i-1") });
    ASSERT_TRUE(AnswerOf(outbox, 1));
    EXPECT_EQ(static_cast<OutsideStatus>(AnswerOf(outbox, 1)->status), OutsideStatus::kUnavailable);
    EXPECT_THAT(ToldThatItLeft(outbox, "i-1"), IsEmpty());
  }
  follower.leaderHint = ProcessId("control-1");
  follower.Tick({ Up("control-1", "control"), Up("control-3", "control") });
  SECTION("they are told in the same tick")
  {
    const auto outbox = follower.Tick({ Called(2, "DELETE", "i-2") });
    EXPECT_FALSE(AnswerOf(outbox, 2));
    EXPECT_THAT(ToldThatItLeft(outbox, "i-2"), UnorderedElementsAre("control-1", "control-3"));
  }
  SECTION("a departure of another target acknowledges nothing")
  {
    CommitDeparture(*log, "i-7");
    EXPECT_FALSE(AnswerOf(follower.Tick(), 2));
  }
  SECTION("and are acknowledged once a majority has them on disk")
  {
    CommitDeparture(*log, "i-2");
    const std::optional<Answer> answer = AnswerOf(follower.Tick(), 2);
    ASSERT_TRUE(answer);
    EXPECT_EQ(static_cast<OutsideStatus>(answer->status), OutsideStatus::kDone);
  }
  SECTION("a process that connects later is told then")
  {
    follower.Tick({ Down("control-1") });
    EXPECT_THAT(ToldThatItLeft(follower.Tick({ Called(3, "DELETE", "i-3") }), "i-3"),
                UnorderedElementsAre("control-3"));
    EXPECT_THAT(ToldThatItLeft(follower.Tick({ Up("control-1", "control", 2) }), "i-3"),
                UnorderedElementsAre("control-1"));
  }
}

} // namespace
} // namespace gooseberrysail::test
